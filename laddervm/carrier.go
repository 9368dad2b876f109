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
	callTime = 600 * time.Millisecond
	slowTime = 3 * time.Second
	// outTime is how long the store must have served no call to count as out, and to
	// have answered none to count as silent. New jobs are refused at once while it is
	// silent: a call could only add one of unknown fate.
	outTime = 350 * time.Millisecond
	// watchSlack is how long after its wait a watch is given up.
	watchSlack = 800 * time.Millisecond
	// hedgeTime is after how long without an answer a call is also sent through a
	// peer, at least.
	hedgeTime = 120 * time.Millisecond
	// shunTime is how long the straight way is left alone after it failed.
	shunTime = 700 * time.Millisecond
)

// carrier carries calls to the store, straight or through a peer. All writes that
// go through it are conditional, so that sending one twice does no harm.
type carrier struct {
	vm *VM

	latency typicalLatency

	mu sync.Mutex
	// shun is until when calls go through a peer first.
	shun time.Time
	// lost is since when the straight way fails, or zero.
	lost   time.Time
	relays relays
	// probes counts the calls that were made while the store served nobody.
	probes int
	// unserved is when the first call since the last useful answer was made, and
	// unanswered since the last answer of any kind.
	unserved   outageTimer
	unanswered outageTimer
}

func newCarrier(v *VM) *carrier { return &carrier{vm: v, relays: relays{bad: map[string]time.Time{}}} }

// answer is what became of one way of sending a call.
type answer struct {
	reply platform.Reply
	err   error
}

// useful reports whether the store itself has answered the call.
func (a answer) useful() bool {
	return a.err == nil && a.reply.Status != http.StatusServiceUnavailable && a.reply.Status != http.StatusTooManyRequests
}

// Carry implements [platform.Carrier].
func (c *carrier) Carry(ctx context.Context, to netip.AddrPort, call platform.Call) (platform.Reply, error) {
	within := c.begin(call)
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	results := make(chan answer, maxWays)
	used := map[string]bool{}
	ways, most := c.ways()
	pending, begun := 0, 0
	// begin sends the call by the next way that there is.
	begin := func() {
		for len(ways) > 0 && begun < most && ctx.Err() == nil {
			w := ways[0]
			ways = ways[1:]
			if w == straightWay {
				go c.straight(ctx, to, call, results)
			} else if !c.through(ctx, to, call, within, used, results) {
				continue
			}
			pending++
			begun++
			return
		}
	}
	begin()
	hedge := c.vm.clock.After(c.hedge(call, within))
	f := fate{last: answer{err: platform.ErrUnsent}}
	for pending > 0 {
		select {
		case a := <-results:
			pending--
			c.answered(a)
			if a.useful() {
				c.vm.stats.call(call.Kind, a)
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
	c.vm.stats.call(call.Kind, answer{reply: reply, err: err})
	return reply, err
}

// fate gathers what became of a call on ways that brought no useful answer.
type fate struct {
	last answer
	// unknown is the first error of a way that may have brought the call to the store.
	unknown error
}

// add takes in what became of the call on one way. A refusal says more than an error.
func (f *fate) add(a answer) {
	if f.unknown == nil && a.err != nil && !errors.Is(a.err, platform.ErrUnsent) {
		f.unknown = a.err
	}
	if f.last.err != nil || a.err == nil {
		f.last = a
	}
}

// result returns what became of the call: it was refused or not sent only if that is so on
// all of its ways.
func (f *fate) result() (platform.Reply, error) {
	if f.unknown != nil {
		return platform.Reply{}, fmt.Errorf("the store did not answer on one of the ways: %w", f.unknown)
	}
	return f.last.reply, f.last.err
}

// way is a way to the store.
type way int

const (
	straightWay way = iota
	peerWay
)

// maxWays is by how many ways a call is sent at most.
const maxWays = 3

// ways returns the ways by which a call is sent, each once those before have failed or
// one is slow, and how many are used at most. While the store serves nobody each call
// takes one way, in turn: more would only be counted.
func (c *carrier) ways() (ways []way, most int) {
	now := c.vm.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.unserved.expired(now):
		c.probes++
		if c.probes%2 == 0 {
			return []way{peerWay, straightWay}, 1
		}
		return []way{straightWay}, 1
	case now.Before(c.shun):
		return []way{peerWay, peerWay, straightWay}, maxWays
	}
	return []way{straightWay, peerWay, peerWay}, maxWays
}

// begin takes note of a call and returns how long it may take.
func (c *carrier) begin(call platform.Call) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call.Wait > 0 {
		return call.Wait + watchSlack
	}
	now, threshold := c.vm.clock.Now(), c.latency.timeout(outTime, slowTime)
	c.unserved.start(now, threshold)
	c.unanswered.start(now, threshold)
	return c.latency.timeout(callTime, slowTime)
}

// answered takes note of what became of a call.
func (c *carrier) answered(a answer) {
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
func (c *carrier) out() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unserved.expired(c.vm.clock.Now())
}

// silent reports whether the store has answered nothing for a while.
func (c *carrier) silent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered.expired(c.vm.clock.Now())
}

// hedge returns after how long a call is also sent the other way.
func (c *carrier) hedge(call platform.Call, within time.Duration) time.Duration {
	if call.Wait > 0 {
		return within
	}
	return c.latency.timeout(hedgeTime, slowTime)
}

// straight sends a call straight to the store.
func (c *carrier) straight(ctx context.Context, to netip.AddrPort, call platform.Call, out chan<- answer) {
	began := c.vm.clock.Now()
	reply, err := c.vm.direct.Carry(ctx, to, call)
	now := c.vm.clock.Now()
	a := answer{reply: reply, err: err}
	c.mu.Lock()
	switch {
	case a.useful():
		if call.Wait == 0 {
			c.latency.observe(now.Sub(began))
		}
		c.shun = time.Time{}
		if !c.lost.IsZero() {
			c.vm.log.Info("store serves this VM again", "after", now.Sub(c.lost).Round(time.Millisecond))
			c.lost = time.Time{}
		}
	case !errors.Is(err, context.Canceled):
		if c.lost.IsZero() {
			c.lost = now
			c.vm.log.Warn("store does not serve this VM", "status", reply.Status, "err", err)
		}
		c.shun = now.Add(shunTime)
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
func (c *carrier) through(
	ctx context.Context, to netip.AddrPort, call platform.Call, within time.Duration, used map[string]bool, out chan<- answer,
) bool {
	peer, ok := c.peer(used)
	if !ok {
		return false
	}
	used[peer.name] = true
	c.vm.stats.relayed.Inc()
	go func() {
		m, err := c.vm.registry.call(ctx, peer, laddermessage.Carry{To: to, Call: call, Within: within})
		a := answer{err: err}
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
func (c *carrier) peer(used map[string]bool) (peer, bool) {
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
func (v *VM) carryFor(ctx context.Context, m laddermessage.Carry) laddermessage.Carried {
	ctx, cancel := context.WithTimeout(ctx, min(m.Within, maxCarry))
	defer cancel()
	reply, err := v.direct.Carry(ctx, m.To, m.Call)
	return laddermessage.Carried{Reply: reply, Unsent: errors.Is(err, platform.ErrUnsent), Failed: err != nil}
}

// maxCarry bounds a call that is made for a peer: the longest watch and its slack.
const maxCarry = 35 * time.Second
