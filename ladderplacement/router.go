package ladderplacement

import (
	"math/rand/v2"
	"sort"
	"time"

	"lacewingladder/laddermodel"
)

// digestLifetime is how long a digest is used after it was received.
const digestLifetime = 10 * time.Second

// Digest is a summary of one rack that an entry VM sends to its peers. The
// sender is the rack's holder: it holds claims on workers of the rack.
type Digest struct {
	Holder string
	Region string
	Zone   string
	Rack   string
	// Free is the total free capacity of the rack's workers. LargestFree is, for
	// each resource, the largest free amount on any one of them.
	Free        laddermodel.Size
	LargestFree laddermodel.Size
	// Home is true if the holder is the rack's home, that is, if it holds
	// claims on more than half of the workers that the rack is configured to have
	// (its seats).
	Home bool
	// PredictedWait is how long an urgent task that is sent to the holder is
	// predicted to wait for free capacity.
	PredictedWait time.Duration
}

// Target is a holder to ask for capacity, with the rack that it holds.
type Target struct {
	Holder string
	Region string
	Zone   string
	Rack   string
}

// RackRule is the strategy by which a [Router] selects a rack.
type RackRule int

// The rules of a router.
const (
	// TwoChoicesCorrected draws two racks at random and selects the one with more
	// free slots. It counts what the router sent to a rack since the rack's last
	// digest as used.
	TwoChoicesCorrected RackRule = iota
	// TwoChoicesUncorrected works like TwoChoicesCorrected, but uses the digests as
	// received.
	TwoChoicesUncorrected
	// RandomRack selects a rack at random.
	RandomRack
	// RoundRobinRack selects the racks in turn.
	RoundRobinRack
)

// Router selects the holder to ask for capacity. It is not safe for concurrent
// use. The caller must hold a lock.
type Router struct {
	zone   string
	region string
	rule   RackRule
	rand   *rand.Rand
	racks  map[string]*rackState
	// turnCount is the number of choices by the RoundRobinRack rule.
	turnCount int
}

// rackState is what the router knows about a rack.
type rackState struct {
	digest     Digest
	receivedAt time.Time
	// sentSince is the total size of the tasks that were sent to the rack since the
	// digest was received, less the size of sent tasks that have ended since.
	sentSince laddermodel.Size
}

// NewRouter returns a router for an entry VM in the given region and zone.
// Random choices use a generator with the given seed.
func NewRouter(region, zone string, rule RackRule, seed uint64) *Router {
	return &Router{
		region: region,
		zone:   zone,
		rule:   rule,
		rand:   rand.New(rand.NewPCG(seed, seed)),
		racks:  map[string]*rackState{},
	}
}

// Update stores the newest digest of a rack. Tasks that were sent to the rack
// earlier no longer count, since the digest accounts for them.
func (r *Router) Update(now time.Time, d Digest) {
	r.racks[d.Rack] = &rackState{digest: d, receivedAt: now}
}

// Forget drops the digests of a holder that is gone or leaving.
func (r *Router) Forget(holder string) {
	for rack, state := range r.racks {
		if state.digest.Holder == holder {
			delete(r.racks, rack)
		}
	}
}

// TaskSent records that a task of size s was sent to a rack.
func (r *Router) TaskSent(rack string, s laddermodel.Size) {
	if state, ok := r.racks[rack]; ok {
		state.sentSince = state.sentSince.Add(s)
	}
}

// TaskEnded records that a task of size s that was sent to a rack has ended.
func (r *Router) TaskEnded(rack string, s laddermodel.Size) {
	if state, ok := r.racks[rack]; ok {
		state.sentSince = state.sentSince.Sub(s)
	}
}

// MarkFull records that a rack has no free capacity. This applies until its next
// digest.
func (r *Router) MarkFull(rack string) {
	if state, ok := r.racks[rack]; ok {
		state.digest.Free, state.digest.LargestFree = laddermodel.Size{}, laddermodel.Size{}
	}
}

