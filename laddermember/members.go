package laddermember

import (
	"net/netip"
	"sort"
	"time"

	"lacewingladder/ladderkey"
	"lacewingladder/laddermessage"
	"lacewingladder/laddermodel"
)

const (
	// LivenessTimeout is the time without a heartbeat after which a peer of the same
	// zone no longer counts as live. Peers of other zones get more time, because their
	// heartbeats are less frequent.
	LivenessTimeout = 2 * time.Second
	// sameZoneInterval and otherZoneInterval are the times between heartbeats to live
	// peers of the same zone and to all other peers.
	sameZoneInterval  = 700 * time.Millisecond
	otherZoneInterval = 2 * time.Second
	// joinPeriod is how long a new process collects heartbeats before it claims racks.
	joinPeriod = time.Second
	// forgetAfter is the time without a heartbeat after which a peer that the platform
	// does not list is removed.
	forgetAfter = time.Minute
)

// Peer is what an entry VM knows about one of its peers.
type Peer struct {
	VM laddermodel.EntryVM
	// Incarnation identifies the run of the peer's process.
	Incarnation string
	// Version is the number of the peer's configuration.
	Version  uint64
	Draining bool
	// Joining is true while the peer is too new to claim racks.
	Joining bool
	// LastHeartbeat is when the last heartbeat of the peer was received, or zero if
	// there was none.
	LastHeartbeat time.Time

	// listed is true if the platform's latest list has the peer.
	listed        bool
	nextHeartbeat time.Time
}

// Members is one entry VM's view of its peers.
type Members struct {
	self     laddermodel.EntryVM
	started  time.Time
	draining bool
	peers    map[string]*Peer
	// seeds are the configured addresses of peers whose names are not known yet, each
	// with the time of the next heartbeat to it.
	seeds map[netip.AddrPort]time.Time
}

// New returns a view for the entry VM self that has no peers yet.
func New(self laddermodel.EntryVM, now time.Time) *Members {
	return &Members{self: self, started: now, peers: map[string]*Peer{}, seeds: map[netip.AddrPort]time.Time{}}
}

// SetSeeds adds addresses at which there may be peers.
func (m *Members) SetSeeds(addresses []netip.AddrPort) {
	for _, a := range addresses {
		if a != m.self.PeerAddress {
			m.seeds[a] = time.Time{}
		}
	}
}

// SetListing updates the peers from the platform's list of entry VMs. It removes
// peers that are not listed and have sent no heartbeat for forgetAfter.
func (m *Members) SetListing(now time.Time, entryVMs []laddermodel.EntryVM) {
	for _, p := range m.peers {
		p.listed = false
	}
	for _, e := range entryVMs {
		if e.Name == m.self.Name {
			continue
		}
		p := m.peerOrNew(e.Name)
		p.VM, p.listed = e, true
	}
	for name, p := range m.peers {
		if !p.listed && now.Sub(p.LastHeartbeat) > forgetAfter {
			delete(m.peers, name)
		}
	}
}

// RecordHeartbeat records a heartbeat of a peer.
func (m *Members) RecordHeartbeat(now time.Time, h laddermessage.Heartbeat) {
	if h.From.Name == m.self.Name {
		return
	}
	p := m.peerOrNew(h.From.Name)
	p.VM.Name, p.VM.Region, p.VM.Zone, p.VM.PeerAddress = h.From.Name, h.From.Region, h.From.Zone, h.From.PeerAddress
	p.Incarnation, p.Version, p.Draining, p.Joining, p.LastHeartbeat = h.Incarnation, h.Version, h.Draining, h.Joining, now
	delete(m.seeds, h.From.PeerAddress)
}

// SetDraining records that this VM drains. It then no longer counts as a VM that
// should hold racks.
func (m *Members) SetDraining() { m.draining = true }

// IsDraining reports whether this VM drains.
func (m *Members) IsDraining() bool { return m.draining }

