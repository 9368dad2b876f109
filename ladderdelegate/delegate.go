package ladderdelegate

import (
	"context"
	"crypto/rand"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderflow"
	"lacewingladder/laddermessage"
	"lacewingladder/platform"
)

const (
	// PollWait is how long a worker may delay its response to a status poll to wait for
	// the end of a run. The leader's own polls use the same limits.
	PollWait = time.Second
	// PollTimeoutSlack is the part of a poll's timeout that exceeds the poll's wait.
	PollTimeoutSlack = 450 * time.Millisecond
	// PollRetryDelay is the time from a failed poll to the next one.
	PollRetryDelay = 200 * time.Millisecond
	// acknowledgeTimeout is the longest time that the next poll waits for the leader to
	// acknowledge the ends that the last one listed. Without the wait, the worker would
	// respond at once, with the same ends.
	acknowledgeTimeout = 200 * time.Millisecond
	// reportDelay is how long a report is held back after its first event, so that it can
	// carry several.
	reportDelay = 12 * time.Millisecond
	// maxConcurrentOrders is the maximum number of orders being sent at the same time.
	maxConcurrentOrders = 64
	// sessionTimeout is the time after the leader's last message at which a session ends
	// and the delegate stops polling the leader's workers.
	sessionTimeout = 10 * time.Second
)

// Workers is the client through which a delegate calls workers.
type Workers interface {
	Poll(ctx context.Context, to netip.AddrPort, id string, request platform.PollRequest) (ladderflow.StatusReport, error)
	Start(ctx context.Context, to netip.AddrPort, id string, s ladderflow.Start) (ladderflow.StartReply, error)
	Stop(ctx context.Context, to netip.AddrPort, id string, r ladderflow.Run, fence int64) (ladderflow.Refusal, error)
	LimitSpeed(ctx context.Context, to netip.AddrPort, id string, r ladderflow.Run, percent int, fence int64) (ladderflow.Refusal, error)
}

// Log receives structured log lines.
type Log interface {
	Info(msg any, keyvals ...any)
	Debug(msg any, keyvals ...any)
}

// Delegate polls workers and sends orders to them on behalf of the leader. Create one
// with [New]. It is safe for concurrent use.
type Delegate struct {
	workers Workers
	clock   ladderclock.Clock
	boot    ladderclock.BootClock
	log     Log

	mu      sync.Mutex
	session *session
}

// New returns a delegate that serves no leader yet.
func New(w Workers, clock ladderclock.Clock, boot ladderclock.BootClock, log Log) *Delegate {
	return &Delegate{workers: w, clock: clock, boot: boot, log: log}
}

// session is the state of a delegate while it serves one leader.
type session struct {
	delegate *Delegate
	// name identifies the session in its reports.
	name string
	// fence is the leader's fencing token.
	fence  int64
	ctx    context.Context
	cancel context.CancelFunc
	// orderSlots holds an element for each call with an order that is in progress.
	orderSlots chan struct{}
	// changed receives a value when there is something new to report.
	changed chan struct{}

	mu sync.Mutex
	// renewUntil is the time up to which the delegate may renew the workers' leases, and
	// lastContact the time of the leader's last message, both on the boot clock.
	renewUntil  time.Duration
	lastContact time.Duration
	// workerLease is how long a worker's lease lasts from each poll.
	workerLease time.Duration
	// pollers holds the pollers by worker id.
	pollers map[string]*poller
	// polls and results are the events for the next report.
	polls   []laddermessage.PollResult
	results []laddermessage.OrderResult
	// lastReport is the latest report, which the leader may not have received.
	lastReport laddermessage.DelegateReport
}

// Apply handles a message of the leader with assignments and orders. It reports false if
// the delegate serves a newer leader.
func (d *Delegate) Apply(m laddermessage.Delegation) bool {
	s, ok := d.sessionOf(m.Fence)
	if !ok {
		return false
	}
	s.extend(m.RenewUntil)
	s.apply(m)
	return true
}

