package ladderplan

import "lacewingladder/ladderflow"

// setSpec replaces the worker's description and adjusts the free capacity to it. If the capacity has
// shrunk, the free capacity may become negative until runs have ended.
func (w *worker) setSpec(spec ladderflow.Worker) {
	if spec.Capacity != w.spec.Capacity {
		w.free = w.free.Plus(spec.Capacity).Minus(w.spec.Capacity)
		w.freed.add(w)
	}
	w.spec = spec
}

// startableCapacity returns the capacity of a worker that new tasks may use. It is none while the runs
// there use more of a resource than the worker has.
func (sp *stepPlacement) startableCapacity(w *worker) ladderflow.Size {
	free := w.free
	if free.Processor < 0 || free.Memory < 0 || free.Accelerators < 0 {
		return ladderflow.Size{}
	}
	return free
}
