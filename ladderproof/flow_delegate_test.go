package ladderproof

import (
	"time"

	"pgregory.net/rapid"

	"lacewingladder/ladderflow"
)

// flowCharge is a worker that a delegate holds for a leader, as ladderdelegate does it.
type flowCharge struct {
	leader *flowLeader
	worker *flowWorker
	// valid is until when the delegate may hold the worker; noted is the highest end that
	// the leader has noted, of the life born.
	valid time.Time
	noted int64
	born  int64
	// seen is the life that the delegate has looked at before.
	seen int64
	// reports are looks that the leader has not heard of yet.
	reports []flowReport
}

// flowReport is a look as a delegate reports it.
type flowReport struct {
	sent time.Time
	look ladderflow.Look
}

// charge returns the charge of a leader's delegate for a worker.
func (w *flowWorld) charge(l *flowLeader, x *flowWorker) *flowCharge {
	for _, c := range w.charges {
		if c.leader == l && c.worker == x {
			return c
		}
	}
	c := &flowCharge{leader: l, worker: x}
	w.charges = append(w.charges, c)
	return c
}

// entrust lets a delegate hold a worker for a while, but no longer than the leader may
// believe that it leads.
func (w *flowWorld) entrust(l *flowLeader, x *flowWorker, span time.Duration) {
	if l.right(w.now) == 0 {
		return
	}
	valid := w.now.Add(span)
	if !l.until.IsZero() && l.until.Before(valid) {
		valid = l.until
	}
	c := w.charge(l, x)
	if valid.After(c.valid) {
		c.valid = valid
	}
	c.born, c.noted = l.planner.Noted(x.id)
	l.planner.Entrust(w.now, x.id, c.valid.Sub(w.now))
}

// delegateLook lets a delegate look at its worker. What it saw waits to be reported.
func (w *flowWorld) delegateLook(c *flowCharge, late time.Duration) {
	if !w.now.Before(c.valid) {
		return
	}
	noted, until := int64(0), time.Duration(0)
	if c.seen == c.worker.born {
		until = c.worker.clock(w.now) + flowHold
		if c.born == c.worker.born {
			noted = c.noted
		}
	}
	w.noteUpTo(c.worker, c.leader.fence, noted)
	look, ok := c.worker.look(w.now, c.leader.fence, noted, until)
	if !ok {
		c.leader.planner.LookFailed(c.worker.id, true)
		return
	}
	c.seen = c.worker.born
	w.tracef("delegate's look at %s for %d: until %v, running %v, ended %v", c.worker.id, c.leader.fence, until, look.Running, look.Ended)
	c.reports = append(c.reports, flowReport{sent: w.now.Add(-late), look: look})
}

// report lets a leader hear the first look that it has not heard of.
func (w *flowWorld) report(c *flowCharge) {
	if len(c.reports) == 0 {
		return
	}
	r := c.reports[0]
	c.reports = c.reports[1:]
	w.tracef("report of %s to %d: sent %v, running %v, ended %v", c.worker.id, c.leader.fence, r.sent.Sub(time.UnixMilli(1_000_000)), r.look.Running, r.look.Ended)
	c.leader.planner.Looked(w.now, c.worker.id, r.sent, r.look)
	if left := c.valid.Sub(w.now); left > 0 {
		c.leader.planner.Entrust(w.now, c.worker.id, left)
	}
}

// lookOthers looks at all workers but one, and lets the leader start what it will.
func (w *flowWorld) lookOthers(l *flowLeader, but *flowWorker) {
	for _, x := range w.workers {
		if x != but {
			w.look(l, x)
		}
	}
	before := len(w.orders)
	w.plan(l)
	for _, o := range w.orders[before:] {
		w.deliver(o, true)
	}
}

// delegateActions are what delegates do.
func (w *flowWorld) delegateActions() map[string]func(*rapid.T) {
	picked := func(t *rapid.T) *flowCharge { return w.charge(w.leader(t), w.worker(t)) }
	return map[string]func(*rapid.T){
		"entrust": func(t *rapid.T) {
			w.entrust(w.leader(t), w.worker(t), time.Duration(rapid.IntRange(100, 1200).Draw(t, "ms"))*time.Millisecond)
		},
		"delegate look": func(t *rapid.T) {
			w.pass(time.Millisecond)
			w.delegateLook(picked(t), time.Duration(rapid.IntRange(0, 20).Draw(t, "late"))*time.Millisecond)
		},
		"report": func(t *rapid.T) { w.report(picked(t)) },
		"fall silent": func(t *rapid.T) {
			// A delegate prolongs a lease as late as it may, and is not heard of again.
			c := picked(t)
			w.look(c.leader, c.worker)
			w.entrust(c.leader, c.worker, time.Second)
			w.delegateLook(c, 0)
			w.pass(990 * time.Millisecond)
			w.check()
			w.delegateLook(c, 0)
			c.reports, c.seen = nil, 0
			c.leader.planner.LookFailed(c.worker.id, false)
			for range rapid.IntRange(1, 7).Draw(t, "seconds") {
				w.pass(900 * time.Millisecond)
				w.check()
				w.lookOthers(c.leader, c.worker)
			}
		},
		"lose reports": func(t *rapid.T) {
			c := picked(t)
			c.reports, c.seen = nil, 0
		},
	}
}
