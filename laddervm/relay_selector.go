package laddervm

import "time"

// relays chooses the peer that brings a call to the store for this VM. It is not safe
// for concurrent use.
type relaySelector struct {
	// bad is until when a peer is not used.
	excludedUntil map[string]time.Time
	next          int
	// good is the peer that brought a call to the store last.
	lastGood string
}

// pick returns which of the names to use: the one that worked last, or else each in turn.
// A part of all peers may be cut off from the store too, so what works is kept. Peers
// that failed lately, and those in used, are left out. It is false when none is left.
func (r *relaySelector) pick(now time.Time, names []string, used map[string]bool) (int, bool) {
	usable := func(name string) bool { return !used[name] && !now.Before(r.excludedUntil[name]) }
	for i, name := range names {
		if name == r.lastGood && usable(name) {
			return i, true
		}
	}
	for range names {
		r.next++
		if i := r.next % len(names); usable(names[i]) {
			return i, true
		}
	}
	return 0, false
}

// took takes in whether a peer brought a call to the store.
func (r *relaySelector) record(now time.Time, name string, useful bool) {
	if useful {
		r.lastGood = name
		return
	}
	r.excludedUntil[name] = now.Add(pathBackoff)
}
