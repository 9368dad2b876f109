package ladderserver

import (
	"context"
	"time"

	"lacewingladder/ladderclaim"
	"lacewingladder/laddermessage"
)

// moveTime bounds the handover of one rack.
const handoverTimeout = 2 * time.Second

// renewClaims keeps the claims on the zone's workers alive. It runs on the control
// goroutine.
func (s *Server) renewClaims(ctx context.Context, now time.Time) {
	if s.config.current() == nil {
		return
	}
	wanted := func(rack string) bool {
		name := s.members.Wanted(now, rack)
		return name == s.settings.Name
	}
	s.handOverUnwanted(ctx, now, wanted)
	free := func(rack string) bool { return s.releasable[rack] }
	for _, call := range s.holder.Tick(now, wanted, free) {
		s.claimCalls.Go(func() { s.sendClaim(ctx, call) })
	}
}

// sendClaim carries one call to a worker. A second try goes over a new
// connection.
func (s *Server) sendClaim(ctx context.Context, call ladderclaim.Call) {
	for _, again := range []bool{false, true} {
		calling, cancel := context.WithTimeout(ctx, call.Lease/4)
		answer, err := s.workers.Claim(calling, call, again)
		cancel()
		if err == nil {
			s.holder.Observe(s.clock.Now(), call, answer)
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
	s.holder.Failed(s.clock.Now(), call)
}

// handOverUnwanted hands over the racks that another VM should hold.
func (s *Server) handOverUnwanted(ctx context.Context, now time.Time, wanted func(rack string) bool) {
	held := map[string]bool{}
	for _, rack := range s.holder.Held(now) {
		held[rack] = true
		to := s.members.Wanted(now, rack)
		switch {
		case wanted(rack):
			s.keepRack(rack)
		case !s.releasable[rack] && !s.handingOver[rack] && to != "":
			s.handingOver[rack] = true
			s.background.Go(func() { s.handOverRack(ctx, rack, to) })
		case to == "" && s.members.Draining():
			s.releasable[rack] = true
		}
	}
	for rack := range s.releasable {
		if !held[rack] {
			s.keepRack(rack)
		}
	}
}

// keepRack forgets that a rack was to be given up.
func (s *Server) keepRack(rack string) {
	if s.releasable[rack] {
		delete(s.releasable, rack)
		s.holder.Keep(rack)
		s.dispatch.Reopen(rack)
	}
}

// handOverRack hands the home of a rack to its successor, after which the rack's claims
// may be released.
func (s *Server) handOverRack(ctx context.Context, rack, to string) {
	done := s.sendHandover(ctx, rack, to)
	s.runOnControl(ctx, func() {
		delete(s.handingOver, rack)
		s.releasable[rack] = done
		if !done {
			delete(s.releasable, rack)
			s.holder.Keep(rack)
		}
	})
}

// sendHandover reports whether the rack may be released.
func (s *Server) sendHandover(ctx context.Context, rack, to string) bool {
	log := s.logs.Part("claims")
	if _, home := s.holder.Home(s.clock.Now(), rack); !home {
		return true
	}
	records, ok := s.dispatch.Export(rack)
	if !ok {
		return false
	}
	handover, ok := s.holder.Give(s.clock.Now(), rack)
	if !ok {
		return true
	}
	moving, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	_, err := s.peers.call(moving, to, laddermessage.Move{Handover: handover, Records: records})
	if err != nil {
		log.Warn("handover failed", "rack", rack, "peer", to, "err", err)
		return false
	}
	log.Info("handed over", "rack", rack, "peer", to, "records", len(records))
	return true
}
