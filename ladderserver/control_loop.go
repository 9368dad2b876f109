package ladderserver

import (
	"context"
	"time"

	"lacewingladder/laddermodel"
)

const (
	// controlInterval is the time between cycles of the control loop.
	controlInterval = 50 * time.Millisecond
	// listInterval is the time between reads of the platform's list of VMs.
	listInterval = 2 * time.Second
)

// controlLoop is the control goroutine. It runs the functions that other
// goroutines queue and, at each tick, everything that is due, until ctx ends.
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

// refreshListing reads the platform's list of VMs and passes it to the control
// goroutine.
func (s *Server) refreshListing(ctx context.Context) {
	listing, findings, err := s.lister.List(ctx)
	if err != nil {
		if ctx.Err() == nil {
			s.logs.Component("list").Warn("reading the list of VMs failed; the last one stays in use", "err", err)
		}
		return
	}
	for _, f := range findings.Findings() {
		s.logs.Component("list").Warn("invalid entry in the list of VMs ignored", "finding", f.String())
	}
	s.runOnControl(ctx, func() { s.setListing(listing) })
}

// setListing replaces the list of VMs. It runs on the control goroutine.
func (s *Server) setListing(listing laddermodel.Listing) {
	now := s.clock.Now()
	s.listing = listing
	s.members.SetListing(now, listing.EntryVMs)
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
