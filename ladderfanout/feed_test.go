package ladderfanout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The times of the simulated fleet.
const (
	// readTime is how long it takes to read all items from the store, and fetchTime to get a
	// difference from a peer.
	readTime  = 100 * time.Millisecond
	fetchTime = 60 * time.Millisecond
	// step is the resolution of the simulated time.
	step = 10 * time.Millisecond
)

// simulatedVM is a VM of a simulated fleet.
type simulatedVM struct {
	member  Member
	place   Placement
	feed    *Feed
	dead    bool
	knownAt time.Time
	// busyUntil is when the present action ends, and finish what then happens.
	busyUntil time.Time
	finish    func()
}

// simulation plays a change of the operators' keys to a fleet of VMs.
type simulation struct {
	now      time.Time
	vms      []*simulatedVM
	revision int64
	// reads counts the reads of all items from the store.
	reads int
}

// newSimulation returns a fleet that knows revision 1. The first region is the leader's.
func newSimulation(regions ...int) *simulation {
	s := &simulation{now: time.UnixMilli(0), revision: 1}
	for r, n := range regions {
		for i := range n {
			m := Member{Name: fmt.Sprintf("r%d-%d", r, i), Region: fmt.Sprint(r), Processor: 192, Leads: r == 0 && i == 0}
			if i < 3 {
				m.Processor = 800
			}
			// A fixed spread of polls stands for the random one.
			phase := float64(len(s.vms)%10) / 10
			s.vms = append(s.vms, &simulatedVM{member: m, feed: NewFeed(s.now, func() float64 { return phase })})
		}
	}
	for _, v := range s.vms {
		v.place = s.fleet(v).Place()
		v.feed.Synced(s.now, s.revision, v.place)
	}
	return s
}

func (s *simulation) fleet(v *simulatedVM) Fleet {
	f := Fleet{Own: v.member}
	for _, o := range s.vms {
		if o != v {
			f.Others = append(f.Others, o.member)
		}
	}
	return f
}

// run plays until the given time.
func (s *simulation) run(until time.Time) {
	for ; s.now.Before(until); s.now = s.now.Add(step) {
		for _, v := range s.vms {
			if v.dead || s.now.Before(v.busyUntil) {
				continue
			}
			if finish := v.finish; finish != nil {
				v.finish = nil
				finish()
				continue
			}
			s.act(v)
		}
	}
}

// act starts a VM's next action.
func (s *simulation) act(v *simulatedVM) {
	action, _ := v.feed.Next(s.now, v.place)
	if action == Wait || action == Fetch {
		return
	}
	if action != Read && v.feed.Revision() == s.revision {
		if action == Poll {
			v.feed.Polled(s.now, v.place)
		}
		return
	}
	s.reads++
	v.busyUntil, v.finish = s.now.Add(readTime), func() {
		v.feed.Synced(s.now, s.revision, v.place)
		s.learn(v, "")
	}
}

// learn records that a VM knows the present revision, and sends its offers.
func (s *simulation) learn(v *simulatedVM, source string) {
	v.knownAt = s.now
	for _, name := range s.fleet(v).Targets(source) {
		for _, o := range s.vms {
			if o.member.Name != name || o.dead || o.feed.Revision() == s.revision {
				continue
			}
			if !s.fleet(o).Accepts(v.member.Name) {
				o.feed.Announced(s.now, o.place)
				continue
			}
			// An offer that comes while the VM reads the store ends that.
			o.busyUntil, o.finish = s.now.Add(fetchTime), func() {
				if o.feed.Vouched(s.now, s.revision, o.place) {
					s.learn(o, v.member.Name)
				}
			}
		}
	}
}

// TestChangeReachesAllWithFewReads guards against changes that each VM reads from the store,
// and against changes that are late where the readers are dead. A fifth of the VMs may happen to
// poll before they are offered the change, and half where nobody else offers it.
func TestChangeReachesAllWithFewReads(t *testing.T) {
	for name, c := range map[string]struct {
		regions []int
		dead    []string
		within  time.Duration
	}{
		"small":                      {regions: []int{4, 2}, within: time.Second},
		"small, no readers":          {regions: []int{4, 2}, dead: []string{"r0-1", "r0-2"}, within: 2500 * time.Millisecond},
		"small, all but one":         {regions: []int{4, 2}, dead: []string{"r0-1", "r0-2", "r0-0", "r0-3", "r1-1"}, within: 2500 * time.Millisecond},
		"grown":                      {regions: []int{15, 16}, within: time.Second},
		"grown, no readers":          {regions: []int{15, 16}, dead: []string{"r0-1", "r0-2"}, within: 4 * time.Second},
		"grown, no readers or relay": {regions: []int{15, 16}, dead: []string{"r0-1", "r0-2", "r1-0", "r1-1"}, within: 4 * time.Second},
		"large":                      {regions: []int{74, 76}, within: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			// The change comes at different times between two polls.
			for offset := range 8 {
				s := newSimulation(c.regions...)
				changedAt := s.now.Add(10*time.Second + time.Duration(offset)*maxPollInterval/8)
				s.run(changedAt)
				for _, v := range s.vms {
					for _, name := range c.dead {
						v.dead = v.dead || v.member.Name == name
					}
				}
				s.revision++
				s.run(changedAt.Add(5 * time.Second))
				for _, v := range s.vms {
					if !v.dead {
						require.False(t, v.knownAt.IsZero(), "%s does not know the change", v.member.Name)
						require.LessOrEqual(t, v.knownAt.Sub(changedAt), c.within, v.member.Name)
					}
				}
				part := 5
				if len(c.dead) > 0 {
					part = 2
				}
				require.LessOrEqual(t, s.reads, readers+(len(s.vms)+part-1)/part)
			}
		})
	}
}

