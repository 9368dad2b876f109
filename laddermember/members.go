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
	// DeadAfter is the silence after which a peer does not count as live.
	DeadAfter = 2 * time.Second
	// nearBeat and farBeat are the times between heartbeats to peers of the own
	// zone and of other zones.
	sameZoneInterval  = 700 * time.Millisecond
	otherZoneInterval = 2 * time.Second
	// settleTime is how long a new process listens before it claims racks.
	joinPeriod = time.Second
	// forgetAfter is the silence after which an unlisted peer is forgotten.
	forgetAfter = time.Minute
)

// Peer is what is known about another entry VM.
type Peer struct {
	VM          laddermodel.EntryVM
	Incarnation string
	// Version is the number of the peer's configuration.
	Version  uint64
	Draining bool
	// Joining is true while the peer holds no racks yet.
	Joining bool
	// Heard is when the peer was last heard, or zero.
	Heard time.Time

	listed        bool
	nextHeartbeat time.Time
}

// Members is one entry VM's view of its peers.
type Members struct {
	self     laddermodel.EntryVM
	started  time.Time
	draining bool
	peers    map[string]*Peer
	// seeds are addresses of peers whose names are not known yet.
	seeds map[netip.AddrPort]time.Time
}

// New returns a view that knows no peer.
func New(self laddermodel.EntryVM, now time.Time) *Members {
	return &Members{self: self, started: now, peers: map[string]*Peer{}, seeds: map[netip.AddrPort]time.Time{}}
}

// SetSeeds names addresses at which peers may be found.
func (m *Members) SetSeeds(addresses []netip.AddrPort) {
	for _, a := range addresses {
		if a != m.self.Peers {
			m.seeds[a] = time.Time{}
		}
	}
}

// SetListing takes over the platform's list of entry VMs.
func (m *Members) SetListing(now time.Time, entries []laddermodel.EntryVM) {
	for _, p := range m.peers {
		p.listed = false
	}
	for _, e := range entries {
		if e.Name == m.self.Name {
			continue
		}
		p := m.peerOrNew(e.Name)
		p.VM, p.listed = e, true
	}
	for name, p := range m.peers {
		if !p.listed && now.Sub(p.Heard) > forgetAfter {
			delete(m.peers, name)
		}
	}
}

// Heard takes in a peer's heartbeat.
func (m *Members) Heard(now time.Time, b laddermessage.Beat) {
	if b.From.Name == m.self.Name {
		return
	}
	p := m.peerOrNew(b.From.Name)
	p.VM.Name, p.VM.Region, p.VM.Zone, p.VM.Peers = b.From.Name, b.From.Region, b.From.Zone, b.From.Peers
	p.Incarnation, p.Version, p.Draining, p.Joining, p.Heard = b.Incarnation, b.Version, b.Draining, b.Joining, now
	delete(m.seeds, b.From.Peers)
}

// SetDraining makes this VM leave: it wants no rack any more.
func (m *Members) SetDraining() { m.draining = true }

// Draining reports whether this VM is leaving.
func (m *Members) Draining() bool { return m.draining }

// Due returns the addresses to which heartbeats are due, and counts them as sent.
func (m *Members) Due(now time.Time) []netip.AddrPort {
	var due []netip.AddrPort
	for _, name := range m.sortedNames() {
		p := m.peers[name]
		if now.Before(p.nextHeartbeat) {
			continue
		}
		p.nextHeartbeat = now.Add(m.heartbeatInterval(now, p))
		due = append(due, p.VM.Peers)
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

// Hurry makes heartbeats to all peers due at once, since something changed that
// they should know.
func (m *Members) Hurry() {
	for _, p := range m.peers {
		p.nextHeartbeat = time.Time{}
	}
}

// heartbeatInterval returns the time between heartbeats to a peer. Peers that are not live are
// asked less often.
func (m *Members) heartbeatInterval(now time.Time, p *Peer) time.Duration {
	if p.VM.Zone == m.self.Zone && m.isLive(now, p) {
		return sameZoneInterval
	}
	return otherZoneInterval
}

// Peers returns all known peers, by name.
func (m *Members) Peers() []Peer {
	peers := make([]Peer, 0, len(m.peers))
	for _, name := range m.sortedNames() {
		peers = append(peers, *m.peers[name])
	}
	return peers
}

// Live returns the names of the live peers, in order.
func (m *Members) Live(now time.Time) []string {
	var live []string
	for _, name := range m.sortedNames() {
		if m.isLive(now, m.peers[name]) {
			live = append(live, name)
		}
	}
	return live
}

// Wanted returns the entry VM that should hold a rack of this zone, in this VM's
// view. It is empty while this VM has not listened long enough.
func (m *Members) Wanted(now time.Time, rack string) string {
	if m.Joining(now) {
		return ""
	}
	return ladderkey.Highest(rack, m.candidateVMs(now))
}

// Joining reports whether this VM has not listened long enough to hold racks.
func (m *Members) Joining(now time.Time) bool { return now.Sub(m.started) < joinPeriod }

// Duty reports whether this VM should do a zone's single duty of that name.
func (m *Members) Duty(now time.Time, name string) bool {
	return ladderkey.Highest(name, m.candidateVMs(now)) == m.self.Name
}

// candidateVMs returns the names of the live VMs of this zone that take work. The VM
// itself counts unless it is draining.
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

func (m *Members) isLive(now time.Time, p *Peer) bool {
	return !p.Heard.IsZero() && now.Sub(p.Heard) < DeadAfter+m.extraTimeout(p)
}

// extraTimeout allows for the longer time between heartbeats of other zones.
func (m *Members) extraTimeout(p *Peer) time.Duration {
	if p.VM.Zone == m.self.Zone {
		return 0
	}
	return 2 * otherZoneInterval
}

func (m *Members) peerOrNew(name string) *Peer {
	p, ok := m.peers[name]
	if !ok {
		p = &Peer{VM: laddermodel.EntryVM{Name: name}}
		m.peers[name] = p
	}
	return p
}

func (m *Members) sortedNames() []string {
	names := make([]string, 0, len(m.peers))
	for name := range m.peers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
