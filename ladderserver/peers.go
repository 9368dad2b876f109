package ladderserver

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"lacewingladder/ladderholder"
	"lacewingladder/laddermessage"
	"lacewingladder/laddermodel"
	"lacewingladder/ladderpeer"
)

const (
	// releaseDelay is how long ends of tasks are collected before they are sent.
	releaseDelay = 5 * time.Millisecond
	// releaseTimeout bounds the message that carries them.
	releaseTimeout = time.Second
	// maxPendingReleases bounds the number of ends that wait to be sent. Further ones
	// are dropped; their holders learn of them from the workers' reports.
	maxPendingReleases = 16_384
	// replyMargin is added to the time that a request allows a peer, for the transfer
	// of the message and its reply.
	replyMargin = 500 * time.Millisecond
)

// Log is the logger of one component of the server.
type Log interface {
	// Info logs a message with pairs of keys and values.
	Info(msg any, keyvals ...any)
	// Warn is like Info, at the level for messages that an operator should see.
	Warn(msg any, keyvals ...any)
}

// peers sends messages to other entry VMs, addressed by name. It implements
// ladderdispatch.Peers.
type peers struct {
	client    *ladderpeer.Client
	log       Log
	addresses atomic.Pointer[map[string]netip.AddrPort]
	releases  chan peerRelease
}

// peerRelease is the end of a task, to be sent to the peer that holds its
// reservation.
type peerRelease struct {
	peer string
	end  ladderholder.TaskEnd
}

func newPeers(client *ladderpeer.Client, log Log) *peers {
	p := &peers{client: client, log: log, releases: make(chan peerRelease, maxPendingReleases)}
	p.addresses.Store(&map[string]netip.AddrPort{})
	return p
}

// call sends a message to a peer by name.
func (p *peers) call(ctx context.Context, peer string, m laddermessage.Message) (laddermessage.Message, error) {
	address, ok := (*p.addresses.Load())[peer]
	if !ok {
		return nil, fmt.Errorf("peer %q is not known: %w", peer, ladderpeer.ErrUnsent)
	}
	return p.client.Call(ctx, address, m)
}

// Reserve implements ladderdispatch.Peers.
func (p *peers) Reserve(
	ctx context.Context, peer string, request ladderholder.CapacityRequest,
) (laddermodel.Reservation, error) {
	callCtx, cancel := context.WithTimeout(ctx, request.MaxWait+replyMargin)
	defer cancel()
	answer, err := p.call(callCtx, peer, laddermessage.Reserve{Request: request})
	if err != nil {
		return laddermodel.Reservation{}, err
	}
	switch m := answer.(type) {
	case laddermessage.Reserved:
		return m.Reservation, nil
	case laddermessage.NoCapacity:
		return laddermodel.Reservation{}, &ladderholder.NoCapacityError{Reason: m.Reason, RetryAfter: m.RetryAfter}
	}
	return laddermodel.Reservation{}, unexpectedReply(peer, answer)
}

// Release implements ladderdispatch.Peers.
func (p *peers) Release(peer string, e ladderholder.TaskEnd) {
	select {
	case p.releases <- peerRelease{peer: peer, end: e}:
	default:
	}
}

// Forward implements ladderdispatch.Peers.
func (p *peers) Forward(ctx context.Context, peer string, r laddermodel.Request) (laddermodel.Answer, error) {
	callCtx, cancel := context.WithTimeout(ctx, r.Deadline+replyMargin)
	defer cancel()
	answer, err := p.call(callCtx, peer, laddermessage.Forward{Request: r})
	if err != nil {
		return laddermodel.Answer{}, err
	}
	m, ok := answer.(laddermessage.ForwardReply)
	if !ok {
		return laddermodel.Answer{}, unexpectedReply(peer, answer)
	}
	return m.Answer, nil
}

// releaseLoop sends the collected ends to their peers at each tick, until ctx ends.
func (p *peers) releaseLoop(ctx context.Context) {
	tick := time.NewTicker(releaseDelay)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		byPeer := map[string][]ladderholder.TaskEnd{}
		for range len(p.releases) {
			r := <-p.releases
			byPeer[r.peer] = append(byPeer[r.peer], r.end)
		}
		for peer, ends := range byPeer {
			go p.sendReleases(ctx, peer, ends)
		}
	}
}

func (p *peers) sendReleases(ctx context.Context, peer string, ends []ladderholder.TaskEnd) {
	callCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if _, err := p.call(callCtx, peer, laddermessage.Release{Ends: ends}); err != nil {
		p.log.Info("ends of tasks not sent; the peer will learn of them from its workers' reports",
			"peer", peer, "ends", len(ends), "err", err)
	}
}

// unexpectedReply returns the error for a reply of the wrong type.
func unexpectedReply(peer string, m laddermessage.Message) error {
	return fmt.Errorf("peer %q: unexpected answer %T", peer, m)
}
