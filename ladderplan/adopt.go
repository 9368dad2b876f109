package ladderplan

import (
	"slices"
	"time"

	"lacewingladder/ladderflow"
)

// adoptOrStop handles a run that this leader did not start. It adopts the run if its task needs one
// and stops it otherwise.
func (p *Planner) adoptOrStop(now time.Time, w *worker, r ladderflow.ActiveRun) {
	x := &run{
		name: r.Run, phase: phaseRunning, confirmed: true, startSettledAt: now, startedAt: now, progressedAt: now,
		percent: -1, speedPercent: 100,
	}
	j := p.jobs[r.Run.Task.Job]
	if j != nil {
		x.task, x.team = j.find(r.Run.Task), j.spec.Team
	}
	if w.justEnded[r.Run] {
		return // The status report is from just before the run's end.
	}
	if p.unknown(r.Run.Task) {
		x.sizeUnknown = true
		w.addRun(x)
		x.recordProgress(now, r)
		p.log.Info("worker has a run of an unknown job", "task", r.Run.Task, "run", r.Run.Number, "worker", w.spec.ID)
		return
	}
	if t := x.task; t != nil {
		x.setSize(t.step.spec)
		// A run with a closed number may be on this worker although it has ended on another one: a
		// former leader has used the number as well. It occupies capacity until it has stopped.
		wanted := t.needsAdoption(r.Run.Number) && j.active() && t.step.ready && r.Run.Number > t.lastClosedRun
		w.addRun(x)
		j.started, j.begun = true, true
		x.recordProgress(now, r)
		t.recordCheckpoint(r.Checkpoint, r.Run.Number)
		if wanted {
			t.step.gang.lastRun = max(t.step.gang.lastRun, r.Run.Number)
			if t.step.spec.Gang {
				p.watchGang(now, t.step)
				p.log.Info("adopted a member of a gang", "task", r.Run.Task, "run", r.Run.Number, "worker", w.spec.ID, "percent", r.Percent,
					"checkpoint", r.Checkpoint != "")
			}
			p.log.Debug("adopted a run that an earlier leader started", "task", r.Run.Task, "run", r.Run.Number, "worker", w.spec.ID)
			return
		}
	} else {
		if j != nil && r.Run.Task.Step < len(j.spec.Steps) {
			// The job has ended, but its runs occupy capacity until they stop.
			x.setSize(&j.spec.Steps[r.Run.Task.Step])
		}
		w.addRun(x)
	}
	p.log.Info("stopping a run that an earlier leader started", "task", r.Run.Task, "run", r.Run.Number, "worker", w.spec.ID,
		"percent", r.Percent, "checkpoint", r.Checkpoint != "", "jobEnded", j == nil || !j.active())
	p.stopRun(now, x, "its task does not need it")
}

// needsAdoption reports whether a run that an earlier leader started may be the one that its task needs. A worker
// may still have a member of an earlier run of a gang whose last run is whole.
func (t *task) needsAdoption(number int) bool {
	if t.needsRun() {
		return true
	}
	return !t.done && t.step.spec.Gang && !slices.ContainsFunc(t.runs, func(x *run) bool { return x.name.Number >= number })
}
