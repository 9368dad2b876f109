package ladderholder

import (
	"time"

	"lacewingladder/ladderadmission"
	"lacewingladder/laddermodel"
)

// Waiter is an urgent task that waits for capacity.
type Waiter struct {
	// Reservation delivers the reservation once it is made.
	Reservation <-chan laddermodel.Reservation
	task        *ladderadmission.QueuedTask
}

// ReserveOrWait reserves capacity, or adds an urgent task to the wait queue. A
// task may wait if its predicted wait is within the request's MaxWait, or if
// batch tasks are preempted for it. The waiter is nil if capacity was reserved
// at once, and if there is an error.
func (h *Holder) ReserveOrWait(now time.Time, request CapacityRequest) (laddermodel.Reservation, *Waiter, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	reservation, err := h.reserve(now, request)
	if err == nil || request.Kind != laddermodel.Urgent || h.stopping {
		return reservation, nil, err
	}
	if _, held := h.candidates(now, request); held == 0 {
		return reservation, nil, err
	}
	delivered := make(chan laddermodel.Reservation, 1)
	task := &ladderadmission.QueuedTask{Task: request.Task, LatestStart: now.Add(request.MaxWait)}
	task.TryReserve = func(now time.Time) bool {
		reservation, err := h.reserve(now, request)
		if err == nil {
			delivered <- reservation
		}
		return err == nil
	}
	if request.MaxWait > 0 && h.preempt(now, request) {
		h.waitQueue.Join(task)
		return reservation, &Waiter{Reservation: delivered, task: task}, nil
	}
	wait, ok := h.waitQueue.Admit(now, task)
	if !ok {
		h.log.Info("wait queue rejected urgent task", "task", request.Task,
			"predicted_wait", wait, "max_wait", request.MaxWait, "queue_length", h.waitQueue.Len())
		return reservation, nil, &NoCapacityError{Reason: "the predicted wait is longer than the deadline allows", RetryAfter: wait}
	}
	h.log.Info("urgent task waits for capacity", "task", request.Task,
		"predicted_wait", wait, "queue_length", h.waitQueue.Len())
	return reservation, &Waiter{Reservation: delivered, task: task}, nil
}

// CancelWait removes a waiter from the wait queue. If its reservation was already
// delivered, CancelWait returns it, and the caller must use or release it.
func (h *Holder) CancelWait(w *Waiter) (laddermodel.Reservation, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waitQueue.Leave(w.task)
	select {
	case reservation := <-w.Reservation:
		return reservation, true
	default:
		return laddermodel.Reservation{}, false
	}
}
