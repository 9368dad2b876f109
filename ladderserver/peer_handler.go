package ladderserver

import (
	"context"
	"errors"
	"fmt"

	"lacewingladder/ladderholder"
	"lacewingladder/laddermessage"
	"lacewingladder/laddermodel"
)

// Handle returns the reply to a peer's message. It implements ladderpeer.Handler.
func (s *Server) Handle(ctx context.Context, m laddermessage.Message) (laddermessage.Message, error) {
	now := s.clock.Now()
	switch m := m.(type) {
	case laddermessage.Heartbeat:
		return s.handleHeartbeat(ctx, m)
	case laddermessage.Reserve:
		return s.handleReserve(ctx, m.Request)
	case laddermessage.Release:
		for _, e := range m.Ends {
			s.holder.Release(now, e)
		}
		return laddermessage.Ack{}, nil
	case laddermessage.Forward:
		if s.config.current() == nil {
			return nil, errors.New("no configuration yet")
		}
		return laddermessage.ForwardReply{Answer: s.dispatch.DoForwarded(ctx, m.Request)}, nil
	case laddermessage.FetchConfig:
		return s.handleFetchConfig(ctx)
	case laddermessage.ConfigUpdate:
		s.config.adoptAndPush(ctx, m.Version)
		return laddermessage.Ack{}, nil
	case laddermessage.HandoverHome:
		s.dispatch.ImportKeys(m.Records)
		s.holder.AcceptHandover(now, m.Handover)
		return laddermessage.Ack{}, nil
	case laddermessage.EndedTasksQuery:
		return s.handleEndedTasks(m), nil
	case laddermessage.RunningTasksQuery:
		// No task has ended after this sequence number, so FinishedSince returns
		// only the names of the held workers.
		_, held := s.holder.FinishedSince(now, ^uint64(0)-1)
		return laddermessage.RunningTasks{Incarnation: s.incarnation, Workers: s.holder.RunningTasks(now), HeldWorkers: held}, nil
	case laddermessage.JobsChanged:
		s.leader.wakeUp()
		return laddermessage.Ack{}, nil
	case laddermessage.JobStatusQuery:
		return s.leader.jobStatus(m.Job), nil
	}
	return nil, fmt.Errorf("a %T is no question", m)
}

// handleHeartbeat records a peer's heartbeat and replies with this VM's own.
func (s *Server) handleHeartbeat(ctx context.Context, received laddermessage.Heartbeat) (laddermessage.Message, error) {
	var own laddermessage.Heartbeat
	s.runOnControlAndWait(ctx, func() {
		s.receiveHeartbeat(context.WithoutCancel(ctx), received)
		own = s.ownHeartbeat(s.clock.Now())
	})
	return own, ctx.Err()
}

// handleReserve reserves capacity for a peer. If none is free, it waits for as long
// as the peer's request allows.
func (s *Server) handleReserve(ctx context.Context, request ladderholder.CapacityRequest) (laddermessage.Message, error) {
	reservation, waiter, err := s.holder.ReserveOrWait(s.clock.Now(), request)
	if err == nil && waiter == nil {
		return laddermessage.Reserved{Reservation: reservation}, nil
	}
	if waiter == nil {
		return noCapacityReply(err), nil
	}
	waitCtx, cancel := context.WithTimeout(ctx, request.MaxWait)
	defer cancel()
	select {
	case reservation = <-waiter.Reservation:
	case <-waitCtx.Done():
		granted, ok := s.holder.CancelWait(waiter)
		if !ok {
			return laddermessage.NoCapacity{Reason: "no room came free in time", RetryAfter: request.MaxWait}, nil
		}
		reservation = granted
	}
	if ctx.Err() != nil {
		s.holder.Release(s.clock.Now(), unusedReservationEnd(reservation))
		return nil, ctx.Err()
	}
	return laddermessage.Reserved{Reservation: reservation}, nil
}

// unusedReservationEnd returns the task end that releases a reservation that will not
// be used.
func unusedReservationEnd(r laddermodel.Reservation) ladderholder.TaskEnd {
	return ladderholder.TaskEnd{Worker: r.Worker.Name, Task: r.Task}
}

// noCapacityReply converts the error of a reservation to a reply.
func noCapacityReply(err error) laddermessage.NoCapacity {
	var n *ladderholder.NoCapacityError
	if errors.As(err, &n) {
		return laddermessage.NoCapacity{Reason: n.Reason, RetryAfter: n.RetryAfter}
	}
	return laddermessage.NoCapacity{Reason: err.Error()}
}

// handleFetchConfig replies with the configuration and the list of VMs.
func (s *Server) handleFetchConfig(ctx context.Context) (laddermessage.Message, error) {
	v, ok := s.config.version()
	if !ok {
		return nil, errors.New("no configuration yet")
	}
	update := laddermessage.ConfigUpdate{Version: v}
	s.runOnControlAndWait(ctx, func() { update.Listing = s.listing.Clone() })
	return update, ctx.Err()
}

// handleEndedTasks replies with the ends of tasks after the sequence number in the
// query. A number from another incarnation means nothing here, so all ends are sent
// then.
func (s *Server) handleEndedTasks(m laddermessage.EndedTasksQuery) laddermessage.EndedTasks {
	after := m.After
	if m.Incarnation != s.incarnation {
		after = 0
	}
	ends, held := s.holder.FinishedSince(s.clock.Now(), after)
	return laddermessage.EndedTasks{Incarnation: s.incarnation, Ends: ends, HeldWorkers: held}
}
