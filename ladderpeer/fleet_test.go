package ladderpeer_test

import (
	"context"
	"crypto/tls"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderpeer"
)

// vm is a server with its client.
type vm struct {
	server  *ladderpeer.Server
	client  *ladderpeer.Client
	address netip.AddrPort
	dials   *atomic.Int64
	stop    func()
}

// startVM starts a server at an address, and a client of it that authenticates with a configuration of its own.
func startVM(t testing.TB, at netip.AddrPort, server, client *tls.Config) *vm {
	t.Helper()
	s, err := ladderpeer.Listen(at, server, handler{})
	require.NoError(t, err)
	address, err := s.Address()
	require.NoError(t, err)
	v := &vm{server: s, client: s.Client(client), address: address}
	v.dials = v.client.CountDials()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx) }()
	var stopped bool
	v.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		require.NoError(t, <-done)
		v.client.Close()
		s.Close()
	}
	t.Cleanup(v.stop)
	return v
}
