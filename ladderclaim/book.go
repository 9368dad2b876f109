package ladderclaim

import (
	"iter"
	"sort"
	"time"

	"lacewingladder/laddermodel"
)

// DriftPerMille bounds the difference between the clock rates of any two VMs,
// in thousandths.
const DriftPerMille = 10

// renewalsPerLease is the number of times that a claim is renewed within one
// lease.
const renewalsPerLease = 3

// handoverRetriesPerLease is the number of times within one lease that a
// refused claim is requested again, if the home of the worker's rack was handed
// over to this VM.
const handoverRetriesPerLease = 60

// Book records the claims of one entry VM on workers, and the racks of which
// the VM is the home. Create one with [NewBook].
type Book struct {
	self   string
	lease  time.Duration
	claims map[string]*claim
	// byName holds the claims sorted by the names of their workers.
	byName []*claim
	seats  map[string]int
	homes  map[string]*home
	// received holds the handovers to this VM, by rack. Each is removed when
	// this VM next becomes the home of the rack.
	received map[string]Handover
}

// claim is the state of one worker's claim as this VM knows it.
type claim struct {
	worker laddermodel.Worker
	// nextCall is the earliest time of the next call.
	nextCall time.Time
	// inFlight is true while a call is waiting for its answer. lastSent is the
	// time at which the last call was sent.
	inFlight bool
	lastSent time.Time
	// holder, epoch, boot, uptime and until are those of the last answer. until is
	// the end of the claim on the worker's clock.
	holder string
	epoch  uint64
	boot   uint64
	uptime time.Duration
	until  time.Duration
	// expires is the time on this VM's clock from which the VM must not rely on
	// the claim.
	expires time.Time
	// hasReport is true once a report of the current epoch has been applied to
	// the ledger.
	hasReport bool
	// reportAt and reportVersion are the time and version of the newest report
	// that has been processed.
	reportAt      time.Duration
	reportVersion uint64
	leaving       bool
}

// NewBook returns a book for the given holder, whose name consists of the entry
// VM's name and incarnation. Claims are requested for the given lease.
func NewBook(self string, lease time.Duration) *Book {
	return &Book{
		self:     self,
		lease:    lease,
		claims:   map[string]*claim{},
		seats:    map[string]int{},
		homes:    map[string]*home{},
		received: map[string]Handover{},
	}
}

// SetLease changes the length of the claims. It takes effect with the next
// renewal of each claim.
func (b *Book) SetLease(lease time.Duration) { b.lease = lease }

// SetWorkers replaces the list of workers. Claims on workers that are no longer
// listed are kept until they expire, because the list may be wrong.
func (b *Book) SetWorkers(now time.Time, workers []laddermodel.Worker) {
	listed := make(map[string]bool, len(workers))
	for _, w := range workers {
		listed[w.Name] = true
		if c, ok := b.claims[w.Name]; ok {
			c.worker = w
			continue
		}
		b.claims[w.Name] = &claim{worker: w, nextCall: now}
	}
	for name, c := range b.claims {
		if !listed[name] && !now.Before(c.expires) {
			delete(b.claims, name)
		}
	}
	b.byName = b.byName[:0]
	for _, c := range b.claims {
		b.byName = append(b.byName, c)
	}
	sort.Slice(b.byName, func(i, j int) bool { return b.byName[i].worker.Name < b.byName[j].worker.Name })
}

// SetSeats sets the number of seats of each rack: the number of workers that
// the rack is built for.
func (b *Book) SetSeats(seats map[string]int) {
	b.seats = make(map[string]int, len(seats))
	for r, n := range seats {
		b.seats[r] = n
	}
}

// Tick returns the calls that are due. The function wanted reports whether this
// VM should hold the workers of a rack. Claims on other racks are renewed until
// mayRelease reports that they may be given up.
func (b *Book) Tick(now time.Time, wanted, mayRelease func(rack string) bool) []Call {
	var calls []Call
	for _, c := range b.byName {
		if c.inFlight && now.Sub(c.lastSent) < b.lease {
			continue
		}
		held := c.holder == b.self && now.Before(c.expires)
		want := wanted(c.worker.Rack)
		giveUp := !want && held && mayRelease(c.worker.Rack)
		if (now.Before(c.nextCall) && !giveUp) || (!want && !held) {
			continue
		}
		verb := Renew
		if giveUp {
			verb = Release
			c.expires = now
		}
		c.inFlight, c.lastSent = true, now
		c.nextCall = now.Add(b.lease / renewalsPerLease)
		calls = append(calls, Call{
			Worker: c.worker, Verb: verb, Holder: b.self, Epoch: c.epoch, Lease: b.lease, Since: c.reportAt,
			Version: c.reportVersion, Sent: now,
		})
	}
	return calls
}

// Change is the effect of an answer on a claim.
type Change int

// The changes to a claim.
const (
	// Stale means that the answer was ignored, because it is older than the
	// known state or its worker is not in the book.
	Stale Change = iota
	// NotHeld means that this VM does not hold the claim.
	NotHeld
	// Renewed means that this VM still holds the claim under the same epoch.
	Renewed
	// NewEpoch means that this VM holds the claim under a new epoch. The first
	// report of that epoch must be processed before tasks are placed on the
	// worker.
	NewEpoch
)

