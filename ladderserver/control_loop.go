package ladderserver

import (
	"context"
	"time"

	"lacewingladder/laddermodel"
)

const (
	// tickTime is the time between turns of the control loop.
	controlInterval = 50 * time.Millisecond
	// listTime is the time between looks at the platform's list of VMs.
	listInterval = 2 * time.Second
)

// controlLoop owns the control state until ctx ends.
func (s *Server) controlLoop(ctx context.Context) {
	tick := time.NewTicker(controlInterval)
	defer tick.Stop()
	var nextList time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-s.controlFuncs:
			f()
		case <-tick.C:
			now := s.clock.Now()
			if !now.Before(nextList) {
				nextList = now.Add(listInterval)
				s.background.Go(func() { s.refreshListing(ctx) })
			}
			s.sendDueHeartbeats(ctx, now)
			s.renewClaims(ctx, now)
			s.config.readInitial(ctx, now)
		}
	}
}

// refreshListing looks at the platform's list of VMs and passes it to the control loop.
func (s *Server) refreshListing(ctx context.Context) {
	listing, findings, err := s.lister.List(ctx)
	if err != nil {
		return
	}
	for _, f := range findings.Findings() {
		s.logs.Part("list").Warn("entry passed over", "finding", f.String())
	}
	s.runOnControl(ctx, func() { s.setListing(listing) })
}

// setListing takes over a list of VMs. It runs on the control goroutine.
func (s *Server) setListing(listing laddermodel.Listing) {
	now := s.clock.Now()
	s.listing = listing
	s.members.SetListing(now, listing.Entries)
	var own []laddermodel.Worker
	for _, w := range listing.Workers {
		if w.Zone == s.settings.Zone {
			own = append(own, w)
		}
	}
	s.holder.SetWorkers(now, own)
	s.leader.setWorkers(listing.Workers)
	s.publishPeers()
}
