package ladderplan

import (
	"time"

	"lacewingladder/ladderflow"
)

const (
	// A run is stalled if its progress does not change for stallTime plus stallShare of its
	// expected duration. The limit allows for the resolution of progress: workers report it in
	// whole percent, and only in status reports.
	stallTime  = 1300 * time.Millisecond
	stallShare = 0.04
	// excludeTime is how long a worker is excluded after a fault. It doubles with each further
	// fault up to maxExcludeTime, which is short so that a worker that has recovered is soon used
	// again.
	excludeTime    = time.Second
	maxExcludeTime = 4 * time.Second
	// probationTime is how long a worker stays on probation after its exclusion. It gets only one
	// task at a time during that time. A run that succeeds ends the probation early.
	probationTime = 4 * time.Second
	// minFailedJobs is the number of jobs that must fail on a worker before it is excluded, without
	// a success in between. A single failing job may itself be at fault.
	minFailedJobs = 2
)

// recordProgress records the progress and tail latency that a worker reports for a run.
func (x *run) recordProgress(now time.Time, r ladderflow.ActiveRun) {
	if r.Percent != x.percent {
		x.percent, x.progressedAt = r.Percent, now
		if x.worker != nil {
			x.worker.releasesStale = true
		}
	}
	if r.Checkpoint != x.checkpoint {
		x.savedAt = now
	}
	x.tailLatency, x.checkpoint = r.TailLatency, r.Checkpoint
}

// stopStalledRuns stops the runs of a worker that make no progress.
func (p *Planner) stopStalledRuns(now time.Time, w *worker) {
	for _, x := range w.runOrder {
		t := x.task
		if x.phase != phaseRunning || t == nil || t.step.spec.LongRunning || x.speedPercent < 100 || !t.step.round.job.active() {
			continue
		}
		if x.percent >= 100 {
			continue // A gang member that has finished its work waits for the others.
		}
		limit := stallTime + time.Duration(stallShare*float64(t.step.expectedDuration()))
		if t.step.spec.Gang {
			limit *= 2 // A member may still be waiting for the others to start.
		}
		if now.Sub(x.progressedAt) < limit {
			continue
		}
		p.log.Info("run has stalled", "task", t.name(), "run", x.name.Number, "worker", w.spec.ID,
			"percent", x.percent, "duration", now.Sub(x.progressedAt).Round(time.Millisecond))
		if p.noOtherRunProgresses(now, w, x) {
			w.backOff(now)
		}
		if t.step.spec.Gang {
			p.stopGang(now, t.step)
			continue
		}
		p.stopRun(now, x, "it has stalled")
	}
}

// noOtherRunProgresses reports whether no other run on the worker makes progress. If so, the worker
// is probably at fault rather than the run.
func (p *Planner) noOtherRunProgresses(now time.Time, w *worker, x *run) bool {
	for _, o := range w.runOrder {
		if o != x && o.phase == phaseRunning && now.Sub(o.progressedAt) < stallTime && now.Sub(o.startedAt) > stallTime {
			return false
		}
	}
	return true
}

// backOff excludes the worker from new tasks for a while, unless it is excluded already.
func (w *worker) backOff(now time.Time) {
	if now.Before(w.excludedUntil) {
		return
	}
	w.excludedUntil = now.Add(min(maxExcludeTime, excludeTime<<min(w.backOffs, 4)))
	w.backOffs++
	w.pools.stale = true
}

// onProbation reports whether the worker is excluded after a fault, or was excluded within the last
// probationTime, and no run has succeeded on it since the fault.
func (w *worker) onProbation(now time.Time) bool {
	return w.backOffs > 0 && now.Before(w.excludedUntil.Add(probationTime))
}

// recordFailure counts a failed run of a job against the worker.
func (w *worker) recordFailure(now time.Time, job string) {
	w.failedJobs[job] = true
	if len(w.failedJobs) >= minFailedJobs || w.backOffs > 0 {
		w.backOff(now)
	}
}

// clearFailures resets the counts of faults and failures.
func (w *worker) clearFailures() {
	w.pools.stale = w.pools.stale || w.backOffs > 0
	w.backOffs = 0
	clear(w.failedJobs)
}

// evacuate stops the runs that will not end before a draining worker leaves, so that they can
// resume elsewhere from their checkpoints.
func (p *Planner) evacuate(now time.Time, w *worker) {
	timeLeft := w.leavesAt.Sub(now)
	for _, x := range w.runOrder {
		t := x.task
		if t == nil || x.phase != phaseRunning || !t.step.round.job.active() {
			continue
		}
		if !t.step.spec.LongRunning && x.remaining(now) < timeLeft {
			continue
		}
		if t.step.spec.Gang {
			p.stopGang(now, t.step)
			continue
		}
		p.stopRun(now, x, "the worker is leaving")
	}
}

// adjustSpeedLimits slows best-effort runs on workers where the tail latency of a long-running task
// is close to its target, and raises their speed again otherwise.
func (p *Planner) adjustSpeedLimits(now time.Time) {
	if now.Sub(p.speedsCheckedAt) < speedCheckInterval {
		return
	}
	p.speedsCheckedAt = now
	for _, w := range p.allWorkers() {
		nearTarget, hasTarget := false, false
		for _, x := range w.runOrder {
			if t := x.task; t != nil && t.step.spec.LatencyTarget > 0 {
				hasTarget = true
				nearTarget = nearTarget || x.tailLatency > t.step.spec.LatencyTarget*nearTargetPercent/100
			}
		}
		if !hasTarget {
			continue
		}
		for _, x := range w.runOrder {
			t := x.task
			if t == nil || !t.step.spec.BestEffort || x.phase != phaseRunning || now.Sub(x.speedChangedAt) < minSpeedChangeInterval {
				continue
			}
			next := min(100, x.speedPercent+speedStepPercent)
			if nearTarget {
				next = x.speedPercent / 2
			}
			if next == x.speedPercent {
				continue
			}
			x.speedPercent, x.speedChangedAt = next, now
			p.orders.SpeedLimits = append(p.orders.SpeedLimits, SpeedLimitOrder{Worker: w.spec, Run: x.name, Percent: next})
		}
	}
}

const (
	// nearTargetPercent is a percentage of the target for a task's tail latency. While the tail
	// latency is higher, the best-effort runs on the same worker are slowed.
	nearTargetPercent = 85
	// speedCheckInterval is the time between two checks of the speed limits.
	speedCheckInterval = 100 * time.Millisecond
	// minSpeedChangeInterval is the least time between two changes of a run's speed limit. The
	// effect of a change shows in the tail latency after half a second.
	minSpeedChangeInterval = 700 * time.Millisecond
	// speedStepPercent is by how much a speed limit is raised at a time.
	speedStepPercent = 10
)
