package ladderplan

import (
	"time"

	"lacewingladder/ladderwave"
)

// maintenanceTime is how long a worker whose maintenance was ordered counts as being taken down.
// After that, the worker list of the platform shows the result.
const maintenanceTime = 5 * time.Second

// SetNearMaintenance sets the workers that get no new tasks because their maintenance is near.
func (p *Planner) SetNearMaintenance(ids map[string]bool) {
	p.nearMaintenance, p.pools.stale = ids, true
}

// MaintenanceOrdered records that a worker's machine was ordered down for maintenance now.
func (p *Planner) MaintenanceOrdered(now time.Time, id string) {
	if w, ok := p.workers[id]; ok {
		w.maintenanceUntil, p.pools.stale = now.Add(maintenanceTime), true
	}
}

// WorkerLoad returns the load of a worker for maintenance planning. MustStayUp is true if taking the
// worker down would make more tasks of a long-running step unavailable at once than the step allows.
func (p *Planner) WorkerLoad(now time.Time, id string) ladderwave.WorkerLoad {
	w, ok := p.workers[id]
	if !ok {
		return ladderwave.WorkerLoad{}
	}
	l := ladderwave.WorkerLoad{}
	runsHere := map[*step]int{}
	for _, x := range w.runOrder {
		l.Demand += max(1, x.size.Processor)
		if x.task != nil && x.task.step.spec.LongRunning && x.task.step.round.job.active() {
			runsHere[x.task.step]++
		}
	}
	for s, n := range runsHere {
		if s.spec.MaxUnavailable > 0 || s.spec.LatencyTarget > 0 {
			l.MustStayUp = l.MustStayUp || s.unavailable(now, w)+n > s.spec.MaxUnavailable
		}
	}
	return l
}

// unavailable returns how many tasks of a long-running step are not serving on workers that stay
// up. Tasks with a run on the excepted worker are not counted.
func (s *step) unavailable(now time.Time, except *worker) int {
	n := 0
	for _, t := range s.tasks {
		available := false
		for _, x := range t.runs {
			available = available || x.worker == except ||
				x.phase == phaseRunning && x.percent >= 100 && now.After(x.worker.maintenanceUntil) && !x.worker.unresponsive
		}
		if !available {
			n++
		}
	}
	return n
}
