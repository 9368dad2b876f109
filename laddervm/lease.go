package laddervm

import (
	"context"
	"errors"
	"sync"
	"time"

	"lacewingladder/platform"
)

// leaseMargin is by how much a VM believes its leases to be shorter than they are.
const leaseSafetyMargin = 100 * time.Millisecond

// lease is a lease in the store. What the VM may do under it ends by the VM's own
// clock, which counts suspension, before the store lets another VM do it.
type lease struct {
	vm *VM
	// wanted is the length that is asked for.
	requested time.Duration

	mu     sync.Mutex
	id     int64
	length time.Duration
	until  time.Duration
}

func newLease(v *VM, requested time.Duration) *lease {
	return &lease{vm: v, requested: max(requested, v.settings.ShortestLease)}
}

// grant takes a new lease. The one before is left to lapse.
func (l *lease) grant(ctx context.Context) (int64, error) {
	began := l.vm.boot.SinceBoot()
	id, length, err := l.vm.store.Grant(ctx, l.requested)
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id, l.length, l.until = id, length, began+length-leaseSafetyMargin
	return id, nil
}

// renew prolongs the lease. With [platform.ErrNoLease] it is gone.
func (l *lease) renew(ctx context.Context) error {
	l.mu.Lock()
	id := l.id
	l.mu.Unlock()
	if id == 0 {
		return platform.ErrNoLease
	}
	began := l.vm.boot.SinceBoot()
	err := l.vm.store.Renew(ctx, id)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.id != id:
	case errors.Is(err, platform.ErrNoLease):
		l.id, l.until = 0, 0
	case err == nil:
		l.until = began + l.length - leaseSafetyMargin
	}
	return err
}

// end ends the lease, with its keys.
func (l *lease) end(ctx context.Context) error {
	l.mu.Lock()
	id := l.id
	l.id, l.until = 0, 0
	l.mu.Unlock()
	if id == 0 {
		return nil
	}
	return l.vm.store.End(ctx, id)
}

// current returns the lease's number, or zero when there is none.
func (l *lease) current() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id
}

// left returns for how much longer the lease certainly stands. It is negative once
// the lease may have ended.
func (l *lease) remaining() time.Duration {
	now := l.vm.boot.SinceBoot()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.until - now
}
