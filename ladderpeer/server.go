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

// Handler handles the requests of peers.
type Handler interface {
	// Handle returns the reply to request m. An error is sent to the peer as a
	// [laddermessage.ErrorReply].
	Handle(ctx context.Context, m laddermessage.Message) (laddermessage.Message, error)
}

// Server receives requests from peers and replies to them. Create one with [Listen].
type Server struct {
	transport *quic.Transport
	listener  *quic.Listener
	handler   Handler
	bytes     Traffic
	// connections counts the connections that are being served.
	connections sync.WaitGroup
}

// Listen returns a server that listens on a UDP address. [Server.Serve] starts to accept
// connections.
func Listen(address netip.AddrPort, t *tls.Config, h Handler) (*Server, error) {
	cloned := t.Clone()
	cloned.NextProtos = []string{protocol}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	transport := &quic.Transport{Conn: socket}
	listener, err := transport.Listen(cloned, config())
	if err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	return &Server{transport: transport, listener: listener, handler: h}, nil
}

// Client returns a client whose connections use the server's address as their local address.
func (s *Server) Client(t *tls.Config) *Client { return newClient(t, s.transport.Dial) }

// Traffic returns the server's byte counts.
func (s *Server) Traffic() *Traffic { return &s.bytes }

// Address returns the address on which the server listens.
func (s *Server) Address() (netip.AddrPort, error) {
	return netip.ParseAddrPort(s.listener.Addr().String())
}

// Serve handles requests until ctx is canceled, and then waits for those in progress.
func (s *Server) Serve(ctx context.Context) error {
	defer s.connections.Wait()
	for {
		conn, err := s.listener.Accept(ctx)
		if err != nil {
			_ = s.listener.Close()
			if ctx.Err() != nil || errors.Is(err, quic.ErrServerClosed) {
				return nil
			}
			return fmt.Errorf("accept peer: %w", err)
		}
		s.bytes.Connections.Add(1)
		s.connections.Go(func() { s.serveConn(ctx, conn) })
	}
}

// serveConn handles the requests of one connection, each on its own stream.
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

// serveStream handles one request. The handler's context is that of the stream, which is
// canceled when the connection closes.
func (s *Server) serveStream(stream *quic.Stream) {
	defer func() { _ = stream.Close() }()
	data, err := io.ReadAll(io.LimitReader(stream, maxMessage))
	if err != nil {
		stream.CancelWrite(0)
		return
	}
	s.bytes.Received.Add(int64(len(data)))
	reply, err := laddercodec.Encode(s.reply(stream.Context(), data))
	if err != nil {
		stream.CancelWrite(0)
		return
	}
	if _, err := stream.Write(reply); err == nil {
		s.bytes.Sent.Add(int64(len(reply)))
	}
}

// reply decodes a request and returns the handler's reply, or a [laddermessage.ErrorReply].
func (s *Server) reply(ctx context.Context, data []byte) laddermessage.Message {
	m, err := laddercodec.Decode(data)
	if err != nil {
		return laddermessage.ErrorReply{Reason: err.Error()}
	}
	reply, err := s.handler.Handle(ctx, m)
	if err != nil {
		return laddermessage.ErrorReply{Reason: err.Error()}
	}
	return reply
}

// Close closes the server's listener and socket.
func (s *Server) Close() {
	_ = s.listener.Close()
	_ = s.transport.Close()
	_ = s.transport.Conn.Close()
}
