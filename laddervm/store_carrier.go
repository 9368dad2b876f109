package laddervm

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"lacewingladder/laddermessage"
	"lacewingladder/platform"
)

const (
	// minCallTimeout and maxCallTimeout bound the adaptive timeout of a call to the store.
	minCallTimeout = 600 * time.Millisecond
	maxCallTimeout = 3 * time.Second
	// minOutage is the minimum of the outage threshold: the time without a served call after
	// which the store counts as unavailable, and without an answered call after which it counts
	// as unresponsive. While it is unresponsive, new jobs are rejected at once: a call would
	// only add one more whose outcome is unknown.
	minOutage = 350 * time.Millisecond
	// watchSlack is how long after its wait a watch call times out.
	watchSlack = 800 * time.Millisecond
	// minHedgeDelay is the minimum time for which a call must be unanswered before it is also
	// sent on the next path, and again on the one after that.
	minHedgeDelay = 120 * time.Millisecond
	// pathBackoff is how long a failure of a path has an effect. After a failure of the direct
	// path, calls are sent through peers first. After a failure of a peer, the peer is not used.
	pathBackoff = 700 * time.Millisecond
)

// storeCarrier carries calls to the store, directly or through a peer. It may send a call on
// several paths at once; all writes that go through it are conditional, so that repeating one
// has no effect.
type storeCarrier struct {
	vm *VM

	// latency is the typical latency of direct calls.
	latency typicalLatency

	mu sync.Mutex
	// directBackoffUntil is the time until which calls are sent through a peer first.
	directBackoffUntil time.Time
	// directFailingSince is when direct calls began to fail, or zero.
	directFailingSince time.Time
	relays             relaySelector
	// probes counts the calls that were made while the store was unavailable.
	probes int
	// unserved runs from the first call since the store last served one, and unanswered from
	// the first call since it last answered one, with a refusal or otherwise.
	unserved   outageTimer
	unanswered outageTimer
	// back is closed, and replaced, when the store serves a call after it was unavailable.
	back chan struct{}
}

func newStoreCarrier(v *VM) *storeCarrier {
	return &storeCarrier{vm: v, relays: relaySelector{excludedUntil: map[string]time.Time{}}, back: make(chan struct{})}
}

// pathResult is the result of a call on one path.
type pathResult struct {
	reply platform.Reply
	err   error
}

// served reports whether the store served the call. It did not if it refused the call because
// it is overloaded or unavailable.
func (r pathResult) served() bool {
	return r.err == nil && r.reply.Status != http.StatusServiceUnavailable && r.reply.Status != http.StatusTooManyRequests
}

// Carry implements [platform.Carrier].
func (c *storeCarrier) Carry(ctx context.Context, to netip.AddrPort, call platform.Call) (platform.Reply, error) {
	timeout := c.startCall(call)
	// The direct path may take longer than the timeout once its response has begun: a large
	// response that is given up is sent again as a whole.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	bounded, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	call.Timeout = timeout
	var answering atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { answering.Store(true) }})
	results := make(chan pathResult, maxPaths)
	used := map[string]bool{}
	paths, limit, back := c.paths(call)
	pending, sent := 0, 0
	sendNext := func() {
		for len(paths) > 0 && sent < limit && bounded.Err() == nil {
			p := paths[0]
			paths = paths[1:]
			if p == directPath {
				go c.sendDirect(traced, to, call, results)
			} else if !c.sendThroughPeer(bounded, to, call, timeout, used, results) {
				continue
			}
			pending++
			sent++
			return
		}
	}
	sendNext()
	hedgeDelay := c.hedgeDelay(call, timeout)
	hedge := c.vm.clock.After(hedgeDelay)
	failures := pathFailures{last: pathResult{err: platform.ErrUnsent}}
	for pending > 0 {
		select {
		case result := <-results:
			pending--
			c.recordResult(result)
			if result.served() {
				c.vm.stats.countStoreCall(call.Operation, result)
				return result.reply, nil
			}
			failures.add(result)
			sendNext()
		case <-hedge:
			hedge = nil
			if !answering.Load() {
				sendNext()
				// The store may lose the responses on both paths.
				if sent < limit && len(paths) > 0 {
					hedge = c.vm.clock.After(hedgeDelay)
				}
			}
		case <-back:
			back = nil
			if !answering.Load() {
				paths, limit = []path{directPath, peerPath}, maxPaths
				sendNext()
			}
		}
	}
	reply, err := failures.result()
	c.vm.stats.countStoreCall(call.Operation, pathResult{reply: reply, err: err})
	return reply, err
}

// pathFailures combines the results of the paths on which a call was not served.
type pathFailures struct {
	last pathResult
	// unknown is the first error of a path on which the call may have reached the store.
	unknown error
}

// add adds the result of one path. As the last result, a refusal takes precedence over an
// error.
func (f *pathFailures) add(r pathResult) {
	if f.unknown == nil && r.err != nil && !errors.Is(r.err, platform.ErrUnsent) {
		f.unknown = r.err
	}
	if f.last.err != nil || r.err == nil {
		f.last = r
	}
}

// result returns the result of the call. The call counts as refused or not sent only if that
// holds for all of its paths.
func (f *pathFailures) result() (platform.Reply, error) {
	if f.unknown != nil {
		return platform.Reply{}, fmt.Errorf("the store did not answer on one of the paths: %w", f.unknown)
	}
	return f.last.reply, f.last.err
}

// path is a path to the store.
type path int

const (
	directPath path = iota
	peerPath
)

// maxPaths is the maximum number of paths on which a call is sent.
const maxPaths = 3

