package ladderplan

import (
	"time"

	"lacewingladder/ladderflow"
)

// refusedTime is how long a worker that refused an order for its own sake takes no
// new task: about one look.
const refusedTime = 700 * time.Millisecond

// Result is the answer to an order.
type Result struct {
	// Refusal is set when the worker did nothing.
	Refusal ladderflow.Refusal
	// Unsent is true when the order did not reach the worker.
	Unsent bool
	// Unknown is true when the order's fate is not known.
	Unknown bool
}

func (r Result) good() bool { return r.Refusal == ladderflow.NotRefused && !r.Unsent && !r.Unknown }

// Started takes in the answer to a start, or that none will come. It is called once for
// each start.
func (p *Planner) Started(now time.Time, worker string, name ladderflow.Run, r Result) {
	p.moved = p.moved || p.full()
	p.unanswered--
	w, ok := p.workers[worker]
	if !ok {
		return
	}
	x, ok := w.runs[name]
	if !ok || x.answered {
		return
	}
	x.settled = now
	switch {
	case r.good():
		x.answered = true
		if x.phase == sent {
			x.phase = live
		}
		x.began, x.moved = now, now
	case r.Unknown:
		p.log.Warn("start was not answered", "task", name.Task, "run", name.Number, "worker", worker)
		if x.phase == sent {
			x.phase = unsure
		}
		p.orders.Looks = append(p.orders.Looks, worker)
	default:
		p.notStarted(now, w, x, r)
	}
}

// notStarted takes in that a worker did nothing.
func (p *Planner) notStarted(now time.Time, w *worker, x *run, r Result) {
	p.moved = true
	p.log.Info("start was refused", "task", x.name.Task, "run", x.name.Number, "worker", w.spec.ID,
		"reason", r.Refusal, "unsent", r.Unsent)
	w.remove(x)
	t := x.task
	switch {
	case r.Unsent, r.Refusal == ladderflow.RefusedOther, r.Refusal == ladderflow.RefusedLate:
		w.avoid = later(w.avoid, now.Add(refusedTime))
		p.orders.Looks = append(p.orders.Looks, w.spec.ID)
	case r.Refusal == ladderflow.RefusedFence:
		p.deposed = true
	case r.Refusal == ladderflow.RefusedRoom:
		w.avoid = later(w.avoid, now.Add(refusedTime))
		p.orders.Looks = append(p.orders.Looks, w.spec.ID)
	case r.Refusal == ladderflow.RefusedTicket && t != nil:
		t.step.tickets.drop(w.spec.ID)
	}
	if t != nil && t.step.spec.Gang && t.step.round.job.live() {
		p.breakGang(now, t.step)
	}
}

// Stopped takes in the answer to a stop.
func (p *Planner) Stopped(now time.Time, worker string, name ladderflow.Run, r Result) {
	w, ok := p.workers[worker]
	if !ok {
		return
	}
	x, ok := w.runs[name]
	if !ok {
		return
	}
	switch {
	case r.Refusal == ladderflow.RefusedFence:
		p.deposed = true
	case (r.Unknown || r.Unsent) && !w.failing:
		x.stopSent = time.Time{}
		p.stop(now, x, "its stop was not answered")
	case r.good() || r.Refusal == ladderflow.RefusedOld:
		if x.stopped.IsZero() {
			x.stopped = now
		}
		if !x.answered {
			p.orders.Looks = append(p.orders.Looks, worker)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
