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
	// LookWait is how long a worker may wait for an end before it answers a look. The
	// leader's own looks are the same.
	LookWait = time.Second
	// LookSlack is how long after its wait a look is given up.
	LookSlack = 450 * time.Millisecond
	// LookRetry is the time to the next look after one that was not answered.
	LookRetry = 200 * time.Millisecond
	// notedTime is how long the next look waits for the leader to note the ends of the
	// last one; until then the worker would list them again at once.
	notedTime = 200 * time.Millisecond
	// reportGap is the least time between two reports, in which what happens gathers.
	reportGap = 12 * time.Millisecond
	// maxOrders bounds the orders that are under way at once.
	maxOrders = 64
	// quietTime is how long after the leader's last word its workers are left alone, and
	// its session is over.
	quietTime = 10 * time.Second
)

// Workers calls workers.
type Workers interface {
	Look(ctx context.Context, to netip.AddrPort, id string, h platform.Hold) (ladderflow.Look, error)
	Start(ctx context.Context, to netip.AddrPort, id string, s ladderflow.Start) (ladderflow.Refusal, error)
	Stop(ctx context.Context, to netip.AddrPort, id string, r ladderflow.Run, fence int64) (ladderflow.Refusal, error)
	Pace(ctx context.Context, to netip.AddrPort, id string, r ladderflow.Run, percent int, fence int64) (ladderflow.Refusal, error)
}

// Log takes structured lines.
type Log interface {
	Info(msg any, keyvals ...any)
	Debug(msg any, keyvals ...any)
}

// Delegate holds workers for the leader. Create one with [New]. It is safe for concurrent
// use.
type Delegate struct {
	workers Workers
	clock   ladderclock.Clock
	boot    ladderclock.Boot
	log     Log

	mu      sync.Mutex
	session *session
}

// New returns a delegate that serves nobody yet.
func New(w Workers, clock ladderclock.Clock, boot ladderclock.Boot, log Log) *Delegate {
	return &Delegate{workers: w, clock: clock, boot: boot, log: log}
}

// session is the time during which a delegate serves one leader.
type session struct {
	delegate *Delegate
	name     string
	fence    int64
	ctx      context.Context
	cancel   context.CancelFunc
	slots    chan struct{}
	// changed wakes who waits for something to report.
	changed chan struct{}

	mu      sync.Mutex
	valid   time.Duration
	word    time.Duration
	hold    time.Duration
	charges map[string]*charge
	looks   []laddermessage.LookReport
	results []laddermessage.OrderReport
	// last is the report that the leader may not have.
	last laddermessage.Report
}

// Errands takes the leader's errands. It is false when the delegate serves a newer leader.
func (d *Delegate) Errands(m laddermessage.Errands) bool {
	s, ok := d.serve(m.Fence)
	if !ok {
		return false
	}
	s.prolong(m.Valid)
	s.take(m)
	return true
}

// Inquire returns what has happened since the leader's last report, as soon as there is
// something. It is false when the delegate serves a newer leader.
func (d *Delegate) Inquire(ctx context.Context, m laddermessage.Inquire) (laddermessage.Report, bool) {
	heard := d.boot.SinceBoot()
	s, ok := d.serve(m.Fence)
	if !ok {
		return laddermessage.Report{}, false
	}
	s.prolong(m.Valid)
	s.wait(ctx, m)
	r := s.report(m.After)
	r.Heard, r.Clock = heard, d.boot.SinceBoot()
	return r, s.ctx.Err() == nil
}

// serve returns the session of a leader, which is a new one where the leader is new.
func (d *Delegate) serve(fence int64) (*session, bool) {
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
		delegate: d, name: rand.Text(), fence: fence, slots: make(chan struct{}, maxOrders),
		changed: make(chan struct{}, 1), charges: map[string]*charge{}, word: d.boot.SinceBoot(),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	d.session = s
	d.log.Info("holds workers for a leader", "fence", fence, "session", s.name)
	go s.end()
	return s, true
}

// Close leaves all workers.
func (d *Delegate) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.session != nil {
		d.session.cancel()
	}
}

// end closes a session of which the leader has not been heard for a while.
func (s *session) end() {
	for {
		s.mu.Lock()
		left := s.word + quietTime - s.delegate.boot.SinceBoot()
		s.mu.Unlock()
		if left <= 0 {
			s.delegate.log.Info("leader was not heard of; its workers are left", "fence", s.fence)
			s.cancel()
			return
		}
		select {
		case <-s.ctx.Done():
			return
		case <-s.delegate.clock.After(left):
		}
	}
}

