package ladderdispatch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingladder/ladderbudget"
	"lacewingladder/ladderclock"
	"lacewingladder/ladderconfig"
	"lacewingladder/ladderholder"
	"lacewingladder/ladderkey"
	"lacewingladder/laddermodel"
	"lacewingladder/ladderplacement"
)

const (
	// homeRetryAfter is the Retry-After when a key's home cannot be reached.
	homeRetryAfter = time.Second
	// maxHops is the number of times that a request may be forwarded between
	// entry VMs.
	maxHops = 3
	// maxHomeWait is how long a request waits while the home of its key is moving
	// or not known. homePollInterval is the time between checks.
	maxHomeWait      = 600 * time.Millisecond
	homePollInterval = 20 * time.Millisecond
)

// Log is the logger of a [Dispatcher].
type Log interface {
	// Info writes a message with pairs of keys and values.
	Info(msg any, keyvals ...any)
}

// Options are the parameters of a [Dispatcher].
type Options struct {
	// Name, Region and Zone describe this entry VM.
	Name    string
	Region  string
	Zone    string
	Clock   ladderclock.Clock
	Holder  Holder
	Peers   Peers
	Workers Workers
	Log     Log
	// Seed is the seed for the random choice of racks.
	Seed uint64
	// Rule is the rule by which the rack for a request is selected. The rack's
	// holder is then asked for capacity.
	Rule ladderplacement.RackRule
}

// Dispatcher runs requests. Create one with [New].
type Dispatcher struct {
	Options
	config atomic.Pointer[ladderconfig.Config]
	// retryBudget limits the retries of requests. linkBudget limits the bytes
	// that are sent to other regions.
	retryBudget *ladderbudget.Retries
	linkBudget  *ladderbudget.Bytes
	counts      Counts

	// mu protects router and keys.
	mu     sync.Mutex
	router *ladderplacement.Router
	keys   *ladderkey.Book
}

// Counts are the dispatcher's totals, for metrics.
type Counts struct {
	// Requests counts the requests that callers sent to this VM. Attempts counts
	// the starts that it sent to workers. Forwards counts the requests that it
	// forwarded to the home of their key.
	Requests atomic.Int64
	Attempts atomic.Int64
	Forwards atomic.Int64
	// Ran, NotRun and Unknown count the requests from callers by outcome.
	Ran     atomic.Int64
	NotRun  atomic.Int64
	Unknown atomic.Int64
}

// New returns a dispatcher. It needs a configuration from
// [Dispatcher.SetConfig] before it accepts requests.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		Options:     o,
		retryBudget: ladderbudget.NewRetries(0),
		linkBudget:  ladderbudget.NewBytes(o.Clock.Now(), 0),
		router:      ladderplacement.NewRouter(o.Region, o.Zone, o.Rule, o.Seed),
		keys:        ladderkey.NewBook(0),
	}
}

