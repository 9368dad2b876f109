package ladderpeer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// SetUnusedTimeout sets how long a connection of the client may be unused before it is closed.
func (c *Client) SetUnusedTimeout(d time.Duration) { c.unusedTimeout = d }

// CountDials returns the number of connections that the client has begun to open since the call.
func (c *Client) CountDials() *atomic.Int64 {
	var count atomic.Int64
	dial := c.dial
	c.dial = func(ctx context.Context, to net.Addr, t *tls.Config, config *quic.Config) (*quic.Conn, error) {
		count.Add(1)
		return dial(ctx, to, t, config)
	}
	return &count
}

// Opened returns a channel that receives the connections that the client opens from now on, up to ten.
func (c *Client) Opened() <-chan *quic.Conn {
	opened := make(chan *quic.Conn, 10)
	dial := c.dial
	c.dial = func(ctx context.Context, to net.Addr, t *tls.Config, config *quic.Config) (*quic.Conn, error) {
		conn, err := dial(ctx, to, t, config)
		if err == nil {
			opened <- conn
		}
		return conn, err
	}
	return opened
}

// DialAfterDial opens a connection to a peer, and then does what a call does that saw no connection a moment
// before it was open.
func (c *Client) DialAfterDial(peer netip.AddrPort) {
	for range 2 {
		<-c.startDial(peer).done
	}
}
