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
	// contendTime spreads the VMs that want to lead, so that one is usually first.
	electionSpread = 12 * time.Millisecond
	// leadLease is the length of the leader's lease: how long nothing starts after the
	// leader has died without a word.
	leaderLease = 1200 * time.Millisecond
	// leadRenew is the time between its renewals, so that three may fail.
	leaderRenewInterval = 270 * time.Millisecond
	// electTime is the time between tries to lead when nothing was heard.
	electionInterval = 500 * time.Millisecond
	// resignTime bounds the giving up of the lead by a VM that leaves.
	resignTimeout = time.Second
)

// lead wins the lead when nobody has it, and keeps the term in which it does.
type leadership struct {
	vm   *VM
	log  *ladderlog.Logger
	term atomic.Pointer[term]
	// lease is the one under which the leader's key stands.
	lease *lease
	// last is the fence of the VM's last term; it belongs to run.
	lastFence int64
}

func newLeadership(v *VM) *leadership {
	return &leadership{vm: v, log: v.logs.Limited("lead", v.clock), lease: newLease(v, leaderLease)}
}

// current returns the VM's term, or nil while it does not lead.
func (l *leadership) current() *term { return l.term.Load() }

func (l *leadership) setFleet(f *ladderflow.Fleet) {
	if t := l.current(); t != nil {
		t.do(func() { t.planner.SetFleet(f) })
	}
}

// run contends for the lead whenever nobody has it, until ctx ends.
func (l *leadership) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-l.vm.registry.changed:
		case <-l.vm.clock.After(electionInterval):
		}
		known, read := l.vm.registry.currentLeader()
		if t := l.current(); t != nil {
			l.check(t, known)
			continue
		}
		if known.incarnation == l.vm.registry.incarnation {
			l.adoptKey(ctx, known)
			continue
		}
		if l.heldByEarlierIncarnation(known) {
			l.log.Info("an earlier life of this VM led; its lead is over", "fence", known.revision)
			l.deleteKey(ctx, known.revision)
			continue
		}
		if !read || known.revision != 0 || l.vm.leaving.Load() || l.vm.fleet.Load() == nil {
			continue
		}
		l.contend(ctx)
	}
	if t := l.current(); t != nil {
		l.endTerm(t, "the VM stops")
	}
}

// check ends a term that the store says is over.
func (l *leadership) check(t *term, known leader) {
	switch {
	case known.revision > t.fence:
		l.endTerm(t, "another VM leads")
	case known.revision == 0 && l.vm.registry.hasSeen(t.fence):
		l.endTerm(t, "the leader's key is gone")
	case known.revision == t.fence:
		l.handOver(t)
	}
}

// yield hands the lead over when a much stronger VM is there to take it.
func (l *leadership) handOver(t *term) {
	now := l.vm.clock.Now()
	own := l.vm.settings.Processor
	largest := largestProcessor(own, l.vm.registry.registered())
	if l.lease.remaining() <= 0 || !shouldHandOver(own, largest, now.Sub(t.began), now.Sub(l.vm.registry.previousLeaderSince())) {
		return
	}
	l.log.Info("hands the lead over to a stronger VM", "own", own, "strongest", largest)
	l.resign()
}

// claim takes up a lead that the store gave to this VM without its knowing: the
// transaction that won it took effect late. A lead that was given up is deleted.
func (l *leadership) adoptKey(ctx context.Context, known leader) {
	if known.revision > l.lastFence && !l.vm.leaving.Load() {
		l.startTerm(ctx, known.revision, l.vm.clock.Now())
		return
	}
	l.deleteKey(ctx, known.revision)
}

// mine reports whether an earlier life of this very VM holds the lead. That process has
// ended, so that nobody needs to wait for its lease.
func (l *leadership) heldByEarlierIncarnation(known leader) bool {
	own := netip.AddrPortFrom(l.vm.settings.Address, l.vm.settings.FirstPort)
	return known.revision != 0 && known.name == l.vm.settings.Name && known.address == own && known.incarnation != l.vm.registry.incarnation
}

