package ladderplan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lacewingladder/ladderflow"
)

// takenBack is capacity for members of a gang on one worker, with the runs to stop for it.
type takenBack struct {
	worker *worker
	runs   []*run
	slots  int
	// unsaved is the work of the runs that is lost, in thousandths of a core times time.
	unsaved time.Duration
}

// takeBackForGang stops runs beyond the shares of other teams so that a gang within the share of its team starts
// sooner. It stops them only if the whole gang then fits, and if less work is lost than the gang does in the time
// by which it starts sooner. As for single tasks, all can resume from a checkpoint.
func (sp *stepPlacement) takeBackForGang() {
	s, p := sp.step, sp.planner
	r := &s.gang.reservation
	if !sp.mayTakeBack() || len(r.slots) < len(s.tasks) || sp.now.Sub(s.readySince) < preemptDelay || sp.now.Sub(s.preemptedAt) < preemptInterval {
		return
	}
	if s.spec.PreferSameRack && !sp.mayUseSeveralRacks() {
		return // What is freed would have to be in one rack.
	}
	sooner := r.startAt().Sub(sp.now) - p.options.StopTimeout
	if sooner <= 0 {
		return
	}
	s.preemptedAt = sp.now
	var list []takenBack
	left := p.usesLeft()
	for w := range sp.knownAllowed() {
		if sp.usable(w) && !sp.reserved(w) && !w.probation {
			list = append(list, sp.takeBack(w, left))
		}
	}
	slices.SortFunc(list, func(a, b takenBack) int {
		return cmp.Or(cmp.Compare(a.unsavedPerSlot(), b.unsavedPerSlot()), cmp.Compare(a.worker.order, b.worker.order))
	})
	slots, lost, used := 0, time.Duration(0), 0
	for ; used < len(list) && slots < len(s.tasks); used++ {
		b := sp.takeBack(list[used].worker, left) // Other workers' runs of the same teams are stopped as well.
		for _, x := range b.runs {
			left.stop(x)
		}
		list[used], slots, lost = b, slots+b.slots, lost+b.unsaved
	}
	won := time.Duration(len(s.tasks)*s.spec.Demand().Processor) * sooner
	if slots < len(s.tasks) || lost > won {
		return
	}
	stopped := 0
	for _, b := range list[:used] {
		for _, x := range b.runs {
			p.stopRun(sp.now, x, "a gang of a team within its share needs its capacity")
			p.teams.stopped = append(p.teams.stopped, x)
			x.task.preempted, x.freeAt, b.worker.releasesStale = true, sp.now.Add(p.options.StopTimeout), true
			stopped++
		}
	}
	if stopped > 0 {
		r.slots = nil // The runs that were stopped make another reservation possible.
		p.log.Info("runs stopped for a gang", "step", s.ref(), "team", s.round.job.spec.Team, "runs", stopped,
			"sooner", sooner.Round(time.Millisecond), "lostCoreSeconds", lost.Seconds()/1000, "wonCoreSeconds", won.Seconds()/1000)
	}
}

// takeBack returns the capacity that a worker has for members of the gang after StopTimeout, with as few runs
// stopped as it takes, beside those that are stopped on other workers.
func (sp *stepPlacement) takeBack(w *worker, stopped usesLeft) takenBack {
	b := takenBack{worker: w}
	free, soon := w.free, sp.now.Add(sp.planner.options.StopTimeout)
	var victims []*run
	for _, x := range w.runOrder {
		switch {
		case x.phase == phaseStopping || x.task != nil && !x.task.step.spec.LongRunning && !x.expectedEnd().After(soon):
			free = free.Plus(x.size)
		case x.phase == phaseRunning && x.resumable() && sp.beyondOtherShare(x, stopped):
			victims = append(victims, x)
		}
	}
	need, limit := sp.step.spec.Demand(), len(sp.step.tasks)
	if sp.step.spec.MaxPerWorker > 0 {
		limit = max(0, min(limit, sp.step.spec.MaxPerWorker-sp.step.runsOn[w]))
	}
	b.slots = need.FitCount(free, limit)
	if len(victims) == 0 {
		return b
	}
	slices.SortStableFunc(victims, func(a, b *run) int { return cmp.Compare(b.size.Processor, a.size.Processor) })
	lost, chosen, left := time.Duration(0), 0, maps.Clone(stopped)
	for _, x := range victims {
		if !sp.beyondOtherShare(x, left) {
			continue
		}
		left.stop(x)
		victims[chosen] = x
		chosen++
		free = free.Plus(x.size)
		lost += time.Duration(x.size.Processor) * x.unsaved(sp.now)
		if n := need.FitCount(free, limit); n > b.slots {
			b.slots, b.runs, b.unsaved = n, victims[:chosen], lost
		}
	}
	return b
}

// unsavedPerSlot returns the work that is lost for each member of the gang that fits.
func (b takenBack) unsavedPerSlot() time.Duration { return b.unsaved / time.Duration(max(1, b.slots)) }

// resumable reports whether a run can be stopped for another one: its task then resumes elsewhere.
func (x *run) resumable() bool {
	if x.task == nil {
		return false
	}
	s := x.task.step.spec
	return !x.task.preempted && s.Checkpointable && !s.Gang && !s.LongRunning && x.size != ladderflow.Size{}
}
