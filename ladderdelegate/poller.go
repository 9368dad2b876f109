package ladderdelegate

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"lacewingladder/ladderflow"
	"lacewingladder/laddermessage"
	"lacewingladder/platform"
)

// poller polls one worker for a delegate, one poll after the other.
type poller struct {
	session *session
	worker  string
	address netip.AddrPort
	ctx     context.Context
	cancel  context.CancelFunc
	// acknowledged is the highest number of an end that the leader has acknowledged, and
	// acknowledgedIncarnation the worker's incarnation that listed the end. The session's
	// lock guards both.
	acknowledged            int64
	acknowledgedIncarnation int64
	// acknowledgeGuard decides whether a poll may acknowledge ends to the worker. The session's
	// lock guards it.
	acknowledgeGuard ladderflow.AcknowledgeGuard
	// wake receives a value when a poll may acknowledge more ends than before.
	wake chan struct{}
}

// newPoller starts to poll a worker. The caller holds the session's lock.
func newPoller(s *session, m laddermessage.Assignment) *poller {
	p := &poller{
		session: s, worker: m.Worker, address: m.Address, acknowledged: m.Acknowledged, acknowledgedIncarnation: m.Incarnation,
		wake: make(chan struct{}, 1),
	}
	p.ctx, p.cancel = context.WithCancel(s.ctx)
	go p.run()
	return p
}

// acknowledge records which ends the leader has acknowledged. The caller holds the
// session's lock.
func (p *poller) acknowledge(m laddermessage.Assignment) {
	if m.Incarnation != p.acknowledgedIncarnation {
		p.acknowledged, p.acknowledgedIncarnation = 0, m.Incarnation
	}
	p.acknowledged = max(p.acknowledged, m.Acknowledged)
	p.wakeUp()
}

// wakeUp ends the wait of awaitAcknowledgement if its condition holds now.
func (p *poller) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// workerState is what a poller knows of its worker's current incarnation.
type workerState struct {
	incarnation int64
	// workerClock is the worker's clock in its latest response, and receivedAt is when
	// that arrived.
	workerClock time.Duration
	receivedAt  time.Time
	// lastEnd is the highest number of an end that the worker has listed.
	lastEnd int64
	// answered is true if the latest poll was answered.
	answered bool
}

// run polls the worker until the poller's context is canceled.
func (p *poller) run() {
	d := p.session.delegate
	var current workerState
	for p.ctx.Err() == nil {
		request, allowed := p.nextPoll(current, d.clock.Now())
		if !allowed {
			// The leader's permission has expired, so the worker's lease must not be renewed. The worker
			// may restart before the next poll.
			current.answered = false
			p.pause(PollRetryDelay)
			continue
		}
		sent, sentAt := d.boot.SinceBoot(), d.clock.Now()
		ctx, cancel := context.WithTimeout(p.ctx, request.Wait+PollTimeoutSlack)
		status, err := d.workers.Poll(ctx, p.address, p.worker, request)
		cancel()
		if p.ctx.Err() != nil {
			return
		}
		p.session.addToReport(func() {
			p.session.polls = append(p.session.polls, laddermessage.PollResult{
				Worker: p.worker, SentAt: sent, Outcome: pollOutcome(err), Status: status,
			})
		})
		if err != nil {
			current.answered = false
			p.pause(PollRetryDelay)
			continue
		}
		restarted := status.Incarnation != current.incarnation
		if restarted {
			current = workerState{incarnation: status.Incarnation}
		}
		p.session.mu.Lock()
		p.acknowledgeGuard.PollAnswered(sentAt, status.Clock, restarted)
		p.session.mu.Unlock()
		current.workerClock, current.receivedAt, current.answered = status.Clock, d.clock.Now(), true
		for _, e := range status.Ended {
			current.lastEnd = max(current.lastEnd, e.Sequence)
		}
		p.awaitAcknowledgement(current)
	}
}

// nextPoll returns the parameters of the next poll. It reports false if the leader does
// not currently permit the delegate to renew leases.
func (p *poller) nextPoll(current workerState, now time.Time) (platform.PollRequest, bool) {
	s := p.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delegate.boot.SinceBoot() >= s.renewUntil {
		return platform.PollRequest{}, false
	}
	request := platform.PollRequest{Fence: s.fence}
	if !current.answered {
		return request, true
	}
	if p.mayAcknowledge(current) {
		request.Acknowledged = p.acknowledged
	}
	request.Incarnation = current.incarnation
	request.LeaseUntil = current.workerClock + now.Sub(current.receivedAt) + s.workerLease
	if request.Acknowledged >= current.lastEnd {
		request.Wait = PollWait
	}
	return request, true
}

// mayAcknowledge reports whether the next poll may acknowledge the ends that the leader has
// acknowledged. Each incarnation numbers its ends anew. The caller holds the session's lock.
func (p *poller) mayAcknowledge(current workerState) bool {
	return p.acknowledgedIncarnation == current.incarnation && p.acknowledgeGuard.MayAcknowledge()
}

// awaitAcknowledgement waits until the next poll may acknowledge all ends that the worker
// has listed, for at most acknowledgeTimeout.
func (p *poller) awaitAcknowledgement(current workerState) {
	timeout := p.session.delegate.clock.After(acknowledgeTimeout)
	for {
		p.session.mu.Lock()
		done := p.mayAcknowledge(current) && p.acknowledged >= current.lastEnd || current.lastEnd == 0
		p.session.mu.Unlock()
		if done {
			return
		}
		select {
		case <-p.wake:
		case <-timeout:
			return
		case <-p.ctx.Done():
			return
		}
	}
}

// pause waits for the given time or until the poller's context is canceled.
func (p *poller) pause(d time.Duration) {
	select {
	case <-p.ctx.Done():
	case <-p.session.delegate.clock.After(d):
	}
}

// pollOutcome returns the outcome of a poll that returned err. A status report that could
// be decoded only in part counts as failed.
func pollOutcome(err error) laddermessage.PollOutcome {
	switch {
	case err == nil:
		return laddermessage.PollAnswered
	case errors.Is(err, platform.ErrFenced):
		return laddermessage.PollFenced
	case errors.Is(err, platform.ErrOtherWorker):
		return laddermessage.PollOtherWorker
	}
	if platform.Reached(err) {
		return laddermessage.PollUnanswered
	}
	return laddermessage.PollFailed
}
