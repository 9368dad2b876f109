package laddervm

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderdelegate"
	"lacewingladder/ladderlog"
	"lacewingladder/ladderpeer"
	"lacewingladder/platform"
)

// peerVMs returns two VMs that know each other.
func peerVMs(t *testing.T) (*VM, *VM) {
	t.Helper()
	vms := make([]*VM, 2)
	for i, name := range []string{"e1", "e2"} {
		v := &VM{
			settings: &platform.Settings{Name: name}, clock: ladderclock.System{}, boot: ladderclock.System{}, logs: ladderlog.Discard(), stats: newStats(),
			direct: platform.NewDirect(dialTimeout, 0), workerDirect: platform.NewDirect(dialTimeout, maxWorkerConnections),
		}
		v.log = v.logs.RateLimited("vm", v.clock)
		v.registry = newRegistry(v)
		var err error
		v.keys, err = newKeys(v.registry.trusted)
		require.NoError(t, err)
		v.server, err = ladderpeer.Listen(netip.MustParseAddrPort("127.0.0.1:0"), v.keys.server, peerHandler{v})
		require.NoError(t, err)
		t.Cleanup(v.server.Close)
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go func() { _ = v.server.Serve(ctx) }()
		v.peers = v.server.Client(v.keys.client)
		vms[i] = v
	}
	for i, v := range vms {
		o := vms[1-i]
		address, err := o.server.Address()
		require.NoError(t, err)
		v.registry.peers[o.settings.Name] = peer{
			name: o.settings.Name, incarnation: o.registry.incarnation, address: address, hash: o.keys.hash,
		}
	}
	return vms[0], vms[1]
}

// TestRelayedPollOfMuteWorkerReachesIt polls a worker that accepts connections and answers nothing, in turn
// directly and through a peer, as a new leader does. Each poll must show that the worker runs.
func TestRelayedPollOfMuteWorkerReachesIt(t *testing.T) {
	leader, _ := peerVMs(t)
	mute, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = mute.Close() })
	to := netip.MustParseAddrPort(mute.Addr().String())
	carrier := newWorkerCarrier(leader)
	workers := platform.NewWorkers(carrier)
	for range 4 {
		via := carrier.routes.pick(time.Now(), to)
		ctx, cancel := context.WithTimeout(context.Background(), ladderdelegate.PollTimeoutSlack)
		_, err := workers.Poll(ctx, to, "i-1", platform.PollRequest{})
		cancel()
		require.Error(t, err)
		require.True(t, platform.Reached(err), "through peer %q: %v", via, err)
		leader.workerDirect.DropConnections(to)
	}
}