// prolong takes in how long the leader lets its workers be held.
func (s *session) prolong(valid time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.valid = max(s.valid, valid)
	s.word = s.delegate.boot.SinceBoot()
}

// take begins what errands ask for.
func (s *session) take(m laddermessage.Errands) {
	s.mu.Lock()
	s.hold = m.Hold
	for _, c := range m.Charges {
		if old, ok := s.charges[c.Worker]; ok && old.address == c.Address {
			old.note(c)
			continue
		} else if ok {
			old.cancel()
		}
		s.charges[c.Worker] = newCharge(s, c)
	}
	for _, id := range m.Dismissed {
		if old, ok := s.charges[id]; ok {
			old.cancel()
			delete(s.charges, id)
		}
	}
	s.mu.Unlock()
	for _, o := range m.Starts {
		go s.order(m, o.Worker, o.Start.Run, false, func(ctx context.Context) (ladderflow.Refusal, error) {
			return s.delegate.workers.Start(ctx, o.Address, o.Worker, o.Start)
		})
	}
	for _, o := range m.Stops {
		go s.order(m, o.Worker, o.Run, true, func(ctx context.Context) (ladderflow.Refusal, error) {
			return s.delegate.workers.Stop(ctx, o.Address, o.Worker, o.Run, s.fence)
		})
	}
	for _, o := range m.Paces {
		go s.pace(m, o)
	}
}

// order sends one order, unless it is void by its turn, and reports its answer.
func (s *session) order(
	m laddermessage.Errands, worker string, run ladderflow.Run, stop bool,
	send func(context.Context) (ladderflow.Refusal, error),
) {
	r := laddermessage.OrderReport{Worker: worker, Run: run, Stop: stop}
	began := s.delegate.clock.Now()
	refusal, err := s.send(m, send)
	r.Took = s.delegate.clock.Now().Sub(began)
	r.Refusal, r.Unsent = refusal, errors.Is(err, platform.ErrUnsent)
	r.Unknown = err != nil && !r.Unsent
	s.add(func() { s.results = append(s.results, r) })
}

func (s *session) send(m laddermessage.Errands, send func(context.Context) (ladderflow.Refusal, error)) (ladderflow.Refusal, error) {
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-s.ctx.Done():
		return ladderflow.NotRefused, platform.ErrUnsent
	}
	// The clock is read after all waiting, and again by nobody: what follows is the call.
	if s.delegate.boot.SinceBoot() >= m.Void || s.ctx.Err() != nil {
		return ladderflow.NotRefused, platform.ErrUnsent
	}
	ctx, cancel := context.WithTimeout(s.ctx, m.Within)
	defer cancel()
	return send(ctx)
}

// pace changes a pace. What became of it shows in the looks.
func (s *session) pace(m laddermessage.Errands, o laddermessage.PaceErrand) {
	refusal, err := s.send(m, func(ctx context.Context) (ladderflow.Refusal, error) {
		return s.delegate.workers.Pace(ctx, o.Address, o.Worker, o.Run, o.Percent, s.fence)
	})
	s.delegate.log.Info("pace", "task", o.Run.Task, "run", o.Run.Number, "worker", o.Worker, "percent", o.Percent,
		"refusal", refusal, "err", err)
}

// add adds to what is reported next.
func (s *session) add(f func()) {
	s.mu.Lock()
	f()
	s.mu.Unlock()
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// wait returns once there is something to report, and some time for more has passed.
func (s *session) wait(ctx context.Context, m laddermessage.Inquire) {
	limit := s.delegate.clock.After(m.Wait)
	for {
		s.mu.Lock()
		ready := len(s.looks) > 0 || len(s.results) > 0 || s.last.Number > m.After
		s.mu.Unlock()
		if ready {
			break
		}
		select {
		case <-s.changed:
		case <-limit:
			return
		case <-ctx.Done():
			return
		case <-s.ctx.Done():
			return
		}
	}
	select {
	case <-s.delegate.clock.After(reportGap):
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
}

// report returns what the leader does not have yet: the last report again when it asks
// for that, together with what has come since.
func (s *session) report(after int64) laddermessage.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := laddermessage.Report{Session: s.name, Number: s.last.Number + 1, Looks: s.looks, Results: s.results}
	if s.last.Number > after {
		r.Looks = slices.Concat(s.last.Looks, s.looks)
		r.Results = slices.Concat(s.last.Results, s.results)
	}
	s.looks, s.results = nil, nil
	s.last = r
	return r
}
