package ladderserver

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"lacewingladder/platform"
)

const (
	// storeTime bounds one call to the store.
	storeTimeout = 2 * time.Second
	// storeDial bounds the opening of a connection to it.
	storeDialTimeout = time.Second
	// storeWatch is how long one watch waits for a change.
	storeWatchWait = 5 * time.Second
)

// store is the platform's store as the direct path uses it: each call is bounded
// and counted.
type store struct {
	client  *platform.Store
	carrier *countingCarrier
}

// countingCarrier counts the calls that it carries.
type countingCarrier struct {
	direct *platform.Direct
	calls  atomic.Int64
}

// Carry implements [platform.Carrier].
func (c *countingCarrier) Carry(ctx context.Context, to netip.AddrPort, call platform.Call) (platform.Reply, error) {
	c.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, call.Wait+storeTimeout)
	defer cancel()
	return c.direct.Carry(ctx, to, call)
}

func newStore(address netip.AddrPort) *store {
	c := &countingCarrier{direct: platform.NewDirect(storeDialTimeout, 0)}
	return &store{client: platform.NewStore(c, address), carrier: c}
}

// Calls returns the number of calls made so far.
func (s *store) Calls() int64 { return s.carrier.calls.Load() }

// hadNoEffect reports whether an error means that a call had no effect.
func hadNoEffect(err error) bool {
	return errors.Is(err, platform.ErrRefused) || errors.Is(err, platform.ErrUnsent)
}

// Commit carries out a transaction. Done is false when a condition did not hold.
func (s *store) Commit(ctx context.Context, t platform.Txn) (done bool, revision int64, err error) {
	revision, _, err = s.client.Commit(ctx, t)
	if errors.Is(err, platform.ErrChanged) {
		return false, 0, nil
	}
	return err == nil, revision, err
}

// List returns the items whose keys begin with prefix and that changed at revision
// since or later, and the revision up to which that is known.
func (s *store) List(ctx context.Context, prefix string, since int64) ([]platform.Item, int64, error) {
	var list []platform.Item
	first := int64(0)
	for after := ""; ; {
		page, err := s.client.Range(ctx, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if first == 0 {
			first = page.Revision
		}
		for _, item := range page.Items {
			if item.Changed >= since {
				list = append(list, item)
			}
			after = item.Key
		}
		if !page.More || len(page.Items) == 0 {
			return list, first, nil
		}
	}
}

// Watch calls changed for each new value of a key behind a revision, until ctx ends
// or the watch breaks.
func (s *store) Watch(ctx context.Context, key string, after int64, changed func(platform.Item)) error {
	for {
		items, next, err := s.client.Watch(ctx, key, after, storeWatchWait)
		if err != nil {
			return err
		}
		for _, item := range items {
			if item.Key == key && !item.Deleted {
				changed(item)
			}
		}
		after = max(after, next)
	}
}
