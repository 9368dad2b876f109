package ladderdelegate

import (
	"cmp"
	"slices"
)

const (
	// DelegationThreshold is the number of workers up to which the leader polls all of
	// them itself. Each takes about one poll and two orders per second.
	DelegationThreshold = 100
	// keepDelegatesPercent is the percentage of DelegationThreshold down to which the
	// leader keeps delegates that it has, so that a changing number of workers does not
	// make it switch back and forth.
	keepDelegatesPercent = 75
	// maxWorkersPerDelegate is the number of workers that one delegate polls if the zone
	// has enough VMs. It keeps the cost below what a small VM spends on its callers.
	maxWorkersPerDelegate = 80
)

// PolledWorker is a worker that the leader or a delegate must poll.
type PolledWorker struct {
	ID   string
	Zone string
	Rack string
}

// VM is an entry VM that can be a delegate.
type VM struct {
	Name string
	Zone string
	// Processor is the VM's processor capacity, in thousandths of a core.
	Processor int
}

// Assign returns the name of the delegate of each worker, by worker id. The leader itself
// polls the workers that have no delegate: all workers if there are few, and otherwise
// those in zones without a VM. The workers of a zone are distributed by rack over the
// VMs with the largest processors in the zone. Delegated is true if there are delegates
// already.
func Assign(workers []PolledWorker, vms []VM, delegated bool) map[string]string {
	delegateOf := map[string]string{}
	threshold := DelegationThreshold
	if delegated {
		threshold = DelegationThreshold * keepDelegatesPercent / 100
	}
	if len(workers) <= threshold {
		return delegateOf
	}
	byZone := map[string][]PolledWorker{}
	for _, w := range workers {
		byZone[w.Zone] = append(byZone[w.Zone], w)
	}
	for zone, zoneWorkers := range byZone {
		delegates := slices.DeleteFunc(slices.Clone(vms), func(v VM) bool { return v.Zone != zone })
		if len(delegates) == 0 {
			continue
		}
		slices.SortFunc(delegates, func(a, b VM) int {
			return cmp.Or(cmp.Compare(b.Processor, a.Processor), cmp.Compare(a.Name, b.Name))
		})
		delegates = delegates[:min(len(delegates), (len(zoneWorkers)+maxWorkersPerDelegate-1)/maxWorkersPerDelegate)]
		var racks []string
		for _, w := range zoneWorkers {
			racks = append(racks, w.Rack)
		}
		slices.Sort(racks)
		racks = slices.Compact(racks)
		for _, w := range zoneWorkers {
			i, _ := slices.BinarySearch(racks, w.Rack)
			delegateOf[w.ID] = delegates[i%len(delegates)].Name
		}
	}
	return delegateOf
}
