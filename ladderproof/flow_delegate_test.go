package ladderproof

import (
	"time"

	"pgregory.net/rapid"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderplan"
)

// flowDelegatePause is the longest time between two answered polls of a delegate that may poll and whose
// polls do not fail: those of ladderdelegate wait 1 s, time out after another 0.45 s, and are at most
// 0.2 s apart.
const flowDelegatePause = 1650 * time.Millisecond

// flowAssignment is a worker that a delegate polls for a leader. It follows the rules of
// package ladderdelegate.
type flowAssignment struct {
	leader *flowLeader
	worker *flowWorker
	// validUntil is when the delegate must stop polling the worker.
	validUntil time.Time
	// acknowledged is the highest sequence number of an ended run that the leader has
	// acknowledged, and incarnation is the incarnation of the worker that assigned that number.
	acknowledged int64
	incarnation  int64
	// polledIncarnation is the worker's incarnation at the last poll, or 0, and polledClock is the
	// worker's clock then, at polledAt.
	polledIncarnation int64
	polledClock       time.Duration
	polledAt          time.Time
	// guard decides whether a poll may acknowledge ends. All starts of the leader to the worker
	// go through the delegate.
	guard ladderflow.AcknowledgeGuard
	// reports are the poll results that the leader has not received yet, oldest first.
	reports []flowReport
}

// flowReport is the result of a delegate's poll, and the time at which the poll was sent.
type flowReport struct {
	sent   time.Time
	status ladderflow.StatusReport
}

// assignment returns the assignment of a worker to a leader's delegate, and creates it on
// first use.
func (sim *flowSimulation) assignment(l *flowLeader, w *flowWorker) *flowAssignment {
	for _, a := range sim.assignments {
		if a.leader == l && a.worker == w {
			return a
		}
	}
	a := &flowAssignment{leader: l, worker: w}
	sim.assignments = append(sim.assignments, a)
	return a
}

// startSettled records the result of a start that the delegate has sent.
func (a *flowAssignment) startSettled(now time.Time, r ladderplan.Result) {
	switch {
	case r.Unknown:
		a.guard.StartUnanswered(now)
	case r.Unsent, r.Refusal != ladderflow.NotRefused:
		a.guard.StartHadNoEffect()
	default:
		a.guard.StartAccepted(now, r.Clock)
	}
}

// delegateRenewal lets a delegate poll a worker and renew its lease for span, but not beyond
// the time at which the leader must stop acting.
func (sim *flowSimulation) delegateRenewal(l *flowLeader, w *flowWorker, span time.Duration) {
	if l.confidence(sim.now) == 0 {
		return
	}
	valid := sim.now.Add(span)
	if !l.actsUntil.IsZero() && l.actsUntil.Before(valid) {
		valid = l.actsUntil
	}
	a := sim.assignment(l, w)
	if valid.After(a.validUntil) {
		a.validUntil = valid
	}
	a.incarnation, a.acknowledged = l.planner.Acknowledged(w.id)
	l.planner.DelegateLease(sim.now, w.id, a.validUntil.Sub(sim.now))
}

// delegatePoll lets a delegate poll its worker and queues the result for the leader. The
// worker receives the poll now. The delegate sent it before, by the duration delay.
func (sim *flowSimulation) delegatePoll(a *flowAssignment, delay time.Duration) {
	if !sim.now.Before(a.validUntil) {
		return
	}
	if sim.now.Sub(a.polledAt) > flowDelegatePause {
		a.polledIncarnation = 0
	}
	if !a.worker.reaches(a.polledIncarnation) {
		a.polledIncarnation = 0
		a.leader.planner.PollFailed(a.worker.id, false)
		return
	}
	acknowledged, until := int64(0), time.Duration(0)
	if a.polledIncarnation != 0 {
		until = a.polledClock + sim.now.Sub(a.polledAt) + flowWorkerLease
		if a.incarnation == a.polledIncarnation && a.guard.MayAcknowledge() {
			acknowledged = a.acknowledged
		}
	}
	sim.acknowledgeUpTo(a.worker, a.leader.fence, acknowledged)
	status, ok := a.worker.status(sim.now, a.leader.fence, acknowledged, until)
	if !ok {
		a.leader.planner.PollFailed(a.worker.id, true)
		return
	}
	a.guard.PollAnswered(sim.now.Add(-delay), status.Clock, a.polledIncarnation != status.Incarnation)
	a.polledIncarnation, a.polledClock, a.polledAt = status.Incarnation, status.Clock, sim.now
	sim.tracef("delegate polls %s for leader %d: until %v, running %v, ended %v", a.worker.id, a.leader.fence, until, status.Running, status.Ended)
	a.reports = append(a.reports, flowReport{sent: sim.now.Add(-delay), status: status})
}

// report delivers the oldest queued report to the leader.
func (sim *flowSimulation) report(a *flowAssignment) {
	if len(a.reports) == 0 {
		return
	}
	r := a.reports[0]
	a.reports = a.reports[1:]
	sim.tracef("delegate reports %s to leader %d: sent %v, running %v, ended %v", a.worker.id, a.leader.fence, r.sent.Sub(time.UnixMilli(1_000_000)), r.status.Running, r.status.Ended)
	sim.receive(a.leader, a.worker, r.sent, r.status)
	if remaining := a.validUntil.Sub(sim.now); remaining > 0 {
		a.leader.planner.DelegateLease(sim.now, a.worker.id, remaining)
	}
}

// pollOthers polls all workers except one, then lets the leader plan and delivers its orders.
func (sim *flowSimulation) pollOthers(l *flowLeader, except *flowWorker) {
	for _, w := range sim.workers {
		if w != except {
			sim.poll(l, w)
		}
	}
	before := len(sim.orders)
	sim.plan(l)
	for _, o := range sim.orders[before:] {
		sim.deliver(o, true)
	}
}

// delegateActions returns the actions of delegates.
func (sim *flowSimulation) delegateActions() map[string]func(*rapid.T) {
	drawn := func(t *rapid.T) *flowAssignment { return sim.assignment(sim.leader(t), sim.worker(t)) }
	return map[string]func(*rapid.T){
		"entrust": func(t *rapid.T) {
			sim.delegateRenewal(sim.leader(t), sim.worker(t), time.Duration(rapid.IntRange(100, 1200).Draw(t, "ms"))*time.Millisecond)
		},
		"delegate look": func(t *rapid.T) {
			sim.advance(time.Millisecond)
			sim.delegatePoll(drawn(t), time.Duration(rapid.IntRange(0, 20).Draw(t, "late"))*time.Millisecond)
		},
		"report": func(t *rapid.T) { sim.report(drawn(t)) },
		"fall silent": func(t *rapid.T) {
			// A delegate renews a lease as late as it may and then fails without reporting the
			// renewal, so the leader does not learn how long the lease lasts.
			a := drawn(t)
			sim.poll(a.leader, a.worker)
			sim.delegateRenewal(a.leader, a.worker, time.Second)
			sim.delegatePoll(a, 0)
			sim.advance(990 * time.Millisecond)
			sim.check()
			sim.delegatePoll(a, 0)
			a.reports, a.polledIncarnation = nil, 0
			a.leader.planner.PollFailed(a.worker.id, false)
			for range rapid.IntRange(1, 7).Draw(t, "seconds") {
				sim.advance(900 * time.Millisecond)
				sim.check()
				sim.pollOthers(a.leader, a.worker)
			}
		},
		"lose reports": func(t *rapid.T) {
			a := drawn(t)
			a.reports, a.polledIncarnation = nil, 0
		},
	}
}
