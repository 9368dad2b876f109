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
	case laddermessage.Beat:
		return s.handleHeartbeat(ctx, m)
	case laddermessage.Reserve:
		return s.handleReserve(ctx, m.Ask)
	case laddermessage.Release:
		for _, e := range m.Ends {
			s.holder.Release(now, e)
		}
		return laddermessage.Done{}, nil
	case laddermessage.Forward:
		if s.config.current() == nil {
			return nil, errors.New("no configuration yet")
		}
		return laddermessage.Answered{Answer: s.dispatch.Accept(ctx, m.Request)}, nil
	case laddermessage.Fetch:
		return s.handleFetch(ctx)
	case laddermessage.Push:
		s.config.adoptAndPush(ctx, m.Version)
		return laddermessage.Done{}, nil
	case laddermessage.Move:
		s.dispatch.Import(m.Records)
		s.holder.Take(now, m.Handover)
		return laddermessage.Done{}, nil
	case laddermessage.Ends:
		return s.handleEnds(m), nil
	case laddermessage.Running:
		// No task has ended after this sequence number, so Finished returns only
		// the names of the held workers.
		_, held := s.holder.Finished(now, ^uint64(0)-1)
		return laddermessage.Runs{Incarnation: s.incarnation, Workers: s.holder.Running(now), Held: held}, nil
	case laddermessage.Notice:
		s.leader.wakeUp()
		return laddermessage.Done{}, nil
	case laddermessage.Look:
		return s.leader.jobStatus(m.Job), nil
	}
	return nil, fmt.Errorf("a %T is no question", m)
}

// handleHeartbeat records a peer's heartbeat and replies with this VM's own.
func (s *Server) handleHeartbeat(ctx context.Context, b laddermessage.Beat) (laddermessage.Message, error) {
	var own laddermessage.Beat
	s.runOnControlAndWait(ctx, func() {
		s.receiveHeartbeat(context.WithoutCancel(ctx), b)
		own = s.ownHeartbeat(s.clock.Now())
	})
	return own, ctx.Err()
}

// handleReserve reserves capacity for a peer. If none is free, it waits for as long
// as the peer's request allows.
func (s *Server) handleReserve(ctx context.Context, a ladderholder.Ask) (laddermessage.Message, error) {
	reservation, waiter, err := s.holder.Await(s.clock.Now(), a)
	if err == nil && waiter == nil {
		return laddermessage.Room{Reservation: reservation}, nil
	}
	if waiter == nil {
		return fullReply(err), nil
	}
	waitCtx, cancel := context.WithTimeout(ctx, a.Patience)
	defer cancel()
	select {
	case reservation = <-waiter.Room:
	case <-waitCtx.Done():
		granted, ok := s.holder.Leave(waiter)
		if !ok {
			return laddermessage.Full{Reason: "no room came free in time", RetryAfter: a.Patience}, nil
		}
		reservation = granted
	}
	if ctx.Err() != nil {
		s.holder.Release(s.clock.Now(), unusedReservation(reservation))
		return nil, ctx.Err()
	}
	return laddermessage.Room{Reservation: reservation}, nil
}

// unusedReservation returns the end that releases a reservation that nobody will
// use.
func unusedReservation(r laddermodel.Reservation) ladderholder.End {
	return ladderholder.End{Worker: r.Worker.Name, Task: r.Task}
}

// fullReply converts a failed reservation to a reply.
func fullReply(err error) laddermessage.Full {
	var n *ladderholder.NoRoom
	if errors.As(err, &n) {
		return laddermessage.Full{Reason: n.Reason, RetryAfter: n.RetryAfter}
	}
	return laddermessage.Full{Reason: err.Error()}
}

// handleFetch replies with the configuration and the list of VMs.
func (s *Server) handleFetch(ctx context.Context) (laddermessage.Message, error) {
	v, ok := s.config.version()
	if !ok {
		return nil, errors.New("no configuration yet")
	}
	push := laddermessage.Push{Version: v}
	s.runOnControlAndWait(ctx, func() { push.Listing = s.listing.Clone() })
	return push, ctx.Err()
}

// handleEnds replies with the ends of tasks after the sequence number in the query.
// A number from another incarnation means nothing here, so all ends are sent then.
func (s *Server) handleEnds(m laddermessage.Ends) laddermessage.Ended {
	after := m.After
	if m.Incarnation != s.incarnation {
		after = 0
	}
	ends, held := s.holder.Finished(s.clock.Now(), after)
	return laddermessage.Ended{Incarnation: s.incarnation, Ends: ends, Held: held}
}
