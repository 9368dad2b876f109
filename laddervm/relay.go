package laddervm

import "time"

// relays chooses the peer that brings a call to the store for this VM. It is not safe
// for concurrent use.
type relays struct {
	// bad is until when a peer is not used.
	bad  map[string]time.Time
	next int
	// good is the peer that brought a call to the store last.
	good string
}

// pick returns which of the names to use: the one that worked last, or else each in turn.
// A part of all peers may be cut off from the store too, so what works is kept. Peers
// that failed lately, and those in used, are left out. It is false when none is left.
func (r *relays) pick(now time.Time, names []string, used map[string]bool) (int, bool) {
	fits := func(name string) bool { return !used[name] && !now.Before(r.bad[name]) }
	for i, name := range names {
		if name == r.good && fits(name) {
			return i, true
		}
	}
	for range names {
		r.next++
		if i := r.next % len(names); fits(names[i]) {
			return i, true
		}
	}
	return 0, false
}

// took takes in whether a peer brought a call to the store.
func (r *relays) record(now time.Time, name string, useful bool) {
	if useful {
		r.good = name
		return
	}
	r.bad[name] = now.Add(pathBackoff)
}
