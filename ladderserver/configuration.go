package ladderserver

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"lacewingladder/ladderconfig"
	"lacewingladder/laddermessage"
	"lacewingladder/platform"
)

const (
	// ConfigKey is the key of the configuration in the platform's store.
	ConfigKey = "ladder/config"
	// peerQueryTimeout bounds one query to a peer, such as for its configuration.
	peerQueryTimeout = time.Second
	// configPushTimeout bounds the push of a new configuration to all live peers.
	configPushTimeout = time.Second
	// initialReadInterval is the time between reads of the store while this VM has
	// no configuration.
	initialReadInterval = 500 * time.Millisecond
	// watchRetryInterval is the time between attempts to open a watch.
	watchRetryInterval = time.Second
)

// ErrOutcomeUnknown means that the outcome of a configuration change is unknown.
var ErrOutcomeUnknown = errors.New("the platform's store did not answer; apply the same change again to find out")

// configuration keeps the version of the cluster's configuration that is in force
// on this VM. It never goes back to a lower version number.
type configuration struct {
	server *Server
	log    Log

	// mu guards inForce, the version in force. parsed is its parsed document.
	mu      sync.Mutex
	inForce ladderconfig.Version
	parsed  atomic.Pointer[ladderconfig.Config]
	// nextInitialRead is when the store is read again while there is no
	// configuration. It belongs to the control goroutine.
	nextInitialRead time.Time
	// repairing is true while this VM replaces an older version in the store.
	repairing atomic.Bool
}

func newConfiguration(s *Server) *configuration {
	return &configuration{server: s, log: s.logs.Component("config")}
}

// current returns the configuration in force, or nil if there is none.
func (c *configuration) current() *ladderconfig.Config { return c.parsed.Load() }

// version returns the version in force. It returns false if there is none.
func (c *configuration) version() (ladderconfig.Version, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inForce, c.inForce.Number > 0
}

// number returns the number of the version in force, or zero if there is none.
func (c *configuration) number() uint64 {
	v, _ := c.version()
	return v.Number
}

// adoptAndPush puts a version into force if its number is higher than the present
// one, and then sends it to the live peers in the background.
func (c *configuration) adoptAndPush(ctx context.Context, v ladderconfig.Version) {
	if !c.adopt(v) {
		return
	}
	pushCtx := context.WithoutCancel(ctx)
	c.server.background.Go(func() { c.pushToPeers(pushCtx, v) })
}

// adopt puts a version into force if its number is higher than the present one
// and its document is valid. It reports whether it did so.
func (c *configuration) adopt(v ladderconfig.Version) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v.Number <= c.inForce.Number {
		return false
	}
	parsed, err := ladderconfig.Parse(ConfigKey, []byte(v.Document))
	if err != nil {
		c.log.Warn("invalid configuration version ignored", "number", v.Number, "change", v.ChangeID, "err", err)
		return false
	}
	c.inForce = v
	c.parsed.Store(parsed)
	c.server.holder.SetConfig(parsed)
	c.server.dispatch.SetConfig(parsed)
	c.server.ready.Store(!c.server.draining.Load())
	c.log.Info("configuration version in force", "number", v.Number, "change", v.ChangeID, "by", v.Operator)
	return true
}

// pushToPeers sends a version to the live peers that have a lower one.
func (c *configuration) pushToPeers(ctx context.Context, v ladderconfig.Version) {
	pushCtx, cancel := context.WithTimeout(ctx, configPushTimeout)
	defer cancel()
	var addresses []netip.AddrPort
	c.server.runOnControlAndWait(pushCtx, func() {
		for _, p := range c.server.livePeers(c.server.clock.Now()) {
			if p.Version < v.Number {
				addresses = append(addresses, p.VM.PeerAddress)
			}
		}
	})
	var wait sync.WaitGroup
	for _, a := range addresses {
		wait.Go(func() { _, _ = c.server.peers.client.Call(pushCtx, a, laddermessage.ConfigUpdate{Version: v}) })
	}
	wait.Wait()
}

// fetchFromPeer adopts a peer's configuration. It also uses the peer's list of VMs
// if this VM has none, which happens when the VM starts during a platform outage.
func (c *configuration) fetchFromPeer(ctx context.Context, peer netip.AddrPort) {
	callCtx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	answer, err := c.server.peers.client.Call(callCtx, peer, laddermessage.FetchConfig{})
	update, ok := answer.(laddermessage.ConfigUpdate)
	if err != nil || !ok {
		return
	}
	c.adopt(update.Version)
	c.server.runOnControl(ctx, func() {
		if len(c.server.listing.Workers) == 0 {
			c.server.setListing(update.Listing)
		}
	})
}

// readInitial reads the configuration from the store while this VM has none. It
// runs on the control goroutine.
func (c *configuration) readInitial(ctx context.Context, now time.Time) {
	if c.number() > 0 || now.Before(c.nextInitialRead) {
		return
	}
	c.nextInitialRead = now.Add(initialReadInterval)
	c.server.background.Go(func() {
		if v, _, ok, err := c.readStored(ctx); err == nil && ok {
			c.adopt(v)
		}
	})
}