// Report answers the leader's poll with a report of all events that the leader does not
// have yet. If there are none, it first waits for one, for up to m.Wait. It reports false
// if the delegate serves a newer leader.
func (d *Delegate) Report(ctx context.Context, m laddermessage.DelegatePoll) (laddermessage.DelegateReport, bool) {
	received := d.boot.SinceBoot()
	s, ok := d.sessionOf(m.Fence)
	if !ok {
		return laddermessage.DelegateReport{}, false
	}
	s.extend(m.RenewUntil)
	s.awaitEvent(ctx, m)
	r := s.nextReport(m.After)
	r.ReceivedAt, r.RepliedAt = received, d.boot.SinceBoot()
	return r, s.ctx.Err() == nil
}

// sessionOf returns the session of the leader with the given fencing token, and starts
// one if needed. It reports false if the delegate serves a newer leader.
func (d *Delegate) sessionOf(fence int64) (*session, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.session
	if s != nil && s.fence == fence && s.ctx.Err() == nil {
		return s, true
	}
	if s != nil && s.fence > fence {
		return nil, false
	}
	if s != nil {
		s.cancel()
	}
	s = &session{
		delegate: d, name: rand.Text(), fence: fence, orderSlots: make(chan struct{}, maxConcurrentOrders),
		changed: make(chan struct{}, 1), pollers: map[string]*poller{}, lastContact: d.boot.SinceBoot(),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	d.session = s
	d.log.Info("delegate session started", "fence", fence, "session", s.name)
	go s.endWhenUnused()
	return s, true
}

// Close ends the session, if there is one, and so stops polling all workers.
func (d *Delegate) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.session != nil {
		d.session.cancel()
	}
}

// endWhenUnused ends the session once sessionTimeout has passed since the leader's last
// message.
func (s *session) endWhenUnused() {
	for {
		s.mu.Lock()
		remaining := s.lastContact + sessionTimeout - s.delegate.boot.SinceBoot()
		s.mu.Unlock()
		if remaining <= 0 {
			s.delegate.log.Info("no message from the leader; delegate session ended", "fence", s.fence)
			s.cancel()
			return
		}
		select {
		case <-s.ctx.Done():
			return
		case <-s.delegate.clock.After(remaining):
		}
	}
}

// extend records a message from the leader, and the time up to which it permits the
// delegate to renew leases.
func (s *session) extend(renewUntil time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewUntil = max(s.renewUntil, renewUntil)
	s.lastContact = s.delegate.boot.SinceBoot()
}

// apply starts and stops pollers as the leader's message demands, and sends its orders.
func (s *session) apply(m laddermessage.Delegation) {
	s.mu.Lock()
	s.workerLease = m.LeaseDuration
	for _, a := range m.Assigned {
		if old, ok := s.pollers[a.Worker]; ok && old.address == a.Address {
			old.acknowledge(a)
			continue
		} else if ok {
			old.cancel()
		}
		s.pollers[a.Worker] = newPoller(s, a)
	}
	for _, id := range m.Unassigned {
		if old, ok := s.pollers[id]; ok {
			old.cancel()
			delete(s.pollers, id)
		}
	}
	for _, o := range m.Starts {
		if p, ok := s.pollers[o.Worker]; ok {
			p.acknowledgeGuard.StartSent()
		}
	}
	s.mu.Unlock()
	for _, o := range m.Starts {
		go s.sendStart(m, o)
	}
	for _, o := range m.Stops {
		go func() {
			s.sendOrder(m, o.Worker, o.Run, true, func(ctx context.Context) (ladderflow.Refusal, error) {
				return s.delegate.workers.Stop(ctx, o.Address, o.Worker, o.Run, s.fence)
			})
		}()
	}
	for _, o := range m.SpeedLimits {
		go s.sendSpeedLimit(m, o)
	}
}

