package ladderplan

import (
	"time"

	"lacewingladder/ladderflow"
)

// refusalExcludeTime is how long a worker gets no new tasks after it refused a start, or a start was
// not sent to it. It is about the time between two polls. A refusal that concerns only the run, its
// ticket or the fencing token does not exclude the worker.
const refusalExcludeTime = 700 * time.Millisecond

// Result is the outcome of an order.
type Result struct {
	// Refusal is set if the worker refused the order and did nothing.
	Refusal ladderflow.Refusal
	// Unsent is true if the order did not reach the worker.
	Unsent bool
	// Unknown is true if the outcome of the order is unknown.
	Unknown bool
	// Clock is the reading of the worker's clock in its reply to a start, or zero if there is none.
	Clock time.Duration
}

func (r Result) succeeded() bool {
	return r.Refusal == ladderflow.NotRefused && !r.Unsent && !r.Unknown
}

// StartSettled records the outcome of a start. It must be called once for each start.
func (p *Planner) StartSettled(now time.Time, worker string, name ladderflow.Run, r Result) {
	p.placementDue = p.placementDue || p.startLimitReached()
	p.unanswered--
	w, ok := p.workers[worker]
	if !ok {
		return
	}
	switch {
	case r.succeeded():
		w.acknowledgeGuard.StartAccepted(now, r.Clock)
	case r.Unknown:
		w.acknowledgeGuard.StartUnanswered(now)
	default:
		w.acknowledgeGuard.StartHadNoEffect()
	}
	x, ok := w.runs[name]
	if !ok || x.confirmed {
		return
	}
	x.startSettledAt = now
	if p.window.settled(now, r, now.Sub(x.startedAt)) {
		p.log.Info("bound of unanswered starts reduced", "bound", p.window.size, "unanswered", p.unanswered,
			"took", now.Sub(x.startedAt).Round(time.Millisecond), "reason", r.Refusal, "unknown", r.Unknown)
	}
	switch {
	case r.succeeded():
		x.confirm()
		if x.phase == phaseSent {
			x.phase = phaseRunning
		}
		x.startedAt, x.progressedAt = now, now
		w.releasesStale = true
	case r.Unknown:
		p.log.Warn("start was not answered; polling the worker", "task", name.Task, "run", name.Number, "worker", worker)
		if x.phase == phaseSent {
			x.phase = phaseUnconfirmed
		}
		p.orders.Polls = append(p.orders.Polls, worker)
	default:
		p.startFailed(now, w, x, r)
	}
}

// startFailed handles a start that the worker did not carry out.
func (p *Planner) startFailed(now time.Time, w *worker, x *run, r Result) {
	p.placementDue = true
	p.log.Info("start was refused or not sent", "task", x.name.Task, "run", x.name.Number, "worker", w.spec.ID,
		"reason", r.Refusal, "unsent", r.Unsent)
	w.removeRun(x)
	p.logCancelledRun(now, x, "its start had no effect")
	t := x.task
	switch {
	case r.Unsent, r.Refusal == ladderflow.RefusedOther, r.Refusal == ladderflow.RefusedExpired:
		w.excludedUntil, p.pools.stale = later(w.excludedUntil, now.Add(refusalExcludeTime)), true
		p.orders.Polls = append(p.orders.Polls, w.spec.ID)
	case r.Refusal == ladderflow.RefusedFenced:
		p.superseded = true
	case r.Refusal == ladderflow.RefusedNoCapacity:
		w.excludedUntil, p.pools.stale = later(w.excludedUntil, now.Add(refusalExcludeTime)), true
		p.orders.Polls = append(p.orders.Polls, w.spec.ID)
	case r.Refusal == ladderflow.RefusedTicket && t != nil && p.queue(t.step.round.job).Advice != nil:
		t.step.tickets.invalidate(w)
	case r.Refusal == ladderflow.RefusedTicket:
		// No ticket is to be had, so that the same start would be refused again at once.
		w.excludedUntil, p.pools.stale = later(w.excludedUntil, now.Add(refusalExcludeTime)), true
	}
	if t != nil && t.step.spec.Gang && t.step.round.job.active() {
		p.stopGang(now, t.step)
	}
}

// StopSettled records the outcome of a stop.
func (p *Planner) StopSettled(now time.Time, worker string, name ladderflow.Run, r Result) {
	w, ok := p.workers[worker]
	if !ok {
		return
	}
	x, ok := w.runs[name]
	if !ok {
		return
	}
	switch {
	case r.Refusal == ladderflow.RefusedFenced:
		p.superseded = true
	case (r.Unknown || r.Unsent) && !w.unresponsive:
		x.stopSentAt = time.Time{}
		p.stopRun(now, x, "its stop was not answered")
	case r.succeeded() || r.Refusal == ladderflow.RefusedOldRun:
		if x.stopAnsweredAt.IsZero() {
			x.stopAnsweredAt = now
		}
		if !x.confirmed {
			p.orders.Polls = append(p.orders.Polls, worker)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