// readStored returns the version in the store and the revision at which it was
// written.
func (c *configuration) readStored(ctx context.Context) (v ladderconfig.Version, modRevision int64, ok bool, err error) {
	item, ok, err := c.server.store.client.Get(ctx, ConfigKey)
	c.server.storeReachable.Store(err == nil)
	if err != nil || !ok {
		return v, 0, false, err
	}
	v, err = decodeVersion(item.Value)
	return v, item.ModRevision, err == nil, err
}

// apply stores a document as the next version and puts it into force. It refuses
// the document when base, the number of the version that the operator edited, is
// not the present one; zero stands for no version, and anyVersion matches every
// one. A repeated change is recognized by its ID and not applied again.
func (c *configuration) apply(ctx context.Context, v ladderconfig.Version, base int64) (ladderconfig.Version, error) {
	if _, err := ladderconfig.Parse("document", []byte(v.Document)); err != nil {
		return v, err
	}
	stored, modRevision, ok, err := c.readStored(ctx)
	if err != nil {
		return v, fmt.Errorf("the change was not accepted: %w", err)
	}
	if current, _ := c.version(); current.Number > stored.Number {
		stored = current
	}
	switch {
	case ok && stored.ChangeID == v.ChangeID:
		c.adoptAndPush(ctx, stored)
		return stored, nil
	case base != anyVersion && base != int64(stored.Number):
		return v, &ladderconfig.ConflictError{Current: stored}
	}
	v.Number = stored.Number + 1
	value, err := EncodeVersion(v)
	if err != nil {
		return v, err
	}
	done, _, err := c.server.store.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: ConfigKey, ModRevision: modRevision}},
		Writes:     []platform.Write{{Key: ConfigKey, Value: value}},
	})
	if done && err == nil {
		c.adoptAndPush(ctx, v)
		return v, nil
	}
	return c.resolveWrite(ctx, v, err)
}

// resolveWrite reads the stored version back to find out whether the write of v
// took effect, after the store refused it or did not answer. cause is the error of
// the write, or nil if another change was stored first.
func (c *configuration) resolveWrite(ctx context.Context, v ladderconfig.Version, cause error) (ladderconfig.Version, error) {
	stored, _, ok, err := c.readStored(ctx)
	switch {
	case err != nil:
		return v, errors.Join(ErrOutcomeUnknown, cause, err)
	case ok && stored.ChangeID == v.ChangeID:
		c.adoptAndPush(ctx, stored)
		return stored, nil
	case cause != nil:
		return v, fmt.Errorf("the change was not accepted: %w", cause)
	}
	c.adoptAndPush(ctx, stored)
	return v, &ladderconfig.ConflictError{Current: stored}
}

// watchLoop watches the configuration in the store until ctx ends. Only one VM of
// each zone watches at a time; it pushes new versions to the others.
func (c *configuration) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		duty := false
		c.server.runOnControlAndWait(ctx, func() { duty = c.server.members.HasDuty(c.server.clock.Now(), "watch") })
		if duty {
			_ = c.watch(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryInterval):
		}
	}
}

// watch watches the configuration in the store until the watch fails or
// watchReopenInterval has passed.
func (c *configuration) watch(ctx context.Context) error {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	_, revision, err := c.server.store.List(ctx, ConfigKey, 0)
	if err != nil {
		return err
	}
	v, modRevision, ok, err := c.readStored(ctx)
	if err != nil {
		return err
	}
	c.reconcile(ctx, v, modRevision, ok)
	stop := time.AfterFunc(watchReopenInterval, cancel)
	defer stop.Stop()
	return c.server.store.Watch(watchCtx, ConfigKey, revision, func(item platform.Item) {
		if v, err := decodeVersion(item.Value); err == nil {
			c.reconcile(ctx, v, item.ModRevision, true)
		}
	})
}

// watchReopenInterval is the time after which a watch is closed and opened again.
// It limits how long a watch that stopped delivering goes unnoticed, and how long
// a VM goes on watching after the duty has passed to another VM.
const watchReopenInterval = 20 * time.Second

// reconcile adopts the stored version if it is newer than the one in force. If it
// is older or missing, reconcile writes the version in force to the store, because
// a store that was restored from a backup must not undo an accepted change.
func (c *configuration) reconcile(ctx context.Context, stored ladderconfig.Version, modRevision int64, ok bool) {
	if ok && stored.Number > c.number() {
		c.adoptAndPush(ctx, stored)
		return
	}
	current, exists := c.version()
	if !exists || (ok && current.Number == stored.Number) || !c.repairing.CompareAndSwap(false, true) {
		return
	}
	defer c.repairing.Store(false)
	value, err := EncodeVersion(current)
	if err != nil {
		return
	}
	done, _, err := c.server.store.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: ConfigKey, ModRevision: modRevision}},
		Writes:     []platform.Write{{Key: ConfigKey, Value: value}},
	})
	c.log.Warn("configuration version in the store is older or missing; tried to replace it",
		"stored", stored.Number, "current", current.Number, "repaired", done, "err", err)
}