// sendStart sends a start and records in the worker's poller what it means for polls.
func (s *session) sendStart(m laddermessage.Delegation, o laddermessage.DelegatedStart) {
	var clock time.Duration
	r := s.sendOrder(m, o.Worker, o.Start.Run, false, func(ctx context.Context) (ladderflow.Refusal, error) {
		reply, err := s.delegate.workers.Start(ctx, o.Address, o.Worker, o.Start)
		clock = reply.Clock
		return reply.Refusal, err
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pollers[o.Worker]
	if !ok {
		return
	}
	now := s.delegate.clock.Now()
	switch {
	case r.Unknown:
		p.acknowledgeGuard.StartUnanswered(now)
	case r.Unsent, r.Refusal != ladderflow.NotRefused:
		p.acknowledgeGuard.StartHadNoEffect()
	default:
		p.acknowledgeGuard.StartAccepted(now, clock)
	}
	p.wakeUp()
}

// sendOrder sends a start or stop order with the given function and adds its result, which it
// also returns, to the next report.
func (s *session) sendOrder(
	m laddermessage.Delegation, worker string, run ladderflow.Run, stop bool,
	send func(context.Context) (ladderflow.Refusal, error),
) laddermessage.OrderResult {
	r := laddermessage.OrderResult{Worker: worker, Run: run, Stop: stop}
	began := s.delegate.clock.Now()
	refusal, err := s.callInTime(m, send)
	r.Duration = s.delegate.clock.Now().Sub(began)
	if !stop && err != nil && !errors.Is(err, platform.ErrUnsent) {
		// A repeated start has no effect if the first one had. A refusal of it tells nothing of the
		// first one, which may still be carried out.
		if again, repeatErr := s.callInTime(m, send); repeatErr == nil && again == ladderflow.NotRefused {
			refusal, err = again, nil
		}
	}
	r.Refusal, r.Unsent = refusal, errors.Is(err, platform.ErrUnsent)
	r.Unknown = err != nil && !r.Unsent
	s.addToReport(func() { s.results = append(s.results, r) })
	return r
}

// callInTime calls send once fewer than maxConcurrentOrders calls are in progress. If the
// orders of the message have expired by then, it returns [platform.ErrUnsent] instead.
func (s *session) callInTime(
	m laddermessage.Delegation, send func(context.Context) (ladderflow.Refusal, error),
) (ladderflow.Refusal, error) {
	select {
	case s.orderSlots <- struct{}{}:
		defer func() { <-s.orderSlots }()
	case <-s.ctx.Done():
		return ladderflow.NotRefused, platform.ErrUnsent
	}
	// The expiry is checked here, after all waiting, since the call follows at once.
	if s.delegate.boot.SinceBoot() >= m.SendBefore || s.ctx.Err() != nil {
		return ladderflow.NotRefused, platform.ErrUnsent
	}
	ctx, cancel := context.WithTimeout(s.ctx, m.OrderTimeout)
	defer cancel()
	return send(ctx)
}

// sendSpeedLimit sends a speed limit for a run. The result is logged but not reported,
// since the worker's status reports show the effect.
func (s *session) sendSpeedLimit(m laddermessage.Delegation, o laddermessage.DelegatedSpeedLimit) {
	refusal, err := s.callInTime(m, func(ctx context.Context) (ladderflow.Refusal, error) {
		return s.delegate.workers.LimitSpeed(ctx, o.Address, o.Worker, o.Run, o.Percent, s.fence)
	})
	s.delegate.log.Info("speed limit order finished", "task", o.Run.Task, "run", o.Run.Number, "worker", o.Worker, "percent", o.Percent,
		"refusal", refusal, "err", err)
}

// addToReport calls f, which adds an event for the next report, with the session's lock
// held.
func (s *session) addToReport(f func()) {
	s.mu.Lock()
	f()
	s.mu.Unlock()
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// awaitEvent waits for up to m.Wait until there is something to report, and then for
// reportDelay, so that the report can carry several events.
func (s *session) awaitEvent(ctx context.Context, m laddermessage.DelegatePoll) {
	timeout := s.delegate.clock.After(m.Wait)
	for {
		s.mu.Lock()
		ready := len(s.polls) > 0 || len(s.results) > 0 || s.lastReport.Number > m.After
		s.mu.Unlock()
		if ready {
			break
		}
		select {
		case <-s.changed:
		case <-timeout:
			return
		case <-ctx.Done():
			return
		case <-s.ctx.Done():
			return
		}
	}
	select {
	case <-s.delegate.clock.After(reportDelay):
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
}

// nextReport returns a report of the events since the last one. After is the number of the
// latest report that the leader has received. If that is not the last report, the new one
// repeats the last report's events.
func (s *session) nextReport(after int64) laddermessage.DelegateReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := laddermessage.DelegateReport{Session: s.name, Number: s.lastReport.Number + 1, Polls: s.polls, Results: s.results}
	if s.lastReport.Number > after {
		r.Polls = slices.Concat(s.lastReport.Polls, s.polls)
		r.Results = slices.Concat(s.lastReport.Results, s.results)
	}
	s.polls, s.results = nil, nil
	s.lastReport = r
	return r
}
