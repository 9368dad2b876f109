package laddervm

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"lacewingladder/ladderlog"
	"lacewingladder/ladderstand"
	"lacewingladder/platform"
)

// TestRunClosesOnFailure checks that a VM that cannot listen on one of its addresses leaves none of
// the others open, and no goroutine.
func TestRunClosesOnFailure(t *testing.T) {
	for name, taken := range map[string]int{"callers": 0, "load balancer": 1, "metrics": 2} {
		t.Run(name, func(t *testing.T) {
			defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
			var ports [3]netip.AddrPort
			for i := range ports {
				var err error
				ports[i], err = ladderstand.FreePort("tcp")
				require.NoError(t, err)
			}
			peers, err := ladderstand.FreePort("udp")
			require.NoError(t, err)
			other, err := net.Listen("tcp", ports[taken].String())
			require.NoError(t, err)
			defer func() { require.NoError(t, other.Close()) }()
			v, err := New(Options{Logs: ladderlog.Discard(), MetricsPort: ports[2].Port(), Settings: &platform.Settings{
				Name: "e1", Address: peers.Addr(), CallerAddress: ports[0], ReadyAddress: ports[1],
				FirstPort: peers.Port(), LastPort: peers.Port(), MinLease: time.Second,
			}})
			require.NoError(t, err)
			require.ErrorContains(t, v.Run(context.Background()), ports[taken].String())
			for i, p := range ports {
				if i != taken {
					l, err := net.Listen("tcp", p.String())
					require.NoError(t, err, "the port is still open")
					require.NoError(t, l.Close())
				}
			}
			l, err := net.ListenPacket("udp", peers.String())
			require.NoError(t, err, "the port for peers is still open")
			require.NoError(t, l.Close())
		})
	}
}
