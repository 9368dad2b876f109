package ladderpeer

import (
	"context"
	"crypto/tls"
	"net"
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
