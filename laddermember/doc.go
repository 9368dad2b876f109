// Package laddermember keeps track of an entry VM's peers: the other entry VMs.
//
// An entry VM learns of its peers from the platform's list of VMs, which may be out
// of date, from its settings, and from the heartbeats that it receives. A peer is
// live if its last heartbeat is recent enough; see [LivenessTimeout].
//
// Two entry VMs may disagree about which peers are live. That is safe: the result
// only decides which VM tries to get the claims on the workers of a rack, and each
// worker grants its claim to one VM at a time.
//
// # Usage
//
//	members := laddermember.New(self, now)
//	members.SetListing(now, listing.EntryVMs)
//	members.RecordHeartbeat(now, heartbeat)
//	if members.PreferredHolder(now, rack) == self.Name {
//		// request the claims on the rack's workers
//	}
//
// A [Members] is not safe for concurrent use. Package ladderserver uses it on its
// control goroutine only.
package laddermember
