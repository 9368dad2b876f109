package ladderdelegate

import (
	"fmt"
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
		require.Len(t, Assign(zoneWorkers("a", n), vms, false), want[0])
		require.Len(t, Assign(zoneWorkers("a", n), vms, true), want[1])
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
			delegateOf := Assign(c.workers, c.vms, false)
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
