package laddertest

import (
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// zoneNetwork relays the messages between entry VMs and their calls to the platform. While
// a zone is isolated, it drops all data into and out of that zone without closing
// connections.
type zoneNetwork struct {
	// isolated is the name of the isolated zone, or empty.
	isolated atomic.Pointer[string]

	// mu guards zones, the zone of each entry VM by its peer address.
	mu    sync.Mutex
	zones map[string]string
}

func newZoneNetwork() *zoneNetwork {
	z := &zoneNetwork{zones: map[string]string{}}
	z.heal()
	return z
}

// isolate cuts a zone off from the other zones and from the platform.
func (z *zoneNetwork) isolate(zone string) { z.isolated.Store(&zone) }

// heal reconnects the isolated zone.
func (z *zoneNetwork) heal() {
	none := ""
	z.isolated.Store(&none)
}

// passes reports whether data between two zones is relayed. The platform is outside all
// zones, and its zone is given as the empty string.
func (z *zoneNetwork) passes(a, b string) bool {
	isolated := *z.isolated.Load()
	return isolated == "" || a == b || (a != isolated && b != isolated)
}

// relayPeers returns an address whose datagrams are relayed to an entry VM's peer address.
func (z *zoneNetwork) relayPeers(c *cluster, zone, to string) string {
	c.t.Helper()
	z.mu.Lock()
	z.zones[to] = zone
	z.mu.Unlock()
	front, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(c.t, err)
	c.t.Cleanup(func() { _ = front.Close() })
	target, err := net.ResolveUDPAddr("udp", to)
	require.NoError(c.t, err)
	go z.relay(front, zone, target)
	return front.LocalAddr().String()
}

// relay relays datagrams to a VM and its replies back. It uses one socket for each sender, so
// that replies reach the right one.
func (z *zoneNetwork) relay(front net.PacketConn, zone string, target *net.UDPAddr) {
	flows := map[string]*net.UDPConn{}
	defer func() {
		for _, f := range flows {
			_ = f.Close()
		}
	}()
	buffer := make([]byte, 1<<16)
	for {
		n, from, err := front.ReadFrom(buffer)
		if err != nil {
			return
		}
		z.mu.Lock()
		source := z.zones[from.String()]
		z.mu.Unlock()
		if !z.passes(source, zone) {
			continue
		}
		flow, ok := flows[from.String()]
		if !ok {
			if flow, err = net.DialUDP("udp", nil, target); err != nil {
				return
			}
			flows[from.String()] = flow
			go z.relayReplies(front, flow, from, source, zone)
		}
		_, _ = flow.Write(buffer[:n])
	}
}

// relayReplies relays a VM's replies to one sender.
func (z *zoneNetwork) relayReplies(front net.PacketConn, flow *net.UDPConn, to net.Addr, source, zone string) {
	buffer := make([]byte, 1<<16)
	for {
		n, err := flow.Read(buffer)
		if err != nil {
			return
		}
		if z.passes(source, zone) {
			_, _ = front.WriteTo(buffer[:n], to)
		}
	}
}

// relayPlatform returns an address whose connections are relayed to the platform, as long as
// the given zone is not isolated.
func (z *zoneNetwork) relayPlatform(c *cluster, zone string) string {
	c.t.Helper()
	front, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	c.t.Cleanup(func() { _ = front.Close() })
	go func() {
		for {
			conn, err := front.Accept()
			if err != nil {
				return
			}
			go z.relayConnection(conn, zone, c.platform.address)
		}
	}()
	return front.Addr().String()
}

// relayConnection relays one connection in both directions. Data that arrives while the zone
// is isolated is discarded and never sent later.
func (z *zoneNetwork) relayConnection(conn net.Conn, zone, to string) {
	defer func() { _ = conn.Close() }()
	back, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer func() { _ = back.Close() }()
	go func() {
		_, _ = io.Copy(&partitionWriter{z, conn, zone}, back)
		_ = conn.Close()
	}()
	_, _ = io.Copy(&partitionWriter{z, back, zone}, conn)
}

// partitionWriter discards data while its zone is isolated.
type partitionWriter struct {
	network *zoneNetwork
	to      io.Writer
	zone    string
}

func (w *partitionWriter) Write(p []byte) (int, error) {
	if !w.network.passes(w.zone, "") {
		return len(p), nil
	}
	return w.to.Write(p)
}

// TestZoneCutOff guards against a network partition that stops service, or during which both
// sides accept a configuration or act as the home of the same key. It isolates a zone from the
// other zones and from the platform and reconnects it later. Both sides must go on serving
// requests. A request whose key has its home on the other side must get the outcome unknown at
// once. A configuration is accepted only on the side that reaches the platform, and is in
// force everywhere after the reconnection.
func TestZoneCutOff(t *testing.T) {
	network := newZoneNetwork()
	c := startClusterOn(t, 2, network)
	traffic := c.startTraffic()
	time.Sleep(time.Second)
	isolated := zones[0].name
	network.isolate(isolated)
	cutOff := time.Now()
	time.Sleep(8 * time.Second)
	st, ok := c.status(c.entryVMs[5])
	require.True(t, ok)
	for _, p := range st.Peers {
		require.Equal(t, !strings.HasPrefix(p.Name, isolated), p.Live, "state of peer %s does not match the isolated zone", p.Name)
	}
	key := c.mint(c.entryVMs[0], "bureau")
	sent := time.Now()
	response, err := c.send(c.entryVMs[5], callerRequest{member: "bureau", class: "booking", key: key, body: "run=1ms"})
	require.NoError(t, err)
	require.Equal(t, "unknown", response.outcome, "the home of the key is in the isolated zone")
	require.NotEmpty(t, response.retryAfter)
	require.Less(t, time.Since(sent), 2*time.Second, "the outcome unknown must not wait for a timeout")

	file := filepath.Join(c.dir, "race.yaml")
	require.NoError(t, os.WriteFile(file, []byte(configuration(2)), 0o600))
	apply := func(e *entryVM, by string) error {
		return exec.Command(filepath.Join(programs, "lacewingladder"), "apply", "-to", e.operators,
			"-token", "secret", "-file", file, "-by", by).Run()
	}
	require.NoError(t, apply(c.entryVMs[5], "outside"))
	require.Error(t, apply(c.entryVMs[0], "inside"), "a change that cannot be stored must not be accepted")
	time.Sleep(time.Second)
	network.heal()
	healed := time.Now()
	c.awaitVersion(t, 2, 2*configTarget)
	time.Sleep(3 * time.Second)
	traffic.end()

	for _, e := range c.entryVMs {
		inside := e.zone == isolated
		ran, all := traffic.ranBetween(cutOff.Add(4*time.Second), healed, e.name)
		t.Logf("%s, isolated %v: %d of %d exchanges ran", e.name, inside, ran, all)
		require.Positive(t, all)
		require.GreaterOrEqual(t, ran*100, all*95, "%s must go on serving", e.name)
	}
	traffic.audit(t)
}
