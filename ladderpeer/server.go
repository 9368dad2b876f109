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

	"github.com/quic-go/quic-go"

	"lacewingladder/laddercodec"
	"lacewingladder/laddermessage"
)

// Handler answers the messages of peers.
type Handler interface {
	// Handle answers one message. An error is sent as a fault.
	Handle(ctx context.Context, m laddermessage.Message) (laddermessage.Message, error)
}

// Server takes the messages of peers. Create one with [Listen].
type Server struct {
	transport *quic.Transport
	listener  *quic.Listener
	handler   Handler
	bytes     Traffic
	wait      sync.WaitGroup
}

// Listen opens a server's address.
func Listen(address netip.AddrPort, t *tls.Config, h Handler) (*Server, error) {
	own := t.Clone()
	own.NextProtos = []string{protocol}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	transport := &quic.Transport{Conn: socket}
	l, err := transport.Listen(own, config())
	if err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	return &Server{transport: transport, listener: l, handler: h}, nil
}

// Client returns a client that sends from the server's own address.
func (s *Server) Client(t *tls.Config) *Client { return newClient(t, s.transport.Dial) }

// Traffic returns the server's byte counts.
func (s *Server) Traffic() *Traffic { return &s.bytes }

// Address returns the address on which the server listens.
func (s *Server) Address() (netip.AddrPort, error) {
	return netip.ParseAddrPort(s.listener.Addr().String())
}

// Serve answers messages until ctx ends, and then waits for those under way.
func (s *Server) Serve(ctx context.Context) error {
	defer s.wait.Wait()
	for {
		conn, err := s.listener.Accept(ctx)
		if err != nil {
			_ = s.listener.Close()
			if ctx.Err() != nil || errors.Is(err, quic.ErrServerClosed) {
				return nil
			}
			return fmt.Errorf("accept peer: %w", err)
		}
		s.wait.Go(func() { s.serveConn(ctx, conn) })
	}
}

func (s *Server) serveConn(ctx context.Context, conn *quic.Conn) {
	var streams sync.WaitGroup
	defer func() {
		streams.Wait()
		_ = conn.CloseWithError(0, "closing")
	}()
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		streams.Go(func() { s.serveStream(stream) })
	}
}

// serveStream answers one message. The stream's context ends with its
// connection.
func (s *Server) serveStream(stream *quic.Stream) {
	defer func() { _ = stream.Close() }()
	data, err := io.ReadAll(io.LimitReader(stream, maxMessage))
	if err != nil {
		stream.CancelWrite(0)
		return
	}
	s.bytes.Received.Add(int64(len(data)))
	back, err := laddercodec.Encode(s.answer(stream.Context(), data))
	if err != nil {
		stream.CancelWrite(0)
		return
	}
	if _, err := stream.Write(back); err == nil {
		s.bytes.Sent.Add(int64(len(back)))
	}
}

func (s *Server) answer(ctx context.Context, data []byte) laddermessage.Message {
	m, err := laddercodec.Decode(data)
	if err != nil {
		return laddermessage.Fault{Reason: err.Error()}
	}
	a, err := s.handler.Handle(ctx, m)
	if err != nil {
		return laddermessage.Fault{Reason: err.Error()}
	}
	return a
}

// Close closes the server's address.
func (s *Server) Close() {
	_ = s.listener.Close()
	_ = s.transport.Close()
	_ = s.transport.Conn.Close()
}