// DueHeartbeats returns the addresses to which heartbeats are due, and schedules the
// next ones.
func (m *Members) DueHeartbeats(now time.Time) []netip.AddrPort {
	var due []netip.AddrPort
	for _, name := range m.sortedNames() {
		p := m.peers[name]
		if now.Before(p.nextHeartbeat) {
			continue
		}
		p.nextHeartbeat = now.Add(m.heartbeatInterval(now, p))
		due = append(due, p.VM.PeerAddress)
	}
	for a, next := range m.seeds {
		if now.Before(next) {
			continue
		}
		m.seeds[a] = now.Add(otherZoneInterval)
		due = append(due, a)
	}
	return due
}

// ExpediteHeartbeats makes the heartbeats to all peers due at once. It is used when
// something changed that they should learn soon.
func (m *Members) ExpediteHeartbeats() {
	for _, p := range m.peers {
		p.nextHeartbeat = time.Time{}
	}
}

// heartbeatInterval returns the time between heartbeats to a peer. Peers that are
// not live get fewer.
func (m *Members) heartbeatInterval(now time.Time, p *Peer) time.Duration {
	if p.VM.Zone == m.self.Zone && m.isLive(now, p) {
		return sameZoneInterval
	}
	return otherZoneInterval
}

// Peers returns all known peers, sorted by name.
func (m *Members) Peers() []Peer {
	peers := make([]Peer, 0, len(m.peers))
	for _, name := range m.sortedNames() {
		peers = append(peers, *m.peers[name])
	}
	return peers
}

// Live returns the names of the live peers, sorted.
func (m *Members) Live(now time.Time) []string {
	var live []string
	for _, name := range m.sortedNames() {
		if m.isLive(now, m.peers[name]) {
			live = append(live, name)
		}
	}
	return live
}

// PreferredHolder returns the name of the entry VM that should hold a rack of this
// zone. All VMs that know the same live peers get the same result. It is empty while
// this VM is joining, or if no VM of the zone may hold racks.
func (m *Members) PreferredHolder(now time.Time, rack string) string {
	if m.IsJoining(now) {
		return ""
	}
	return ladderkey.RendezvousHash(rack, m.candidateVMs(now))
}

// IsJoining reports whether this VM started less than joinPeriod ago, so that it may
// not have received the heartbeats of all peers yet.
func (m *Members) IsJoining(now time.Time) bool { return now.Sub(m.started) < joinPeriod }

// HasDuty reports whether this VM is the one of its zone that should perform the duty
// of the given name.
func (m *Members) HasDuty(now time.Time, name string) bool {
	return ladderkey.RendezvousHash(name, m.candidateVMs(now)) == m.self.Name
}

// candidateVMs returns the names of the VMs of this zone that may hold racks and
// perform duties: live peers that neither drain, join nor leave, and this VM unless
// it drains.
func (m *Members) candidateVMs(now time.Time) []string {
	var names []string
	if !m.draining {
		names = append(names, m.self.Name)
	}
	for _, name := range m.sortedNames() {
		p := m.peers[name]
		if p.VM.Zone == m.self.Zone && m.isLive(now, p) && !p.Draining && !p.Joining && !p.VM.Leaving {
			names = append(names, name)
		}
	}
	return names
}

// isLive reports whether the last heartbeat of a peer is recent enough.
func (m *Members) isLive(now time.Time, p *Peer) bool {
	return !p.LastHeartbeat.IsZero() && now.Sub(p.LastHeartbeat) < LivenessTimeout+m.extraTimeout(p)
}

// extraTimeout returns the time that is added to [LivenessTimeout] for a peer, since
// heartbeats between zones are less frequent.
func (m *Members) extraTimeout(p *Peer) time.Duration {
	if p.VM.Zone == m.self.Zone {
		return 0
	}
	return 2 * otherZoneInterval
}

// peerOrNew returns the peer of a name. It adds the peer if it is not known yet.
func (m *Members) peerOrNew(name string) *Peer {
	p, ok := m.peers[name]
	if !ok {
		p = &Peer{VM: laddermodel.EntryVM{Name: name}}
		m.peers[name] = p
	}
	return p
}

// sortedNames returns the names of all known peers in order.
func (m *Members) sortedNames() []string {
	names := make([]string, 0, len(m.peers))
	for name := range m.peers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
