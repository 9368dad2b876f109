package ladderdelegate

import (
	"cmp"
	"maps"
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
// VMs with the largest processors in the zone, of equal ones those that are delegates
// already. Current holds the delegates that workers have now. A rack changes its delegate
// only if that is no longer one of these VMs or has more than its share of the racks: each
// change costs connections and a status poll of each worker.
func Assign(workers []PolledWorker, vms []VM, current map[string]string) map[string]string {
	delegateOf := map[string]string{}
	threshold := DelegationThreshold
	if len(current) > 0 {
		threshold = DelegationThreshold * keepDelegatesPercent / 100
	}
	if len(workers) <= threshold {
		return delegateOf
	}
	// serving holds 1 for each VM that is a delegate now.
	serving := map[string]int{}
	for _, name := range current {
		serving[name] = 1
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
			return cmp.Or(cmp.Compare(b.Processor, a.Processor), cmp.Compare(serving[b.Name], serving[a.Name]), cmp.Compare(a.Name, b.Name))
		})
		delegates = delegates[:min(len(delegates), (len(zoneWorkers)+maxWorkersPerDelegate-1)/maxWorkersPerDelegate)]
		rackDelegates := assignRacks(zoneWorkers, delegates, current)
		for _, w := range zoneWorkers {
			delegateOf[w.ID] = rackDelegates[w.Rack]
		}
	}
	return delegateOf
}

// assignRacks returns the name of the delegate of each rack of a zone.
func assignRacks(workers []PolledWorker, delegates []VM, current map[string]string) map[string]string {
	// racks holds, by delegate, the number of racks that are assigned to it.
	racks := map[string]int{}
	for _, d := range delegates {
		racks[d.Name] = 0
	}
	// previous holds the delegate that each rack has now, or "".
	previous := map[string]string{}
	for _, w := range workers {
		name := current[w.ID]
		if _, ok := racks[name]; !ok {
			name = ""
		}
		previous[w.Rack] = max(previous[w.Rack], name)
	}
	limit := (len(previous) + len(delegates) - 1) / len(delegates)
	assigned := map[string]string{}
	var others []string
	for _, rack := range slices.Sorted(maps.Keys(previous)) {
		name := previous[rack]
		if name == "" || racks[name] >= limit {
			others = append(others, rack)
			continue
		}
		assigned[rack] = name
		racks[name]++
	}
	for _, rack := range others {
		least := slices.MinFunc(delegates, func(a, b VM) int { return cmp.Compare(racks[a.Name], racks[b.Name]) })
		assigned[rack] = least.Name
		racks[least.Name]++
	}
	return assigned
}
