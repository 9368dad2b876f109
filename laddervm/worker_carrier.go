package laddervm

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"lacewingladder/laddermessage"
	"lacewingladder/platform"
)

const (
	// relayRouteTime is how long calls to a worker go through a peer before the direct route
	// is tried again.
	relayRouteTime = 2 * time.Second
	// relayTimeoutPercent is the part of a call's time after which a peer gives the call up. The rest is for
	// its reply, which says whether the worker was reached.
	relayTimeoutPercent = 75
	// defaultRelayTimeout bounds a relayed call whose context has no deadline.
	defaultRelayTimeout = 5 * time.Second
)

// workerRoutes records the workers to which the direct route fails, and the peer through
// which each of them is called meanwhile. It is safe for concurrent use.
type workerRoutes struct {
	mu      sync.Mutex
	relayed map[netip.AddrPort]relayRoute
}

// relayRoute is a route to a worker through a peer.
type relayRoute struct {
	peer  string
	until time.Time
}

// pick returns the peer through which to call a worker, or "" for the direct route.
func (r *workerRoutes) pick(now time.Time, to netip.AddrPort) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	route, ok := r.relayed[to]
	if !ok || !now.Before(route.until) {
		return ""
	}
	return route.peer
}

// markFailed records that a call to a worker has failed on a route and selects the next
// route: each peer in turn and then the direct route again.
func (r *workerRoutes) markFailed(now time.Time, to netip.AddrPort, via string, peers []string) {
	next := 0
	for i, p := range peers {
		if p == via {
			next = i + 1
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if next >= len(peers) {
		delete(r.relayed, to)
		return
	}
	r.relayed[to] = relayRoute{peer: peers[next], until: now.Add(relayRouteTime)}
}

// workerCarrier carries calls to workers, each on a single route. The outcome of a call that
// was not answered is unknown until the planner learns it from the worker's status reports.
type workerCarrier struct {
	vm     *VM
	routes workerRoutes
}

func newWorkerCarrier(v *VM) *workerCarrier {
	return &workerCarrier{vm: v, routes: workerRoutes{relayed: map[netip.AddrPort]relayRoute{}}}
}

// Carry implements [platform.Carrier].
func (c *workerCarrier) Carry(ctx context.Context, to netip.AddrPort, call platform.Call) (platform.Reply, error) {
	via := c.routes.pick(c.vm.clock.Now(), to)
	reply, err := c.carry(ctx, to, call, via)
	if err == nil || errors.Is(ctx.Err(), context.Canceled) {
		return reply, err
	}
	if platform.Restarted(err) {
		c.vm.log.Info("call to a worker was not sent; the worker has restarted", "worker", call.Instance, "path", call.Path, "err", err)
		return reply, err
	}
	var names []string
	for _, p := range c.vm.registry.others() {
		names = append(names, p.name)
	}
	c.routes.markFailed(c.vm.clock.Now(), to, via, names)
	return reply, err
}

// carry sends a call through the peer named via, or directly if there is no such peer.
func (c *workerCarrier) carry(ctx context.Context, to netip.AddrPort, call platform.Call, via string) (platform.Reply, error) {
	p, ok := c.vm.registry.find(via)
	if via == "" || !ok {
		return c.vm.workerDirect.Carry(ctx, to, call)
	}
	timeout := defaultRelayTimeout
	if end, ok := ctx.Deadline(); ok {
		timeout = time.Until(end) * relayTimeoutPercent / 100
	}
	m, err := c.vm.registry.call(ctx, p, laddermessage.RelayCall{To: to, Call: call, Timeout: timeout})
	if err != nil {
		return platform.Reply{}, err
	}
	r, ok := m.(laddermessage.RelayReply)
	switch {
	case !ok:
		return platform.Reply{}, errors.New("the peer did not carry the call")
	case r.Unsent:
		return platform.Reply{}, platform.ErrUnsent
	case r.Failed:
		return platform.Reply{}, fmt.Errorf("through peer %s: %w", via, platform.ErrUnanswered)
	}
	return r.Reply, nil
}
