package laddervm

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderjournal"
	"lacewingladder/platform"
)

// TestKeyUnderAnotherLeaseIsNotAdopted lets the watch show a leader's key of this VM whose write had
// failed. The term would renew the VM's latest lease, and outlive a key under an earlier one.
func TestKeyUnderAnotherLeaseIsNotAdopted(t *testing.T) {
	for name, c := range map[string]struct {
		lease   int64
		adopted bool
	}{
		"latest lease":  {lease: 3, adopted: true},
		"earlier lease": {lease: 2},
	} {
		t.Run(name, func(t *testing.T) {
			deletes := make(chan string, 1)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				if r.URL.Path != "/-/kv-txn" {
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				deletes <- string(body)
				_, _ = w.Write([]byte(`{"rev":10}`))
			}))
			defer s.Close()
			v := newTestVM(t, "e1")
			v.store = platform.NewStore(v.storeCarrier, netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")))
			l := v.leadership
			l.lease.id, l.lease.until = 3, v.boot.SinceBoot()+time.Second
			v.registry.mu.Lock()
			v.registry.apply(platform.Item{
				Key: ladderjournal.LeaderKey, Value: v.registry.entry(), ModRevision: 9, Lease: c.lease,
			}, time.Now())
			v.registry.mu.Unlock()
			known, _ := v.registry.currentLeader()
			l.adoptKey(t.Context(), known)
			require.Equal(t, c.adopted, l.current() != nil)
			if !c.adopted {
				require.Contains(t, <-deletes, ladderjournal.LeaderKey)
			}
		})
	}
}

// TestVMThatLeavesDuringItsElectionLeadsNoLonger lets a VM begin to leave while the store makes it the leader, after
// it has looked whether there is a term to resign from.
func TestVMThatLeavesDuringItsElectionLeadsNoLonger(t *testing.T) {
	v := newTestVM(t, "e1")
	deletes := make(chan string, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		switch {
		case r.URL.Path != "/-/kv-txn" && r.URL.Path != "/-/kv-lease":
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case r.URL.Path == "/-/kv-txn" && strings.Contains(string(body), `"deletes":["`+ladderjournal.LeaderKey):
			deletes <- string(body)
		case r.URL.Path == "/-/kv-txn":
			v.leaving.Store(true)
			v.leadership.resign()
		}
		_, _ = w.Write([]byte(`{"rev":10,"lease":3,"ttlMs":1200}`))
	}))
	defer s.Close()
	v.store = platform.NewStore(v.storeCarrier, netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")))
	v.leadership.contend(t.Context())
	require.True(t, v.leaving.Load())
	require.Nil(t, v.leadership.current())
	select {
	case <-deletes:
	default:
		require.Fail(t, "the leader's key was not deleted")
	}
}
