package ladderclaim

import (
	"iter"
	"sort"
	"time"

	"lacewingladder/laddermodel"
)

// DriftPerMille bounds the difference in rate between the clocks of any two
// VMs, in thousandths.
const DriftPerMille = 10

// renewalsPerLease is how often a claim is renewed within one lease.
const renewalsPerLease = 3

// handedPart is the part of a lease after which a claim is asked for again on a
// rack that was handed to this VM.
const handedPart = 60

// Book is one entry VM's record of its claims on workers.
type Book struct {
	self   string
	lease  time.Duration
	claims map[string]*claim
	// order holds the claims by the names of their workers.
	order []*claim
	seats map[string]int
	homes map[string]*home
	// taken holds the handovers to this VM that have not counted yet.
	taken map[string]Handover
}

// claim is what the book knows about one worker's claim.
type claim struct {
	worker laddermodel.Worker
	// next is the earliest time of the next call.
	next time.Time
	// waiting is true while a call is under way; sent is when it left.
	waiting bool
	sent    time.Time
	// holder, epoch and boot are those of the last answer.
	holder string
	epoch  uint64
	boot   uint64
	age    time.Duration
	until  time.Duration
	// expires is when this VM must stop to rely on the claim.
	expires time.Time
	// reported is true once a report of the present epoch was taken in.
	reported bool
	// since and version are those of the newest report that was taken in.
	since   time.Duration
	version uint64
	leaving bool
}

// NewBook returns a book for the holder self, which names the entry VM and its
// incarnation, with claims of the given lease.
func NewBook(self string, lease time.Duration) *Book {
	return &Book{
		self:   self,
		lease:  lease,
		claims: map[string]*claim{},
		seats:  map[string]int{},
		homes:  map[string]*home{},
		taken:  map[string]Handover{},
	}
}

// SetLease changes the length of claims from their next renewal on.
func (b *Book) SetLease(lease time.Duration) { b.lease = lease }

// SetWorkers replaces the known workers. Claims on workers that are no longer
// listed are kept until they lapse, since the list may be wrong.
func (b *Book) SetWorkers(now time.Time, workers []laddermodel.Worker) {
	listed := make(map[string]bool, len(workers))
	for _, w := range workers {
		listed[w.Name] = true
		if c, ok := b.claims[w.Name]; ok {
			c.worker = w
			continue
		}
		b.claims[w.Name] = &claim{worker: w, next: now}
	}
	for name, c := range b.claims {
		if !listed[name] && !now.Before(c.expires) {
			delete(b.claims, name)
		}
	}
	b.order = b.order[:0]
	for _, c := range b.claims {
		b.order = append(b.order, c)
	}
	sort.Slice(b.order, func(i, j int) bool { return b.order[i].worker.Name < b.order[j].worker.Name })
}

// SetSeats states how many workers each rack is built for.
func (b *Book) SetSeats(seats map[string]int) {
	b.seats = make(map[string]int, len(seats))
	for r, n := range seats {
		b.seats[r] = n
	}
}

// Tick returns the calls that are due. Wanted says whether this VM should hold
// a rack; claims on other racks are renewed until free says that they may be
// given up.
func (b *Book) Tick(now time.Time, wanted, free func(rack string) bool) []Call {
	var calls []Call
	for _, c := range b.order {
		if c.waiting && now.Sub(c.sent) < b.lease {
			continue
		}
		held := c.holder == b.self && now.Before(c.expires)
		want := wanted(c.worker.Rack)
		giveUp := !want && held && free(c.worker.Rack)
		if (now.Before(c.next) && !giveUp) || (!want && !held) {
			continue
		}
		verb := Renew
		if giveUp {
			verb = Release
			c.expires = now
		}
		c.waiting, c.sent = true, now
		c.next = now.Add(b.lease / renewalsPerLease)
		calls = append(calls, Call{
			Worker: c.worker, Verb: verb, Holder: b.self, Epoch: c.epoch, Lease: b.lease, Since: c.since,
			Version: c.version, Sent: now,
		})
	}
	return calls
}

// Change is what an answer did to a claim.
type Change int

// The changes of a claim.
const (
	// Stale means that the answer is older than what is known, and was ignored.
	Stale Change = iota
	// Lost means that this VM does not hold the worker.
	Lost
	// Renewed means that this VM holds the worker as before.
	Renewed
	// Begun means that a new epoch of this VM began, whose first report must be
	// taken in.
	Begun
)

