package laddervm

import (
	"errors"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/platform"
)

// TestFate takes a call for refused or not sent only if it is that on all ways.
func TestFate(t *testing.T) {
	silent := pathResult{err: errors.New("no answer")}
	unsent := pathResult{err: platform.ErrUnsent}
	busy := pathResult{reply: platform.Reply{Status: http.StatusServiceUnavailable}}
	for name, c := range map[string]struct {
		paths   []pathResult
		unsent  bool
		refused bool
	}{
		"no way":                  {unsent: true},
		"not sent":                {paths: []pathResult{unsent, unsent}, unsent: true},
		"refused":                 {paths: []pathResult{busy, busy}, refused: true},
		"not sent, refused":       {paths: []pathResult{unsent, busy}, refused: true},
		"refused, not sent":       {paths: []pathResult{busy, unsent}, refused: true},
		"silent, not sent":        {paths: []pathResult{silent, unsent}},
		"not sent, silent":        {paths: []pathResult{unsent, silent}},
		"silent, refused":         {paths: []pathResult{silent, busy}},
		"refused, silent, unsent": {paths: []pathResult{busy, silent, unsent}},
	} {
		t.Run(name, func(t *testing.T) {
			f := pathFailures{last: unsent}
			for _, a := range c.paths {
				f.add(a)
			}
			reply, err := f.result()
			require.Equal(t, c.unsent, errors.Is(err, platform.ErrUnsent))
			require.Equal(t, c.refused, err == nil && reply.Status == http.StatusServiceUnavailable)
			if !c.unsent && !c.refused {
				require.Error(t, err)
			}
		})
	}
}

// TestRelays keeps to the peer that works, and goes on in turn from one that fails.
func TestRelays(t *testing.T) {
	r := relaySelector{excludedUntil: map[string]time.Time{}}
	now := time.UnixMilli(0)
	names := []string{"e1", "e2", "e3"}
	pick := func(used ...string) string {
		m := map[string]bool{}
		for _, u := range used {
			m[u] = true
		}
		i, ok := r.pick(now, names, m)
		if !ok {
			return ""
		}
		return names[i]
	}
	first := pick()
	r.record(now, first, false)
	second := pick()
	require.NotEqual(t, first, second, "a peer that failed is left out")
	r.record(now, second, true)
	for range 3 {
		require.Equal(t, second, pick(), "what works is kept")
	}
	require.NotContains(t, []string{first, second}, pick(second), "each peer is used once for a call")
	for _, n := range names {
		r.record(now, n, false)
	}
	require.Empty(t, pick())
	now = now.Add(pathBackoff)
	require.Equal(t, second, pick())
}

// TestRoutes goes round each peer in turn, and back to the straight way.
func TestRoutes(t *testing.T) {
	r := workerRoutes{relayed: map[netip.AddrPort]relayRoute{}}
	to, other := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")
	peers := []string{"e1", "e2"}
	now := time.UnixMilli(0)
	require.Empty(t, r.pick(now, to))
	for _, want := range []string{"e1", "e2", "", "e1"} {
		r.markFailed(now, to, r.pick(now, to), peers)
		require.Equal(t, want, r.pick(now, to))
		require.Empty(t, r.pick(now, other))
	}
	require.Empty(t, r.pick(now.Add(relayRouteTime), to), "the straight way is tried again")
	r.markFailed(now, to, "", nil)
	require.Empty(t, r.pick(now, to), "there is no peer")
}
