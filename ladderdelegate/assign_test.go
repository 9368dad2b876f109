package ladderdelegate

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// held returns workers of a zone, eight to a rack.
func held(zone string, n int) []Held {
	var list []Held
	for i := range n {
		list = append(list, Held{ID: fmt.Sprintf("%s-%03d", zone, i), Zone: zone, Rack: fmt.Sprintf("%s-r%d", zone, i/8)})
	}
	return list
}

// TestFewWorkers does not go to and fro between delegates and none as workers come and go.
func TestFewWorkers(t *testing.T) {
	vms := []VM{{"a1", "a", 400}}
	for n, want := range map[int][2]int{FewWorkers + 1: {FewWorkers + 1, FewWorkers + 1}, FewWorkers: {0, FewWorkers}, FewWorkers / 2: {0, 0}} {
		require.Len(t, Assign(held("a", n), vms, false), want[0])
		require.Len(t, Assign(held("a", n), vms, true), want[1])
	}
}

func TestAssign(t *testing.T) {
	vms := []VM{{"a1", "a", 200}, {"a2", "a", 800}, {"a3", "a", 800}, {"b1", "b", 200}}
	for name, c := range map[string]struct {
		workers []Held
		vms     []VM
		// want is how many workers each VM holds; those of nobody are under "".
		want map[string]int
	}{
		"few":               {held("a", FewWorkers), vms, map[string]int{"": FewWorkers}},
		"one is enough":     {append(held("a", 60), held("b", 60)...), vms, map[string]int{"a2": 60, "b1": 60}},
		"spread by racks":   {held("a", 160), vms, map[string]int{"a2": 80, "a3": 80}},
		"more than VMs":     {held("b", 400), vms, map[string]int{"b1": 400}},
		"zone without a VM": {append(held("c", 80), held("b", 40)...), vms, map[string]int{"": 80, "b1": 40}},
		"no VM":             {held("a", 200), nil, map[string]int{"": 200}},
	} {
		t.Run(name, func(t *testing.T) {
			by := Assign(c.workers, c.vms, false)
			got := map[string]int{}
			racks := map[string]string{}
			for _, w := range c.workers {
				got[by[w.ID]]++
				if r, ok := racks[w.Rack]; ok {
					require.Equal(t, r, by[w.ID], "a rack has one holder")
				}
				racks[w.Rack] = by[w.ID]
			}
			require.Equal(t, c.want, got)
		})
	}
}
