package ladderpeer_test

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/laddermessage"
	"lacewingladder/ladderpeer"
)

// relay passes the datagrams of one client to a server and back, and counts them.
type relay struct {
	address netip.AddrPort
	passed  atomic.Int64
	// handshake counts the datagrams of the client that belong to a handshake: their first bit is
	// set (RFC 9000, section 17.2).
	handshake atomic.Int64
	// silent holds the address of the client's connection that is cut off.
	silent atomic.Pointer[netip.AddrPort]
	client atomic.Pointer[netip.AddrPort]
	front  *net.UDPConn
	back   atomic.Pointer[net.UDPConn]
	// stopped is held while no datagram is passed on. They wait, as in the socket of a stopped process.
	stopped sync.Mutex
}

// silence drops all datagrams of the client's present connection from now on.
func (r *relay) silence() { r.silent.Store(r.client.Load()) }

// isSilent reports whether the connection of a client's address is cut off.
func (r *relay) isSilent(client netip.AddrPort) bool {
	silent := r.silent.Load()
	return silent != nil && *silent == client
}

func newRelay(t *testing.T, server netip.AddrPort) *relay {
	t.Helper()
	front, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	require.NoError(t, err)
	t.Cleanup(func() { _ = front.Close() })
	address, err := netip.ParseAddrPort(front.LocalAddr().String())
	require.NoError(t, err)
	r := &relay{address: address, front: front}
	r.connect(t, server)
	go func() {
		for buffer := make([]byte, 2048); ; r.passed.Add(1) {
			n, from, err := front.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			if r.isSilent(from) {
				continue
			}
			r.client.Store(&from)
			r.handshake.Add(int64(buffer[0] >> 7))
			r.stopped.Lock()
			_, _ = r.back.Load().Write(buffer[:n])
			r.stopped.Unlock()
		}
	}()
	return r
}

// connect makes the relay pass datagrams to a server in the place of the last one, as if it had restarted at
// the same address.
func (r *relay) connect(t *testing.T, server netip.AddrPort) {
	t.Helper()
	back, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(server))
	require.NoError(t, err)
	t.Cleanup(func() { _ = back.Close() })
	r.back.Store(back)
	go func() {
		for buffer := make([]byte, 2048); ; r.passed.Add(1) {
			n, err := back.Read(buffer)
			if err != nil {
				return
			}
			if client := *r.client.Load(); r.back.Load() == back && !r.isSilent(client) {
				r.stopped.Lock()
				_, _ = r.front.WriteToUDPAddrPort(buffer[:n], client)
				r.stopped.Unlock()
			}
		}
	}()
}

// TestUnusedConnectionSendsNothing guards against connections that are kept alive for ever
// although nobody uses them any more: each costs both VMs some packets a second, and a VM that
// has once sent a message to all others would keep one connection to each of them.
func TestUnusedConnectionSendsNothing(t *testing.T) {
	config := newTLS(t)
	r := newRelay(t, serve(t, config))
	client := ladderpeer.NewClient(config)
	defer client.Close()
	client.SetUnusedTimeout(500 * time.Millisecond)
	for range 2 {
		_, err := client.Call(t.Context(), r.address, laddermessage.JobStatusQuery{Job: "j"})
		require.NoError(t, err)
		time.Sleep(time.Second)
		before := r.passed.Load()
		time.Sleep(2500 * time.Millisecond)
		require.Zero(t, r.passed.Load()-before, "datagrams on a connection that is no longer used")
	}
}

// TestUsedConnectionStaysOpen guards against a connection that is closed during an exchange, or
// between exchanges that follow each other closely.
func TestUsedConnectionStaysOpen(t *testing.T) {
	config := newTLS(t)
	r := newRelay(t, serve(t, config))
	client := ladderpeer.NewClient(config)
	defer client.Close()
	client.SetUnusedTimeout(300 * time.Millisecond)
	_, err := client.Call(t.Context(), r.address, laddermessage.JobStatusQuery{Job: "slow"})
	require.NoError(t, err)
	before := r.handshake.Load()
	for range 10 {
		time.Sleep(150 * time.Millisecond)
		_, err := client.Call(t.Context(), r.address, laddermessage.JobStatusQuery{Job: "j"})
		require.NoError(t, err)
	}
	require.Zero(t, r.handshake.Load()-before, "datagrams of another handshake")
}
