package ladderserver

import (
	"context"
	"sort"
	"time"
)

// Status is what operators see of an entry VM: its own state, its peers, and the
// racks and workers that it knows.
type Status struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// Version is the number of the configuration in force, or zero if there is none.
	Version uint64 `json:"version"`
	// Ready is true while the VM accepts callers' requests.
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
	// Store is "ok" if the platform's store answered when this VM last checked, else
	// "out".
	Store string `json:"store"`
	// Leader is the name of the queue's leader, or empty if it is not known.
	Leader  string         `json:"leader"`
	Peers   []PeerStatus   `json:"peers"`
	Racks   []RackStatus   `json:"racks"`
	Workers []WorkerStatus `json:"workers"`
}

// PeerStatus is one peer in a [Status].
type PeerStatus struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Version is the number of the peer's configuration.
	Version  uint64 `json:"version"`
	Live     bool   `json:"live"`
	Draining bool   `json:"draining"`
	// Heard is the time since the peer's last heartbeat, or "never".
	Heard string `json:"heard"`
}

// RackStatus is one rack in a [Status]. Holder is the entry VM that has claims on
// the rack's workers; Home is true if that VM also keeps the records of the rack's
// idempotency keys. Free is the number of free slots.
type RackStatus struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Holder string `json:"holder"`
	Home   bool   `json:"home"`
	Free   int    `json:"free"`
}

// WorkerStatus is one listed worker in a [Status].
type WorkerStatus struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Rack    string `json:"rack"`
	Leaving bool   `json:"leaving"`
}

// status returns the VM's present status.
func (s *Server) status(ctx context.Context) Status {
	now := s.clock.Now()
	st := Status{
		Name: s.settings.Name, Region: s.settings.Region, Zone: s.settings.Zone, Version: s.config.number(),
		Ready: s.isReady(), Store: "out", Leader: s.leader.leaderName(),
	}
	if s.storeReachable.Load() {
		st.Store = "ok"
	}
	leaving := map[string]bool{}
	for _, w := range s.holder.LeavingWorkers(now) {
		leaving[w] = true
	}
	s.runOnControlAndWait(ctx, func() {
		st.Draining = s.members.IsDraining()
		st.Peers = s.peerStatus(now)
		for _, w := range s.listing.Workers {
			st.Workers = append(st.Workers, WorkerStatus{
				Name: w.Name, Zone: w.Zone, Rack: w.Rack, Leaving: w.Leaving || leaving[w.Name],
			})
		}
	})
	s.dispatch.UpdateDigests(now, s.holder.Digests(now))
	for _, d := range s.dispatch.Digests(now) {
		st.Racks = append(st.Racks, RackStatus{
			Name: d.Rack, Zone: d.Zone, Holder: d.Holder, Home: d.Home, Free: d.Free.Slots,
		})
	}
	sortRacks(st.Racks)
	return st
}

// peerStatus returns the status of the known peers. It runs on the control goroutine.
func (s *Server) peerStatus(now time.Time) []PeerStatus {
	live := s.liveNames(now)
	var peers []PeerStatus
	for _, p := range s.members.Peers() {
		heard := "never"
		if !p.LastHeartbeat.IsZero() {
			heard = now.Sub(p.LastHeartbeat).Round(100 * time.Millisecond).String()
		}
		peers = append(peers, PeerStatus{
			Name: p.VM.Name, Zone: p.VM.Zone, Version: p.Version, Live: live[p.VM.Name],
			Draining: p.Draining, Heard: heard,
		})
	}
	return peers
}

func sortRacks(racks []RackStatus) {
	sort.Slice(racks, func(i, j int) bool { return racks[i].Name < racks[j].Name })
}

// HomeCount returns the number of racks that have a home, as far as this VM knows.
func (s *Server) HomeCount(ctx context.Context) int {
	homes := 0
	for _, r := range s.status(ctx).Racks {
		if r.Home {
			homes++
		}
	}
	return homes
}
