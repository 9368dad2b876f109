package laddervm

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"lacewingladder/ladderjournal"
	"lacewingladder/ladderlog"
	"lacewingladder/laddermessage"
	"lacewingladder/ladderpeer"
	"lacewingladder/platform"
)

const (
	// vmPrefix is the prefix of the leader's key and, below entryPrefix, of the entries of all
	// VMs.
	vmPrefix    = "ladder/vm/"
	entryPrefix = "ladder/vm/entry/"
	// entryLease is the length of the lease of a VM's entry: how long peers rely on a VM that
	// has crashed.
	entryLease = 3 * time.Second
	// entryRenewInterval is the time between two renewals of that lease. Several may fail
	// before the lease expires, and an outage of the store is noticed within a second.
	entryRenewInterval = 600 * time.Millisecond
	// retryInterval is the time before a failed call is repeated.
	retryInterval = 150 * time.Millisecond
	// watchWait is how long one watch call waits for changes. A store that drops its history
	// may never answer a waiting watch although its connection is alive, so that only the end
	// of the wait reveals the loss. The wait and its slack stay below the 3 s that the
	// platform allows for a disruption.
	watchWait = 2 * time.Second
	// announceDelay is the time after which peers know a VM that has registered.
	announceDelay = 50 * time.Millisecond
	// trustAfterRemoval is how long the key of a VM whose entry has been removed is accepted:
	// during an outage of the store, entries expire although the VMs still run.
	trustAfterRemoval = 30 * time.Second
)

// leader is the leader as last read from the store. Revision is that of the leader's key,
// which is also the fencing token; it is zero if there is no leader. Lease is the lease to which
// the key is bound.
type leader struct {
	name        string
	incarnation string
	address     netip.AddrPort
	revision    int64
	lease       int64
}

// registry keeps the VM's lease and entry in the store, and records the peers and the leader.
type registry struct {
	vm          *VM
	log         *ladderlog.Logger
	incarnation string

	mu    sync.Mutex
	peers map[string]peer
	// peersVersion changes whenever peers may have changed. It is never zero.
	peersVersion int64
	leader       leader
	// loaded is true once the store has been read.
	loaded bool
	// leaderSince is when the current leader was first seen, and previousSince when the one
	// before it was; zero means never.
	leaderSince   time.Time
	previousSince time.Time
	// seenRevision is the highest revision up to which the watch has shown the state of the
	// leader's key.
	seenRevision int64
	// backoffUntil holds, by incarnation, the time until which a peer is not called.
	backoffUntil map[string]time.Time
	// lease is the lease of the VM's entry, and registeredAt when the entry was last written.
	lease        *lease
	registeredAt time.Time
	// changed wakes the goroutine that decides whether to contend for leadership.
	changed chan struct{}
}

// newIncarnation returns a name for one incarnation of a VM, which lasts from the start of its
// process to the end. The name contains the VM's own name and random bits from the system: two
// VMs that start at the same instant must never share it, because each VM considers a leader's
// key that names its incarnation its own.
func newIncarnation(name string) string {
	return name + "/" + ulid.MustNew(ulid.Now(), rand.Reader).String()
}

func newRegistry(v *VM) *registry {
	return &registry{
		vm: v, log: v.logs.RateLimited("registry", v.clock), incarnation: newIncarnation(v.settings.Name),
		peers: map[string]peer{}, peersVersion: 1, backoffUntil: map[string]time.Time{},
		lease:   newLease(v, entryLease),
		changed: make(chan struct{}, 1),
	}
}

// trusted reports whether the hash of a key is registered, or was registered recently.
func (r *registry) trusted(hash string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if hash == r.vm.keys.hash {
		return true
	}
	for _, p := range r.peers {
		if p.hash == hash {
			return true
		}
	}
	r.log.Warn("connection of an unregistered peer rejected", "hash", hash)
	return false
}

// others returns the registered peers, or those that were registered recently if there are
// none.
func (r *registry) others() []peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var listed, all []peer
	for _, p := range r.peers {
		if p.incarnation == r.incarnation {
			continue
		}
		all = append(all, p)
		if p.removedAt.IsZero() {
			listed = append(listed, p)
		}
	}
	if len(listed) == 0 {
		listed = all
	}
	slices.SortFunc(listed, func(a, b peer) int { return strings.Compare(a.name, b.name) })
	return listed
}

// version returns a number that changes whenever the result of others may have changed.
func (r *registry) version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peersVersion
}

// registered returns the peers that have an entry in the store.
func (r *registry) registered() []peer {
	return slices.DeleteFunc(r.others(), func(p peer) bool { return !p.removedAt.IsZero() })
}

