package ladderplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"lacewingladder/ladderfinding"
	"lacewingladder/laddermodel"
)

// VM is one entry of the platform's list, in its JSON form. Role is "worker" or
// "entry". Address is where an entry VM listens for its peers, or where a worker
// serves its HTTP interface.
type VM struct {
	Name         string `json:"name"`
	Role         string `json:"role"`
	Region       string `json:"region"`
	Zone         string `json:"zone"`
	Rack         string `json:"rack,omitempty"`
	Address      string `json:"address"`
	Leaving      bool   `json:"leaving,omitempty"`
	Slots        int    `json:"slots,omitempty"`
	Millicores   int    `json:"millicores,omitempty"`
	Memory       int64  `json:"memory,omitempty"`
	Accelerators int    `json:"accelerators,omitempty"`
}

const (
	// listTimeout bounds one request for the list.
	listTimeout = 2 * time.Second
	// maxListBytes bounds the size of the list.
	maxListBytes = 8 << 20
)

// Lister is a client of the platform's list of VMs. Create one with [NewLister].
type Lister struct {
	url  string
	http *http.Client
}

// NewLister returns a client of the platform at an address.
func NewLister(address netip.AddrPort) *Lister {
	return &Lister{url: "http://" + address.String() + "/vms", http: &http.Client{}}
}

// Close closes idle connections.
func (l *Lister) Close() { l.http.CloseIdleConnections() }

// List returns the VMs that the platform lists. Entries with an invalid address or
// an unknown role are left out and reported in the findings.
func (l *Lister) List(ctx context.Context) (laddermodel.Listing, ladderfinding.List, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var findings ladderfinding.List
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, http.NoBody)
	if err != nil {
		return laddermodel.Listing{}, findings, err
	}
	var vms []VM
	response, err := l.http.Do(request)
	if err != nil {
		return laddermodel.Listing{}, findings, fmt.Errorf("list of VMs: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return laddermodel.Listing{}, findings, fmt.Errorf("list of VMs: status %d", response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&vms); err != nil {
		return laddermodel.Listing{}, findings, fmt.Errorf("list of VMs: %w", err)
	}
	return toListing(vms, &findings), findings, nil
}

// toListing converts the platform's list. It adds a finding for each invalid entry.
func toListing(vms []VM, findings *ladderfinding.List) laddermodel.Listing {
	var listing laddermodel.Listing
	for i, v := range vms {
		address, err := netip.ParseAddrPort(v.Address)
		if err != nil {
			findings.Add(ladderfinding.Place{File: fmt.Sprintf("vms[%d]", i)}, "VM %q: %v", v.Name, err)
			continue
		}
		switch v.Role {
		case "worker":
			listing.Workers = append(listing.Workers, laddermodel.Worker{
				Name: v.Name, Region: v.Region, Zone: v.Zone, Rack: v.Rack, Address: address, Leaving: v.Leaving,
				Size: laddermodel.Size{
					Slots: v.Slots, Millicores: v.Millicores, Memory: v.Memory, Accelerators: v.Accelerators,
				},
			})
		case "entry":
			listing.EntryVMs = append(listing.EntryVMs, laddermodel.EntryVM{
				Name: v.Name, Region: v.Region, Zone: v.Zone, PeerAddress: address, Leaving: v.Leaving,
			})
		default:
			findings.Add(ladderfinding.Place{File: fmt.Sprintf("vms[%d]", i)}, "VM %q: role %q is unknown", v.Name, v.Role)
		}
	}
	return listing
}
