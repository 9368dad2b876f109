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

// TestPathFailures checks that a call counts as refused or not sent only if that holds for
// all of its paths. Otherwise a caller could be told that a write had no effect although it
// may have.
func TestPathFailures(t *testing.T) {
	unanswered := pathResult{err: errors.New("no answer")}
	unsent := pathResult{err: platform.ErrUnsent}
	busy := pathResult{reply: platform.Reply{Status: http.StatusServiceUnavailable}}
	for name, c := range map[string]struct {
		paths   []pathResult
		unsent  bool
		refused bool
	}{
		"no path":                       {unsent: true},
		"not sent":                      {paths: []pathResult{unsent, unsent}, unsent: true},
		"refused":                       {paths: []pathResult{busy, busy}, refused: true},
		"not sent, refused":             {paths: []pathResult{unsent, busy}, refused: true},
		"refused, not sent":             {paths: []pathResult{busy, unsent}, refused: true},
		"unanswered, not sent":          {paths: []pathResult{unanswered, unsent}},
		"not sent, unanswered":          {paths: []pathResult{unsent, unanswered}},
		"unanswered, refused":           {paths: []pathResult{unanswered, busy}},
		"refused, unanswered, not sent": {paths: []pathResult{busy, unanswered, unsent}},
	} {
		t.Run(name, func(t *testing.T) {
			failures := pathFailures{last: unsent}
			for _, result := range c.paths {
				failures.add(result)
			}
			reply, err := failures.result()
			require.Equal(t, c.unsent, errors.Is(err, platform.ErrUnsent))
			require.Equal(t, c.refused, err == nil && reply.Status == http.StatusServiceUnavailable)
			if !c.unsent && !c.refused {
				require.Error(t, err)
			}
		})
	}
}

// TestRelaySelector checks that the peer that last succeeded is kept, and that one that fails
// is replaced by the others in turn.
func TestRelaySelector(t *testing.T) {
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
	require.NotEqual(t, first, second, "a peer that failed is excluded")
	r.record(now, second, true)
	for range 3 {
		require.Equal(t, second, pick(), "the peer that succeeded is kept")
	}
	require.NotContains(t, []string{first, second}, pick(second), "each peer is used once for a call")
	for _, n := range names {
		r.record(now, n, false)
	}
	require.Empty(t, pick())
	now = now.Add(pathBackoff)
	require.Equal(t, second, pick())
}

// TestWorkerRoutes checks that failing calls to a worker go through each peer in turn, and
// then directly again.
func TestWorkerRoutes(t *testing.T) {
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
	require.Empty(t, r.pick(now.Add(relayRouteTime), to), "the direct route is tried again")
	r.markFailed(now, to, "", nil)
	require.Empty(t, r.pick(now, to), "without peers the direct route remains")
}
