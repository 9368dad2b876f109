package ladderserver

import (
	"context"
	"time"

	"lacewingladder/ladderclaim"
	"lacewingladder/laddermessage"
)

// handoverTimeout bounds the handover of one rack.
const handoverTimeout = 2 * time.Second

// renewClaims sends the claim calls that are due to the workers of the zone. It
// also begins to hand over the racks that another VM should hold. It runs on the
// control goroutine.
func (s *Server) renewClaims(ctx context.Context, now time.Time) {
	if s.config.current() == nil {
		return
	}
	wanted := func(rack string) bool {
		name := s.members.PreferredHolder(now, rack)
		return name == s.settings.Name
	}
	s.handOverUnwanted(ctx, now, wanted)
	mayRelease := func(rack string) bool { return s.releasable[rack] }
	for _, call := range s.holder.Tick(now, wanted, mayRelease) {
		s.claimCalls.Go(func() { s.sendClaim(ctx, call) })
	}
}

// sendClaim sends one claim call to a worker. It retries once, over a new
// connection, because the pooled one may no longer deliver anything.
func (s *Server) sendClaim(ctx context.Context, call ladderclaim.Call) {
	for _, newConn := range []bool{false, true} {
		callCtx, cancel := context.WithTimeout(ctx, call.Lease/4)
		answer, err := s.workers.Claim(callCtx, call, newConn)
		cancel()
		if err == nil {
			s.holder.Observe(s.clock.Now(), call, answer)
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
	s.holder.CallFailed(s.clock.Now(), call)
}

// handOverUnwanted starts the handover of the racks that another VM should hold.
// A draining VM that has no successor for a rack marks it as releasable at once.
func (s *Server) handOverUnwanted(ctx context.Context, now time.Time, wanted func(rack string) bool) {
	held := map[string]bool{}
	for _, rack := range s.holder.HeldRacks(now) {
		held[rack] = true
		to := s.members.PreferredHolder(now, rack)
		switch {
		case wanted(rack):
			s.keepRack(rack)
		case !s.releasable[rack] && !s.handingOver[rack] && to != "":
			s.handingOver[rack] = true
			s.background.Go(func() { s.handOverRack(ctx, rack, to) })
		case to == "" && s.members.IsDraining():
			s.releasable[rack] = true
		}
	}
	for rack := range s.releasable {
		if !held[rack] {
			s.keepRack(rack)
		}
	}
}

// keepRack cancels the release of a rack. It also makes the rack accept new keys again, which
// a handover that has failed since may have prevented.
func (s *Server) keepRack(rack string) {
	if s.releasable[rack] {
		delete(s.releasable, rack)
		s.holder.CancelHandover(rack)
	}
	if !s.handingOver[rack] {
		s.dispatch.CancelExport(rack)
	}
}

// handOverRack hands a rack over to its next holder. If that succeeds, the claims
// on the rack may be released. Otherwise this VM keeps the rack, and a later control
// cycle tries again if another VM should still hold it.
func (s *Server) handOverRack(ctx context.Context, rack, to string) {
	done := s.sendHandover(ctx, rack, to)
	s.runOnControl(ctx, func() {
		delete(s.handingOver, rack)
		s.releasable[rack] = done
		if !done {
			delete(s.releasable, rack)
			s.holder.CancelHandover(rack)
		}
	})
}

// sendHandover makes another VM the home of a rack: the VM that keeps the records of
// the rack's idempotency keys. It sends those records along. It fails while a request
// with such a key runs. It reports whether the claims on the rack may be released.
func (s *Server) sendHandover(ctx context.Context, rack, to string) bool {
	log := s.logs.Component("claims")
	if _, home := s.holder.Home(s.clock.Now(), rack); !home {
		return true
	}
	records, ok := s.dispatch.ExportKeys(rack)
	if !ok {
		return false
	}
	handover, ok := s.holder.StartHandover(s.clock.Now(), rack)
	if !ok {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	_, err := s.peers.call(callCtx, to, laddermessage.HandoverHome{Handover: handover, Records: records})
	if err != nil {
		s.dispatch.CancelExport(rack)
		log.Warn("handover failed; keeping the rack for now", "rack", rack, "peer", to, "err", err)
		return false
	}
	log.Info("rack handed over", "rack", rack, "peer", to, "records", len(records))
	return true
}
