package laddervm

import "time"

// relaySelector selects the peer that relays a call to the store for this VM. It is not safe
// for concurrent use.
type relaySelector struct {
	// excludedUntil holds, by name, the time until which a peer that failed is not used.
	excludedUntil map[string]time.Time
	// next counts the picks, so that each peer is used in turn.
	next int
	// lastGood is the peer that last relayed a call successfully.
	lastGood string
}

// pick returns the index of the name to use: that of the peer that last succeeded, or else of
// each peer in turn. A peer that succeeds is kept, because some of the others may be cut off
// from the store as well. Peers that failed recently and those in used are excluded. It
// returns false if no peer remains.
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

// record records whether a peer relayed a call successfully.
func (r *relaySelector) record(now time.Time, name string, served bool) {
	if served {
		r.lastGood = name
		return
	}
	r.excludedUntil[name] = now.Add(pathBackoff)
}