// SetConfig replaces the configuration.
func (d *Dispatcher) SetConfig(c *ladderconfig.Config) {
	d.config.Store(c)
	d.retryBudget.SetRatio(c.Limits.RetryRatio)
	d.linkBudget.SetRate(c.Limits.CrossRegionBytesPerSecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keys.SetHorizon(c.Limits.KeyHorizon)
}

// Counts returns the totals. They change while the dispatcher runs.
func (d *Dispatcher) Counts() *Counts { return &d.counts }

// UpdateDigests records a peer's digests: summaries of the free capacity of the
// racks that it holds.
func (d *Dispatcher) UpdateDigests(now time.Time, digests []ladderplacement.Digest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, g := range digests {
		d.router.Update(now, g)
	}
}

// RemovePeer removes the digests of a peer that is gone or shutting down.
func (d *Dispatcher) RemovePeer(peer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.Forget(peer)
}

// Digests returns the current digests of all racks, sorted by free slots in
// descending order.
func (d *Dispatcher) Digests(now time.Time) []ladderplacement.Digest {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.ByFreeSlots(now)
}

// Do runs a caller's request and returns its final answer. If the configuration
// does not contain the request's class, the outcome is [laddermodel.NotRun].
func (d *Dispatcher) Do(ctx context.Context, r laddermodel.Request) laddermodel.Answer {
	d.counts.Requests.Add(1)
	d.retryBudget.Earn()
	c := d.config.Load()
	class, ok := c.Class(r.Class)
	if !ok {
		return d.countOutcome(laddermodel.Answer{Outcome: laddermodel.NotRun, Reason: fmt.Sprintf("class %q is unknown", r.Class)})
	}
	if r.Key == "" {
		return d.countOutcome(d.run(ctx, r, class, nil))
	}
	return d.countOutcome(d.doKeyed(ctx, r, class))
}

// DoForwarded runs a request that a peer forwarded because this VM is the home of
// its key.
func (d *Dispatcher) DoForwarded(ctx context.Context, r laddermodel.Request) laddermodel.Answer {
	class, ok := d.config.Load().Class(r.Class)
	if !ok {
		return laddermodel.Answer{Outcome: laddermodel.NotRun, Reason: fmt.Sprintf("class %q is unknown", r.Class)}
	}
	d.retryBudget.Earn()
	return d.doKeyed(ctx, r, class)
}

// countOutcome counts an answer by its outcome and returns it.
func (d *Dispatcher) countOutcome(a laddermodel.Answer) laddermodel.Answer {
	switch a.Outcome {
	case laddermodel.Ran:
		d.counts.Ran.Add(1)
	case laddermodel.NotRun:
		d.counts.NotRun.Add(1)
	case laddermodel.Unknown:
		d.counts.Unknown.Add(1)
	}
	return a
}

// doKeyed runs a request with a key if this VM is the key's home, or forwards
// it to the home. While no home is known it waits, because the home may be
// moving.
func (d *Dispatcher) doKeyed(ctx context.Context, r laddermodel.Request, class ladderconfig.Class) laddermodel.Answer {
	rack := ladderkey.HomeRack(r.Key, hashZones(d.config.Load()))
	deadline := d.Clock.Now().Add(r.Deadline)
	searchUntil := d.searchUntil(deadline)
	for {
		now := d.Clock.Now()
		r.Deadline = deadline.Sub(now)
		if _, ok := d.Holder.Home(now, rack); ok {
			if a, ok := d.doAtHome(ctx, r, class, rack); ok {
				return a
			}
			d.Log.Info("the home of the key was handed over; looking for its successor", "request", r.ID, "rack", rack)
			searchUntil = d.searchUntil(deadline)
			continue
		}
		if peer, ok := d.homePeer(now, rack); ok && r.Hops < maxHops {
			d.counts.Forwards.Add(1)
			d.Log.Info("forwarding request to the home of its key", "request", r.ID, "rack", rack, "peer", peer, "hops", r.Hops)
			r.Hops++
			return d.forward(ctx, r, peer)
		}
		if !now.Before(searchUntil) || !d.pause(ctx, homePollInterval) {
			return unknownOutcome("the home of the key can not be reached; an earlier try may have run")
		}
	}
}

// searchUntil returns the time until which a request waits for the home of its
// key, if the home is not known now.
func (d *Dispatcher) searchUntil(deadline time.Time) time.Time {
	now := d.Clock.Now()
	return now.Add(min(maxHomeWait, deadline.Sub(now)/2))
}

// homePeer returns the peer that is the home of a rack according to the
// digests. It returns false if no home is known or if the digests name this VM.
func (d *Dispatcher) homePeer(now time.Time, rack string) (peer string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	target, ok := d.router.Home(now, rack)
	return target.Holder, ok && target.Holder != d.Name
}

// pause waits for the given time. It returns false if ctx ends first.
func (d *Dispatcher) pause(ctx context.Context, length time.Duration) bool {
	select {
	case <-d.Clock.After(length):
		return true
	case <-ctx.Done():
		return false
	}
}

// forward sends a request to the home of its key and sends it a second time if
// the first message is not answered. The home recognizes the key, so it does
// not run the request twice.
func (d *Dispatcher) forward(ctx context.Context, r laddermodel.Request, peer string) laddermodel.Answer {
	started := d.Clock.Now()
	for range 2 {
		forwarded := r
		forwarded.Deadline -= d.Clock.Now().Sub(started)
		if forwarded.Deadline <= 0 || ctx.Err() != nil {
			break
		}
		a, err := d.Peers.Forward(ctx, peer, forwarded)
		if err == nil {
			return a
		}
		d.Log.Info("forwarding to the home failed", "request", r.ID, "peer", peer, "err", err)
	}
	return unknownOutcome("the home of the key did not answer")
}

// unknownOutcome returns the answer to a request that may have run and may be
// repeated later.
func unknownOutcome(reason string) laddermodel.Answer {
	return laddermodel.Answer{Outcome: laddermodel.Unknown, Reason: reason, RetryAfter: homeRetryAfter}
}

// doAtHome decides on a key and runs the request if the key is new. If the key
// is running already, it waits for the end and decides again: if the other
// request turns out not to have run, this one may run. It returns false if this
// VM is no longer the home of the rack; the request has not run then.
func (d *Dispatcher) doAtHome(ctx context.Context, r laddermodel.Request, class ladderconfig.Class, rack string) (laddermodel.Answer, bool) {
	use := ladderkey.KeyUse{
		Key: r.Key, Rack: rack, Member: r.Member, Digest: requestDigest(r), Once: class.RunOnce, Lease: r.Deadline,
	}
	until := d.Clock.Now().Add(r.Deadline)
	for {
		verdict, ok := d.beginKey(rack, use)
		if !ok {
			return laddermodel.Answer{}, false
		}
		r.Deadline = until.Sub(d.Clock.Now())
		if verdict.Action == ladderkey.Run {
			return d.runNewKey(ctx, r, class, rack), true
		}
		if verdict.Action != ladderkey.Wait {
			return answerWithoutRun(verdict), true
		}
		d.Log.Info("waiting for a running request with the same key", "request", r.ID)
		if !d.waitForKey(ctx, verdict, r.Deadline) {
			return unknownOutcome("an earlier try of the key is still running"), true
		}
	}
}

// runNewKey runs the request of a new key. It continues if the caller
// disconnects, so that a repeated request finds the answer.
func (d *Dispatcher) runNewKey(ctx context.Context, r laddermodel.Request, class ladderconfig.Class, rack string) laddermodel.Answer {
	a := d.run(context.WithoutCancel(ctx), r, class, func(now time.Time) bool {
		_, ok := d.Holder.Home(now, rack)
		return ok
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keys.Finish(d.Clock.Now(), r.Key, a)
	return a
}

// answerWithoutRun returns the answer for a key that must not be run.
func answerWithoutRun(v ladderkey.Verdict) laddermodel.Answer {
	a := laddermodel.Answer{Outcome: laddermodel.NotRun, Reason: v.Reason, RetryAfter: v.RetryAfter}
	switch v.Action {
	case ladderkey.Done:
		return v.Answer
	case ladderkey.Conflict:
		a.Conflict = true
	case ladderkey.Unconfirmed:
		a.Outcome = laddermodel.Unknown
	case ladderkey.Run, ladderkey.Wait, ladderkey.Busy:
	}
	return a
}

// waitForKey waits for the end of a running key. It returns false if the caller
// disconnects or the limit passes first.
func (d *Dispatcher) waitForKey(ctx context.Context, v ladderkey.Verdict, limit time.Duration) bool {
	select {
	case <-v.Ended:
		return true
	case <-ctx.Done():
	case <-d.Clock.After(limit):
	}
	return false
}

// beginKey looks up a key, records it as running if it is new, and returns the
// decision. It returns false if this VM is not the home of the key's rack.
func (d *Dispatcher) beginKey(rack string, use ladderkey.KeyUse) (ladderkey.Verdict, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	home, ok := d.Holder.Home(now, rack)
	if !ok {
		return ladderkey.Verdict{}, false
	}
	return d.keys.Begin(now, home, use), true
}

// KeyCount returns the number of keys that this VM holds as a home.
func (d *Dispatcher) KeyCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.keys.Len()
}

// ExportKeys prepares the move of a rack's home to another VM. From now on, new
// keys of the rack are refused. Once no key is running, ExportKeys returns
// the records of the rack's keys; until then it returns false.
func (d *Dispatcher) ExportKeys(rack string) ([]ladderkey.Record, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keys.RefuseNewKeys(rack)
	if d.keys.Running(rack) > 0 {
		return nil, false
	}
	return d.keys.Export(rack), true
}

// ImportKeys adds the records of a rack whose home moves to this VM.
func (d *Dispatcher) ImportKeys(records []ladderkey.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keys.Import(records)
}

// CancelExport accepts new keys of a rack again after [Dispatcher.ExportKeys].
func (d *Dispatcher) CancelExport(rack string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keys.AcceptNewKeys(rack)
}

// hashZones returns the configured zones and racks, over which keys are hashed.
func hashZones(c *ladderconfig.Config) []ladderkey.Zone {
	all := make([]ladderkey.Zone, 0, len(c.Zones))
	for _, z := range c.Zones {
		k := ladderkey.Zone{Name: z.Name}
		for _, r := range z.Racks {
			k.Racks = append(k.Racks, r.Name)
		}
		all = append(all, k)
	}
	return all
}

// requestDigest returns a hash of the class and the body. It distinguishes
// different requests that use the same key.
func requestDigest(r laddermodel.Request) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Class)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(r.Body)
	return h.Sum64()
}

// errNoPeer is the error of a request for which there is no further peer to
// ask.
var errNoPeer = &ladderholder.NoCapacityError{Reason: "no zone in reach has room", RetryAfter: homeRetryAfter / 4}
