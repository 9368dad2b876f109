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
	// ConfigKey is where the configuration is kept in the platform's store.
	ConfigKey = "ladder/config"
	// fetchTime bounds one question for a configuration.
	peerQueryTimeout = time.Second
	// pushTime bounds the spreading of a new configuration to one peer.
	configPushTimeout = time.Second
	// firstTime is the time between tries to find a first configuration.
	initialReadInterval = 500 * time.Millisecond
	// watchPause is the time between tries to open a watch.
	watchRetryInterval = time.Second
)

// ErrUnsure means that a configuration change may have been accepted.
var ErrUnsure = errors.New("the platform's store did not answer; apply the same change again to find out")

// configuration is the controller of the fleet's configuration. It only ever
// moves to higher versions.
type configuration struct {
	server *Server
	log    Log

	mu      sync.Mutex
	inForce ladderconfig.Version
	parsed  atomic.Pointer[ladderconfig.Config]
	// next is when a first configuration is looked for again.
	nextInitialRead time.Time
	// repairing is true while an older version in the store is being replaced.
	repairing atomic.Bool
}

func newConfiguration(s *Server) *configuration {
	return &configuration{server: s, log: s.logs.Part("config")}
}

// current returns the configuration in force, or nil.
func (c *configuration) current() *ladderconfig.Config { return c.parsed.Load() }

// version returns the version in force.
func (c *configuration) version() (ladderconfig.Version, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inForce, c.inForce.Number > 0
}

// number returns the number of the version in force, or zero.
func (c *configuration) number() uint64 {
	v, _ := c.version()
	return v.Number
}

// adoptAndPush puts a version in force if it is higher than the one held, and passes it
// on to all peers.
func (c *configuration) adoptAndPush(ctx context.Context, v ladderconfig.Version) {
	if !c.adopt(v) {
		return
	}
	spreading := context.WithoutCancel(ctx)
	c.server.background.Go(func() { c.pushToPeers(spreading, v) })
}

// adopt puts a version in force if it is higher than the one held.
func (c *configuration) adopt(v ladderconfig.Version) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v.Number <= c.inForce.Number {
		return false
	}
	parsed, err := ladderconfig.Parse(ConfigKey, []byte(v.Document))
	if err != nil {
		c.log.Warn("version refused", "number", v.Number, "change", v.Change, "err", err)
		return false
	}
	c.inForce = v
	c.parsed.Store(parsed)
	c.server.holder.SetConfig(parsed)
	c.server.dispatch.SetConfig(parsed)
	c.server.ready.Store(!c.server.draining.Load())
	c.log.Info("version in force", "number", v.Number, "change", v.Change, "by", v.By)
	return true
}

// pushToPeers sends a version to all live peers.
func (c *configuration) pushToPeers(ctx context.Context, v ladderconfig.Version) {
	spreading, cancel := context.WithTimeout(ctx, configPushTimeout)
	defer cancel()
	var addresses []netip.AddrPort
	c.server.runOnControlAndWait(spreading, func() {
		for _, p := range c.server.livePeers(c.server.clock.Now()) {
			if p.Version < v.Number {
				addresses = append(addresses, p.VM.Peers)
			}
		}
	})
	var wait sync.WaitGroup
	for _, a := range addresses {
		wait.Go(func() { _, _ = c.server.peers.client.Call(spreading, a, laddermessage.Push{Version: v}) })
	}
	wait.Wait()
}

// fetchFromPeer asks a peer for its configuration.
func (c *configuration) fetchFromPeer(ctx context.Context, peer netip.AddrPort) {
	fetching, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	answer, err := c.server.peers.client.Call(fetching, peer, laddermessage.Fetch{})
	push, ok := answer.(laddermessage.Push)
	if err != nil || !ok {
		return
	}
	c.adopt(push.Version)
	c.server.runOnControl(ctx, func() {
		if len(c.server.listing.Workers) == 0 {
			c.server.setListing(push.Listing)
		}
	})
}

// readInitial looks for a first configuration in the store. It runs on the control
// goroutine.
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

// readStored returns the version in the store and its entry's revision.
func (c *configuration) readStored(ctx context.Context) (v ladderconfig.Version, modified int64, ok bool, err error) {
	e, ok, err := c.server.store.client.Get(ctx, ConfigKey)
	c.server.storeReachable.Store(err == nil)
	if err != nil || !ok {
		return v, 0, false, err
	}
	v, err = decodeVersion(e.Value)
	return v, e.Changed, err == nil, err
}

