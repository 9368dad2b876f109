package laddervm

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderjournal"
	"lacewingladder/ladderlog"
	"lacewingladder/platform"
)

const (
	// maxElectionJitter bounds the random delay before a VM contends for leadership, so that
	// usually one VM comes first.
	maxElectionJitter = 12 * time.Millisecond
	// leaderLease is the length of the leader's lease. After the leader has crashed, no task
	// starts until it has expired.
	leaderLease = 1200 * time.Millisecond
	// leaderRenewInterval is the time between two renewals of the leader's lease. Three
	// renewals in a row may fail before the lease expires.
	leaderRenewInterval = 270 * time.Millisecond
	// electionInterval is the time between two checks whether to contend, while the registry
	// signals no change.
	electionInterval = 500 * time.Millisecond
)

// leadership contends for the leadership while there is no leader, and holds the current term
// while this VM is the leader.
type leadership struct {
	vm   *VM
	log  *ladderlog.Logger
	term atomic.Pointer[term]
	// lease is the lease to which the leader's key is bound.
	lease *lease
	// lastFence is the fencing token of the VM's latest term. Only the goroutine of run uses
	// it.
	lastFence int64
}

func newLeadership(v *VM) *leadership {
	return &leadership{vm: v, log: v.logs.RateLimited("lead", v.clock), lease: newLease(v, leaderLease)}
}

// current returns the VM's term, or nil while it does not lead.
func (l *leadership) current() *term { return l.term.Load() }

// setFleet passes a new configuration to the current term, if there is one.
func (l *leadership) setFleet(f *ladderflow.FleetConfig) {
	if t := l.current(); t != nil {
		t.do(func() { t.planner.SetFleet(f) })
	}
}

// run contends for the leadership whenever there is no leader, until ctx ends.
func (l *leadership) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-l.vm.registry.changed:
		case <-l.vm.clock.After(electionInterval):
		}
		known, loaded := l.vm.registry.currentLeader()
		if t := l.current(); t != nil {
			l.check(t, known)
			continue
		}
		if known.incarnation == l.vm.registry.incarnation {
			l.adoptKey(ctx, known)
			continue
		}
		if l.heldByEarlierIncarnation(known) {
			l.log.Info("an earlier life of this VM led; its leadership is over", "fence", known.revision)
			l.deleteKey(ctx, known.revision)
			continue
		}
		if !loaded || known.revision != 0 || l.vm.leaving.Load() || l.vm.fleet.Load() == nil {
			continue
		}
		l.contend(ctx)
	}
	if t := l.current(); t != nil {
		l.endTerm(t, "the VM stops")
	}
}

// check ends the term if the store shows that it is over.
func (l *leadership) check(t *term, known leader) {
	switch {
	case known.revision > t.fence:
		l.endTerm(t, "another VM leads")
	case known.revision == 0 && l.vm.registry.hasSeen(t.fence):
		l.endTerm(t, "the leader's key was deleted")
	case known.revision == t.fence:
		l.handOver(t)
	}
}

// handOver resigns if another VM has a much larger processor and should lead instead.
func (l *leadership) handOver(t *term) {
	now := l.vm.clock.Now()
	own := l.vm.settings.Processor
	largest := largestProcessor(own, l.vm.registry.registered())
	if l.lease.remaining() <= 0 || !shouldHandOver(own, largest, now.Sub(t.began), now.Sub(l.vm.registry.previousLeaderSince())) {
		return
	}
	l.log.Info("leader hands over to a VM with a larger processor", "processor", own, "largest", largest)
	l.resign()
}

// adoptKey starts a term if the leader's key names this VM although it has no term: the
// transaction that wrote the key took effect after its call had failed. If the key belongs to
// a term that has ended or is bound to an earlier lease, which nothing renews, or the VM is leaving,
// it deletes the key.
func (l *leadership) adoptKey(ctx context.Context, known leader) {
	if known.revision > l.lastFence && known.lease == l.lease.current() && !l.vm.leaving.Load() {
		l.startTerm(ctx, known.revision, l.vm.clock.Now())
		return
	}
	l.deleteKey(ctx, known.revision)
}

// heldByEarlierIncarnation reports whether an earlier incarnation of this VM holds the
// leader's key. That process has ended, so there is no need to wait until its lease expires.
func (l *leadership) heldByEarlierIncarnation(known leader) bool {
	own := netip.AddrPortFrom(l.vm.settings.Address, l.vm.settings.FirstPort)
	return known.revision != 0 && known.name == l.vm.settings.Name && known.address == own &&
		known.incarnation != l.vm.registry.incarnation
}

// deleteKey deletes the leader's key if it still has the given revision.
func (l *leadership) deleteKey(ctx context.Context, revision int64) {
	_, _, err := l.vm.store.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: ladderjournal.LeaderKey, ModRevision: revision}},
		Deletes:    []string{ladderjournal.LeaderKey},
	})
	if err != nil && !errors.Is(err, platform.ErrConditionFailed) {
		l.log.Warn("leader's key could not be deleted; it expires with its lease", "revision", revision, "err", err)
	}
}

