package ladderplan

import (
	"slices"
	"time"

	"lacewingladder/ladderflow"
)

// lostRun describes a run that was given up without a listed end.
type lostRun struct {
	why string
	at  time.Time
	// leaseLeft is how long the worker's lease could still last by then. It is negative if the lease had
	// expired beyond doubt.
	leaseLeft time.Duration
}

// dropLostRuns removes runs that are gone without a listed end.
func (p *Planner) dropLostRuns(now time.Time, w *worker, why string, runs ...*run) {
	p.placementDue = true
	left := p.leaseLeft(now, w)
	if w.lost == nil && len(runs) > 0 {
		w.lost = map[ladderflow.Run]lostRun{}
	}
	for _, x := range runs {
		p.log.Info("run was lost", "task", x.name.Task, "run", x.name.Number, "worker", w.spec.ID, "why", why,
			"leaseLeft", left.Round(time.Millisecond), "confirmed", x.confirmed)
		w.lost[x.name] = lostRun{why: why, at: now, leaseLeft: left}
		w.removeRun(x)
		p.logCancelledRun(now, x, why)
	}
	for _, x := range runs {
		if t := x.task; t != nil && t.step.spec.Gang && t.step.round.job.active() {
			p.stopGangRun(now, t.step, x.name.Number)
		}
	}
}

// logReturned logs that a worker lists a run, or its end, that was given up. State is the reason of the
// end, or "running".
func (p *Planner) logReturned(now time.Time, w *worker, name ladderflow.Run, state string) {
	l, ok := w.lost[name]
	if !ok {
		return
	}
	delete(w.lost, name)
	p.log.Warn("run that was given up is listed again", "task", name.Task, "run", name.Number, "worker", w.spec.ID,
		"state", state, "why", l.why, "after", now.Sub(l.at).Round(time.Millisecond), "leaseLeft", l.leaseLeft.Round(time.Millisecond))
}

// logSuccess logs the successful end of a run whose task has succeeded before, or has another run.
func (p *Planner) logSuccess(w *worker, t *task, e ladderflow.EndedRun) {
	other := slices.IndexFunc(t.runs, func(x *run) bool { return x.name.Number != e.Run.Number || x.worker != w })
	switch {
	case t.step.spec.Gang:
	case t.done:
		p.log.Warn("task has succeeded more than once", "task", e.Run.Task, "run", e.Run.Number, "worker", w.spec.ID)
	case other >= 0:
		x := t.runs[other]
		p.log.Warn("task has succeeded and has another run", "task", e.Run.Task, "run", e.Run.Number, "worker", w.spec.ID,
			"otherRun", x.name.Number, "otherWorker", x.worker.spec.ID)
	}
}
