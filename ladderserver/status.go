package ladderserver

import (
	"context"
	"sort"
	"time"
)

// Status is what an entry VM knows of itself and its peers, for operators.
type Status struct {
	Name     string        `json:"name"`
	Region   string        `json:"region"`
	Zone     string        `json:"zone"`
	Version  uint64        `json:"version"`
	Ready    bool          `json:"ready"`
	Draining bool          `json:"draining"`
	Store    string        `json:"store"`
	Leader   string        `json:"leader"`
	Peers    []PeerStatus  `json:"peers"`
	Racks    []RackStatus  `json:"racks"`
	Workers  []WorkerState `json:"workers"`
}

// PeerStatus is one peer in a [Status].
type PeerStatus struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	Version  uint64 `json:"version"`
	Live     bool   `json:"live"`
	Draining bool   `json:"draining"`
	// Heard is how long ago the peer was heard.
	Heard string `json:"heard"`
}

// RackStatus is one rack in a [Status].
type RackStatus struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Holder string `json:"holder"`
	Home   bool   `json:"home"`
	Free   int    `json:"free"`
}

// WorkerState is one listed worker in a [Status].
type WorkerState struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Rack    string `json:"rack"`
	Leaving bool   `json:"leaving"`
}

// status gathers what operators see.
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
	for _, w := range s.holder.Leaving(now) {
		leaving[w] = true
	}
	s.runOnControlAndWait(ctx, func() {
		st.Draining = s.members.Draining()
		st.Peers = s.peerStatus(now)
		for _, w := range s.listing.Workers {
			st.Workers = append(st.Workers, WorkerState{
				Name: w.Name, Zone: w.Zone, Rack: w.Rack, Leaving: w.Leaving || leaving[w.Name],
			})
		}
	})
	s.dispatch.Learn(now, s.holder.Digests(now))
	for _, d := range s.dispatch.Digests(now) {
		st.Racks = append(st.Racks, RackStatus{
			Name: d.Rack, Zone: d.Zone, Holder: d.Holder, Home: d.Home, Free: d.Free.Slots,
		})
	}
	sortRacks(st.Racks)
	return st
}

func (s *Server) peerStatus(now time.Time) []PeerStatus {
	live := s.liveNames(now)
	var peers []PeerStatus
	for _, p := range s.members.Peers() {
		heard := "never"
		if !p.Heard.IsZero() {
			heard = now.Sub(p.Heard).Round(100 * time.Millisecond).String()
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

// Homes returns how many racks have a home, as far as this VM knows.
func (s *Server) Homes(ctx context.Context) int {
	homes := 0
	for _, r := range s.status(ctx).Racks {
		if r.Home {
			homes++
		}
	}
	return homes
}
