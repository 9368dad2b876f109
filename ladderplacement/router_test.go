package ladderplacement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/laddermodel"
	"lacewingladder/ladderplacement"
)

var (
	start   = time.Unix(1000, 0)
	oneSlot = laddermodel.Size{Slots: 1}
)

// digest returns the digest of a rack with the given number of free slots.
func digest(rack, zone, region string, slots int) ladderplacement.Digest {
	s := laddermodel.Size{Slots: slots}
	return ladderplacement.Digest{Holder: "holder-" + rack, Rack: rack, Zone: zone, Region: region, Free: s, LargestFree: s, Home: true}
}

// newRouter returns a router in zone a of region north that has the given digests.
func newRouter(digests ...ladderplacement.Digest) *ladderplacement.Router {
	r := ladderplacement.NewRouter("north", "a", ladderplacement.TwoChoicesCorrected, 1)
	for _, d := range digests {
		r.Update(start, d)
	}
	return r
}

func TestRouteByDistance(t *testing.T) {
	tests := map[string]struct {
		digests     []ladderplacement.Digest
		crossRegion bool
		want        string
	}{
		"own zone first":                 {digests: []ladderplacement.Digest{digest("a1", "a", "north", 1), digest("b1", "b", "north", 9)}, want: "a1"},
		"then the own region":            {digests: []ladderplacement.Digest{digest("a1", "a", "north", 0), digest("b1", "b", "north", 1), digest("c1", "c", "south", 9)}, want: "b1"},
		"then others, if allowed":        {digests: []ladderplacement.Digest{digest("a1", "a", "north", 0), digest("c1", "c", "south", 1)}, crossRegion: true, want: "c1"},
		"otherwise wait in the own zone": {digests: []ladderplacement.Digest{digest("a1", "a", "north", 0), digest("c1", "c", "south", 1)}, want: "a1"},
		"no rack in reach":               {digests: []ladderplacement.Digest{digest("c1", "c", "south", 1)}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			target, ok := newRouter(tt.digests...).Route(start, oneSlot, nil, tt.crossRegion)
			require.Equal(t, tt.want != "", ok)
			require.Equal(t, tt.want, target.Rack)
		})
	}
}

func TestSentTasksCountUntilTheyEndOrADigestArrives(t *testing.T) {
	r := newRouter(digest("a1", "a", "north", 2), digest("b1", "b", "north", 5))
	route := func() string {
		target, _ := r.Route(start, oneSlot, nil, false)
		return target.Rack
	}
	r.TaskSent("a1", oneSlot)
	require.Equal(t, "a1", route())
	r.TaskSent("a1", oneSlot)
	require.Equal(t, "b1", route(), "the tasks sent to the rack use all its capacity")
	r.TaskEnded("a1", oneSlot)
	require.Equal(t, "a1", route(), "the capacity of a task that ended is free again")
	r.TaskSent("a1", oneSlot)
	r.Update(start, digest("a1", "a", "north", 1))
	require.Equal(t, "a1", route(), "a new digest replaces the estimate")
}

func TestStaleDigestsAreNotUsed(t *testing.T) {
	r := newRouter(digest("a1", "a", "north", 2))
	_, ok := r.Home(start.Add(10*time.Second), "a1")
	require.True(t, ok)
	_, ok = r.Home(start.Add(10*time.Second+1), "a1")
	require.False(t, ok)
}