// Home returns the holder that is the home of a rack. It returns false if no
// current digest names one.
func (r *Router) Home(now time.Time, rack string) (Target, bool) {
	state, ok := r.racks[rack]
	if !ok || !state.digest.Home || now.Sub(state.receivedAt) > digestLifetime {
		return Target{}, false
	}
	return targetOf(state.digest), true
}

// Route returns the holder to ask next for capacity of the given size. It
// prefers its own zone, then other zones of its region. It selects other regions
// only if crossRegion is true. If no rack that it may select appears to have
// enough free capacity, it returns one of its own zone, where the task may wait.
// It skips the racks in tried.
func (r *Router) Route(now time.Time, need laddermodel.Size, tried map[string]bool, crossRegion bool) (Target, bool) {
	for distance := range 3 {
		if distance == 2 && !crossRegion {
			break
		}
		if state := r.choose(r.racksAt(now, distance, need, tried)); state != nil {
			return targetOf(state.digest), true
		}
	}
	if state := r.choose(r.racksAt(now, 0, laddermodel.Size{}, tried)); state != nil {
		return targetOf(state.digest), true
	}
	return Target{}, false
}

// ByFreeSlots returns the current digests, corrected by what was sent since they
// were received. Racks with the most free slots come first. It serves callers
// that consider all racks, such as the leader.
func (r *Router) ByFreeSlots(now time.Time) []Digest {
	var all []Digest
	for _, state := range r.racks {
		if now.Sub(state.receivedAt) > digestLifetime {
			continue
		}
		d := state.digest
		d.Free = d.Free.Sub(state.sentSince)
		all = append(all, d)
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Free.Slots != all[j].Free.Slots {
			return all[i].Free.Slots > all[j].Free.Slots
		}
		return all[i].Rack < all[j].Rack
	})
	return all
}

// racksAt returns the racks at the given distance that are not in tried, have a
// current digest, and appear to have enough free capacity. If need is the zero
// size, free capacity does not matter.
func (r *Router) racksAt(now time.Time, distance int, need laddermodel.Size, tried map[string]bool) []*rackState {
	var usable []*rackState
	for _, state := range r.racks {
		if r.distance(state.digest) != distance || tried[state.digest.Rack] || now.Sub(state.receivedAt) > digestLifetime {
			continue
		}
		if need == (laddermodel.Size{}) || (need.Fits(state.digest.LargestFree) && need.Fits(r.estimatedFree(state))) {
			usable = append(usable, state)
		}
	}
	sort.Slice(usable, func(i, j int) bool { return usable[i].digest.Rack < usable[j].digest.Rack })
	return usable
}

// distance returns 0 for a rack in the router's zone, 1 for one in another zone
// of its region, and 2 for one in another region.
func (r *Router) distance(d Digest) int {
	switch {
	case d.Zone == r.zone:
		return 0
	case d.Region == r.region:
		return 1
	default:
		return 2
	}
}

// choose selects one of the racks by the router's rule. It returns nil if there
// are none.
func (r *Router) choose(usable []*rackState) *rackState {
	if len(usable) == 0 {
		return nil
	}
	switch r.rule {
	case RoundRobinRack:
		r.turnCount++
		return usable[r.turnCount%len(usable)]
	case RandomRack:
		return usable[r.rand.IntN(len(usable))]
	case TwoChoicesCorrected, TwoChoicesUncorrected:
	}
	a, b := usable[r.rand.IntN(len(usable))], usable[r.rand.IntN(len(usable))]
	if r.estimatedFree(b).Slots > r.estimatedFree(a).Slots {
		return b
	}
	return a
}

// estimatedFree returns the free capacity that a rack is estimated to have.
func (r *Router) estimatedFree(state *rackState) laddermodel.Size {
	if r.rule != TwoChoicesCorrected {
		return state.digest.Free
	}
	return state.digest.Free.Sub(state.sentSince)
}

func targetOf(d Digest) Target {
	return Target{Holder: d.Holder, Region: d.Region, Zone: d.Zone, Rack: d.Rack}
}
