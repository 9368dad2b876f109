package ladderplacement

import (
	"math/rand/v2"
	"sort"
	"time"

	"lacewingladder/laddermodel"
)

// staleAfter is the age at which a digest is no longer used.
const staleAfter = 10 * time.Second

// Digest is what an entry VM tells its peers about one rack that it holds.
type Digest struct {
	Holder string
	Region string
	Zone   string
	Rack   string
	// Free is the room left on the rack's workers together, and Widest the
	// largest room on any one of them.
	Free   laddermodel.Size
	Widest laddermodel.Size
	// Home is true when the holder is the rack's home.
	Home bool
	// Waiting is the predicted wait of urgent work at the holder.
	Waiting time.Duration
}

// Target is a holder to ask for room.
type Target struct {
	Holder string
	Region string
	Zone   string
	Rack   string
}

// Rule is how a [Router] chooses among holders.
type Rule int

// The rules of a router.
const (
	// Corrected draws two racks and takes the one with more room, after taking
	// off what was sent there since its digest was made.
	Corrected Rule = iota
	// Uncorrected is the same on the digests as they came.
	Uncorrected
	// Blind draws one rack.
	Blind
	// Turns takes the racks in turn.
	Turns
)

// Router picks the holder to ask for room. It is not safe for concurrent use;
// its owner holds the lock.
type Router struct {
	zone   string
	region string
	rule   Rule
	rand   *rand.Rand
	racks  map[string]*known
	turn   int
}

// known is the newest digest of a rack and what was sent there since.
type known struct {
	digest Digest
	at     time.Time
	sent   laddermodel.Size
}

// NewRouter returns a router for an entry VM in a zone of a region.
func NewRouter(region, zone string, rule Rule, seed uint64) *Router {
	return &Router{
		region: region,
		zone:   zone,
		rule:   rule,
		rand:   rand.New(rand.NewPCG(seed, seed)),
		racks:  map[string]*known{},
	}
}

// Learn takes in a digest and forgets what was sent before it.
func (r *Router) Learn(now time.Time, d Digest) {
	r.racks[d.Rack] = &known{digest: d, at: now}
}

// Forget drops what a holder said, since it is gone or leaving.
func (r *Router) Forget(holder string) {
	for rack, k := range r.racks {
		if k.digest.Holder == holder {
			delete(r.racks, rack)
		}
	}
}

// Sent takes room off a rack's digest for a task that was sent there.
func (r *Router) Sent(rack string, s laddermodel.Size) {
	if k, ok := r.racks[rack]; ok {
		k.sent = k.sent.Add(s)
	}
}

// Ended gives room back to a rack's digest for a task that was sent there and has
// ended.
func (r *Router) Ended(rack string, s laddermodel.Size) {
	if k, ok := r.racks[rack]; ok {
		k.sent = k.sent.Sub(s)
	}
}

// Full records that a rack's holder had no room, until its next digest.
func (r *Router) Full(rack string) {
	if k, ok := r.racks[rack]; ok {
		k.digest.Free, k.digest.Widest = laddermodel.Size{}, laddermodel.Size{}
	}
}

// Home returns the holder that is the home of a rack.
func (r *Router) Home(now time.Time, rack string) (Target, bool) {
	k, ok := r.racks[rack]
	if !ok || !k.digest.Home || now.Sub(k.at) > staleAfter {
		return Target{}, false
	}
	return target(k.digest), true
}

// Route returns the holder to ask next for room of the given size. It prefers
// its own zone, then other zones of its region, and goes to other regions only
// when far allows it. When all look full it returns one of the own zone, where
// the task may wait. Racks in tried are passed over.
func (r *Router) Route(now time.Time, need laddermodel.Size, tried map[string]bool, far bool) (Target, bool) {
	for ring := range 3 {
		if ring == 2 && !far {
			break
		}
		if k := r.choose(r.ring(now, ring, need, tried)); k != nil {
			return target(k.digest), true
		}
	}
	if k := r.choose(r.ring(now, 0, laddermodel.Size{}, tried)); k != nil {
		return target(k.digest), true
	}
	return Target{}, false
}

// Freest returns fresh digests ordered by the most room first, for work that
// looks at the whole cell.
func (r *Router) Freest(now time.Time) []Digest {
	var all []Digest
	for _, k := range r.racks {
		if now.Sub(k.at) > staleAfter {
			continue
		}
		d := k.digest
		d.Free = d.Free.Sub(k.sent)
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

// ring returns the usable racks of the own zone (0), the other zones of the own
// region (1) or the other regions (2).
func (r *Router) ring(now time.Time, ring int, need laddermodel.Size, tried map[string]bool) []*known {
	var usable []*known
	for _, k := range r.racks {
		if r.distance(k.digest) != ring || tried[k.digest.Rack] || now.Sub(k.at) > staleAfter {
			continue
		}
		if need == (laddermodel.Size{}) || (need.Fits(k.digest.Widest) && need.Fits(r.room(k))) {
			usable = append(usable, k)
		}
	}
	sort.Slice(usable, func(i, j int) bool { return usable[i].digest.Rack < usable[j].digest.Rack })
	return usable
}

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

// choose picks one of the usable racks by the router's rule.
func (r *Router) choose(usable []*known) *known {
	if len(usable) == 0 {
		return nil
	}
	switch r.rule {
	case Turns:
		r.turn++
		return usable[r.turn%len(usable)]
	case Blind:
		return usable[r.rand.IntN(len(usable))]
	case Corrected, Uncorrected:
	}
	a, b := usable[r.rand.IntN(len(usable))], usable[r.rand.IntN(len(usable))]
	if r.room(b).Slots > r.room(a).Slots {
		return b
	}
	return a
}

// room returns the room that a rack is believed to have.
func (r *Router) room(k *known) laddermodel.Size {
	if r.rule != Corrected {
		return k.digest.Free
	}
	return k.digest.Free.Sub(k.sent)
}

func target(d Digest) Target {
	return Target{Holder: d.Holder, Region: d.Region, Zone: d.Zone, Rack: d.Rack}
}