// TestLostHistory checks the order in which VMs that cannot continue read the store.
func TestLostHistory(t *testing.T) {
	start := time.UnixMilli(0)
	for name, c := range map[string]struct {
		place  Placement
		readAt time.Duration
	}{
		"reader":             {Placement{Rank: 1, Members: 15, Home: true}, 0},
		"other":              {Placement{Rank: 2, Members: 15, Home: true}, minPatience + 2*patiencePerRank},
		"last":               {Placement{Rank: 14, Members: 15, Home: true}, minPatience + 14*patiencePerRank},
		"relay":              {Placement{Rank: 0, Members: 15}, minPatience},
		"only VM, no leader": {Placement{Members: 1, Home: true}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := NewFeed(start, func() float64 { return 0.5 })
			now := start
			for {
				action, until := f.Next(now, c.place)
				if action == Read {
					break
				}
				if action == Wait {
					require.True(t, until.After(now))
					now = until
				}
			}
			require.Equal(t, c.readAt, now.Sub(start))
			f.Synced(now, 7, c.place)
			f.Lost(now)
			require.False(t, f.Vouched(now, 7, c.place), "the store does not have the history after this revision")
			require.True(t, f.Vouched(now, 8, c.place))
			require.Equal(t, int64(8), f.Revision())
		})
	}
}

// TestEmptyPollKeepsRevision guards against a change that a store about to lose its history does
// not report.
func TestEmptyPollKeepsRevision(t *testing.T) {
	now, place := time.UnixMilli(0), Placement{Rank: 5, Members: 9}
	f := NewFeed(now, func() float64 { return 0 })
	f.Synced(now, 7, place)
	f.Polled(now, place)
	require.Equal(t, int64(7), f.Revision())
	action, until := f.Next(now, place)
	require.Equal(t, Wait, action)
	action, _ = f.Next(until, place)
	require.Equal(t, Poll, action)
	f.Announced(until, place)
	action, _ = f.Next(until, place)
	require.Equal(t, Wait, action, "another VM will offer the change")
}

// TestTargets checks to whom a change is offered and from whom it is taken.
func TestTargets(t *testing.T) {
	member := func(name, region string, processor int, leads bool) Member {
		return Member{Name: name, Region: region, Processor: processor, Leads: leads}
	}
	all := []Member{
		member("a1", "a", 800, true), member("a2", "a", 800, false), member("a3", "a", 192, false), member("a4", "a", 192, false),
		member("b1", "b", 800, false), member("b2", "b", 800, false), member("b3", "b", 192, false),
	}
	fleet := func(own string) Fleet {
		var f Fleet
		for _, m := range all {
			if m.Name == own {
				f.Own = m
			} else {
				f.Others = append(f.Others, m)
			}
		}
		return f
	}
	require.Equal(t, []string{"b1", "b2", "a1", "a3", "a4", "b3"}, fleet("a2").Targets(""), "those that pass it on come first")
	require.Equal(t, []string{"b2", "b3"}, fleet("b1").Targets("a2"))
	require.Empty(t, fleet("b3").Targets("b1"))
	require.True(t, fleet("b1").Accepts("a2"))
	require.False(t, fleet("b3").Accepts("a2"))
	require.True(t, fleet("b3").Accepts("b1"))
	require.Equal(t, []string{"a2", "a1"}, fleet("b1").Sources())
	require.Equal(t, []string{"b1", "b2"}, fleet("b3").Sources())
	require.Equal(t, Placement{Rank: 0, Members: 4, Home: true}, fleet("a2").Place())
	require.Equal(t, Placement{Rank: 1, Members: 4, Home: true}, fleet("a1").Place(), "the leader comes last among equals")
	require.Equal(t, Placement{Rank: 2, Members: 3}, fleet("b3").Place())
}

// TestAnnouncedVMsPollApart guards against VMs that all read the store at the same moment, because
// a change was announced to all of them at once and nobody offered it.
func TestAnnouncedVMsPollApart(t *testing.T) {
	now := time.UnixMilli(0)
	for name, place := range map[string]Placement{"small": {Rank: 2, Members: 3}, "large": {Rank: 40, Members: 70}} {
		t.Run(name, func(t *testing.T) {
			seen := map[time.Time]bool{}
			for i := range 10 {
				f := NewFeed(now, func() float64 { return float64(i) / 10 })
				f.Synced(now, 1, place)
				f.Announced(now.Add(maxPollInterval), place)
				action, at := f.Next(now.Add(maxPollInterval), place)
				require.Equal(t, Wait, action)
				require.False(t, seen[at])
				seen[at] = true
				require.LessOrEqual(t, at.Sub(now.Add(maxPollInterval)), 2*time.Second)
			}
		})
	}
}
