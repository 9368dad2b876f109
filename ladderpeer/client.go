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

// ErrUnsent means that a message definitely did not reach the peer.
var ErrUnsent = errors.New("the message was not sent")

const (
	// maxMessage is the maximum size of an encoded message in bytes.
	maxMessage = 48 << 20
	// dialTimeout is the time limit for opening a connection.
	dialTimeout = time.Second
	// idleTimeout is how long a connection may receive nothing before it is closed.
	idleTimeout = 3 * time.Second
	// keepAliveInterval is the time between the keep-alive packets of the client that opened a
	// connection.
	keepAliveInterval = time.Second
	// defaultUnusedTimeout is how long a client keeps a connection after its last exchange.
	defaultUnusedTimeout = 10 * time.Second
	// abandonGrace is how long an abandoned connection stays open for the exchanges in
	// progress on it.
	abandonGrace = 5 * time.Second
	// maxStreams is the maximum number of concurrent exchanges that a peer may open on one
	// connection.
	maxStreams = 8192
	// protocol is the ALPN protocol name in the TLS handshake.
	protocol = "lacewingladder/1"
)

// abandoned is the error code with which the client closes a connection that it no longer
// uses.
const abandoned quic.ApplicationErrorCode = 1

// Client sends messages to peers. Create one with [Server.Client], or with [NewClient] if the
// process does not run a [Server].
type Client struct {
	tls   *tls.Config
	dial  dialer
	bytes Traffic
	// unusedTimeout is how long a connection is kept after its last exchange.
	unusedTimeout time.Duration

	// closed ends when the client is closed, and so ends its dials.
	closed context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	conns map[netip.AddrPort]*connection
	dials map[netip.AddrPort]*dialing
}

// connection is an open connection to a peer.
type connection struct {
	*quic.Conn
	// exchanges is the number of exchanges in progress. While it is zero, unused closes the
	// connection when it fires.
	exchanges int
	unused    *time.Timer
	// doubted is true after an exchange that got no reply in time. Received is the number of packets that had
	// arrived from the peer when that exchange began.
	doubted  bool
	received uint64
}

// packetsReceived returns the number of packets that have arrived from the peer.
func (c *connection) packetsReceived() uint64 { return c.ConnectionStats().PacketsReceived }

// Traffic counts the bytes of encoded messages that were sent and received, and the connections that were
// opened. Each connection costs both ends a handshake.
type Traffic struct {
	Sent        atomic.Int64
	Received    atomic.Int64
	Connections atomic.Int64
}

// dialer opens a QUIC connection.
type dialer func(ctx context.Context, to net.Addr, t *tls.Config, c *quic.Config) (*quic.Conn, error)

// NewClient returns a client that authenticates with the certificate in t and uses a new local
// address for each connection.
func NewClient(t *tls.Config) *Client {
	return newClient(t, func(ctx context.Context, to net.Addr, t *tls.Config, c *quic.Config) (*quic.Conn, error) {
		return quic.DialAddr(ctx, to.String(), t, c)
	})
}

// newClient returns a client that opens its connections with d.
func newClient(t *tls.Config, d dialer) *Client {
	cloned := t.Clone()
	cloned.NextProtos = []string{protocol}
	closed, cancel := context.WithCancel(context.Background())
	return &Client{closed: closed, cancel: cancel, tls: cloned, dial: d, unusedTimeout: defaultUnusedTimeout, conns: map[netip.AddrPort]*connection{}, dials: map[netip.AddrPort]*dialing{}}
}

// Traffic returns the client's byte counts.
func (c *Client) Traffic() *Traffic { return &c.bytes }

// Call sends a request to a peer and returns the reply. If the reply is a
// [laddermessage.ErrorReply], Call returns an error.
func (c *Client) Call(ctx context.Context, peer netip.AddrPort, m laddermessage.Message) (laddermessage.Message, error) {
	data, err := laddercodec.Encode(m)
	if err != nil {
		return nil, errors.Join(ErrUnsent, err)
	}
	conn, err := c.acquire(ctx, peer)
	if err != nil {
		return nil, errors.Join(ErrUnsent, fmt.Errorf("connect to peer %v: %w", peer, err))
	}
	defer c.release(conn)
	received := conn.packetsReceived()
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		c.doubt(conn, received)
		return nil, errors.Join(ErrUnsent, fmt.Errorf("open stream to peer %v: %w", peer, err))
	}
	reply, err := c.exchange(ctx, stream, data)
	if err != nil {
		stream.CancelRead(0)
		// If the call was canceled by its caller, the connection may well be working.
		if ctx.Err() == nil || errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			c.doubt(conn, received)
		}
		return nil, fmt.Errorf("exchange with peer %v: %w", peer, err)
	}
	if f, ok := reply.(laddermessage.ErrorReply); ok {
		return nil, fmt.Errorf("peer %v: %s", peer, f.Reason)
	}
	return reply, nil
}

