package laddervm

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestProbeFindsThatStoreServesAgain lets a store be silent and then serve, while no other call is made.
func TestProbeFindsThatStoreServesAgain(t *testing.T) {
	for name, silent := range map[string]bool{"silent": true, "refuses": false} {
		t.Run(name, func(t *testing.T) {
			var away atomic.Bool
			var probes atomic.Int64
			away.Store(true)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				probes.Add(1)
				switch {
				case !away.Load():
					w.WriteHeader(http.StatusNotFound)
				case silent:
					<-r.Context().Done()
				default:
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			}))
			defer s.Close()
			v := newTestVM(t, "e1")
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go newStoreProbe(v.storeCarrier, netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))).run(ctx)
			require.Eventually(t, func() bool { return probes.Load() >= 3 }, 3*time.Second, time.Millisecond)
			require.True(t, v.storeCarrier.unavailable())
			away.Store(false)
			require.Eventually(t, func() bool { return !v.storeCarrier.unavailable() }, time.Second, time.Millisecond)
			time.Sleep(probeInterval)
			n := probes.Load()
			time.Sleep(3 * probeInterval)
			require.Equal(t, n, probes.Load(), "no probes while the store serves")
		})
	}
}
