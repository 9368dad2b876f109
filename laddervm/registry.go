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

	"github.com/fxamacker/cbor/v2"
	"github.com/oklog/ulid/v2"

	"lacewingladder/ladderjournal"
	"lacewingladder/ladderlog"
	"lacewingladder/laddermessage"
	"lacewingladder/ladderpeer"
	"lacewingladder/platform"
)

const (
	vmPrefix    = "ladder/vm/"
	entryPrefix = "ladder/vm/entry/"
	// entryLease is the length of the lease of a VM's entry: how long peers count on
	// a VM that has died without a word.
	entryLease = 3 * time.Second
	// entryRenew is the time between its renewals, so that several may fail, and an
	// outage of the store is noticed within a second.
	entryRenewInterval = 600 * time.Millisecond
	// retryTime is the time to the next try of a call to the store that failed.
	retryInterval = 150 * time.Millisecond
	// watchTime is how long one watch waits. A store that drops its history may leave a
	// waiting watch without an answer on a connection that lives, so that only the end of
	// the wait shows it; that and its slack stay below the 3 s that the platform allows
	// for a disruption.
	watchWait = 2 * time.Second
	// trustTime is how long the key of a VM whose entry is gone is accepted: an
	// outage of the store takes entries away though the VMs run on.
	trustAfterRemoval = 30 * time.Second
)

// peer is another VM, as it registered itself.
type peer struct {
	name        string
	incarnation string
	address     netip.AddrPort
	hash        string
	// strength is its processor, in thousandths of a core.
	processor int
	zone      string
	// gone is when its entry went, or zero.
	removedAt time.Time
}

// leader is who leads, as far as the store has told. Revision is zero for nobody.
type leader struct {
	name        string
	incarnation string
	address     netip.AddrPort
	revision    int64
}

// registry keeps the VM's lease and entry, and knows its peers and who leads.
type registry struct {
	vm          *VM
	log         *ladderlog.Logger
	incarnation string

	mu     sync.Mutex
	peers  map[string]peer
	leader leader
	loaded bool
	// led is when the present leader was heard of first, and before when the one before
	// it was; zero is never.
	leaderSince time.Time
	formerSince time.Time
	// seen is the highest revision of the leader's key that the watch has shown.
	seen int64
	// shunned is until when each life of a VM is not called.
	backoffUntil map[string]time.Time
	lease        *lease
	changed      chan struct{}
}

// newLife returns a name for one life of a VM. It holds the VM's own name, and chance
// from the system: two VMs that start at the same instant must never share it, since
// each takes the leader's key that names its life for its own.
func newIncarnation(name string) string {
	return name + "/" + ulid.MustNew(ulid.Now(), rand.Reader).String()
}

func newRegistry(v *VM) *registry {
	return &registry{
		vm: v, log: v.logs.Limited("registry", v.clock), incarnation: newIncarnation(v.settings.Name), peers: map[string]peer{}, backoffUntil: map[string]time.Time{},
		lease:   newLease(v, entryLease),
		changed: make(chan struct{}, 1),
	}
}

// entryWire is a VM's entry, and the leader's.
type entryWire struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation string
	Address     string
	Hash        string
	// Strength is the VM's processor, in thousandths of a core.
	Processor int
	Zone      string
}

func (r *registry) entry() []byte {
	address := netip.AddrPortFrom(r.vm.settings.Address, r.vm.settings.FirstPort)
	data, err := cbor.Marshal(entryWire{
		Name: r.vm.settings.Name, Incarnation: r.incarnation, Address: address.String(), Hash: r.vm.keys.hash,
		Processor: r.vm.settings.Processor, Zone: r.vm.settings.Zone,
	})
	if err != nil {
		panic(err) // Strings can always be encoded.
	}
	return data
}

func parseEntry(data []byte) (peer, error) {
	var w entryWire
	if err := cbor.Unmarshal(data, &w); err != nil {
		return peer{}, err
	}
	address, err := netip.ParseAddrPort(w.Address)
	return peer{name: w.Name, incarnation: w.Incarnation, address: address, hash: w.Hash, processor: w.Processor, zone: w.Zone}, err
}

// trusts reports whether a key's hash is registered, or was a short while ago.
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
	r.log.Warn("stranger is refused", "hash", hash)
	return false
}

// others returns the peers that are registered, or all that were lately when none is.
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

// listed returns the peers whose entries stand in the store.
func (r *registry) registered() []peer {
	return slices.DeleteFunc(r.others(), func(p peer) bool { return !p.removedAt.IsZero() })
}

// find returns a peer by its name.
func (r *registry) find(name string) (peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.peers[name]
	return p, ok
}

// leads returns who leads. It is false before the store was read.
func (r *registry) currentLeader() (leader, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader, r.loaded
}

// ledBefore returns when the leader before the present one was heard of first, or zero.
func (r *registry) previousLeaderSince() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.formerSince
}

func (r *registry) signal() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// keep registers the VM and renews its lease until ctx ends.
func (r *registry) keep(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		wait := entryRenewInterval
		err := r.lease.renew(ctx)
		if errors.Is(err, platform.ErrNoLease) {
			err = r.register(ctx)
		}
		if err != nil {
			wait = retryInterval
			if ctx.Err() == nil && !lost {
				r.log.Warn("entry's lease is not renewed", "err", err)
			}
		} else if lost {
			r.log.Info("entry's lease is renewed again", "lease", r.lease.current())
		}
		lost = err != nil
		select {
		case <-ctx.Done():
		case <-r.vm.clock.After(wait):
		}
	}
}

