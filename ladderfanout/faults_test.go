package ladderfanout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The faults of a simulated fleet.
const (
	// faultTime is how long faults and changes come, and recoveryTime how long after the last of
	// them all VMs must know the last change.
	faultTime    = 20 * time.Second
	recoveryTime = 4 * time.Second
	// lossTime is how long messages about the last change are lost.
	lossTime = 1500 * time.Millisecond
	// faultInterval is the mean time between two faults, and changeInterval between two changes.
	faultInterval  = 400 * time.Millisecond
	changeInterval = time.Second
	// detectionTime is how long the registry takes to notice a VM that has died.
	detectionTime = 3 * time.Second
	// callTimeout is how long a call takes that gets no answer.
	callTimeout = 500 * time.Millisecond
)

// faultyFleet is a fleet whose messages are lost, whose VMs die and come back, and whose store
// forgets its history or cannot be reached by some VMs.
type faultyFleet struct {
	simulation
	random *rand.Rand
	// lossPercent is the share of offers and fetches that are lost.
	lossPercent int
	// cut holds the VMs that cannot reach the store.
	cut map[string]bool
	// kept is the oldest revision from which the store still has the history.
	kept int64
	// diedAt is when a VM that is dead has died.
	diedAt map[string]time.Time
	// asks makes VMs that cannot reach the store ask peers, in turns, and deaf loses all offers to them.
	asks, deaf bool
	turns      map[string]int
}

func newFaultyFleet(seed uint64, regions ...int) *faultyFleet {
	return &faultyFleet{
		simulation: *newSimulation(regions...), random: rand.New(rand.NewPCG(seed, 0)), cut: map[string]bool{},
		diedAt: map[string]time.Time{}, turns: map[string]int{},
	}
}

// seen returns the fleet as a VM sees it: a VM that has died is registered for some time more.
func (f *faultyFleet) seen(v *simulatedVM) Fleet {
	fleet := Fleet{Own: v.member}
	for _, o := range f.vms {
		if o != v && (!o.dead || f.now.Sub(f.diedAt[o.member.Name]) < detectionTime) {
			fleet.Others = append(fleet.Others, o.member)
		}
	}
	return fleet
}

// lost reports whether a message is lost.
func (f *faultyFleet) lost() bool { return f.random.IntN(100) < f.lossPercent }

// find returns the VM of a name.
func (f *faultyFleet) find(name string) *simulatedVM {
	for _, v := range f.vms {
		if v.member.Name == name {
			return v
		}
	}
	return nil
}

// after makes a VM busy for some time and then does something.
func (f *faultyFleet) after(v *simulatedVM, d time.Duration, do func()) {
	v.busyUntil, v.finish = f.now.Add(d), do
}

// play plays one step of all VMs.
func (f *faultyFleet) play() {
	for _, v := range f.vms {
		if v.dead || f.now.Before(v.busyUntil) {
			continue
		}
		if finish := v.finish; finish != nil {
			v.finish = nil
			finish()
			continue
		}
		fleet := f.seen(v)
		v.place = fleet.Place()
		switch action, _ := v.feed.Next(f.now, v.place); action {
		case Wait:
		case Fetch:
			f.fetchFromSources(v, fleet.Sources())
		case Ask:
			turn, ok := f.turns[v.member.Name]
			if !ok {
				turn = f.random.IntN(len(f.vms) * len(f.vms))
			}
			f.turns[v.member.Name] = turn + 1
			f.fetchFromSources(v, fleet.Asked(turn))
		case Read, Watch, Poll:
			f.callStore(v, action)
		}
	}
	f.now = f.now.Add(step)
}

// playFor plays for some time.
func (f *faultyFleet) playFor(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.play()
	}
}

// fetchFromSources asks the VMs of the given names for their state, one after the other.
func (f *faultyFleet) fetchFromSources(v *simulatedVM, sources []string) {
	if len(sources) == 0 {
		return
	}
	source := f.find(sources[0])
	if source.dead || f.lost() {
		f.after(v, callTimeout, func() { f.fetchFromSources(v, sources[1:]) })
		return
	}
	f.fetch(v, source, func() { f.fetchFromSources(v, sources[1:]) })
}

// fetch gets the state of a VM that answers. If that is nothing new, it does otherwise.
func (f *faultyFleet) fetch(v, source *simulatedVM, otherwise func()) {
	revision := source.feed.Revision()
	f.after(v, fetchTime, func() {
		if v.feed.Vouched(f.now, revision, v.place) {
			f.offer(v, source.member.Name)
			return
		}
		otherwise()
	})
}