// HandleAnswer processes a worker's answer to a call.
func (b *Book) HandleAnswer(now time.Time, call Call, a Answer) Change {
	c, ok := b.claims[call.Worker.Name]
	if !ok {
		return Stale
	}
	late := call.Sent.Before(c.lastSent)
	if call.Sent.Equal(c.lastSent) {
		c.inFlight = false
	}
	if a.Boot == c.boot && (a.Epoch < c.epoch || (a.Epoch == c.epoch && late)) {
		return Stale
	}
	newEpoch := a.Granted && (a.Boot != c.boot || a.Epoch != c.epoch)
	c.holder, c.epoch, c.boot, c.uptime, c.leaving = a.Holder, a.Epoch, a.Boot, a.Uptime, a.Leaving
	if !a.Granted || call.Verb == Release {
		c.expires = time.Time{}
		c.resetReports()
		c.nextCall = now.Add(b.retryDelay(c, a.Remaining))
		return NotHeld
	}
	c.until = a.Until
	c.expires = call.Sent.Add(usableLease(call.Lease))
	if newEpoch {
		c.resetReports()
		return NewEpoch
	}
	return Renewed
}

// retryDelay returns the time to wait before a claim that another VM holds is
// requested again. The delay is short for a rack whose home was handed over to
// this VM, because the previous home may release the claim at any moment.
func (b *Book) retryDelay(c *claim, remaining time.Duration) time.Duration {
	if _, ok := b.received[c.worker.Rack]; ok {
		return b.lease / handoverRetriesPerLease
	}
	return min(max(remaining, b.lease/10), b.lease/renewalsPerLease)
}

// CallFailed records that a call was not answered. The next call is sent after
// a tenth of a lease.
func (b *Book) CallFailed(now time.Time, call Call) {
	if c, ok := b.claims[call.Worker.Name]; ok && call.Sent.Equal(c.lastSent) {
		c.inFlight = false
		c.nextCall = now.Add(b.lease / 10)
	}
}

// ReportApplied records that a report has been applied to the ledger.
func (b *Book) ReportApplied(worker string, r Report) {
	if c, ok := b.claims[worker]; ok && r.Epoch == c.epoch {
		c.hasReport = true
		if r.At >= c.reportAt {
			c.reportAt, c.reportVersion = r.At, r.Version
		}
	}
}

// resetReports clears the state that came from the reports of an earlier epoch.
func (c *claim) resetReports() { c.hasReport, c.reportAt, c.reportVersion = false, 0, 0 }

// HasReport reports whether a report of the current epoch of a worker's claim
// has been applied to the ledger.
func (b *Book) HasReport(worker string) bool {
	c, ok := b.claims[worker]
	return ok && c.hasReport
}

// Invalidate records that a worker refused a start. The VM does not rely on the
// claim until it has been renewed.
func (b *Book) Invalidate(now time.Time, worker string) {
	if c, ok := b.claims[worker]; ok {
		c.expires = time.Time{}
		c.nextCall = now
	}
}

// Grant returns the right to start tasks on a worker. It returns false if this
// VM does not hold the claim, if the lease has expired without a renewal, or if
// no report of the current epoch has been processed, so that the running tasks
// are not known.
func (b *Book) Grant(now time.Time, worker string) (laddermodel.Grant, bool) {
	c, ok := b.claims[worker]
	if !ok || !b.valid(now, c) || !c.hasReport {
		return laddermodel.Grant{}, false
	}
	return laddermodel.Grant{Worker: worker, Boot: c.boot, Epoch: c.epoch, Until: c.until}, true
}

// HeldWorker is a worker whose claim this VM holds.
type HeldWorker struct {
	Worker *laddermodel.Worker
	// HasReport is true once the first report of the current epoch has been
	// processed, so that tasks may be placed.
	HasReport bool
	// Leaving is true if the worker itself answered that it accepts no new
	// work.
	Leaving bool
}

// Held yields the workers whose claims this VM holds, sorted by name.
func (b *Book) Held(now time.Time) iter.Seq[HeldWorker] {
	return func(yield func(HeldWorker) bool) {
		for _, c := range b.byName {
			if b.valid(now, c) && !yield(HeldWorker{Worker: &c.worker, HasReport: c.hasReport, Leaving: c.leaving}) {
				return
			}
		}
	}
}

// valid reports whether this VM holds the claim and may rely on it.
func (b *Book) valid(now time.Time, c *claim) bool {
	return c.holder == b.self && now.Before(c.expires)
}

// usableLease returns the part of a lease that a holder may rely on, given that
// the worker's clock may run faster than its own.
func usableLease(lease time.Duration) time.Duration {
	return lease - lease*DriftPerMille/1000
}

// AddDrift returns how long to wait on one VM's clock to be certain that d has
// passed on any other VM's clock.
func AddDrift(d time.Duration) time.Duration {
	return d + d*2*DriftPerMille/1000
}
