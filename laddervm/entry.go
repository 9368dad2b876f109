package laddervm

import (
	"context"
	"errors"
	"net/netip"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lacewingladder/platform"
)

// leavingZone begins the zone in the entry of a VM that is leaving. Earlier builds, which accept no additional
// element, take it for a zone without workers.
const leavingZone = "leaving:"

// peer is another entry VM, as it registered itself.
type peer struct {
	name        string
	incarnation string
	address     netip.AddrPort
	// hash is the hash of the VM's public key.
	hash string
	// processor is the VM's processor capacity, in thousandths of a core. It is zero if the VM is leaving.
	processor int
	zone      string
	// leaving is true once the VM is about to stop. It still serves, but must get no new duties.
	leaving bool
	// revision is that of the VM's entry.
	revision int64
	// removedAt is when the VM's entry was removed from the store, or zero.
	removedAt time.Time
}

// entryWire is the stored form of a VM's entry and of the leader's key.
type entryWire struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation string
	Address     string
	Hash        string
	// Processor is the VM's processor capacity, in thousandths of a core. It is zero if the VM is leaving, so
	// that no leader hands over to it.
	Processor int
	// Zone begins with leavingZone if the VM is leaving.
	Zone string
}

// entry returns the stored form of this VM's entry.
func (r *registry) entry() []byte {
	address := netip.AddrPortFrom(r.vm.settings.Address, r.vm.settings.FirstPort)
	w := entryWire{
		Name: r.vm.settings.Name, Incarnation: r.incarnation, Address: address.String(), Hash: r.vm.keys.hash,
		Processor: r.vm.settings.Processor, Zone: r.vm.settings.Zone,
	}
	if r.vm.leaving.Load() {
		w.Processor, w.Zone = 0, leavingZone+w.Zone
	}
	data, err := cbor.Marshal(w)
	if err != nil {
		panic(err) // Strings can always be encoded.
	}
	return data
}

// parseEntry decodes the stored form of an entry.
func parseEntry(data []byte) (peer, error) {
	var w entryWire
	if err := cbor.Unmarshal(data, &w); err != nil {
		return peer{}, err
	}
	zone, leaving := strings.CutPrefix(w.Zone, leavingZone)
	address, err := netip.ParseAddrPort(w.Address)
	return peer{
		name: w.Name, incarnation: w.Incarnation, address: address, hash: w.Hash, processor: w.Processor, zone: zone, leaving: leaving,
	}, err
}

// announceLeaving writes the entry of a VM that is leaving, and retries until the store has it or ctx ends. An
// entry that is not registered says so when it is.
func (r *registry) announceLeaving(ctx context.Context) {
	for ctx.Err() == nil {
		id := r.lease.current()
		if id == 0 {
			return
		}
		_, _, err := r.vm.store.Commit(ctx, platform.Txn{
			Writes: []platform.Write{{Key: entryPrefix + r.vm.settings.Name, Value: r.entry(), Lease: id}},
		})
		if err == nil {
			r.log.Info("entry says that the VM is leaving")
			return
		}
		if errors.Is(err, platform.ErrNoLease) {
			return
		}
		if ctx.Err() == nil {
			r.log.Warn("entry of the leaving VM could not be written; retrying", "err", err)
		}
		select {
		case <-ctx.Done():
		case <-r.vm.clock.After(retryInterval):
		}
	}
}
