package laddermodel

import "net/netip"

// Worker is an endpoint VM that runs tasks.
type Worker struct {
	Name    string
	Region  string
	Zone    string
	Rack    string
	Address netip.AddrPort
	Size    Size
	// Leaving is true once the platform or the worker itself has reported that the
	// worker accepts no new tasks, because it will shut down.
	Leaving bool
}

// EntryVM is a VM that runs the scheduler and serves callers.
type EntryVM struct {
	Name   string
	Region string
	Zone   string
	// PeerAddress is the address at which the VM receives messages from its peers.
	PeerAddress netip.AddrPort
	// Leaving is true once the platform or the VM itself has reported that the VM
	// accepts no new work, because it will shut down.
	Leaving bool
}

// Listing is the platform's list of VMs. It may be out of date.
type Listing struct {
	Workers  []Worker
	EntryVMs []EntryVM
}

// Clone returns a copy that shares no memory with l.
func (l Listing) Clone() Listing {
	return Listing{
		Workers:  append([]Worker(nil), l.Workers...),
		EntryVMs: append([]EntryVM(nil), l.EntryVMs...),
	}
}
