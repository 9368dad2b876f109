package ladderserver

import (
	"context"
	"time"
)

const (
	// noticeTime is how long the VM goes on after it said that it leaves, so that
	// the balancer and the peers learn of it.
	drainNoticePeriod = time.Second
	// DrainTime bounds the whole of a drain.
	DrainTime = 75 * time.Second
	// settlePause is the time between looks at what is left.
	drainPollInterval = 50 * time.Millisecond
)

// requestDrain makes Run leave.
func (s *Server) requestDrain() { s.drainOnce.Do(func() { close(s.drainRequested) }) }

// drain ends this VM's work without interrupting a request: it turns new ones
// away, waits for those under way, and hands its racks over.
func (s *Server) drain(ctx context.Context) {
	log := s.logs.Part("drain")
	log.Info("begins", "open", s.gate.Open())
	s.draining.Store(true)
	s.ready.Store(false)
	leaving, cancel := context.WithTimeout(ctx, DrainTime)
	defer cancel()
	s.runOnControlAndWait(leaving, func() { s.members.SetDraining() })
	s.leader.resign(leaving)
	sleep(leaving, drainNoticePeriod)
	s.holder.Stop()
	_ = s.callers.http.Shutdown(leaving)
	for leaving.Err() == nil && len(s.holder.Held(s.clock.Now())) > 0 {
		sleep(leaving, drainPollInterval)
	}
	s.claimCalls.Wait()
	_ = s.operators.http.Shutdown(leaving)
	log.Info("ends", "held", len(s.holder.Held(s.clock.Now())), "open", s.gate.Open())
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