// register takes a new lease and writes the VM's entry under it.
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
	r.log.Info("is registered", "lease", id)
	r.signal()
	return nil
}

// watch follows the entries of all VMs and the leader's key until ctx ends.
func (r *registry) watch(ctx context.Context) {
	follow(ctx, r.vm, vmPrefix, follower{
		reset: func(items []platform.Item, revision int64) {
			r.mu.Lock()
			defer r.mu.Unlock()
			now := r.vm.clock.Now()
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
				r.seen = max(r.seen, revision)
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

// apply takes in one key below the VMs' prefix. The lock is held.
func (r *registry) apply(item platform.Item, now time.Time) {
	name := strings.TrimPrefix(item.Key, entryPrefix)
	if item.Key == ladderjournal.LeaderKey {
		r.seen = max(r.seen, item.Changed)
	}
	if item.Deleted {
		if item.Key == ladderjournal.LeaderKey {
			r.log.Info("nobody leads", "revision", item.Changed, "before", r.leader.name)
			if item.Changed > r.leader.revision {
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
		r.log.Warn("entry is passed over", "key", item.Key, "err", err)
		return
	}
	if item.Key == ladderjournal.LeaderKey {
		if r.leader.revision != item.Changed {
			r.log.Info("leader is known", "leader", p.name, "revision", item.Changed)
			r.formerSince, r.leaderSince = r.leaderSince, now
		}
		r.leader = leader{name: p.name, incarnation: p.incarnation, address: p.address, revision: item.Changed}
		return
	}
	for old, o := range r.peers {
		if !o.removedAt.IsZero() && now.Sub(o.removedAt) > trustAfterRemoval {
			delete(r.backoffUntil, o.incarnation)
			delete(r.peers, old)
		}
	}
	r.peers[name] = p
}

// setLeader takes over what a transaction has shown about the leader.
func (r *registry) setLeader(l leader) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.revision > r.leader.revision {
		r.leader = l
	}
}

// shunPeer is how long a VM that could not be reached is not called: it may be dead,
// or have begun a life whose key the store has not shown yet, and each try costs both
// sides a handshake.
const peerBackoff = 250 * time.Millisecond

// call sends a message to a peer, unless it could not be reached just now.
func (r *registry) call(ctx context.Context, p peer, m laddermessage.Message) (laddermessage.Message, error) {
	now := r.vm.clock.Now()
	r.mu.Lock()
	shunned := now.Before(r.backoffUntil[p.incarnation])
	r.mu.Unlock()
	if shunned {
		return nil, fmt.Errorf("peer %s could not be reached just now: %w", p.name, ladderpeer.ErrUnsent)
	}
	reply, err := r.vm.peers.Call(ctx, p.address, m)
	if errors.Is(err, ladderpeer.ErrUnsent) && ctx.Err() == nil {
		r.mu.Lock()
		r.backoffUntil[p.incarnation] = r.vm.clock.Now().Add(peerBackoff)
		r.mu.Unlock()
	}
	return reply, err
}

// follower takes in what lies below a prefix of the store.
type follower struct {
	// reset takes in all items, change those that have changed since.
	reset  func(items []platform.Item, revision int64)
	change func([]platform.Item)
	// pause is the time between two watches; changes gather in it.
	pause time.Duration
}

// follow reads a prefix and then watches it until ctx ends. When the history that
// it needs is gone, it reads all again.
func follow(ctx context.Context, v *VM, prefix string, f follower) {
	revision := int64(0)
	for ctx.Err() == nil {
		var err error
		if revision == 0 {
			revision, err = readAll(ctx, v, prefix, f.reset)
		} else {
			var items []platform.Item
			var next int64
			items, next, err = v.store.Watch(ctx, prefix, revision, watchWait)
			switch {
			case errors.Is(err, platform.ErrForgotten):
				v.log.Info("history is gone; all is read again", "prefix", prefix, "revision", revision)
				revision, err = 0, nil
			case err == nil:
				revision = max(revision, next)
				if len(items) > 0 {
					f.change(items)
				}
			}
		}
		pause := f.pause
		if err != nil {
			pause = retryInterval
			if ctx.Err() == nil {
				v.log.Warn("watch broke", "prefix", prefix, "revision", revision, "err", err)
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

// readAll reads all pages of a prefix and returns the revision of the first.
func readAll(ctx context.Context, v *VM, prefix string, take func([]platform.Item, int64)) (int64, error) {
	var all []platform.Item
	first := int64(0)
	for after := ""; ; {
		page, err := v.store.Range(ctx, prefix, after)
		if err != nil {
			return 0, fmt.Errorf("read %s: %w", prefix, err)
		}
		if first == 0 {
			first = page.Revision
		}
		all = append(all, page.Items...)
		if !page.More || len(page.Items) == 0 {
			take(all, first)
			return first, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// knew reports whether the watch has shown the leader's key of a revision, so that
// its absence now means that it is gone.
func (r *registry) hasSeen(revision int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen >= revision
}
