package ladderplan

import (
	"cmp"
	"slices"
	"time"

	"lacewingladder/ladderflow"
)

const (
	// preemptDelay is how long an urgent task waits before runs are preempted for it. Many runs end
	// by themselves in that time.
	preemptDelay = 150 * time.Millisecond
	// preemptInterval is the time between two preemptions for the same step. The capacity freed by
	// the first must become visible before it is known whether more is needed.
	preemptInterval = 250 * time.Millisecond
)

// preempt stops runs of less urgent queues to free capacity for an urgent task that has waited for
// preemptDelay and can still meet its objective. For a task within the share of its team, urgent or not, it stops
// runs that are beyond the shares of other teams, if that throws less work away than the task does. It stops
// only runs that can resume elsewhere from a checkpoint, on the worker where the runs to stop have the least
// processor demand.
func (sp *stepPlacement) preempt() {
	s := sp.step
	if s.waiting == 0 || s.onlySuspectsWait() || sp.queue.Priority > 0 && !sp.mayTakeBack() || s.spec.Gang ||
		sp.now.Sub(s.readySince) < preemptDelay || sp.now.Sub(s.preemptedAt) < preemptInterval || sp.heldByQuota() {
		return
	}
	if sp.mayTakeBack() {
		s.preemptedAt = sp.now // Most such steps find none, and there may be many.
	}
	var victims []*run
	least := 0
	for w := range sp.startable() {
		if !sp.usable(w) {
			continue
		}
		list, cost, ok := sp.victims(w)
		if ok && (victims == nil || cost < least) {
			victims, least = list, cost
		}
	}
	for _, x := range victims {
		if !sp.lessUrgent(x) {
			sp.planner.teams.stopped = append(sp.planner.teams.stopped, x)
		}
		sp.planner.log.Info("preempting run", "task", x.name.Task, "run", x.name.Number, "worker", x.worker.spec.ID,
			"step", s.ref())
		why := "an urgent task needs its capacity"
		if !sp.lessUrgent(x) {
			why = "a team within its share needs its capacity"
		}
		sp.planner.stopRun(sp.now, x, why)
		x.task.preempted = true
		s.preemptedAt = sp.now
	}
}

// victims returns the runs to stop on a worker so that one task of the step fits there, the largest
// first, and their processor demand in thousandths of a core. It returns false if stopping runs
// does not suffice, or if a run is stopping already.
func (sp *stepPlacement) victims(w *worker) ([]*run, int, bool) {
	var stoppable []*run
	for _, x := range w.runOrder {
		if x.phase == phaseStopping {
			return nil, 0, false
		}
		if x.phase == phaseRunning && sp.preemptible(x) {
			stoppable = append(stoppable, x)
		}
	}
	slices.SortFunc(stoppable, func(a, b *run) int {
		return cmp.Or(cmp.Compare(b.size.Processor, a.size.Processor), cmp.Compare(a.name.Task.Job, b.name.Task.Job),
			cmp.Compare(a.name.Task.Index, b.name.Task.Index))
	})
	need, free, cost := sp.step.spec.Demand(), w.free, 0
	thrownAway, chosen := time.Duration(0), 0
	var left usesLeft
	if sp.mayTakeBack() {
		left = sp.planner.usesLeft()
	}
	for _, x := range stoppable {
		if !sp.lessUrgent(x) {
			if !sp.beyondOtherShare(x, left) {
				continue
			}
			left.stop(x)
			thrownAway += time.Duration(x.size.Processor) * x.unsaved(sp.now)
		}
		free = free.Plus(x.size)
		cost += x.size.Processor
		stoppable[chosen] = x
		chosen++
		if need.Fits(free) {
			won := time.Duration(need.Processor) * sp.step.expectedDuration()
			return stoppable[:chosen], cost, thrownAway <= won
		}
	}
	return nil, 0, false
}

// preemptible reports whether a run is less urgent than the step, or may be beyond its team's share, and can resume
// elsewhere. A task is preempted once: under a backlog of urgent tasks it would otherwise never end.
func (sp *stepPlacement) preemptible(x *run) bool {
	return x.resumable() && (sp.lessUrgent(x) || sp.mayTakeBack())
}

// lessUrgent reports whether the step is urgent and a run is not.
func (sp *stepPlacement) lessUrgent(x *run) bool {
	return sp.queue.Priority == 0 && sp.planner.queue(x.task.step.round.job).Priority > 0
}

// preemptClasses returns the number of classes of the step's rank, from the first on, for which runs are
// preempted: steps of a team may take the capacity of other teams back while they can meet their objective.
func (sp *stepPlacement) preemptClasses() int32 {
	if sp.mayTakeBack() {
		return 2
	}
	return 1
}

// mayTakeBack reports whether there may be runs beyond the shares of other teams that are stopped for the step.
func (sp *stepPlacement) mayTakeBack() bool {
	return sp.planner.teams.anyBeyond && sp.planner.team(sp.step.round.job) != nil
}

// beyondOtherShare reports whether a run is beyond the rate or the share of its team, while the step is not of that
// team. The team keeps its share: runs that are being stopped for others don't count as used.
func (sp *stepPlacement) beyondOtherShare(x *run, left usesLeft) bool {
	j, own := x.task.step.round.job, sp.planner.team(sp.step.round.job)
	t := sp.planner.team(j)
	if own == nil || t == nil || t == own {
		return false
	}
	if j.beyondRate && t.OverRate(sp.now) {
		return true
	}
	return t.Exceeds(sp.planner.ledger.Used(t.Name()).Minus(left[t.Name()])) && !sp.planner.withinShare(t, x.task.step)
}

// usesLeft holds, by team, the size of the runs that are being stopped because they are beyond the team's share.
type usesLeft map[string]ladderflow.Size

// usesLeft returns the size of the runs that are being stopped.
func (p *Planner) usesLeft() usesLeft {
	left := usesLeft{}
	p.teams.stopped = slices.DeleteFunc(p.teams.stopped, func(x *run) bool {
		if x.worker.runs[x.name] != x {
			return true
		}
		left.stop(x)
		return false
	})
	return left
}

// stop adds a run that is going to be stopped.
func (l usesLeft) stop(x *run) { l[x.team] = l[x.team].Plus(x.size) }

// unsaved returns how much of a run's work is lost if it is stopped now, as time.
func (x *run) unsaved(now time.Time) time.Duration { return now.Sub(later(x.startedAt, x.savedAt)) }
