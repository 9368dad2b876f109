package ladderfanout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestVMsWithoutStoreHearOfChangeFromPeers cuts VMs off from the store and loses all offers to them. Each must know a
// change within the time that the platform allows for it, from a peer that it asks. Nothing may be asked where
// the VMs do not ask.
func TestVMsWithoutStoreHearOfChangeFromPeers(t *testing.T) {
	for name, c := range map[string]struct {
		regions []int
		cut     func(f *faultyFleet, i int) bool
	}{
		"a third":           {[]int{21, 21}, func(f *faultyFleet, _ int) bool { return f.random.IntN(100) < 35 }},
		"two thirds":        {[]int{15, 16}, func(f *faultyFleet, _ int) bool { return f.random.IntN(3) > 0 }},
		"the first region":  {[]int{4, 4}, func(_ *faultyFleet, i int) bool { return i < 4 }},
		"the second region": {[]int{21, 21}, func(_ *faultyFleet, i int) bool { return i >= 21 }},
		"the readers":       {[]int{6}, func(_ *faultyFleet, i int) bool { return i < 3 }},
	} {
		t.Run(name, func(t *testing.T) {
			late := 0
			for seed := range uint64(4) {
				for _, asks := range []bool{false, true} {
					f := newFaultyFleet(seed, c.regions...)
					f.asks, f.deaf = asks, true
					for i, v := range f.vms {
						f.cut[v.member.Name] = c.cut(f, i)
					}
					f.playFor(5*time.Second + time.Duration(f.random.IntN(3000))*time.Millisecond)
					f.revision++
					f.playFor(recoveryTime)
					for _, v := range f.vms {
						if asks {
							require.Equal(t, f.revision, v.feed.Revision(), "seed %d: %s", seed, v.member.Name)
						} else if v.feed.Revision() != f.revision {
							require.True(t, f.cut[v.member.Name])
							late++
						}
					}
				}
			}
			require.Positive(t, late, "without asking, offers that are lost must matter here")
		})
	}
}

// TestAsking checks when peers are asked: at once when the store does not answer, from time to time after that, and not
// any more once it answers. What a peer tells does not end it.
func TestAsking(t *testing.T) {
	start := time.UnixMilli(0)
	for name, p := range map[string]Placement{
		"reader": {Rank: 0, Members: 3, Home: true}, "other": {Rank: 5, Members: 21},
	} {
		t.Run(name, func(t *testing.T) {
			f := NewFeed(start, func() float64 { return 0.5 })
			f.Synced(start, 7, p)
			action, _ := f.Next(start, p)
			require.NotEqual(t, Ask, action)
			asked := 0
			ask := func(now time.Time) bool {
				action, until := f.Next(now, p)
				if action == Ask {
					asked++
				}
				at, ok := f.AskAt()
				require.True(t, ok)
				require.True(t, at.After(now))
				require.True(t, action != Wait || until.After(now) && !until.After(at))
				return action == Ask
			}
			now := start.Add(time.Minute)
			f.AskPeers(now)
			require.True(t, ask(now))
			require.False(t, ask(now))
			f.Vouched(now, 8, p)
			for end := now.Add(12 * time.Second); now.Before(end); now = now.Add(step) {
				f.AskPeers(now)
				ask(now)
			}
			require.InDelta(t, 1+int(12*time.Second/(maxAskInterval*3/4)), asked, 2)
			f.Polled(now, p)
			action, _ = f.Next(now.Add(time.Minute), p)
			require.NotEqual(t, Ask, action)
			_, ok := f.AskAt()
			require.False(t, ok)
			f.AskPeers(now)
			f.Synced(now, 9, p)
			action, _ = f.Next(now.Add(time.Minute), p)
			require.NotEqual(t, Ask, action)
		})
	}
}

// TestAsked checks that all peers are asked in turn, of the own region and of the others.
func TestAsked(t *testing.T) {
	f := Fleet{Own: Member{Name: "a0", Region: "a"}}
	require.Empty(t, f.Asked(5))
	for _, region := range []string{"a", "b", "c"} {
		for i := 1; i < 4; i++ {
			f.Others = append(f.Others, Member{Name: fmt.Sprint(region, i), Region: region, Processor: 100 * i})
		}
	}
	seen := map[string]int{}
	for turn := range 6 {
		names := f.Asked(turn)
		require.Len(t, names, 2)
		require.Equal(t, "a", names[0][:1])
		require.NotEqual(t, "a", names[1][:1])
		for _, n := range names {
			seen[n]++
		}
	}
	require.Len(t, seen, 9)
	require.Equal(t, 2, seen["a1"])
	require.Equal(t, 1, seen["c3"])
}
