// Package ladderpeer carries messages between entry VMs over QUIC.
//
// Each exchange is one stream on a connection that both sides authenticate with
// certificates of the fleet's authority. A [Client] keeps one connection to each
// peer. When an exchange has no answer in time the connection is given up, so
// that the next exchange uses a fresh one: a connection that went silent says
// nothing about the peer.
//
// # Usage
//
//	server, err := ladderpeer.Listen(address, tls, handler)
//	go server.Serve(ctx)
//
//	client := server.Client(tls)
//	answer, err := client.Call(ctx, peer, laddermessage.Fetch{})
//
// An error that wraps [ErrUnsent] proves that the peer did not get the message.
package ladderpeer
