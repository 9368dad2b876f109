package ladderserver

import (
	"context"

	"lacewingladder/ladderholder"
)

// preemptLoop preempts the tasks that the holder selects to free capacity for
// urgent work, until ctx ends.
func (s *Server) preemptLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-s.holder.Victims():
			s.background.Go(func() { s.preempt(ctx, v) })
		}
	}
}

// preempt throttles one task, or checkpoints and stops it. A failed checkpoint does
// not prevent the stop.
func (s *Server) preempt(ctx context.Context, v ladderholder.Victim) {
	callCtx, cancel := context.WithTimeout(ctx, preemptTimeout)
	defer cancel()
	if v.Millicores > 0 {
		err := s.workers.Throttle(callCtx, v.Worker, v.Task, v.Millicores)
		s.holder.VictimThrottled(s.clock.Now(), v, err == nil)
		return
	}
	if err := s.workers.Checkpoint(callCtx, v.Worker, v.Task); err != nil {
		s.logs.Component("preempt").Warn("checkpoint failed; stopping the task anyway", "task", v.Task, "err", err)
	}
	state, _ := s.workers.Revoke(callCtx, v.Worker, v.Grant.Boot, v.Task)
	s.holder.VictimStopped(s.clock.Now(), v, state)
}
