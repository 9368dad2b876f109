package laddervm

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"lacewingladder/laddermessage"
	"lacewingladder/platform"
)

const (
	// callTime bounds one call to the store, and slowTime one to a store that is slow.
	minCallTimeout = 600 * time.Millisecond
	maxCallTimeout = 3 * time.Second
	// outTime is how long the store must have served no call to count as out, and to
	// have answered none to count as silent. New jobs are refused at once while it is
	// silent: a call could only add one of unknown fate.
	minOutage = 350 * time.Millisecond
	// watchSlack is how long after its wait a watch is given up.
	watchSlack = 800 * time.Millisecond
	// hedgeTime is after how long without an answer a call is also sent through a
	// peer, at least.
	minHedgeDelay = 120 * time.Millisecond
	// shunTime is how long the straight way is left alone after it failed.
	pathBackoff = 700 * time.Millisecond
)

// carrier carries calls to the store, straight or through a peer. All writes that
// go through it are conditional, so that sending one twice does no harm.
type storeCarrier struct {
	vm *VM

	latency typicalLatency

	mu sync.Mutex
	// shun is until when calls go through a peer first.
	directBackoffUntil time.Time
	// lost is since when the straight way fails, or zero.
	directFailingSince time.Time
	relays             relaySelector
	// probes counts the calls that were made while the store served nobody.
	probes int
	// unserved is when the first call since the last useful answer was made, and
	// unanswered since the last answer of any kind.
	unserved   outageTimer
	unanswered outageTimer
}

func newStoreCarrier(v *VM) *storeCarrier {
	return &storeCarrier{vm: v, relays: relaySelector{excludedUntil: map[string]time.Time{}}}
}

// answer is what became of one way of sending a call.
type pathResult struct {
	reply platform.Reply
	err   error
}

// useful reports whether the store itself has answered the call.
func (a pathResult) useful() bool {
	return a.err == nil && a.reply.Status != http.StatusServiceUnavailable && a.reply.Status != http.StatusTooManyRequests
}

// Carry implements [platform.Carrier].
func (c *storeCarrier) Carry(ctx context.Context, to netip.AddrPort, call platform.Call) (platform.Reply, error) {
	within := c.startCall(call)
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	results := make(chan pathResult, maxPaths)
	used := map[string]bool{}
	paths, most := c.paths()
	pending, begun := 0, 0
	// begin sends the call by the next way that there is.
	begin := func() {
		for len(paths) > 0 && begun < most && ctx.Err() == nil {
			p := paths[0]
			paths = paths[1:]
			if p == directPath {
				go c.sendDirect(ctx, to, call, results)
			} else if !c.sendThroughPeer(ctx, to, call, within, used, results) {
				continue
			}
			pending++
			begun++
			return
		}
	}
	begin()
	hedge := c.vm.clock.After(c.hedgeDelay(call, within))
	f := pathFailures{last: pathResult{err: platform.ErrUnsent}}
	for pending > 0 {
		select {
		case a := <-results:
			pending--
			c.recordResult(a)
			if a.useful() {
				c.vm.stats.countStoreCall(call.Kind, a)
				return a.reply, nil
			}
			f.add(a)
			begin()
		case <-hedge:
			hedge = nil
			begin()
		}
	}
	reply, err := f.result()
	c.vm.stats.countStoreCall(call.Kind, pathResult{reply: reply, err: err})
	return reply, err
}

// fate gathers what became of a call on ways that brought no useful answer.
type pathFailures struct {
	last pathResult
	// unknown is the first error of a way that may have brought the call to the store.
	unknown error
}

// add takes in what became of the call on one way. A refusal says more than an error.
func (f *pathFailures) add(a pathResult) {
	if f.unknown == nil && a.err != nil && !errors.Is(a.err, platform.ErrUnsent) {
		f.unknown = a.err
	}
	if f.last.err != nil || a.err == nil {
		f.last = a
	}
}

// result returns what became of the call: it was refused or not sent only if that is so on
// all of its ways.
func (f *pathFailures) result() (platform.Reply, error) {
	if f.unknown != nil {
		return platform.Reply{}, fmt.Errorf("the store did not answer on one of the ways: %w", f.unknown)
	}
	return f.last.reply, f.last.err
}

// way is a way to the store.
type path int

const (
	directPath path = iota
	peerPath
)

// maxWays is by how many ways a call is sent at most.
const maxPaths = 3

// ways returns the ways by which a call is sent, each once those before have failed or
// one is slow, and how many are used at most. While the store serves nobody each call
// takes one way, in turn: more would only be counted.
func (c *storeCarrier) paths() (paths []path, most int) {
	now := c.vm.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.unserved.expired(now):
		c.probes++
		if c.probes%2 == 0 {
			return []path{peerPath, directPath}, 1
		}
		return []path{directPath}, 1
	case now.Before(c.directBackoffUntil):
		return []path{peerPath, peerPath, directPath}, maxPaths
	}
	return []path{directPath, peerPath, peerPath}, maxPaths
}

