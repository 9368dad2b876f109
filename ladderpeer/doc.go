// Package ladderpeer transports messages between entry VMs over QUIC.
//
// Each exchange of a request and its reply uses one stream of a connection. Both
// sides of a connection authenticate with certificates that the fleet's
// certificate authority issued. A [Client] keeps one connection to each peer. If
// an exchange gets no reply in time, and nothing has arrived from the peer between
// its beginning and the next exchange, the client abandons the connection and opens
// a new one: the connection may have failed although the peer still works. If
// something has arrived, the peer is only late.
//
// # Usage
//
//	server, err := ladderpeer.Listen(address, tls, handler)
//	go server.Serve(ctx)
//
//	client := server.Client(tls)
//	reply, err := client.Call(ctx, peer, laddermessage.FetchConfig{})
//
// An error that wraps [ErrUnsent] proves that the peer did not receive the message.
package ladderpeer
