package ladderproof

import (
	"time"

	"pgregory.net/rapid"

	"lacewingladder/ladderflow"
)

// flowAssignment is a worker that a delegate polls for a leader. It follows the rules of
// package ladderdelegate.
type flowAssignment struct {
	leader *flowLeader
	worker *flowWorker
	// validUntil is when the delegate must stop polling the worker.
	validUntil time.Time
	// acknowledged is the highest number of an ended run that the leader has acknowledged,
	// and incarnation is the worker's incarnation that counted it.
	acknowledged int64
	incarnation  int64
	// polledIncarnation is the worker's incarnation at the last poll, or 0.
	polledIncarnation int64
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
func (sim *flowSimulation) assignment(l *flowLeader, x *flowWorker) *flowAssignment {
	for _, c := range sim.assignments {
		if c.leader == l && c.worker == x {
			return c
		}
	}
	c := &flowAssignment{leader: l, worker: x}
	sim.assignments = append(sim.assignments, c)
	return c
}

// delegateRenewal lets a delegate poll a worker and renew its lease for span, but not beyond
// the time at which the leader must stop acting.
func (sim *flowSimulation) delegateRenewal(l *flowLeader, x *flowWorker, span time.Duration) {
	if l.confidence(sim.now) == 0 {
		return
	}
	valid := sim.now.Add(span)
	if !l.actsUntil.IsZero() && l.actsUntil.Before(valid) {
		valid = l.actsUntil
	}
	c := sim.assignment(l, x)
	if valid.After(c.validUntil) {
		c.validUntil = valid
	}
	c.incarnation, c.acknowledged = l.planner.Acknowledged(x.id)
	l.planner.DelegateLease(sim.now, x.id, c.validUntil.Sub(sim.now))
}

// delegatePoll lets a delegate poll its worker and queues the result for the leader. The
// worker receives the poll now, late after the delegate sent it.
func (sim *flowSimulation) delegatePoll(c *flowAssignment, late time.Duration) {
	if !sim.now.Before(c.validUntil) {
		return
	}
	acknowledged, until := int64(0), time.Duration(0)
	if c.polledIncarnation == c.worker.incarnation {
		until = c.worker.clock(sim.now) + flowWorkerLease
		if c.incarnation == c.worker.incarnation {
			acknowledged = c.acknowledged
		}
	}
	sim.acknowledgeUpTo(c.worker, c.leader.fence, acknowledged)
	status, ok := c.worker.status(sim.now, c.leader.fence, acknowledged, until)
	if !ok {
		c.leader.planner.PollFailed(c.worker.id, true)
		return
	}
	c.polledIncarnation = c.worker.incarnation
	sim.tracef("delegate polls %s for leader %d: until %v, running %v, ended %v", c.worker.id, c.leader.fence, until, status.Running, status.Ended)
	c.reports = append(c.reports, flowReport{sent: sim.now.Add(-late), status: status})
}

// report delivers the oldest queued report to the leader.
func (sim *flowSimulation) report(c *flowAssignment) {
	if len(c.reports) == 0 {
		return
	}
	r := c.reports[0]
	c.reports = c.reports[1:]
	sim.tracef("delegate reports %s to leader %d: sent %v, running %v, ended %v", c.worker.id, c.leader.fence, r.sent.Sub(time.UnixMilli(1_000_000)), r.status.Running, r.status.Ended)
	c.leader.planner.RecordReport(sim.now, c.worker.id, r.sent, r.status)
	if left := c.validUntil.Sub(sim.now); left > 0 {
		c.leader.planner.DelegateLease(sim.now, c.worker.id, left)
	}
}

// pollOthers polls all workers except one, then lets the leader plan and delivers its orders.
func (sim *flowSimulation) pollOthers(l *flowLeader, except *flowWorker) {
	for _, x := range sim.workers {
		if x != except {
			sim.poll(l, x)
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
			// A delegate renews a lease as late as it may and then fails. The leader does not
			// learn how long the lease lasts.
			c := drawn(t)
			sim.poll(c.leader, c.worker)
			sim.delegateRenewal(c.leader, c.worker, time.Second)
			sim.delegatePoll(c, 0)
			sim.advance(990 * time.Millisecond)
			sim.check()
			sim.delegatePoll(c, 0)
			c.reports, c.polledIncarnation = nil, 0
			c.leader.planner.PollFailed(c.worker.id, false)
			for range rapid.IntRange(1, 7).Draw(t, "seconds") {
				sim.advance(900 * time.Millisecond)
				sim.check()
				sim.pollOthers(c.leader, c.worker)
			}
		},
		"lose reports": func(t *rapid.T) {
			c := drawn(t)
			c.reports, c.polledIncarnation = nil, 0
		},
	}
}
