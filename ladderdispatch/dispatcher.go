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
	// homePause is the Retry-After when a key's home can not be reached.
	homePause = time.Second
	// maxHops bounds how often a request is handed from VM to VM.
	maxHops = 3
	// homeWait is how long a request waits for its home while that moves, and
	// homeLook the time between looks.
	homeWait = 600 * time.Millisecond
	homeLook = 20 * time.Millisecond
)

// Log takes a line for each decision.
type Log interface {
	// Info writes a message with pairs of keys and values.
	Info(msg any, keyvals ...any)
}

// Options are the parts of a [Dispatcher].
type Options struct {
	// Name is the name of this entry VM.
	Name    string
	Region  string
	Zone    string
	Clock   ladderclock.Clock
	Room    Room
	Peers   Peers
	Workers Workers
	Log     Log
	// Seed seeds the random choices of routes.
	Seed uint64
	// Rule is how holders are chosen.
	Rule ladderplacement.Rule
}

// Dispatcher carries requests to their answers. Create one with [New].
type Dispatcher struct {
	Options
	config  atomic.Pointer[ladderconfig.Config]
	retries *ladderbudget.Retries
	link    *ladderbudget.Bytes
	counts  Counts

	mu     sync.Mutex
	router *ladderplacement.Router
	book   *ladderkey.Book
}

// Counts are the dispatcher's totals, for metrics.
type Counts struct {
	Requests atomic.Int64
	Attempts atomic.Int64
	Forwards atomic.Int64
	Ran      atomic.Int64
	NotRun   atomic.Int64
	Unknown  atomic.Int64
}

// New returns a dispatcher without a configuration.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		Options: o,
		retries: ladderbudget.NewRetries(0),
		link:    ladderbudget.NewBytes(o.Clock.Now(), 0),
		router:  ladderplacement.NewRouter(o.Region, o.Zone, o.Rule, o.Seed),
		book:    ladderkey.NewBook(0),
	}
}

// SetConfig takes over a configuration.
func (d *Dispatcher) SetConfig(c *ladderconfig.Config) {
	d.config.Store(c)
	d.retries.SetRatio(c.Limits.Retries)
	d.link.SetRate(c.Limits.Link)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.SetHorizon(c.Limits.Horizon)
}

// Counts returns the running totals.
func (d *Dispatcher) Counts() *Counts { return &d.counts }

// Learn takes in a peer's digests.
func (d *Dispatcher) Learn(now time.Time, digests []ladderplacement.Digest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, g := range digests {
		d.router.Learn(now, g)
	}
}

// Forget drops what a peer said, since it is gone or leaving.
func (d *Dispatcher) Forget(peer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.Forget(peer)
}

// Digests returns the digests of all racks that are known, the freest first.
func (d *Dispatcher) Digests(now time.Time) []ladderplacement.Digest {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.Freest(now)
}

// Do carries a request to its final answer. The class must be one of the
// configuration.
func (d *Dispatcher) Do(ctx context.Context, r laddermodel.Request) laddermodel.Answer {
	d.counts.Requests.Add(1)
	d.retries.Earn()
	c := d.config.Load()
	class, ok := c.Class(r.Class)
	if !ok {
		return d.count(laddermodel.Answer{Outcome: laddermodel.NotRun, Reason: fmt.Sprintf("class %q is unknown", r.Class)})
	}
	if r.Key == "" {
		return d.count(d.run(ctx, r, class, nil))
	}
	return d.count(d.keyed(ctx, r, class))
}

// Accept carries a request that a peer forwarded, because this VM is its home.
func (d *Dispatcher) Accept(ctx context.Context, r laddermodel.Request) laddermodel.Answer {
	class, ok := d.config.Load().Class(r.Class)
	if !ok {
		return laddermodel.Answer{Outcome: laddermodel.NotRun, Reason: fmt.Sprintf("class %q is unknown", r.Class)}
	}
	d.retries.Earn()
	return d.keyed(ctx, r, class)
}

