package laddervm

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRoutes goes round each peer in turn, and back to the straight way.
func TestRoutes(t *testing.T) {
	r := routes{by: map[netip.AddrPort]detour{}}
	to, other := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")
	peers := []string{"e1", "e2"}
	now := time.UnixMilli(0)
	require.Empty(t, r.pick(now, to))
	for _, want := range []string{"e1", "e2", "", "e1"} {
		r.failed(now, to, r.pick(now, to), peers)
		require.Equal(t, want, r.pick(now, to))
		require.Empty(t, r.pick(now, other))
	}
	require.Empty(t, r.pick(now.Add(detourTime), to), "the straight way is tried again")
	r.failed(now, to, "", nil)
	require.Empty(t, r.pick(now, to), "there is no peer")
}