// drop deletes the leader's key of a revision.
func (l *leadership) deleteKey(ctx context.Context, revision int64) {
	_, _, err := l.vm.store.Commit(ctx, platform.Txn{
		If:      []platform.Condition{{Key: ladderjournal.LeaderKey, Changed: revision}},
		Deletes: []string{ladderjournal.LeaderKey},
	})
	if err != nil && !errors.Is(err, platform.ErrChanged) {
		l.log.Warn("lead is left to lapse", "revision", revision, "err", err)
	}
}

// contend tries to win the lead under a lease of its own.
func (l *leadership) contend(ctx context.Context) {
	// VMs close to the store come first: their answers are quicker, and so is all
	// that they will lead.
	own := l.vm.settings.Processor
	wait := 2*l.vm.storeCarrier.latency.value() + time.Duration(rand.Int64N(int64(electionSpread))) +
		electionDelay(own, largestProcessor(own, l.vm.registry.registered()))
	select {
	case <-ctx.Done():
		return
	case <-l.vm.clock.After(wait):
	}
	if known, _ := l.vm.registry.currentLeader(); known.revision != 0 || l.vm.leaving.Load() {
		return
	}
	began := l.vm.clock.Now()
	lease, err := l.lease.grant(ctx)
	if err != nil {
		l.log.Warn("lease for the lead was not granted", "err", err)
		return
	}
	revision, found, err := l.vm.store.Commit(ctx, platform.Txn{
		If:     []platform.Condition{{Key: ladderjournal.LeaderKey}},
		Writes: []platform.Write{{Key: ladderjournal.LeaderKey, Value: l.vm.registry.entry(), Lease: lease}},
	})
	switch {
	case errors.Is(err, platform.ErrChanged):
		for _, item := range found {
			if item.Key != ladderjournal.LeaderKey || item.Changed == 0 {
				continue
			}
			p, err := parseEntry(item.Value)
			if err != nil {
				l.log.Warn("leader's key can not be read", "err", err)
				continue
			}
			l.vm.registry.setLeader(leader{name: p.name, incarnation: p.incarnation, address: p.address, revision: item.Changed})
			if p.incarnation == l.vm.registry.incarnation && item.Lease == lease {
				l.startTerm(ctx, item.Changed, began)
			}
		}
	case err != nil:
		l.log.Warn("lead was not won", "err", err)
	default:
		l.vm.registry.setLeader(leader{name: l.vm.settings.Name, incarnation: l.vm.registry.incarnation, revision: revision})
		l.startTerm(ctx, revision, began)
	}
}

// begin opens a term.
func (l *leadership) startTerm(ctx context.Context, fence int64, began time.Time) {
	if fence <= l.lastFence {
		return
	}
	l.lastFence = fence
	l.vm.stats.takeovers.Inc()
	l.log.Info("leads", "fence", fence, "lease", l.lease.current())
	t := newTerm(ctx, l.vm, l.lease, fence, began)
	l.term.Store(t)
	go t.run()
	go l.renew(t)
}

// keep renews the leader's lease as long as a term lasts.
func (l *leadership) renew(t *term) {
	failing := false
	for t.ctx.Err() == nil {
		wait := leaderRenewInterval
		err := l.lease.renew(t.ctx)
		if errors.Is(err, platform.ErrNoLease) {
			l.endTerm(t, "the lease has ended")
			return
		}
		if err != nil && t.ctx.Err() == nil {
			wait = retryInterval
			if !failing {
				l.log.Warn("leader's lease is not renewed", "left", l.lease.remaining().Round(time.Millisecond), "err", err)
			}
		} else if failing {
			l.log.Info("leader's lease is renewed again", "left", l.lease.remaining().Round(time.Millisecond))
		}
		failing = err != nil
		select {
		case <-t.ctx.Done():
		case <-l.vm.clock.After(wait):
		}
	}
}

// end closes a term.
func (l *leadership) endTerm(t *term, why string) {
	if l.term.CompareAndSwap(t, nil) {
		l.log.Warn("leads no more", "fence", t.fence, "why", why)
		t.cancel()
		l.vm.registry.signal()
	}
}

// resign gives the lead up, so that another VM can take it at once.
func (l *leadership) resign() {
	t := l.current()
	if t == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	t.saveFinal(ctx)
	l.endTerm(t, "the VM leaves")
	l.deleteKey(ctx, t.fence)
}
