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

// VM is one VM of the platform's list. Role is worker or entry.
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
	// callTime bounds one call for the list.
	listTimeout = 2 * time.Second
	// maxList bounds the list in bytes.
	maxListBytes = 8 << 20
)

// Lister is a client of the platform's list of VMs. Create one with [NewLister].
type Lister struct {
	url  string
	http *http.Client
}

// NewLister returns a client of the list at an address.
func NewLister(address netip.AddrPort) *Lister {
	return &Lister{url: "http://" + address.String() + "/vms", http: &http.Client{}}
}

// Close closes idle connections.
func (l *Lister) Close() { l.http.CloseIdleConnections() }

// List returns the VMs that the platform lists. VMs that make no sense are left
// out and reported in the findings.
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

func toListing(vms []VM, findings *ladderfinding.List) laddermodel.Listing {
	var all laddermodel.Listing
	for i, v := range vms {
		address, err := netip.ParseAddrPort(v.Address)
		if err != nil {
			findings.Add(ladderfinding.Place{File: fmt.Sprintf("vms[%d]", i)}, "VM %q: %v", v.Name, err)
			continue
		}
		switch v.Role {
		case "worker":
			all.Workers = append(all.Workers, laddermodel.Worker{
				Name: v.Name, Region: v.Region, Zone: v.Zone, Rack: v.Rack, Address: address, Leaving: v.Leaving,
				Size: laddermodel.Size{
					Slots: v.Slots, Millicores: v.Millicores, Memory: v.Memory, Accelerators: v.Accelerators,
				},
			})
		case "entry":
			all.Entries = append(all.Entries, laddermodel.EntryVM{
				Name: v.Name, Region: v.Region, Zone: v.Zone, Peers: address, Leaving: v.Leaving,
			})
		default:
			findings.Add(ladderfinding.Place{File: fmt.Sprintf("vms[%d]", i)}, "VM %q: role %q is unknown", v.Name, v.Role)
		}
	}
	return all
}
