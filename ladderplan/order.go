package ladderplan

import (
	"time"

	"lacewingladder/ladderflow"
)

// refusalExcludeTime is how long a worker gets no new tasks after it refused a start for a reason
// of its own. It is about the time between two polls.
const refusedTime = 700 * time.Millisecond

// Result is the outcome of an order.
type Result struct {
	// Refusal is set if the worker refused the order and did nothing.
	Refusal ladderflow.Refusal
	// Unsent is true if the order did not reach the worker.
	Unsent bool
	// Unknown is true if the outcome of the order is unknown.
	Unknown bool
}

func (r Result) good() bool { return r.Refusal == ladderflow.NotRefused && !r.Unsent && !r.Unknown }

// Started records the outcome of a start. It must be called once for each start.
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

// startFailed handles a start that the worker did not carry out.
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

// Stopped records the outcome of a stop.
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