// begin takes note of a call and returns how long it may take.
func (c *storeCarrier) startCall(call platform.Call) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call.Wait > 0 {
		return call.Wait + watchSlack
	}
	now, threshold := c.vm.clock.Now(), c.latency.timeout(minOutage, maxCallTimeout)
	c.unserved.start(now, threshold)
	c.unanswered.start(now, threshold)
	return c.latency.timeout(minCallTimeout, maxCallTimeout)
}

// answered takes note of what became of a call.
func (c *storeCarrier) recordResult(a pathResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.useful() {
		c.unserved.reset()
	}
	if a.err == nil {
		c.unanswered.reset()
	}
}

// out reports whether the store has served nothing for a while.
func (c *storeCarrier) unavailable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unserved.expired(c.vm.clock.Now())
}

// silent reports whether the store has answered nothing for a while.
func (c *storeCarrier) unresponsive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered.expired(c.vm.clock.Now())
}

// hedge returns after how long a call is also sent the other way.
func (c *storeCarrier) hedgeDelay(call platform.Call, within time.Duration) time.Duration {
	if call.Wait > 0 {
		return within
	}
	return c.latency.timeout(minHedgeDelay, maxCallTimeout)
}

// straight sends a call straight to the store.
func (c *storeCarrier) sendDirect(ctx context.Context, to netip.AddrPort, call platform.Call, out chan<- pathResult) {
	began := c.vm.clock.Now()
	reply, err := c.vm.direct.Carry(ctx, to, call)
	now := c.vm.clock.Now()
	a := pathResult{reply: reply, err: err}
	c.mu.Lock()
	switch {
	case a.useful():
		if call.Wait == 0 {
			c.latency.observe(now.Sub(began))
		}
		c.directBackoffUntil = time.Time{}
		if !c.directFailingSince.IsZero() {
			c.vm.log.Info("store serves this VM again", "after", now.Sub(c.directFailingSince).Round(time.Millisecond))
			c.directFailingSince = time.Time{}
		}
	case !errors.Is(err, context.Canceled):
		if c.directFailingSince.IsZero() {
			c.directFailingSince = now
			c.vm.log.Warn("store does not serve this VM", "status", reply.Status, "err", err)
		}
		c.directBackoffUntil = now.Add(pathBackoff)
		if errors.Is(err, context.DeadlineExceeded) && call.Wait == 0 {
			c.latency.observe(now.Sub(began))
		}
	}
	c.mu.Unlock()
	if err != nil {
		c.vm.direct.Forget(to)
	}
	out <- a
}

// through sends a call through a peer that is not used for it yet. It is false when
// there is none.
func (c *storeCarrier) sendThroughPeer(
	ctx context.Context, to netip.AddrPort, call platform.Call, within time.Duration, used map[string]bool, out chan<- pathResult,
) bool {
	peer, ok := c.pickPeer(used)
	if !ok {
		return false
	}
	used[peer.name] = true
	c.vm.stats.relayedCalls.Inc()
	go func() {
		m, err := c.vm.registry.call(ctx, peer, laddermessage.Carry{To: to, Call: call, Within: within})
		a := pathResult{err: err}
		if r, ok := m.(laddermessage.Carried); ok {
			a.reply = r.Reply
			switch {
			case r.Unsent:
				a.err = platform.ErrUnsent
			case r.Failed:
				a.err = errors.New("the store did not answer the peer")
			}
		}
		if !errors.Is(err, context.Canceled) {
			c.mu.Lock()
			c.relays.record(c.vm.clock.Now(), peer.name, a.useful())
			c.mu.Unlock()
		}
		out <- a
	}()
	return true
}

// peer returns the peer through which a call is to be sent.
func (c *storeCarrier) pickPeer(used map[string]bool) (peer, bool) {
	list := c.vm.registry.others()
	names := make([]string, len(list))
	for i, p := range list {
		names[i] = p.name
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	i, ok := c.relays.pick(c.vm.clock.Now(), names, used)
	if !ok {
		return peer{}, false
	}
	return list[i], true
}

// carryFor makes a call for a peer.
func (v *VM) carryForPeer(ctx context.Context, m laddermessage.Carry) laddermessage.Carried {
	ctx, cancel := context.WithTimeout(ctx, min(m.Within, maxRelayedCall))
	defer cancel()
	reply, err := v.direct.Carry(ctx, m.To, m.Call)
	return laddermessage.Carried{Reply: reply, Unsent: errors.Is(err, platform.ErrUnsent), Failed: err != nil}
}

// maxCarry bounds a call that is made for a peer: the longest watch and its slack.
const maxRelayedCall = 35 * time.Second