func (d *Dispatcher) count(a laddermodel.Answer) laddermodel.Answer {
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

// keyed carries a request at its key's home, or hands it over.
func (d *Dispatcher) keyed(ctx context.Context, r laddermodel.Request, class ladderconfig.Class) laddermodel.Answer {
	rack := ladderkey.Rack(r.Key, zones(d.config.Load()))
	began := d.Clock.Now()
	for {
		now := d.Clock.Now()
		if _, ok := d.Room.Home(now, rack); ok {
			return d.atHome(ctx, r, class, rack)
		}
		if peer, ok := d.homeOf(now, rack); ok && r.Hops < maxHops {
			d.counts.Forwards.Add(1)
			d.Log.Info("forward to home", "request", r.ID, "rack", rack, "peer", peer, "hops", r.Hops)
			r.Deadline -= now.Sub(began)
			r.Hops++
			return d.forward(ctx, r, peer)
		}
		if now.Sub(began) >= min(homeWait, r.Deadline/2) || !d.pause(ctx, homeLook) {
			return homeless("the home of the key can not be reached; an earlier try may have run")
		}
	}
}

// homeOf returns the peer that is the home of a rack, as far as this VM knows.
func (d *Dispatcher) homeOf(now time.Time, rack string) (peer string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	target, ok := d.router.Home(now, rack)
	return target.Holder, ok && target.Holder != d.Name
}

// pause waits, and returns false when ctx ends first.
func (d *Dispatcher) pause(ctx context.Context, length time.Duration) bool {
	select {
	case <-d.Clock.After(length):
		return true
	case <-ctx.Done():
		return false
	}
}

// forward hands a request to its home, a second time when the first message had
// no answer. The home recognizes the key, so a repetition is harmless.
func (d *Dispatcher) forward(ctx context.Context, r laddermodel.Request, peer string) laddermodel.Answer {
	started := d.Clock.Now()
	for range 2 {
		left := r
		left.Deadline -= d.Clock.Now().Sub(started)
		if left.Deadline <= 0 || ctx.Err() != nil {
			break
		}
		a, err := d.Peers.Forward(ctx, peer, left)
		if err == nil {
			return a
		}
		d.Log.Info("forward failed", "request", r.ID, "peer", peer, "err", err)
	}
	return homeless("the home of the key did not answer")
}

func homeless(reason string) laddermodel.Answer {
	return laddermodel.Answer{Outcome: laddermodel.Unknown, Reason: reason, RetryAfter: homePause}
}

// atHome decides on a key and runs it when it is new. A key that is being run is
// waited for; when it then turns out not to have run, this request may run itself.
func (d *Dispatcher) atHome(ctx context.Context, r laddermodel.Request, class ladderconfig.Class, rack string) laddermodel.Answer {
	claim := ladderkey.Claim{
		Key: r.Key, Rack: rack, Member: r.Member, Digest: digest(r), Once: class.Once, Lease: r.Deadline,
	}
	until := d.Clock.Now().Add(r.Deadline)
	for {
		verdict, ok := d.begin(rack, claim)
		if !ok {
			return homeless("the home of the key is changing; an earlier try may have run")
		}
		r.Deadline = until.Sub(d.Clock.Now())
		if verdict.Act == ladderkey.Run {
			return d.runKey(ctx, r, class, rack)
		}
		if verdict.Act != ladderkey.Join {
			return settled(verdict)
		}
		d.Log.Info("joined a running key", "request", r.ID)
		if !d.join(ctx, verdict, r.Deadline) {
			return homeless("an earlier try of the key is still running")
		}
	}
}

// runKey runs a new key. It goes on when the caller hangs up, so that a repetition
// finds the answer.
func (d *Dispatcher) runKey(ctx context.Context, r laddermodel.Request, class ladderconfig.Class, rack string) laddermodel.Answer {
	a := d.run(context.WithoutCancel(ctx), r, class, func(now time.Time) bool {
		_, ok := d.Room.Home(now, rack)
		return ok
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.Finish(d.Clock.Now(), r.Key, a)
	return a
}

// settled returns the answer for a key that must not be run.
func settled(v ladderkey.Verdict) laddermodel.Answer {
	a := laddermodel.Answer{Outcome: laddermodel.NotRun, Reason: v.Reason, RetryAfter: v.RetryAfter}
	switch v.Act {
	case ladderkey.Done:
		return v.Answer
	case ladderkey.Conflict:
		a.Conflict = true
	case ladderkey.Unsure:
		a.Outcome = laddermodel.Unknown
	case ladderkey.Run, ladderkey.Join, ladderkey.Busy:
	}
	return a
}

// join waits until a running key has ended. It returns false when the caller hangs
// up or the time is over.
func (d *Dispatcher) join(ctx context.Context, v ladderkey.Verdict, limit time.Duration) bool {
	select {
	case <-v.Ended:
		return true
	case <-ctx.Done():
	case <-d.Clock.After(limit):
	}
	return false
}

// begin asks the book about a key while this VM is its home.
func (d *Dispatcher) begin(rack string, c ladderkey.Claim) (ladderkey.Verdict, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	home, ok := d.Room.Home(now, rack)
	if !ok {
		return ladderkey.Verdict{}, false
	}
	return d.book.Begin(now, home, c), true
}

// Keys returns the number of keys that are remembered.
func (d *Dispatcher) Keys() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.Len()
}

// Export prepares to move a rack's home. It turns new keys of the rack away from
// now on, and returns the records of the ended ones once none is running.
func (d *Dispatcher) Export(rack string) ([]ladderkey.Record, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.Close(rack)
	if d.book.Running(rack) > 0 {
		return nil, false
	}
	return d.book.Export(rack), true
}

// Import takes in the records of a rack whose home moves here.
func (d *Dispatcher) Import(records []ladderkey.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.Import(records)
}

// Reopen takes new keys of a rack again after an [Dispatcher.Export].
func (d *Dispatcher) Reopen(rack string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.Open(rack)
}

// zones returns the configured zones and racks for hashing keys.
func zones(c *ladderconfig.Config) []ladderkey.Zone {
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

// digest tells different requests under one key apart.
func digest(r laddermodel.Request) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Class)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(r.Body)
	return h.Sum64()
}

// errNoTarget is the error of a request for which no holder is left to ask.
var errNoTarget = &ladderholder.NoRoom{Reason: "no zone in reach has room", RetryAfter: homePause / 4}