// callStore makes a call to the store.
func (f *faultyFleet) callStore(v *simulatedVM, action Action) {
	from := v.feed.Revision()
	switch {
	case f.cut[v.member.Name]:
		f.after(v, callTimeout, func() {
			v.feed.Unanswered()
			if f.asks {
				v.feed.AskPeers(f.now)
			}
		})
	case action != Read && from < f.kept:
		f.after(v, step, func() { v.feed.Lost(f.now) })
	case action == Poll && from == f.revision:
		f.after(v, step, func() { v.feed.Polled(f.now, v.place) })
	case action == Watch && from == f.revision:
	default:
		revision := f.revision
		f.after(v, readTime, func() {
			v.feed.Synced(f.now, revision, v.place)
			if revision > from {
				f.offer(v, "")
			}
		})
	}
}

// offer sends a VM's offers.
func (f *faultyFleet) offer(v *simulatedVM, source string) {
	for _, name := range f.seen(v).Targets(source) {
		o := f.find(name)
		if o.dead || f.lost() || f.deaf && f.cut[name] || o.feed.Revision() >= v.feed.Revision() {
			continue
		}
		if !f.seen(o).Accepts(v.member.Name) {
			o.feed.Announced(f.now, o.place)
			continue
		}
		if f.lost() {
			f.after(o, callTimeout, func() {})
			continue
		}
		f.fetch(o, v, func() {})
	}
}

// disturb causes one fault, or ends one.
func (f *faultyFleet) disturb() {
	v := f.vms[f.random.IntN(len(f.vms))]
	switch f.random.IntN(6) {
	case 0:
		f.kill(v)
	case 1:
		if v.dead {
			f.revive(v)
		}
	case 2:
		f.cut[v.member.Name] = !f.cut[v.member.Name]
	case 3:
		f.kept = f.revision
	case 4:
		for _, o := range f.vms {
			o.member.Leads = o == v
		}
	case 5:
		f.lossPercent = f.random.IntN(60)
	}
}

// kill kills a VM that lives, unless it is the last.
func (f *faultyFleet) kill(v *simulatedVM) {
	if !v.dead && len(f.alive()) > 1 {
		v.dead, v.finish, f.diedAt[v.member.Name] = true, nil, f.now
	}
}

// revive starts a dead VM again, which knows nothing.
func (f *faultyFleet) revive(v *simulatedVM) {
	v.dead, v.finish, v.busyUntil = false, nil, f.now
	v.feed = NewFeed(f.now, f.random.Float64)
}

// alive returns the VMs that live.
func (f *faultyFleet) alive() []*simulatedVM {
	var alive []*simulatedVM
	for _, v := range f.vms {
		if !v.dead {
			alive = append(alive, v)
		}
	}
	return alive
}

// TestChangesReachAllAfterFaults guards against a VM that keeps an old configuration for good, or
// for longer than the limit, because the VM on which it relied died, an offer was lost, the
// store forgot its history, or the leader and so the readers changed, any of them at any moment
// of a change. No VM may ever go back to an earlier revision.
func TestChangesReachAllAfterFaults(t *testing.T) {
	for name, c := range map[string]struct {
		regions []int
		seeds   uint64
	}{
		"small": {regions: []int{4, 2}, seeds: 40},
		"grown": {regions: []int{15, 16}, seeds: 6},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range c.seeds {
				f := newFaultyFleet(seed, c.regions...)
				f.playFaults(t, seed)
				// Most messages about the last change are lost at first, and the readers die.
				f.revision++
				f.lossPercent, f.cut = 50+f.random.IntN(51), map[string]bool{}
				for _, name := range f.seen(f.alive()[0]).Sources() {
					f.kill(f.find(name))
				}
				f.playFor(lossTime)
				f.lossPercent = 0
				f.playFor(recoveryTime)
				for _, v := range f.alive() {
					require.Equal(t, f.revision, v.feed.Revision(), "seed %d: %s", seed, v.member.Name)
				}
			}
		})
	}
}

// playFaults plays faults and changes, and checks that revisions do not go back.
func (f *faultyFleet) playFaults(t *testing.T, seed uint64) {
	t.Helper()
	known := map[*Feed]int64{}
	for end := f.now.Add(faultTime); f.now.Before(end); f.play() {
		if f.random.IntN(int(faultInterval/step)) == 0 {
			f.disturb()
		}
		if f.random.IntN(int(changeInterval/step)) == 0 {
			f.revision++
		}
		for _, v := range f.vms {
			require.GreaterOrEqual(t, v.feed.Revision(), known[v.feed], "seed %d: %s", seed, v.member.Name)
			known[v.feed] = v.feed.Revision()
		}
	}
}
