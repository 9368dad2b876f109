package ladderserver

import (
	"context"
	"net/netip"
	"strings"
	"time"

	"lacewingladder/laddermember"
	"lacewingladder/laddermessage"
)

// heartbeatTimeout bounds one exchange of heartbeats.
const heartbeatTimeout = 600 * time.Millisecond

// sendDueHeartbeats sends the heartbeats that are due. A change of the racks of
// which this VM is the home makes all of them due. It runs on the control goroutine.
func (s *Server) sendDueHeartbeats(ctx context.Context, now time.Time) {
	s.forgetUnresponsive(now)
	heartbeat := s.ownHeartbeat(now)
	if homes := homeRacks(heartbeat); homes != s.announcedHomes {
		s.announcedHomes = homes
		s.members.ExpediteHeartbeats()
	}
	due := s.members.DueHeartbeats(now)
	if len(due) == 0 {
		return
	}
	s.dispatch.UpdateDigests(now, heartbeat.Digests)
	for _, address := range due {
		s.background.Go(func() { s.exchangeHeartbeats(ctx, address, heartbeat) })
	}
}

// forgetUnresponsive makes the dispatcher ignore the racks of peers that are no
// longer live.
func (s *Server) forgetUnresponsive(now time.Time) {
	live := s.liveNames(now)
	for name := range s.lastLive {
		if !live[name] {
			s.logs.Component("members").Info("peer is unresponsive; ignoring its racks", "peer", name)
			s.dispatch.RemovePeer(name)
		}
	}
	s.lastLive = live
}

// homeRacks returns the names of the racks of which the sender of a heartbeat is
// the home, as one string.
func homeRacks(heartbeat laddermessage.Heartbeat) string {
	var homes []string
	for _, d := range heartbeat.Digests {
		if d.Home {
			homes = append(homes, d.Rack)
		}
	}
	return strings.Join(homes, " ")
}

// ownHeartbeat returns the heartbeat that this VM sends. It runs on the control
// goroutine.
func (s *Server) ownHeartbeat(now time.Time) laddermessage.Heartbeat {
	self, err := s.ownEntryVM()
	if err != nil {
		self.Name = s.settings.Name
	}
	return laddermessage.Heartbeat{
		From: self, Incarnation: s.incarnation, Version: s.config.number(),
		Draining: s.members.IsDraining(), Joining: s.members.IsJoining(now),
		Digests: s.holder.Digests(now), Leaving: s.holder.LeavingWorkers(now),
	}
}

// exchangeHeartbeats sends a heartbeat to a peer and records the one in its reply.
// It retries once, over a new connection, so that a connection that stopped
// delivering does not make the peer count as unresponsive.
func (s *Server) exchangeHeartbeats(ctx context.Context, to netip.AddrPort, heartbeat laddermessage.Heartbeat) {
	for range 2 {
		callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		answer, err := s.peers.client.Call(callCtx, to, heartbeat)
		cancel()
		if reply, ok := answer.(laddermessage.Heartbeat); ok && err == nil {
			s.runOnControl(ctx, func() { s.receiveHeartbeat(ctx, reply) })
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// receiveHeartbeat records a peer's heartbeat. If the peer has a newer
// configuration, this VM fetches it. It runs on the control goroutine.
func (s *Server) receiveHeartbeat(ctx context.Context, heartbeat laddermessage.Heartbeat) {
	now := s.clock.Now()
	if heartbeat.From.Name == s.settings.Name {
		return
	}
	s.members.RecordHeartbeat(now, heartbeat)
	s.holder.SetPeerLeaving(now, heartbeat.Leaving)
	if heartbeat.Draining {
		s.dispatch.RemovePeer(heartbeat.From.Name)
	}
	s.dispatch.UpdateDigests(now, heartbeat.Digests)
	s.publishPeers()
	if heartbeat.Version > s.config.number() {
		s.background.Go(func() { s.config.fetchFromPeer(ctx, heartbeat.From.PeerAddress) })
	}
}

// publishPeers publishes the addresses of the known peers to the goroutines that
// call them.
func (s *Server) publishPeers() {
	known := map[string]netip.AddrPort{}
	for _, p := range s.members.Peers() {
		known[p.VM.Name] = p.VM.PeerAddress
	}
	s.peers.addresses.Store(&known)
}

// liveNames returns the set of the live peers' names. It runs on the control
// goroutine.
func (s *Server) liveNames(now time.Time) map[string]bool {
	live := map[string]bool{}
	for _, name := range s.members.Live(now) {
		live[name] = true
	}
	return live
}

// livePeers returns the live peers. It runs on the control goroutine.
func (s *Server) livePeers(now time.Time) []laddermember.Peer {
	live := s.liveNames(now)
	var peers []laddermember.Peer
	for _, p := range s.members.Peers() {
		if live[p.VM.Name] {
			peers = append(peers, p)
		}
	}
	return peers
}
