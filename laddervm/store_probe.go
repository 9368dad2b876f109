package laddervm

import (
	"context"
	"net/netip"
	"time"

	"lacewingladder/ladderjournal"
	"lacewingladder/platform"
)

const (
	// probeInterval is the time between two probes of a store that serves no calls.
	probeInterval = 200 * time.Millisecond
	// probeTimeout bounds a probe. Calls that were sent to a store that has gone silent are never answered, and
	// their timeouts grow with the time that earlier ones have waited.
	probeTimeout = 600 * time.Millisecond
)

// storeProbe looks, while the store serves no call of this VM, whether it does again. Calls that wait are then sent once
// more, and new jobs are accepted.
type storeProbe struct {
	carrier *storeCarrier
	store   *platform.Store
}

func newStoreProbe(c *storeCarrier, address netip.AddrPort) *storeProbe {
	p := &storeProbe{carrier: c}
	p.store = platform.NewStore(p, address)
	return p
}

// run probes the store until ctx ends.
func (p *storeProbe) run(ctx context.Context) {
	for ctx.Err() == nil {
		if p.carrier.unavailable() {
			p.carrier.vm.wait.Go(func() {
				// The result is recorded by Carry, and the item does not matter.
				_, _, _ = p.store.Get(ctx, ladderjournal.LeaderKey)
			})
		}
		select {
		case <-ctx.Done():
		case <-p.carrier.vm.clock.After(probeInterval):
		}
	}
}

// Carry implements [platform.Carrier]. It sends a call directly, once.
func (p *storeProbe) Carry(ctx context.Context, to netip.AddrPort, call platform.Call) (platform.Reply, error) {
	call.Timeout = probeTimeout
	reply, err := p.carrier.vm.direct.Carry(ctx, to, call)
	result := pathResult{reply: reply, err: err}
	p.carrier.recordResult(result)
	p.carrier.vm.stats.countStoreCall("probe", result)
	return reply, err
}
