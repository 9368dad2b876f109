package ladderplan

import (
	"cmp"
	"maps"
	"slices"

	"lacewingladder/ladderflow"
)

// addWorker begins to know a worker.
func (p *Planner) addWorker(spec ladderflow.Worker) *worker {
	w := newWorker(spec)
	p.workers[spec.ID] = w
	p.sorted = nil
	return w
}

// dropWorker forgets a worker.
func (p *Planner) dropWorker(id string) {
	delete(p.workers, id)
	p.sorted = nil
}

// everyWorker returns all workers in the order of their ids. The list stays as it is
// when workers come or go.
func (p *Planner) everyWorker() []*worker {
	if p.sorted == nil {
		p.sorted = slices.SortedFunc(maps.Values(p.workers), func(a, b *worker) int { return cmp.Compare(a.spec.ID, b.spec.ID) })
	}
	return p.sorted
}