func (r *registry) find(name string) (peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.peers[name]
	return p, ok
}

// currentLeader returns the leader, if there is one. It returns false until the store has been
// read.
func (r *registry) currentLeader() (leader, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader, r.loaded
}

// previousLeaderSince returns when the leader before the current one was first seen, or zero if
// this VM has seen none.
func (r *registry) previousLeaderSince() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.previousSince
}

// signal wakes the goroutine that decides whether to contend for leadership.
func (r *registry) signal() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// keepRegistered registers the VM and renews its lease until ctx ends.
func (r *registry) keepRegistered(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		wait := entryRenewInterval
		err := r.lease.renew(ctx)
		if errors.Is(err, platform.ErrNoLease) {
			err = r.register(ctx)
		}
		if err != nil {
			wait = retryInterval
			if ctx.Err() == nil && !failing {
				r.log.Warn("entry lease renewal failed; retrying", "err", err)
			}
		} else if failing {
			r.log.Info("entry lease is renewed again", "lease", r.lease.current())
		}
		failing = err != nil
		select {
		case <-ctx.Done():
		case <-r.vm.clock.After(wait):
		}
	}
}

// register acquires a new lease and writes the VM's entry under it.
func (r *registry) register(ctx context.Context) error {
	id, err := r.lease.grant(ctx)
	if err != nil {
		return err
	}
	_, _, err = r.vm.store.Commit(ctx, platform.Txn{
		Writes: []platform.Write{{Key: entryPrefix + r.vm.settings.Name, Value: r.entry(), Lease: id}},
	})
	if err != nil {
		return errors.Join(err, r.lease.end(ctx))
	}
	r.log.Info("entry VM registered", "lease", id)
	r.mu.Lock()
	r.registeredAt = r.vm.clock.Now()
	r.mu.Unlock()
	r.signal()
	return nil
}

// announced reports whether the VM has been registered for long enough that its peers know it
// and accept its messages.
func (r *registry) announced(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.registeredAt.IsZero() && now.Sub(r.registeredAt) >= announceDelay
}

// watch follows the entries of all VMs and the leader's key until ctx ends.
func (r *registry) watch(ctx context.Context) {
	follow(ctx, r.vm, vmPrefix, follower{
		reset: func(items []platform.Item, revision int64) {
			r.mu.Lock()
			defer r.mu.Unlock()
			now := r.vm.clock.Now()
			r.peersVersion++
			listed := map[string]bool{}
			for _, item := range items {
				listed[item.Key] = true
			}
			for name, p := range r.peers {
				if !listed[entryPrefix+name] && p.removedAt.IsZero() {
					p.removedAt = now
					r.peers[name] = p
				}
			}
			if !listed[ladderjournal.LeaderKey] && revision > r.leader.revision {
				r.leader = leader{}
				r.seenRevision = max(r.seenRevision, revision)
			}
			for _, item := range items {
				r.apply(item, now)
			}
			r.loaded = true
			r.signal()
		},
		change: func(items []platform.Item) {
			r.mu.Lock()
			defer r.mu.Unlock()
			for _, item := range items {
				r.apply(item, r.vm.clock.Now())
			}
			r.signal()
		},
	})
}

// apply applies one item below the VMs' prefix. The caller holds the lock.
func (r *registry) apply(item platform.Item, now time.Time) {
	name := strings.TrimPrefix(item.Key, entryPrefix)
	r.peersVersion++
	if item.Key == ladderjournal.LeaderKey {
		r.seenRevision = max(r.seenRevision, item.ModRevision)
	}
	if item.Deleted {
		if item.Key == ladderjournal.LeaderKey {
			r.log.Info("leader's key was deleted; there is no leader", "revision", item.ModRevision, "previous", r.leader.name)
			if item.ModRevision > r.leader.revision {
				r.leader = leader{}
			}
		} else if p, ok := r.peers[name]; ok && p.removedAt.IsZero() {
			p.removedAt = now
			r.peers[name] = p
		}
		return
	}
	p, err := parseEntry(item.Value)
	if err != nil {
		r.log.Warn("entry cannot be decoded; ignored", "key", item.Key, "err", err)
		return
	}
	if item.Key == ladderjournal.LeaderKey {
		if r.leader.revision != item.ModRevision {
			r.log.Info("new leader", "leader", p.name, "revision", item.ModRevision)
			r.previousSince, r.leaderSince = r.leaderSince, now
		}
		r.leader = leader{
			name: p.name, incarnation: p.incarnation, address: p.address, revision: item.ModRevision, lease: item.Lease,
		}
		return
	}
	for otherName, other := range r.peers {
		if !other.removedAt.IsZero() && now.Sub(other.removedAt) > trustAfterRemoval {
			delete(r.backoffUntil, other.incarnation)
			delete(r.peers, otherName)
		}
	}
	p.revision = item.ModRevision
	r.peers[name] = p
}

