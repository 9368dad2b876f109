package laddervm

import (
	"context"
	"errors"
	"sync"
	"time"

	"lacewingladder/platform"
)

// leaseSafetyMargin is how much earlier than the store a VM considers its leases expired.
const leaseSafetyMargin = 100 * time.Millisecond

// lease is a lease in the store. The VM considers it expired before the store does, so that
// the VM stops acting under it before another VM can take its place. The VM measures the lease
// with its clock since boot, which also advances while the VM is suspended.
type lease struct {
	vm *VM
	// requested is the length that is requested from the store.
	requested time.Duration

	mu     sync.Mutex
	id     int64
	length time.Duration
	// until is when the lease may expire, as a time since boot.
	until time.Duration
}

func newLease(v *VM, requested time.Duration) *lease {
	return &lease{vm: v, requested: max(requested, v.settings.MinLease)}
}

// grant acquires a new lease. A previous lease is not ended; it expires.
func (l *lease) grant(ctx context.Context) (int64, error) {
	began := l.vm.boot.SinceBoot()
	id, length, err := l.vm.store.GrantLease(ctx, l.requested)
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id, l.length, l.until = id, length, began+length-leaseSafetyMargin
	return id, nil
}

// renew extends the lease. The error is [platform.ErrNoLease] if the lease no longer exists.
func (l *lease) renew(ctx context.Context) error {
	l.mu.Lock()
	id := l.id
	l.mu.Unlock()
	if id == 0 {
		return platform.ErrNoLease
	}
	began := l.vm.boot.SinceBoot()
	err := l.vm.store.RenewLease(ctx, id)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.id != id:
	case errors.Is(err, platform.ErrNoLease):
		l.id, l.until = 0, 0
	case err == nil:
		// Renewals overlap, so that an earlier one may be answered later.
		l.until = max(l.until, began+l.length-leaseSafetyMargin)
	}
	return err
}

// end ends the lease, which deletes the keys that are bound to it.
func (l *lease) end(ctx context.Context) error {
	l.mu.Lock()
	id := l.id
	l.id, l.until = 0, 0
	l.mu.Unlock()
	if id == 0 {
		return nil
	}
	return l.vm.store.EndLease(ctx, id)
}

// current returns the lease's id, or zero if there is none.
func (l *lease) current() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id
}

// duration returns the length of the lease. It is the requested one before the first grant.
func (l *lease) duration() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.requested, l.length)
}

// remaining returns how much longer the lease is certainly valid. It is negative once the lease
// may have expired.
func (l *lease) remaining() time.Duration {
	now := l.vm.boot.SinceBoot()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.until - now
}
