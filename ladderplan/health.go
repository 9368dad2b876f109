package ladderplan

import (
	"time"

	"lacewingladder/ladderflow"
)

const (
	// A run is stalled if its progress does not change for stallTime plus stallShare of its
	// expected duration. Workers report progress in whole percent, with each poll.
	stallTime  = 1300 * time.Millisecond
	stallShare = 0.04
	// excludeTime is how long a worker is excluded after a fault. It doubles with each further
	// fault up to maxExcludeTime, which is short so that a worker that has recovered is soon used
	// again.
	avoidTime = time.Second
	maxAvoid  = 4 * time.Second
	// probationTime is how long a worker stays on probation after its exclusion. It gets only one
	// task at a time during that time. A run that succeeds ends the probation early.
	forgiveTime = 4 * time.Second
	// minFailedJobs is the number of jobs that must fail on a worker before it is excluded, without
	// a success in between. A single failing job may itself be at fault.
	blamedJobs = 2
)

// recordProgress records the progress and tail latency that a worker reports for a run.
func (x *run) progress(now time.Time, r ladderflow.LiveRun) {
	if r.Percent != x.percent {
		x.percent, x.moved = r.Percent, now
	}
	x.tail = r.Tail
}

// stopStalledRuns stops the runs of a worker that make no progress.
func (p *Planner) watch(now time.Time, w *worker) {
	for _, x := range w.order {
		t := x.task
		if x.phase != live || t == nil || t.step.spec.Lasting || x.pace < 100 || !t.step.round.job.live() {
			continue
		}
		if x.percent >= 100 {
			continue // A member of a gang that has done its work waits for the others.
		}
		limit := stallTime + time.Duration(stallShare*float64(t.step.length()))
		if t.step.spec.Gang {
			limit *= 2 // A member may still wait for the others.
		}
		if now.Sub(x.moved) < limit {
			continue
		}
		p.log.Info("run stands still", "task", t.name(), "run", x.name.Number, "worker", w.spec.ID,
			"percent", x.percent, "since", now.Sub(x.moved).Round(time.Millisecond))
		if p.alone(now, w, x) {
			w.strike(now)
		}
		if t.step.spec.Gang {
			p.breakGang(now, t.step)
			continue
		}
		p.stop(now, x, "it stands still")
	}
}

// noOtherRunProgresses reports whether no other run on the worker makes progress. If so, the worker
// is probably at fault rather than the run.
func (p *Planner) alone(now time.Time, w *worker, x *run) bool {
	for _, o := range w.order {
		if o != x && o.phase == live && now.Sub(o.moved) < stallTime && now.Sub(o.began) > stallTime {
			return false
		}
	}
	return true
}

// backOff excludes the worker from new tasks for a while, unless it is excluded already.
func (w *worker) strike(now time.Time) {
	if now.Before(w.avoid) {
		return
	}
	w.avoid = now.Add(min(maxAvoid, avoidTime<<min(w.strikes, 4)))
	w.strikes++
}

// onProbation reports whether the worker is excluded after a fault, or was so lately and has
// completed no run since.
func (w *worker) struck(now time.Time) bool {
	return w.strikes > 0 && now.Before(w.avoid.Add(forgiveTime))
}

// recordFailure counts a failed run of a job against the worker.
func (w *worker) blame(now time.Time, job string) {
	w.blamed[job] = true
	if len(w.blamed) >= blamedJobs || w.strikes > 0 {
		w.strike(now)
	}
}

// clearFailures resets the counts of faults and failures.
func (w *worker) praise() {
	w.strikes = 0
	clear(w.blamed)
}

// evacuate stops the runs that will not end before a draining worker leaves, so that they can
// resume elsewhere from their checkpoints.
func (p *Planner) evacuate(now time.Time, w *worker) {
	left := w.leaves.Sub(now)
	for _, x := range w.order {
		t := x.task
		if t == nil || x.phase != live || !t.step.round.job.live() {
			continue
		}
		if !t.step.spec.Lasting && x.rest(now) < left {
			continue
		}
		if t.step.spec.Gang {
			p.breakGang(now, t.step)
			continue
		}
		p.stop(now, x, "its worker is leaving")
	}
}

// adjustSpeedLimits slows best-effort runs on workers where the tail latency of a long-running task
// is close to its target, and raises their speed again otherwise.
func (p *Planner) setPaces(now time.Time) {
	if now.Sub(p.paced) < paceLook {
		return
	}
	p.paced = now
	for _, w := range p.everyWorker() {
		pressed, serving := false, false
		for _, x := range w.order {
			if t := x.task; t != nil && t.step.spec.Target > 0 {
				serving = true
				pressed = pressed || x.tail > t.step.spec.Target*paceNear/100
			}
		}
		if !serving {
			continue
		}
		for _, x := range w.order {
			t := x.task
			if t == nil || !t.step.spec.Filler || x.phase != live || now.Sub(x.paced) < paceTime {
				continue
			}
			next := min(100, x.pace+paceStep)
			if pressed {
				next = x.pace / 2
			}
			if next == x.pace {
				continue
			}
			x.pace, x.paced = next, now
			p.orders.Paces = append(p.orders.Paces, PaceOrder{Worker: w.spec, Run: x.name, Percent: next})
		}
	}
}

const (
	// nearTargetPercent is the percentage of its target from which on a task's tail latency slows
	// the best-effort runs on the same worker.
	paceNear = 85
	// speedCheckInterval is the time between two checks of the speed limits.
	paceLook = 100 * time.Millisecond
	// minSpeedChangeInterval is the least time between two changes of a run's speed limit. The
	// effect of a change shows in the tail latency after half a second.
	paceTime = 700 * time.Millisecond
	// speedStepPercent is by how much a speed limit is raised at a time.
	paceStep = 10
)
