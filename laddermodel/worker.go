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
	// Leaving is true once the platform or the worker itself says so.
	Leaving bool
}

// EntryVM is a VM that runs the scheduler.
type EntryVM struct {
	Name   string
	Region string
	Zone   string
	// Peers is the address at which the VM takes messages of its peers.
	Peers netip.AddrPort
	// Leaving is true once the platform or the VM itself says so.
	Leaving bool
}

// Listing is the platform's list of VMs. It lags behind the truth.
type Listing struct {
	Workers []Worker
	Entries []EntryVM
}

// Clone returns a copy that shares no memory with l.
func (l Listing) Clone() Listing {
	return Listing{
		Workers: append([]Worker(nil), l.Workers...),
		Entries: append([]EntryVM(nil), l.Entries...),
	}
}
