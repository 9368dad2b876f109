package ladderplan

import (
	"time"

	"lacewingladder/ladderflow"
)

// listSettleTime is how long after an outage of the store the list of workers may still be from before.
// Workers renew their entries within two seconds.
const listSettleTime = 2500 * time.Millisecond

// setSpec replaces the worker's description and adjusts the free capacity to it. If the capacity has
// shrunk, the free capacity may become negative until runs have ended.
func (w *worker) setSpec(spec ladderflow.Worker) {
	if spec.Incarnation != w.spec.Incarnation {
		w.leastCapacity = spec.Capacity
	}
	if spec.Capacity != w.spec.Capacity {
		w.free = w.free.Plus(spec.Capacity).Minus(w.spec.Capacity)
		w.leastCapacity = leastSize(w.leastCapacity, spec.Capacity)
		w.freed.add(w)
	}
	w.mostCapacity = largestSize(w.mostCapacity, spec.Capacity)
	w.spec = spec
}

// listIsCurrent reports whether the list of workers shows their present capacity. It does not while the
// store is away and shortly after.
func (p *Planner) listIsCurrent(now time.Time) bool {
	return !p.storeWasAway || !p.storeServingSince.IsZero() && now.Sub(p.storeServingSince) >= listSettleTime
}

// startableCapacity returns the capacity of a worker that new tasks may use. It is none while the runs
// there use more of a resource than the worker has. While the list of workers is not current, the worker
// may have shrunk again to the least capacity that it has had.
func (sp *stepPlacement) startableCapacity(w *worker) ladderflow.Size {
	free := w.free
	if w.leastCapacity != w.spec.Capacity && !sp.planner.listIsCurrent(sp.now) {
		free = free.Minus(w.spec.Capacity).Plus(w.leastCapacity)
	}
	if free.Processor < 0 || free.Memory < 0 || free.Accelerators < 0 {
		return ladderflow.Size{}
	}
	return free
}

// largestSize returns the larger amount of each resource.
func largestSize(a, b ladderflow.Size) ladderflow.Size {
	return ladderflow.Size{
		Processor: max(a.Processor, b.Processor), Memory: max(a.Memory, b.Memory), Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// leastSize returns the lesser amount of each resource.
func leastSize(a, b ladderflow.Size) ladderflow.Size {
	return ladderflow.Size{
		Processor: min(a.Processor, b.Processor), Memory: min(a.Memory, b.Memory), Accelerators: min(a.Accelerators, b.Accelerators),
	}
}
