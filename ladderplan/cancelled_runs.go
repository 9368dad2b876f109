package ladderplan

import (
	"time"

	"lacewingladder/ladderflow"
)

// countCancelledRun counts a run that is ordered to stop, if its job was canceled.
func (p *Planner) countCancelledRun(x *run) {
	j, ok := p.jobs[x.name.Task.Job]
	if !ok || x.ofCancelledJob || j.state != ladderflow.Cancelled {
		return
	}
	x.ofCancelledJob = true
	j.cancelledRuns++
	j.cancelledRunsLeft++
}

// logCancelledRun logs that no known run of a canceled job is left, if x, which is gone, was the last one.
func (p *Planner) logCancelledRun(now time.Time, x *run, how string) {
	j, ok := p.jobs[x.name.Task.Job]
	if !ok || !x.ofCancelledJob {
		return
	}
	x.ofCancelledJob = false
	if j.cancelledRunsLeft--; j.cancelledRunsLeft == 0 {
		p.log.Info("last run of a cancelled job is gone", "job", j.spec.ID, "runs", j.cancelledRuns, "last", x.name.Task, "run", x.name.Number,
			"worker", x.worker.spec.ID, "how", how, "after", now.Sub(j.endedAt).Round(time.Millisecond))
	}
}