// exchange writes a request to a stream and reads the reply from it.
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
	reply, err := io.ReadAll(io.LimitReader(s, maxMessage))
	if err != nil {
		return nil, err
	}
	c.bytes.Received.Add(int64(len(reply)))
	return laddercodec.Decode(reply)
}

// acquire returns the open connection to a peer, or opens one, for one exchange. The caller must
// release it.
func (c *Client) acquire(ctx context.Context, peer netip.AddrPort) (*connection, error) {
	c.mu.Lock()
	conn, ok := c.current(peer)
	c.mu.Unlock()
	if ok {
		return conn, nil
	}
	d := c.startDial(peer)
	select {
	case <-d.done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if d.err != nil {
		return nil, d.err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok = c.current(peer); !ok {
		return nil, errors.New("the connection was closed at once")
	}
	return conn, nil
}

// dialing is the opening of a connection, for which all calls to a peer wait.
type dialing struct {
	// done is closed when the connection is open or could not be opened, which err tells.
	done chan struct{}
	err  error
}

// startDial opens a connection to a peer, unless there is one or that is under way. It goes on if the call
// that waits for it ends: a client that is slow would otherwise begin again for each call and never succeed.
func (c *Client) startDial(peer netip.AddrPort) *dialing {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d, ok := c.dials[peer]; ok {
		return d
	}
	d := &dialing{done: make(chan struct{})}
	if conn, ok := c.conns[peer]; ok && conn.Context().Err() == nil {
		close(d.done) // A dial has ended since the call looked for a connection.
		return d
	}
	c.dials[peer] = d
	go func() {
		defer close(d.done)
		ctx, cancel := context.WithTimeout(c.closed, dialTimeout)
		defer cancel()
		fresh, err := c.dial(ctx, net.UDPAddrFromAddrPort(peer), c.tls, clientConfig())
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.dials, peer)
		if d.err = err; err != nil {
			return
		}
		if c.closed.Err() != nil {
			_ = fresh.CloseWithError(abandoned, "closing")
			d.err = net.ErrClosed
			return
		}
		c.bytes.Connections.Add(1)
		conn := &connection{Conn: fresh}
		conn.unused = time.AfterFunc(c.unusedTimeout, func() { c.closeUnused(peer, conn) })
		c.conns[peer] = conn
	}()
	return d
}

// current returns the open connection to a peer, if there is one, and counts an exchange on it.
// The caller must hold mu.
func (c *Client) current(peer netip.AddrPort) (*connection, bool) {
	conn, ok := c.conns[peer]
	if !ok || conn.Context().Err() != nil {
		return nil, false
	}
	if conn.doubted && conn.packetsReceived() == conn.received {
		c.abandon(peer, conn)
		return nil, false
	}
	conn.doubted = false
	conn.exchanges++
	return conn, true
}

// release ends an exchange on a connection.
func (c *Client) release(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.exchanges--
	if conn.exchanges == 0 {
		conn.unused.Reset(c.unusedTimeout)
	}
}

// closeUnused closes a connection unless it is in use.
func (c *Client) closeUnused(peer netip.AddrPort, conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.exchanges > 0 || c.conns[peer] != conn {
		return
	}
	delete(c.conns, peer)
	_ = conn.CloseWithError(0, "not used")
}

// doubt records that an exchange on a connection got no reply in time. The peer, or this process, may only be
// late: the connection works if anything has arrived from the peer by the time of the next exchange.
func (c *Client) doubt(conn *connection, received uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.doubted {
		received = max(received, conn.received) // An older exchange may end later.
	}
	conn.doubted, conn.received = true, received
}

// abandon removes a connection from the client, so that the next exchange opens a new one. The connection
// is closed after abandonGrace, so that other exchanges on it can finish. The caller must hold mu.
func (c *Client) abandon(peer netip.AddrPort, conn *connection) {
	delete(c.conns, peer)
	go func() {
		select {
		case <-time.After(abandonGrace):
		case <-c.closed.Done():
		case <-conn.Context().Done():
		}
		_ = conn.CloseWithError(abandoned, "no answer")
	}()
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel()
	for peer, conn := range c.conns {
		conn.unused.Stop()
		_ = conn.CloseWithError(0, "closing")
		delete(c.conns, peer)
	}
}

// config returns the QUIC settings of servers. A server sends no keep-alive packets: the client
// that opened a connection knows whether it is used.
func config() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: dialTimeout,
		MaxIdleTimeout:       idleTimeout,
		MaxIncomingStreams:   maxStreams,
	}
}

// clientConfig returns the QUIC settings of clients.
func clientConfig() *quic.Config {
	c := config()
	c.KeepAlivePeriod = keepAliveInterval
	return c
}