// setLeader records the leader that a transaction has shown, unless a later one is known.
func (r *registry) setLeader(l leader) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.revision > r.leader.revision {
		r.leader = l
	}
}

// peerBackoff is how long a VM that could not be reached is not called: it may have crashed,
// or have restarted with a key that the store has not shown yet, and each attempt costs both
// sides a handshake.
const peerBackoff = 250 * time.Millisecond

// call sends a message to a peer and returns the reply. It fails at once if the peer could not
// be reached within the last peerBackoff.
func (r *registry) call(ctx context.Context, p peer, m laddermessage.Message) (laddermessage.Message, error) {
	now := r.vm.clock.Now()
	r.mu.Lock()
	backedOff := now.Before(r.backoffUntil[p.incarnation])
	r.mu.Unlock()
	if backedOff {
		return nil, fmt.Errorf("peer %s could not be reached a moment ago: %w", p.name, ladderpeer.ErrUnsent)
	}
	r.vm.exchanges.count("out", m)
	reply, err := r.vm.peers.Call(ctx, p.address, m)
	if errors.Is(err, ladderpeer.ErrUnsent) && ctx.Err() == nil {
		r.mu.Lock()
		r.backoffUntil[p.incarnation] = r.vm.clock.Now().Add(peerBackoff)
		r.mu.Unlock()
	}
	return reply, err
}

// follower handles the items below a prefix of the store.
type follower struct {
	// from, if not zero, is a revision up to which all items are known. They are not read then, and the
	// first watch call does not wait.
	from int64
	// reset is called with all items and the revision at which they were read, and change with
	// items that have changed since.
	reset  func(items []platform.Item, revision int64)
	change func([]platform.Item)
	// complete, if set, is called once all items that the store held at a given time were passed on.
	complete func(at time.Time)
	// wait, if set, returns how long a watch call waits for changes. It defaults to watchWait.
	wait func(now time.Time) time.Duration
	// pause is the time between two watch calls, in which changes gather.
	pause time.Duration
}

// completed reports that all items were passed on that the store held when a call began, which has
// succeeded: the store's responses show all that it had acknowledged by then.
func (f *follower) completed(began time.Time) {
	if f.complete != nil {
		f.complete(began)
	}
}

// watchWait returns how long the next watch call waits for changes.
func (f *follower) watchWait(now time.Time) time.Duration {
	if f.wait == nil {
		return watchWait
	}
	return f.wait(now)
}

// follow reads a prefix, unless it is known, and then watches it until ctx ends. If the store no longer has
// the history that the watch needs, all items are read again.
func follow(ctx context.Context, v *VM, prefix string, f follower) {
	revision, behind := f.from, f.from != 0
	for ctx.Err() == nil {
		var err error
		began := v.clock.Now()
		if revision == 0 {
			var items []platform.Item
			revision, err = platform.ReadAll(ctx, v.store, prefix, func(item platform.Item) { items = append(items, item) })
			if err == nil {
				f.reset(items, revision)
				f.completed(began)
			}
		} else {
			var items []platform.Item
			var next int64
			wait := f.watchWait(began)
			if behind {
				wait = 0
			}
			items, next, err = v.store.Watch(ctx, prefix, revision, wait)
			switch {
			case errors.Is(err, platform.ErrCompacted):
				v.log.Info("store no longer has the history; reading all items again", "prefix", prefix, "revision", revision)
				atOnce := behind // Nothing that has changed since f.from is known yet.
				revision, behind, err = 0, false, nil
				if atOnce {
					continue
				}
			case err == nil:
				revision, behind = max(revision, next), false
				if len(items) > 0 {
					f.change(items)
				}
				f.completed(began)
			}
		}
		pause := f.pause
		if err != nil {
			pause = retryInterval
			if ctx.Err() == nil {
				v.log.Warn("watch failed; retrying", "prefix", prefix, "revision", revision,
					"after", v.clock.Now().Sub(began).Round(time.Millisecond), "err", err)
			}
		}
		if pause > 0 {
			select {
			case <-ctx.Done():
			case <-v.clock.After(pause):
			}
		}
	}
}

// hasSeen reports whether the watch has shown the state of the leader's key at the given
// revision or a later one. If it has and there is no leader now, the key was deleted.
func (r *registry) hasSeen(revision int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seenRevision >= revision
}