// Observe takes in a worker's answer to a call.
func (b *Book) Observe(now time.Time, call Call, a Answer) Change {
	c, ok := b.claims[call.Worker.Name]
	if !ok {
		return Stale
	}
	late := call.Sent.Before(c.sent)
	if call.Sent.Equal(c.sent) {
		c.waiting = false
	}
	if a.Boot == c.boot && (a.Epoch < c.epoch || (a.Epoch == c.epoch && late)) {
		return Stale
	}
	begun := a.Granted && (a.Boot != c.boot || a.Epoch != c.epoch)
	c.holder, c.epoch, c.boot, c.age, c.leaving = a.Holder, a.Epoch, a.Boot, a.Age, a.Leaving
	if !a.Granted || call.Verb == Release {
		c.expires = time.Time{}
		c.forget()
		c.next = now.Add(b.retryIn(c, a.Left))
		return Lost
	}
	c.until = a.Until
	c.expires = call.Sent.Add(shorten(call.Lease))
	if begun {
		c.forget()
		return Begun
	}
	return Renewed
}

// retryIn returns when to ask again for a claim that another VM has. A rack that
// was handed to this VM comes free at any moment.
func (b *Book) retryIn(c *claim, left time.Duration) time.Duration {
	if _, ok := b.taken[c.worker.Rack]; ok {
		return b.lease / handedPart
	}
	return min(max(left, b.lease/10), b.lease/renewalsPerLease)
}

// Failed records that a call had no answer, so that it is tried again soon.
func (b *Book) Failed(now time.Time, call Call) {
	if c, ok := b.claims[call.Worker.Name]; ok && call.Sent.Equal(c.sent) {
		c.waiting = false
		c.next = now.Add(b.lease / 10)
	}
}

// Reported records that a report was taken into the ledger.
func (b *Book) Reported(worker string, r Report) {
	if c, ok := b.claims[worker]; ok && r.Epoch == c.epoch {
		c.reported = true
		if r.At >= c.since {
			c.since, c.version = r.At, r.Version
		}
	}
}

// forget drops what the reports of an earlier epoch said.
func (c *claim) forget() { c.reported, c.since, c.version = false, 0, 0 }

// Opened reports whether a report of a worker's present epoch was taken in.
func (b *Book) Opened(worker string) bool {
	c, ok := b.claims[worker]
	return ok && c.reported
}

// Lapse forgets the right on a worker that refused a start, until it is renewed.
func (b *Book) Lapse(now time.Time, worker string) {
	if c, ok := b.claims[worker]; ok {
		c.expires = time.Time{}
		c.next = now
	}
}

// Grant returns the right to start tasks on a worker. It is false when this VM
// does not hold the worker, holds it for too long without a renewal, or has not
// taken in what already runs there.
func (b *Book) Grant(now time.Time, worker string) (laddermodel.Grant, bool) {
	c, ok := b.claims[worker]
	if !ok || !b.valid(now, c) || !c.reported {
		return laddermodel.Grant{}, false
	}
	return laddermodel.Grant{Worker: worker, Boot: c.boot, Epoch: c.epoch, Until: c.until}, true
}

// Holder returns who holds a worker, as far as this VM knows.
func (b *Book) Holder(worker string) string {
	if c, ok := b.claims[worker]; ok {
		return c.holder
	}
	return ""
}

// Held is a worker whose claim this VM may rely on.
type Held struct {
	Worker *laddermodel.Worker
	// Opened is true once the first report was taken in, so that tasks may be
	// placed.
	Opened bool
	// Leaving is true when the worker itself said that it wants no new work.
	Leaving bool
}

// Held yields the workers whose claims this VM may rely on, by name.
func (b *Book) Held(now time.Time) iter.Seq[Held] {
	return func(yield func(Held) bool) {
		for _, c := range b.order {
			if b.valid(now, c) && !yield(Held{Worker: &c.worker, Opened: c.reported, Leaving: c.leaving}) {
				return
			}
		}
	}
}

func (b *Book) valid(now time.Time, c *claim) bool {
	return c.holder == b.self && now.Before(c.expires)
}

// shorten returns the part of a lease that a holder may rely on.
func shorten(lease time.Duration) time.Duration {
	return lease - lease*DriftPerMille/1000
}

// Widen returns how long another party must wait to be sure that d has passed
// on any VM's clock.
func Widen(d time.Duration) time.Duration {
	return d + d*2*DriftPerMille/1000
}
