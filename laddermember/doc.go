// Package laddermember keeps track of the other entry VMs.
//
// An entry VM learns of its peers from the platform's list, which lags, from its
// settings, and from the heartbeats that reach it. A peer is live while it was
// heard within [DeadAfter]. Views may differ between VMs and no rule of safety
// rests on them: they only decide who tries to hold which rack.
//
// # Usage
//
//	members := laddermember.New(self, now)
//	members.SetListing(now, listing.Entries)
//	members.Heard(now, beat)
//	if members.Wanted(now, rack) == self.Name {
//		// try to hold the rack
//	}
//
// A Members is not safe for concurrent use; it belongs to the control goroutine.
package laddermember
