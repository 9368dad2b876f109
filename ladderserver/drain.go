package ladderserver

import (
	"context"
	"time"
)

const (
	// drainNoticePeriod is how long the VM goes on serving after it has announced
	// its drain, so that the load balancer and the peers notice.
	drainNoticePeriod = time.Second
	// DrainTimeout bounds a whole drain.
	DrainTimeout = 75 * time.Second
	// drainPollInterval is the time between checks whether this VM still holds
	// racks.
	drainPollInterval = 50 * time.Millisecond
)

// requestDrain makes [Server.Run] drain the VM and return.
func (s *Server) requestDrain() { s.drainOnce.Do(func() { close(s.drainRequested) }) }

// drain ends this VM's work without interrupting a request. It resigns as the
// queue's leader, stops accepting requests, waits for the open ones, and waits
// until the control loop has handed over or released all racks.
func (s *Server) drain(ctx context.Context) {
	log := s.logs.Component("drain")
	log.Info("drain started", "open", s.gate.OpenRequests())
	s.draining.Store(true)
	s.ready.Store(false)
	drainCtx, cancel := context.WithTimeout(ctx, DrainTimeout)
	defer cancel()
	s.runOnControlAndWait(drainCtx, func() { s.members.SetDraining() })
	s.leader.resign(drainCtx)
	sleep(drainCtx, drainNoticePeriod)
	s.holder.RefuseNewWork()
	_ = s.callers.http.Shutdown(drainCtx)
	for drainCtx.Err() == nil && len(s.holder.HeldRacks(s.clock.Now())) > 0 {
		sleep(drainCtx, drainPollInterval)
	}
	s.claimCalls.Wait()
	_ = s.operators.http.Shutdown(drainCtx)
	log.Info("drain finished", "racks", len(s.holder.HeldRacks(s.clock.Now())), "open", s.gate.OpenRequests())
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
