package ladderpeer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"lacewingladder/laddercodec"
	"lacewingladder/laddermessage"
)

// ErrUnsent means that a message certainly did not reach its peer.
var ErrUnsent = errors.New("the message was not sent")

const (
	// maxMessage bounds an encoded message in bytes.
	maxMessage = 48 << 20
	// dialTime bounds the opening of a connection.
	dialTime = time.Second
	// idleTime is after how much silence a connection is given up.
	idleTime = 3 * time.Second
	// aliveTime is the time between signs of life on an idle connection.
	aliveTime = time.Second
	// abandonTime is how long the exchanges on an abandoned connection may last.
	abandonTime = 5 * time.Second
	// maxStreams bounds the exchanges that a peer may have open at once.
	maxStreams = 8192
	// protocol names the messages' protocol in the TLS handshake.
	protocol = "lacewingladder/1"
)

// abandoned is the code with which a connection is given up.
const abandoned quic.ApplicationErrorCode = 1

// Client sends messages to peers. Create one with [Server.Client], or with
// [NewClient] for a client that is no peer itself.
type Client struct {
	tls   *tls.Config
	dial  dialer
	bytes Traffic

	mu    sync.Mutex
	conns map[netip.AddrPort]*quic.Conn
}

// Traffic counts what passed between entry VMs, in bytes of messages.
type Traffic struct {
	Sent     atomic.Int64
	Received atomic.Int64
}

// dialer opens a connection.
type dialer func(ctx context.Context, to net.Addr, t *tls.Config, c *quic.Config) (*quic.Conn, error)

// NewClient returns a client that presents the given certificate and sends from a
// new address for each connection.
func NewClient(t *tls.Config) *Client {
	return newClient(t, func(ctx context.Context, to net.Addr, t *tls.Config, c *quic.Config) (*quic.Conn, error) {
		return quic.DialAddr(ctx, to.String(), t, c)
	})
}

func newClient(t *tls.Config, d dialer) *Client {
	own := t.Clone()
	own.NextProtos = []string{protocol}
	return &Client{tls: own, dial: d, conns: map[netip.AddrPort]*quic.Conn{}}
}

// Traffic returns the client's byte counts.
func (c *Client) Traffic() *Traffic { return &c.bytes }

// Call sends a message and returns the answer.
func (c *Client) Call(ctx context.Context, peer netip.AddrPort, m laddermessage.Message) (laddermessage.Message, error) {
	data, err := laddercodec.Encode(m)
	if err != nil {
		return nil, errors.Join(ErrUnsent, err)
	}
	conn, err := c.conn(ctx, peer)
	if err != nil {
		return nil, errors.Join(ErrUnsent, fmt.Errorf("connect to peer %v: %w", peer, err))
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		c.abandon(peer, conn)
		return nil, errors.Join(ErrUnsent, fmt.Errorf("open stream to peer %v: %w", peer, err))
	}
	answer, err := c.exchange(ctx, stream, data)
	if err != nil {
		stream.CancelRead(0)
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.abandon(peer, conn)
		}
		return nil, fmt.Errorf("exchange with peer %v: %w", peer, err)
	}
	if f, ok := answer.(laddermessage.Fault); ok {
		return nil, fmt.Errorf("peer %v: %s", peer, f.Reason)
	}
	return answer, nil
}

// exchange writes a message and reads the answer on one stream.
func (c *Client) exchange(ctx context.Context, s *quic.Stream, data []byte) (laddermessage.Message, error) {
	stop := context.AfterFunc(ctx, func() {
		s.CancelWrite(0)
		s.CancelRead(0)
	})
	defer stop()
	if _, err := s.Write(data); err != nil {
		return nil, err
	}
	if err := s.Close(); err != nil {
		return nil, err
	}
	c.bytes.Sent.Add(int64(len(data)))
	back, err := io.ReadAll(io.LimitReader(s, maxMessage))
	if err != nil {
		return nil, err
	}
	c.bytes.Received.Add(int64(len(back)))
	return laddercodec.Decode(back)
}

// conn returns the connection to a peer, and opens one when there is none.
func (c *Client) conn(ctx context.Context, peer netip.AddrPort) (*quic.Conn, error) {
	c.mu.Lock()
	conn, ok := c.conns[peer]
	c.mu.Unlock()
	if ok && conn.Context().Err() == nil {
		return conn, nil
	}
	dialing, cancel := context.WithTimeout(ctx, dialTime)
	defer cancel()
	fresh, err := c.dial(dialing, net.UDPAddrFromAddrPort(peer), c.tls, config())
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.conns[peer]; ok && other != conn && other.Context().Err() == nil {
		_ = fresh.CloseWithError(abandoned, "one connection is enough")
		return other, nil
	}
	c.conns[peer] = fresh
	return fresh, nil
}

// abandon gives a connection up, so that the next exchange opens a fresh one.
// Other exchanges on the connection get some time to end.
func (c *Client) abandon(peer netip.AddrPort, conn *quic.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[peer] != conn {
		return
	}
	delete(c.conns, peer)
	time.AfterFunc(abandonTime, func() { _ = conn.CloseWithError(abandoned, "no answer") })
}

// Close gives up all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for peer, conn := range c.conns {
		_ = conn.CloseWithError(0, "closing")
		delete(c.conns, peer)
	}
}

func config() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: dialTime,
		MaxIdleTimeout:       idleTime,
		KeepAlivePeriod:      aliveTime,
		MaxIncomingStreams:   maxStreams,
	}
}
