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

// cut stands between the zones: messages between entry VMs, and calls to the
// platform, pass through it. While a zone is cut off it drops what crosses the
// zone's border, in silence.
type cut struct {
	off atomic.Pointer[string]

	mu sync.Mutex
	// zones holds the zone of each entry VM's own address.
	zones map[string]string
}

func newCut() *cut {
	c := &cut{zones: map[string]string{}}
	c.heal()
	return c
}

func (c *cut) open(zone string) { c.off.Store(&zone) }

func (c *cut) heal() {
	none := ""
	c.off.Store(&none)
}

// passes reports whether messages between two zones pass. The platform is in no
// zone.
func (c *cut) passes(a, b string) bool {
	off := *c.off.Load()
	return off == "" || a == b || (a != off && b != off)
}

// peersFor returns an address that relays datagrams to an entry VM's address.
func (c *cut) peersFor(x *cell, zone, to string) string {
	x.t.Helper()
	c.mu.Lock()
	c.zones[to] = zone
	c.mu.Unlock()
	front, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(x.t, err)
	x.t.Cleanup(func() { _ = front.Close() })
	target, err := net.ResolveUDPAddr("udp", to)
	require.NoError(x.t, err)
	go c.relay(front, zone, target)
	return front.LocalAddr().String()
}

// relay carries datagrams to a VM, and its answers back, through one socket for
// each sender.
func (c *cut) relay(front net.PacketConn, zone string, target *net.UDPAddr) {
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
		c.mu.Lock()
		source := c.zones[from.String()]
		c.mu.Unlock()
		if !c.passes(source, zone) {
			continue
		}
		flow, ok := flows[from.String()]
		if !ok {
			if flow, err = net.DialUDP("udp", nil, target); err != nil {
				return
			}
			flows[from.String()] = flow
			go c.back(front, flow, from, source, zone)
		}
		_, _ = flow.Write(buffer[:n])
	}
}

func (c *cut) back(front net.PacketConn, flow *net.UDPConn, to net.Addr, source, zone string) {
	buffer := make([]byte, 1<<16)
	for {
		n, err := flow.Read(buffer)
		if err != nil {
			return
		}
		if c.passes(source, zone) {
			_, _ = front.WriteTo(buffer[:n], to)
		}
	}
}

// platformFor returns an address that relays a zone's connections to the
// platform.
func (c *cut) platformFor(x *cell, zone string) string {
	x.t.Helper()
	front, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(x.t, err)
	x.t.Cleanup(func() { _ = front.Close() })
	go func() {
		for {
			conn, err := front.Accept()
			if err != nil {
				return
			}
			go c.pipe(conn, zone, x.platform.address)
		}
	}()
	return front.Addr().String()
}

// pipe carries one connection. What comes during a cut is held back for ever.
func (c *cut) pipe(conn net.Conn, zone, to string) {
	defer func() { _ = conn.Close() }()
	back, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer func() { _ = back.Close() }()
	go func() {
		_, _ = io.Copy(&gate{c, conn, zone}, back)
		_ = conn.Close()
	}()
	_, _ = io.Copy(&gate{c, back, zone}, conn)
}

// gate is a writer that swallows what crosses a cut.
type gate struct {
	cut  *cut
	to   io.Writer
	zone string
}

func (g *gate) Write(p []byte) (int, error) {
	if !g.cut.passes(g.zone, "") {
		return len(p), nil
	}
	return g.to.Write(p)
}

// TestZoneCutOff cuts a zone off from the other zones and from the platform while
// operators race each other on both sides, and joins it again.
func TestZoneCutOff(t *testing.T) {
	between := newCut()
	c := startCutCell(t, 2, between)
	f := c.startTraffic()
	time.Sleep(time.Second)
	lost := zones[0].name
	between.open(lost)
	cutOff := time.Now()
	time.Sleep(8 * time.Second)
	st, ok := c.status(c.entries[5])
	require.True(t, ok)
	for _, p := range st.Peers {
		require.Equal(t, !strings.HasPrefix(p.Name, lost), p.Live, "%s is cut off: the test cuts what it says", p.Name)
	}
	key := c.mint(c.entries[0], "bureau")
	asked := time.Now()
	a, err := c.send(c.entries[5], ask{member: "bureau", class: "booking", key: key, body: "run=1ms"})
	require.NoError(t, err)
	require.Equal(t, "unknown", a.outcome, "the home of the key is on the other side")
	require.NotEmpty(t, a.retryAfter)
	require.Less(t, time.Since(asked), 2*time.Second, "and that is said at once")

	file := filepath.Join(c.dir, "race.yaml")
	require.NoError(t, os.WriteFile(file, []byte(configuration(2)), 0o600))
	apply := func(e *entry, by string) error {
		return exec.Command(filepath.Join(programs, "lacewingladder"), "apply", "-to", e.operators,
			"-token", "secret", "-file", file, "-by", by).Run()
	}
	require.NoError(t, apply(c.entries[5], "outside"))
	require.Error(t, apply(c.entries[0], "inside"), "what can not be kept is not accepted")
	time.Sleep(time.Second)
	between.heal()
	healed := time.Now()
	c.versionsWithin(t, 2, 2*configTarget)
	time.Sleep(3 * time.Second)
	f.end()

	for _, e := range c.entries {
		in := e.zone == lost
		ran, all := f.within(cutOff.Add(4*time.Second), healed, e.name)
		t.Logf("%s, cut off %v: %d of %d exchanges ran", e.name, in, ran, all)
		require.Positive(t, all)
		require.GreaterOrEqual(t, ran*100, all*95, "%s goes on", e.name)
	}
	f.audit(t)
}
