package laddervm

import (
	"crypto/tls"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// handshake reports whether two VMs with the given keys can connect to each other.
func handshake(t *testing.T, caller, server *keys) bool {
	l, err := tls.Listen("tcp", "127.0.0.1:0", server.server)
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	served := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			served <- err
			return
		}
		defer func() { _ = c.Close() }()
		served <- c.(*tls.Conn).Handshake()
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	err = tls.Client(c, caller.client).Handshake()
	if err != nil {
		_ = c.Close()
	}
	return <-served == nil && err == nil
}
