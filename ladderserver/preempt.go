package ladderserver

import (
	"context"

	"lacewingladder/ladderholder"
)

// preemptLoop carries out what makes room for urgent work, until ctx ends.
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

// preempt throttles one task, or stops it after a checkpoint that may fail.
func (s *Server) preempt(ctx context.Context, v ladderholder.Victim) {
	stopping, cancel := context.WithTimeout(ctx, preemptTimeout)
	defer cancel()
	if v.Millicores > 0 {
		err := s.workers.Throttle(stopping, v.Worker, v.Task, v.Millicores)
		s.holder.Throttled(s.clock.Now(), v, err == nil)
		return
	}
	if err := s.workers.Checkpoint(stopping, v.Worker, v.Task); err != nil {
		s.logs.Part("preempt").Warn("no checkpoint", "task", v.Task, "err", err)
	}
	state, _ := s.workers.Revoke(stopping, v.Worker, v.Grant.Boot, v.Task)
	s.holder.Stopped(s.clock.Now(), v, state)
}
