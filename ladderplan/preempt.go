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
	preemptAfter = 150 * time.Millisecond
	// preemptInterval is the time between two preemptions for the same step. The capacity freed by
	// the first must become visible before it is known whether more is needed.
	preemptGap = 250 * time.Millisecond
)

// preempt stops runs of less urgent queues to free capacity for an urgent task that has waited for
// preemptDelay. It stops only runs that can resume elsewhere from a checkpoint, on the worker where
// they use the least processor.
func (f *field) preempt() {
	s := f.step
	if s.waiting == 0 || f.queue == nil || f.queue.Priority > 0 || s.spec.Gang ||
		f.now.Sub(s.since) < preemptAfter || f.now.Sub(s.preempted) < preemptGap {
		return
	}
	var victims []*run
	least := 0
	for _, w := range f.advised() {
		if !f.usable(w) {
			continue
		}
		list, cost, ok := f.victims(w)
		if ok && (victims == nil || cost < least) {
			victims, least = list, cost
		}
	}
	for _, x := range victims {
		f.planner.log.Info("run makes room", "task", x.name.Task, "run", x.name.Number, "worker", x.worker.spec.ID, "for", s.ref())
		f.planner.stop(f.now, x, "an urgent task takes its room")
		s.preempted = f.now
	}
}

// victims returns the runs to stop on a worker so that one task of the step fits there, the largest
// first, and the processor they use. It returns false if stopping runs does not suffice, or if a
// run is stopping already.
func (f *field) victims(w *worker) ([]*run, int, bool) {
	var able []*run
	for _, x := range w.order {
		if x.phase == stopping {
			return nil, 0, false
		}
		if x.phase == live && f.yields(x) {
			able = append(able, x)
		}
	}
	slices.SortFunc(able, func(a, b *run) int {
		return cmp.Or(cmp.Compare(b.size.Processor, a.size.Processor), cmp.Compare(a.name.Task.Job, b.name.Task.Job),
			cmp.Compare(a.name.Task.Index, b.name.Task.Index))
	})
	need, free, cost := f.step.spec.Charge(), w.free, 0
	for i, x := range able {
		free = free.Plus(x.size)
		cost += x.size.Processor
		if need.Fits(free) {
			return able[:i+1], cost, true
		}
	}
	return nil, 0, false
}

// preemptible reports whether a run is less urgent than the step and can resume elsewhere.
func (f *field) yields(x *run) bool {
	if x.task == nil {
		return false
	}
	s := x.task.step
	q, ok := f.planner.queue(s.round.job)
	return ok && q.Priority > f.queue.Priority && s.spec.Checkpoints && !s.spec.Gang && !s.spec.Lasting &&
		x.size != ladderflow.Size{}
}
