package ladderholder

import (
	"time"

	"lacewingladder/ladderadmission"
	"lacewingladder/laddermodel"
)

// Waiter is an urgent task that waits for room.
type Waiter struct {
	// Room delivers the reservation once.
	Room   <-chan laddermodel.Reservation
	ticket *ladderadmission.QueuedTask
}

// Await reserves room, or joins the line for it when the predicted wait is
// within the ask's patience. The waiter is nil when room was found at once.
func (h *Holder) Await(now time.Time, a Ask) (laddermodel.Reservation, *Waiter, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	room, err := h.reserve(now, a)
	if err == nil || a.Kind != laddermodel.Urgent || h.stopping {
		return room, nil, err
	}
	if _, held := h.candidates(now, a); held == 0 {
		return room, nil, err
	}
	delivered := make(chan laddermodel.Reservation, 1)
	t := &ladderadmission.QueuedTask{Task: a.Task, LatestStart: now.Add(a.Patience)}
	t.TryReserve = func(now time.Time) bool {
		room, err := h.reserve(now, a)
		if err == nil {
			delivered <- room
		}
		return err == nil
	}
	if a.Patience > 0 && h.preempt(now, a) {
		h.line.Join(t)
		return room, &Waiter{Room: delivered, ticket: t}, nil
	}
	wait, ok := h.line.Admit(now, t)
	if !ok {
		h.log.Info("turned away", "task", a.Task, "wait", wait, "patience", a.Patience, "line", h.line.Len())
		return room, nil, &NoRoom{Reason: "the predicted wait is longer than the deadline allows", RetryAfter: wait}
	}
	h.log.Info("waits for room", "task", a.Task, "wait", wait, "line", h.line.Len())
	return room, &Waiter{Room: delivered, ticket: t}, nil
}

// Leave takes a waiter out of the line. It returns the reservation that was
// delivered meanwhile, if any, which the caller then has to release or use.
func (h *Holder) Leave(w *Waiter) (laddermodel.Reservation, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.line.Leave(w.ticket)
	select {
	case room := <-w.Room:
		return room, true
	default:
		return laddermodel.Reservation{}, false
	}
}