// contend tries to become leader under a new lease.
func (l *leadership) contend(ctx context.Context) {
	// VMs close to the store come first: they get its responses sooner, which makes all their
	// work as leader faster.
	own := l.vm.settings.Processor
	wait := 2*l.vm.storeCarrier.latency.value() + time.Duration(rand.Int64N(int64(maxElectionJitter))) +
		electionDelay(own, largestProcessor(own, l.vm.registry.registered()))
	select {
	case <-ctx.Done():
		return
	case <-l.vm.clock.After(wait):
	}
	if known, _ := l.vm.registry.currentLeader(); known.revision != 0 || l.vm.leaving.Load() {
		return
	}
	lease, err := l.lease.grant(ctx)
	if err != nil {
		l.log.Warn("leader lease was not granted; retrying at the next check", "err", err)
		return
	}
	revision, found, err := l.vm.store.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: ladderjournal.LeaderKey}},
		Writes:     []platform.Write{{Key: ladderjournal.LeaderKey, Value: l.vm.registry.entry(), Lease: lease}},
	})
	switch {
	case errors.Is(err, platform.ErrConditionFailed):
		for _, item := range found {
			if item.Key != ladderjournal.LeaderKey || item.ModRevision == 0 {
				continue
			}
			p, err := parseEntry(item.Value)
			if err != nil {
				l.log.Warn("leader's key cannot be decoded", "err", err)
				continue
			}
			l.vm.registry.setLeader(leader{
				name: p.name, incarnation: p.incarnation, address: p.address, revision: item.ModRevision, lease: item.Lease,
			})
			if p.incarnation == l.vm.registry.incarnation && item.Lease == lease {
				l.startTerm(ctx, item.ModRevision, l.vm.clock.Now())
			}
		}
	case err != nil:
		l.log.Warn("election transaction failed; retrying at the next check", "err", err)
	default:
		l.vm.registry.setLeader(leader{name: l.vm.settings.Name, incarnation: l.vm.registry.incarnation, revision: revision, lease: lease})
		l.startTerm(ctx, revision, l.vm.clock.Now())
	}
}

// startTerm starts a term with a fencing token. It has no effect if the token is not newer
// than that of the last term.
func (l *leadership) startTerm(ctx context.Context, fence int64, began time.Time) {
	if fence <= l.lastFence {
		return
	}
	l.lastFence = fence
	l.vm.stats.takeovers.Inc()
	l.log.Info("became leader", "fence", fence, "lease", l.lease.current())
	t := newTerm(ctx, l.vm, l.lease, fence, began)
	l.term.Store(t)
	go t.run()
	go l.renewLease(t)
	if l.vm.leaving.Load() {
		l.resign() // The VM began to leave during the election.
	}
}

// renewLease renews the leader's lease until the term ends. A renewal whose answer is late is followed by another one:
// if the store loses answers, the lease must not expire while a single call waits.
func (l *leadership) renewLease(t *term) {
	results := make(chan renewal, maxRenewals)
	var begun, succeeded, pending int
	failing := false
	for t.ctx.Err() == nil {
		if pending < l.renewalLimit() {
			pending++
			begun++
			go func(number int) { results <- renewal{number, l.lease.renew(t.ctx)} }(begun)
		}
		var r renewal
		select {
		case r = <-results:
			pending--
		case <-l.vm.clock.After(leaderRenewInterval):
			continue
		case <-t.ctx.Done():
			return
		}
		pause := leaderRenewInterval
		switch {
		case errors.Is(r.err, platform.ErrNoLease):
			l.endTerm(t, "the leader's lease has expired")
			return
		case r.err == nil:
			if failing {
				l.log.Info("leader lease is renewed again", "remaining", l.lease.remaining().Round(time.Millisecond))
			}
			succeeded, failing = max(succeeded, r.number), false
		case r.number < succeeded:
			continue // A later one has succeeded.
		default:
			if !failing && t.ctx.Err() == nil {
				l.log.Warn("leader lease renewal failed; retrying", "remaining", l.lease.remaining().Round(time.Millisecond), "err", r.err)
			}
			failing, pause = true, retryInterval
		}
		select {
		case <-t.ctx.Done():
		case <-l.vm.clock.After(pause):
		}
	}
}

// renewal is the result of a renewal of the leader's lease. Renewals are numbered from 1.
type renewal struct {
	number int
	err    error
}

// maxRenewals bounds the renewals of the leader's lease that are in flight.
const maxRenewals = 3

// renewalLimit returns how many renewals may be in flight now. While the store serves nothing, more than one would only
// add to the number of calls.
func (l *leadership) renewalLimit() int {
	if l.vm.storeCarrier.unavailable() {
		return 1
	}
	return maxRenewals
}

// endTerm ends a term, unless it has ended already.
func (l *leadership) endTerm(t *term, why string) {
	if l.term.CompareAndSwap(t, nil) {
		l.log.Warn("leadership ended", "fence", t.fence, "why", why)
		t.cancel()
		l.vm.registry.signal()
	}
}
