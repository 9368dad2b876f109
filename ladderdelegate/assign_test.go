package ladderdelegate

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// zoneWorkers returns n workers of a zone, eight in each rack.
func zoneWorkers(zone string, n int) []PolledWorker {
	var workers []PolledWorker
	for i := range n {
		workers = append(workers, PolledWorker{ID: fmt.Sprintf("%s-%03d", zone, i), Zone: zone, Rack: fmt.Sprintf("%s-r%d", zone, i/8)})
	}
	return workers
}

// TestFewWorkers checks that the number of workers at which delegation starts is higher
// than the one at which it stops, so that small changes do not switch it on and off.
func TestFewWorkers(t *testing.T) {
	vms := []VM{{"a1", "a", 400}}
	// For each number of workers, want holds how many have a delegate if there were no
	// delegates before, and if there were.
	for n, want := range map[int][2]int{
		DelegationThreshold + 1: {DelegationThreshold + 1, DelegationThreshold + 1},
		DelegationThreshold:     {0, DelegationThreshold},
		DelegationThreshold / 2: {0, 0},
	} {
		require.Len(t, Assign(zoneWorkers("a", n), vms, nil), want[0])
		require.Len(t, Assign(zoneWorkers("a", n), vms, map[string]string{"a-000": "a1"}), want[1])
	}
}

// TestAssign checks how many workers each VM gets, and that all workers of a rack have
// the same delegate.
func TestAssign(t *testing.T) {
	vms := []VM{{"a1", "a", 200}, {"a2", "a", 800}, {"a3", "a", 800}, {"b1", "b", 200}}
	for name, c := range map[string]struct {
		workers []PolledWorker
		vms     []VM
		// want is the number of workers of each VM; the key "" counts those without a
		// delegate.
		want map[string]int
	}{
		"few workers":       {zoneWorkers("a", DelegationThreshold), vms, map[string]int{"": DelegationThreshold}},
		"one VM per zone":   {append(zoneWorkers("a", 60), zoneWorkers("b", 60)...), vms, map[string]int{"a2": 60, "b1": 60}},
		"two VMs, by rack":  {zoneWorkers("a", 160), vms, map[string]int{"a2": 80, "a3": 80}},
		"too few VMs":       {zoneWorkers("b", 400), vms, map[string]int{"b1": 400}},
		"zone without a VM": {append(zoneWorkers("c", 80), zoneWorkers("b", 40)...), vms, map[string]int{"": 80, "b1": 40}},
		"no VM":             {zoneWorkers("a", 200), nil, map[string]int{"": 200}},
	} {
		t.Run(name, func(t *testing.T) {
			delegateOf := Assign(c.workers, c.vms, nil)
			got := map[string]int{}
			rackDelegates := map[string]string{}
			for _, w := range c.workers {
				got[delegateOf[w.ID]]++
				if d, ok := rackDelegates[w.Rack]; ok {
					require.Equal(t, d, delegateOf[w.ID], "all workers of a rack must have the same delegate")
				}
				rackDelegates[w.Rack] = delegateOf[w.ID]
			}
			require.Equal(t, c.want, got)
		})
	}
}

// TestLostDelegateMovesOnlyItsWorkers takes away one of three delegates of a zone and brings it back. The
// workers of the others must stay where they are, as those of another zone.
func TestLostDelegateMovesOnlyItsWorkers(t *testing.T) {
	vms := []VM{{"a1", "a", 800}, {"a2", "a", 800}, {"a3", "a", 800}, {"a4", "a", 200}, {"b1", "b", 800}}
	workers := append(zoneWorkers("a", 190), zoneWorkers("b", 60)...)
	before := Assign(workers, vms, nil)
	for _, lost := range []string{"a1", "a2", "a3"} {
		t.Run(lost, func(t *testing.T) {
			without := Assign(workers, slices.DeleteFunc(slices.Clone(vms), func(v VM) bool { return v.Name == lost }), before)
			for id, delegate := range before {
				if delegate == lost {
					require.Equal(t, "a4", without[id])
				} else {
					require.Equal(t, delegate, without[id], id)
				}
			}
			require.Equal(t, before, Assign(workers, vms, without), "the delegate is back")
		})
	}
}

// TestChangedRackMovesNoOther removes the last workers of a rack and brings them back.
func TestChangedRackMovesNoOther(t *testing.T) {
	vms := []VM{{"a1", "a", 800}, {"a2", "a", 800}, {"a3", "a", 800}}
	workers := zoneWorkers("a", 190)
	before := Assign(workers, vms, nil)
	without := Assign(workers[8:], vms, before)
	for id, delegate := range without {
		require.Equal(t, before[id], delegate, id)
	}
	require.Equal(t, before, Assign(workers, vms, without), "the rack is back")
}

// TestAssignStaysBalanced lets racks come and go. No delegate may have more than its share of them.
func TestAssignStaysBalanced(t *testing.T) {
	vms := []VM{{"a1", "a", 800}, {"a2", "a", 800}, {"a3", "a", 800}}
	all := zoneWorkers("a", 232)
	var current map[string]string
	for i, workers := range [][]PolledWorker{all[:184], all[16:200], all[:232], all[40:232], all[40:200], all} {
		next := Assign(workers, vms, current)
		racks := map[string]map[string]bool{}
		for _, w := range workers {
			if racks[next[w.ID]] == nil {
				racks[next[w.ID]] = map[string]bool{}
			}
			racks[next[w.ID]][w.Rack] = true
		}
		n := (len(workers) + maxWorkersPerDelegate - 1) / maxWorkersPerDelegate
		require.Len(t, racks, n, "step %d", i)
		for _, r := range racks {
			require.LessOrEqual(t, len(r), (len(workers)/8+n-1)/n, "step %d", i)
		}
		current = next
	}
}

// TestReturnedDelegateMovesNoWorkers takes away one of three delegates of a zone, where a fourth VM of the same size
// takes its place, and brings it back. That must not move the workers a second time.
func TestReturnedDelegateMovesNoWorkers(t *testing.T) {
	vms := []VM{{"a1", "a", 800}, {"a2", "a", 800}, {"a3", "a", 800}, {"a4", "a", 800}}
	workers := zoneWorkers("a", 190)
	before := Assign(workers, vms, nil)
	for _, lost := range []string{"a1", "a2", "a3"} {
		t.Run(lost, func(t *testing.T) {
			without := Assign(workers, slices.DeleteFunc(slices.Clone(vms), func(v VM) bool { return v.Name == lost }), before)
			require.Contains(t, slices.Collect(maps.Values(without)), "a4")
			require.Equal(t, without, Assign(workers, vms, without))
		})
	}
}
