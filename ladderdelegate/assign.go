package ladderdelegate

import (
	"cmp"
	"slices"
)

const (
	// FewWorkers is up to how many workers a leader holds alone. Each takes it about a
	// look and two orders a second.
	FewWorkers = 100
	// keepShare is down to which share of that, in hundredths, delegates stay: workers
	// come and go.
	keepShare = 75
	// maxHeld is how many workers one delegate holds, so that it spends less on them than
	// a small VM spends on its callers.
	maxHeld = 80
)

// Held is a worker that is to be held.
type Held struct {
	ID   string
	Zone string
	Rack string
}

// VM is an entry VM that may be a delegate.
type VM struct {
	Name     string
	Zone     string
	Strength int
}

// Assign returns the delegate of each worker. Workers without one are held by the leader
// itself: all while they are few, and those of zones without a VM. A zone's racks are
// spread over its strongest VMs. Delegated tells whether there are delegates already.
func Assign(workers []Held, vms []VM, delegated bool) map[string]string {
	by := map[string]string{}
	few := FewWorkers
	if delegated {
		few = FewWorkers * keepShare / 100
	}
	if len(workers) <= few {
		return by
	}
	zones := map[string][]Held{}
	for _, w := range workers {
		zones[w.Zone] = append(zones[w.Zone], w)
	}
	for zone, held := range zones {
		able := slices.DeleteFunc(slices.Clone(vms), func(v VM) bool { return v.Zone != zone })
		if len(able) == 0 {
			continue
		}
		slices.SortFunc(able, func(a, b VM) int {
			return cmp.Or(cmp.Compare(b.Strength, a.Strength), cmp.Compare(a.Name, b.Name))
		})
		able = able[:min(len(able), (len(held)+maxHeld-1)/maxHeld)]
		var racks []string
		for _, w := range held {
			racks = append(racks, w.Rack)
		}
		slices.Sort(racks)
		racks = slices.Compact(racks)
		for _, w := range held {
			i, _ := slices.BinarySearch(racks, w.Rack)
			by[w.ID] = able[i%len(able)].Name
		}
	}
	return by
}