// paths returns the paths for a call in order of preference, and the maximum number of them to
// use. The next path is used whenever one has failed, and each time that the call is slow.
// While the store is unavailable, each call uses a single path, alternately the direct one and
// a peer, because more attempts would only add to the number of calls. The channel back is then closed
// when the store is available again. The call may be lost, so it is sent once more; a watch is not,
// which the store would let wait again.
func (c *storeCarrier) paths(call platform.Call) (paths []path, limit int, back <-chan struct{}) {
	now := c.vm.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.unserved.expired(now):
		c.probes++
		if call.Wait == 0 {
			back = c.back
		}
		if c.probes%2 == 0 {
			return []path{peerPath, directPath}, 1, back
		}
		return []path{directPath}, 1, back
	case now.Before(c.directBackoffUntil):
		return []path{peerPath, peerPath, directPath}, maxPaths, nil
	}
	return []path{directPath, peerPath, peerPath}, maxPaths, nil
}

// startCall records the start of a call and returns its timeout.
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

// recordResult records the result of a call on one path.
func (c *storeCarrier) recordResult(r pathResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.served() {
		if c.unserved.expired(c.vm.clock.Now()) {
			close(c.back)
			c.back = make(chan struct{})
		}
		c.unserved.reset()
	}
	if r.err == nil {
		c.unanswered.reset()
	}
}

// unavailable reports whether the store has served no call for longer than the outage
// threshold.
func (c *storeCarrier) unavailable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unserved.expired(c.vm.clock.Now())
}

// unresponsive reports whether the store has answered no call for longer than the outage
// threshold.
func (c *storeCarrier) unresponsive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered.expired(c.vm.clock.Now())
}

// hedgeDelay returns how long a call may be unanswered before it is also sent on the next
// path. A watch, which waits by design, is not hedged.
func (c *storeCarrier) hedgeDelay(call platform.Call, timeout time.Duration) time.Duration {
	if call.Wait > 0 {
		return timeout
	}
	return c.latency.timeout(minHedgeDelay, maxCallTimeout)
}

func (c *storeCarrier) sendDirect(ctx context.Context, to netip.AddrPort, call platform.Call, out chan<- pathResult) {
	began := c.vm.clock.Now()
	reply, err := c.vm.direct.Carry(ctx, to, call)
	now := c.vm.clock.Now()
	result := pathResult{reply: reply, err: err}
	c.vm.stats.countStoreBytes(call.Operation, "direct", result)
	c.mu.Lock()
	switch {
	case result.served():
		if call.Wait == 0 {
			c.latency.observe(now.Sub(began))
		}
		c.directBackoffUntil = time.Time{}
		if !c.directFailingSince.IsZero() {
			c.vm.log.Info("direct calls to the store succeed again", "after", now.Sub(c.directFailingSince).Round(time.Millisecond))
			c.directFailingSince = time.Time{}
		}
	case !errors.Is(err, context.Canceled):
		if c.directFailingSince.IsZero() {
			c.directFailingSince = now
			c.vm.log.Warn("direct calls to the store fail; trying peers",
				"operation", call.Operation, "after", now.Sub(began).Round(time.Millisecond), "status", reply.Status, "err", err)
		}
		c.directBackoffUntil = now.Add(pathBackoff)
		if errors.Is(err, context.DeadlineExceeded) && call.Wait == 0 {
			c.latency.observe(now.Sub(began))
		}
	}
	c.mu.Unlock()
	if err != nil {
		c.vm.direct.DropConnections(to)
	}
	out <- result
}

// sendThroughPeer sends a call through a peer that was not used for it yet. It returns false
// if there is no such peer.
func (c *storeCarrier) sendThroughPeer(
	ctx context.Context, to netip.AddrPort, call platform.Call, timeout time.Duration, used map[string]bool, out chan<- pathResult,
) bool {
	peer, ok := c.pickPeer(used)
	if !ok {
		return false
	}
	used[peer.name] = true
	c.vm.stats.relayedCalls.Inc()
	go func() {
		m, err := c.vm.registry.call(ctx, peer, laddermessage.RelayCall{To: to, Call: call, Timeout: timeout})
		result := pathResult{err: err}
		if r, ok := m.(laddermessage.RelayReply); ok {
			result.reply = r.Reply
			switch {
			case r.Unsent:
				result.err = platform.ErrUnsent
			case r.Failed:
				result.err = errors.New("the store did not answer the peer")
			}
		}
		c.vm.stats.countStoreBytes(call.Operation, "peer", result)
		if !errors.Is(err, context.Canceled) {
			c.mu.Lock()
			c.relays.record(c.vm.clock.Now(), peer.name, result.served())
			c.mu.Unlock()
		}
		out <- result
	}()
	return true
}

// pickPeer returns the peer through which to send a call.
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

// relayCall makes the call that a peer asks this VM to relay.
func (v *VM) relayCall(ctx context.Context, m laddermessage.RelayCall) laddermessage.RelayReply {
	ctx, cancel := context.WithTimeout(ctx, min(m.Timeout, maxRelayedCall))
	defer cancel()
	reply, err := v.direct.Carry(ctx, m.To, m.Call)
	if platform.Restarted(err) {
		v.log.Info("call of a peer to a worker was not sent; the worker has restarted", "worker", m.Call.Instance, "path", m.Call.Path, "err", err)
	}
	// A worker that has accepted a connection and did not answer the greeting on it was reached.
	unsent := errors.Is(err, platform.ErrUnsent) && !errors.Is(err, platform.ErrUnanswered)
	return laddermessage.RelayReply{Reply: reply, Unsent: unsent, Failed: err != nil}
}

// maxRelayedCall bounds a call that is made on behalf of a peer. It is longer than every timeout
// that peers request, including that of a watch with its slack.
const maxRelayedCall = 35 * time.Second
