package ladderplan

import (
	"cmp"
	"maps"
	"slices"

	"lacewingladder/ladderflow"
)

func (p *Planner) addWorker(spec ladderflow.Worker) *worker {
	w := newWorker(spec, p.workersAdded, &p.freed, &p.pools, p.ledger)
	p.workersAdded++
	w.inRoster = p.roster[spec.ID]
	p.workers[spec.ID] = w
	p.sortedWorkers, p.pools.stale, p.hasIrregular = nil, true, true
	return w
}

// dropWorker removes a worker on which nothing runs. It is remembered if its runs were given up because its
// lease expired.
func (p *Planner) dropWorker(id string) {
	if w := p.workers[id]; len(w.expired) > 0 {
		p.departed[id] = w
	}
	delete(p.workers, id)
	p.sortedWorkers, p.pools.stale = nil, true
}

// allWorkers returns all workers sorted by id. The returned slice does not change when workers are
// added or dropped.
func (p *Planner) allWorkers() []*worker {
	if p.sortedWorkers == nil {
		p.sortedWorkers = slices.SortedFunc(maps.Values(p.workers), func(a, b *worker) int {
			return cmp.Compare(a.spec.ID, b.spec.ID)
		})
		for i, w := range p.sortedWorkers {
			w.order = i
		}
	}
	return p.sortedWorkers
}
