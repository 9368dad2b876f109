package laddervm

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/platform"
)

// TestLeaseOutlastsLostRenewals lets the store answer only one of three renewals of the leader's lease. A leader that
// waited for the others to time out would lose the lease.
func TestLeaseOutlastsLostRenewals(t *testing.T) {
	var calls atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1)%3 != 0 {
			<-r.Context().Done()
			return
		}
		_, _ = fmt.Fprintf(w, `{"ttlMs":%d}`, leaderLease.Milliseconds())
	}))
	defer s.Close()
	v := newTestVM(t, "e1")
	v.storeCarrier.unserved.reset()
	v.store = platform.NewStore(v.storeCarrier, netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")))
	l := v.leadership
	l.lease.id, l.lease.length, l.lease.until = 3, leaderLease, v.boot.SinceBoot()+leaderLease
	term := newTerm(t.Context(), v, l.lease, 5, time.Now())
	defer term.cancel()
	l.term.Store(term)
	go l.renewLease(term)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		require.Positive(t, l.lease.remaining(), "after %d calls", calls.Load())
		require.NotNil(t, l.current())
		time.Sleep(10 * time.Millisecond)
	}
}

// TestEarlierRenewalShortensNoLease lets the store answer a renewal after a later one.
func TestEarlierRenewalShortensNoLease(t *testing.T) {
	first := make(chan struct{})
	var calls atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			<-first
		}
		_, _ = fmt.Fprintf(w, `{"ttlMs":%d}`, leaderLease.Milliseconds())
	}))
	defer s.Close()
	v := newTestVM(t, "e1")
	v.store = platform.NewStore(v.storeCarrier, netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")))
	l := newLease(v, leaderLease)
	l.id, l.length = 3, leaderLease
	done := make(chan error)
	go func() { done <- l.renew(t.Context()) }()
	require.Eventually(t, func() bool { return calls.Load() == 1 }, time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, l.renew(t.Context()))
	l.mu.Lock()
	until := l.until
	l.mu.Unlock()
	close(first)
	require.NoError(t, <-done)
	require.Equal(t, until, l.until)
}