// apply makes a document the next version. Base is the number of the version on
// which the document was based, or zero for whichever is in force.
func (c *configuration) apply(ctx context.Context, v ladderconfig.Version, base uint64) (ladderconfig.Version, error) {
	if _, err := ladderconfig.Parse("document", []byte(v.Document)); err != nil {
		return v, err
	}
	stored, modified, ok, err := c.readStored(ctx)
	if err != nil {
		return v, fmt.Errorf("the change was not accepted: %w", err)
	}
	if held, _ := c.version(); held.Number > stored.Number {
		stored = held
	}
	switch {
	case ok && stored.Change == v.Change:
		c.adoptAndPush(ctx, stored)
		return stored, nil
	case base != 0 && base != stored.Number:
		return v, &ladderconfig.Refusal{Held: stored}
	}
	v.Number = stored.Number + 1
	value, err := EncodeVersion(v)
	if err != nil {
		return v, err
	}
	done, _, err := c.server.store.Commit(ctx, platform.Txn{
		If:     []platform.Condition{{Key: ConfigKey, Changed: modified}},
		Writes: []platform.Write{{Key: ConfigKey, Value: value}},
	})
	if done && err == nil {
		c.adoptAndPush(ctx, v)
		return v, nil
	}
	return c.resolveWrite(ctx, v, err)
}

// resolveWrite finds out by reading back what became of a write.
func (c *configuration) resolveWrite(ctx context.Context, v ladderconfig.Version, cause error) (ladderconfig.Version, error) {
	stored, _, ok, err := c.readStored(ctx)
	switch {
	case err != nil:
		return v, errors.Join(ErrUnsure, cause, err)
	case ok && stored.Change == v.Change:
		c.adoptAndPush(ctx, stored)
		return stored, nil
	case cause != nil:
		return v, fmt.Errorf("the change was not accepted: %w", cause)
	}
	c.adoptAndPush(ctx, stored)
	return v, &ladderconfig.Refusal{Held: stored}
}

// watchLoop follows the store's configuration while this VM has that duty in its
// zone, until ctx ends.
func (c *configuration) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		duty := false
		c.server.runOnControlAndWait(ctx, func() { duty = c.server.members.Duty(c.server.clock.Now(), "watch") })
		if duty {
			_ = c.watch(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryInterval):
		}
	}
}

// watch follows the store's configuration until the watch breaks or the duty
// passes to another VM.
func (c *configuration) watch(ctx context.Context) error {
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	_, revision, err := c.server.store.List(ctx, ConfigKey, 0)
	if err != nil {
		return err
	}
	v, modified, ok, err := c.readStored(ctx)
	if err != nil {
		return err
	}
	c.reconcile(ctx, v, modified, ok)
	stop := time.AfterFunc(watchReopenInterval, cancel)
	defer stop.Stop()
	return c.server.store.Watch(watching, ConfigKey, revision, func(e platform.Item) {
		if v, err := decodeVersion(e.Value); err == nil {
			c.reconcile(ctx, v, e.Changed, true)
		}
	})
}

// watchTime is after how long a watch is opened anew, so that one that went
// silent does no harm for longer, and a duty that moved is noticed.
const watchReopenInterval = 20 * time.Second

// reconcile takes over a newer version from the store, or replaces an older one:
// a store that was restored must not take an accepted change back.
func (c *configuration) reconcile(ctx context.Context, stored ladderconfig.Version, modified int64, ok bool) {
	if ok && stored.Number > c.number() {
		c.adoptAndPush(ctx, stored)
		return
	}
	held, have := c.version()
	if !have || (ok && held.Number == stored.Number) || !c.repairing.CompareAndSwap(false, true) {
		return
	}
	defer c.repairing.Store(false)
	value, err := EncodeVersion(held)
	if err != nil {
		return
	}
	done, _, err := c.server.store.Commit(ctx, platform.Txn{
		If:     []platform.Condition{{Key: ConfigKey, Changed: modified}},
		Writes: []platform.Write{{Key: ConfigKey, Value: value}},
	})
	c.log.Warn("store held an older version", "stored", stored.Number, "held", held.Number, "repaired", done, "err", err)
}
