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
	// storeTimeout bounds one call to the store, beyond the time that the call
	// itself waits for a change.
	storeTimeout = 2 * time.Second
	// storeDialTimeout bounds the opening of a connection to the store.
	storeDialTimeout = time.Second
	// storeWatchWait is how long one watch call waits for a change.
	storeWatchWait = 5 * time.Second
)

// store is a client of the platform's store that bounds and counts its calls.
type store struct {
	client  *platform.Store
	carrier *countingCarrier
}

// countingCarrier carries calls to the store directly, and counts them.
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

// hadNoEffect reports whether an error of the store proves that the call had no
// effect.
func hadNoEffect(err error) bool {
	return errors.Is(err, platform.ErrRefused) || errors.Is(err, platform.ErrUnsent)
}

// Commit runs a transaction. It returns false without an error if a condition did
// not hold.
func (s *store) Commit(ctx context.Context, t platform.Txn) (done bool, revision int64, err error) {
	revision, _, err = s.client.Commit(ctx, t)
	if errors.Is(err, platform.ErrConditionFailed) {
		return false, 0, nil
	}
	return err == nil, revision, err
}

// List returns the items whose keys begin with prefix and that changed at revision
// since or later. It also returns the revision of the first page that it read: all
// changes up to there are in the list.
func (s *store) List(ctx context.Context, prefix string, since int64) ([]platform.Item, int64, error) {
	var list []platform.Item
	firstRevision := int64(0)
	for after := ""; ; {
		page, err := s.client.Range(ctx, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if firstRevision == 0 {
			firstRevision = page.Revision
		}
		for _, item := range page.Items {
			if item.ModRevision >= since {
				list = append(list, item)
			}
			after = item.Key
		}
		if !page.More || len(page.Items) == 0 {
			return list, firstRevision, nil
		}
	}
}

// Watch calls changed for each new value of a key that was written after the given
// revision, until ctx ends or a call to the store fails.
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
