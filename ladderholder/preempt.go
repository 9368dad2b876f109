package ladderholder

import (
	"sort"
	"time"

	"lacewingladder/ladderattempt"
	"lacewingladder/ladderledger"
	"lacewingladder/laddermodel"
)

// maxQueuedVictims bounds the number of preemptions that are decided but not yet
// carried out.
const maxQueuedVictims = 1024

// Victim is a batch task that is preempted to free capacity for an urgent task.
type Victim struct {
	Worker laddermodel.Worker
	Grant  laddermodel.Grant
	Task   string
	// Millicores is the processor time to which the task is throttled. If zero,
	// the task is checkpointed and stopped instead.
	Millicores int
}

// throttleDivisor is the divisor that throttling applies to a task's processor
// time.
const throttleDivisor = 2

// Victims returns the channel that delivers the tasks to preempt. Its receiver
// preempts each task and then calls [Holder.VictimThrottled] or
// [Holder.VictimStopped].
func (h *Holder) Victims() <-chan Victim { return h.victims }

// preempt selects batch tasks to preempt for an urgent task. If a worker lacks
// only processor time, it throttles tasks there. Otherwise it stops tasks on the
// worker where the fewest have to stop. It reports whether it found enough tasks
// and queued them.
func (h *Holder) preempt(now time.Time, request CapacityRequest) bool {
	candidates, _ := h.candidates(now, request)
	for _, c := range candidates {
		if items := h.victimsToThrottle(c.Worker.Name, c.Free, request.Size); len(items) > 0 {
			return h.queueVictims(now, request, c.Worker, items, true)
		}
	}
	var chosen []ladderledger.Item
	var from *laddermodel.Worker
	for _, c := range candidates {
		items := h.victimsToStop(c.Worker.Name, c.Free, request.Size)
		if len(items) > 0 && (from == nil || len(items) < len(chosen)) {
			chosen, from = items, c.Worker
		}
	}
	return from != nil && h.queueVictims(now, request, from, chosen, false)
}

// queueVictims queues tasks of one worker for preemption, to be throttled or
// stopped. It returns false if the worker's claim is not valid or the queue is
// full; some of the tasks may have been queued then.
func (h *Holder) queueVictims(
	now time.Time, request CapacityRequest, w *laddermodel.Worker, items []ladderledger.Item, throttle bool,
) bool {
	grant, ok := h.claims.Grant(now, w.Name)
	if !ok {
		return false
	}
	for _, item := range items {
		v := Victim{Worker: *w, Grant: grant, Task: item.Task}
		if throttle {
			v.Millicores = item.Size.Millicores / throttleDivisor
		}
		select {
		case h.victims <- v:
			h.preempting[item.Task] = true
			h.log.Info("preempting batch task", "task", item.Task, "worker", w.Name,
				"urgent_task", request.Task, "throttle", throttle)
		default:
			return false
		}
	}
	return true
}

// victimsToThrottle returns the batch tasks on a worker that free enough
// processor time when they are throttled. It returns none if the worker has
// enough processor time, or too little of another resource.
func (h *Holder) victimsToThrottle(worker string, free, need laddermodel.Size) []ladderledger.Item {
	missing := need.Millicores - free.Millicores
	otherNeeds := need
	otherNeeds.Millicores = 0
	free.Millicores = max(0, free.Millicores)
	if missing <= 0 || !otherNeeds.Fits(free) {
		return nil
	}
	batch := h.preemptibleOn(worker)
	for i, item := range batch {
		missing -= item.Size.Millicores - item.Size.Millicores/throttleDivisor
		if missing <= 0 {
			return batch[:i+1]
		}
	}
	return nil
}

// preemptibleOn returns the batch tasks on a worker that are not being
// preempted, largest first.
func (h *Holder) preemptibleOn(worker string) []ladderledger.Item {
	var batch []ladderledger.Item
	for _, item := range h.ledger.Items(worker) {
		if item.Kind == laddermodel.Batch && !h.preempting[item.Task] {
			batch = append(batch, item)
		}
	}
	sort.SliceStable(batch, func(i, j int) bool {
		if batch[i].Size.Slots != batch[j].Size.Slots {
			return batch[i].Size.Slots > batch[j].Size.Slots
		}
		return batch[i].Size.Millicores > batch[j].Size.Millicores
	})
	return batch
}

// victimsToStop returns the batch tasks on a worker that free enough capacity
// when they are stopped. It selects the largest tasks first, so that few have to
// stop. Tasks that are already being preempted are not selected again.
func (h *Holder) victimsToStop(worker string, free, need laddermodel.Size) []ladderledger.Item {
	batch := h.preemptibleOn(worker)
	for i, item := range batch {
		free = free.Add(item.Size)
		if need.Fits(free) {
			return batch[:i+1]
		}
	}
	return nil
}

// VictimThrottled records whether a victim was throttled. If done is true, the
// processor time that it lost is free, and it remains throttled until its end.
func (h *Holder) VictimThrottled(now time.Time, v Victim, done bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.preempting, v.Task)
	if done && h.ledger.Shrink(v.Worker.Name, v.Task, v.Millicores) {
		h.waitQueue.Serve(now)
	}
}

// VictimStopped records the state that a worker reported for a victim. The
// victim's capacity is released unless it may still run. If the victim had
// already ended by itself, the worker's next report says how it ended, and its
// capacity is released then.
func (h *Holder) VictimStopped(now time.Time, v Victim, s ladderattempt.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.preempting, v.Task)
	if s == ladderattempt.Unreachable || s == ladderattempt.Ended || !h.ledger.Release(v.Worker.Name, v.Task) {
		return
	}
	h.addFinished(FinishedTask{Task: v.Task, Worker: v.Worker.Name, EndReported: true, Stopped: true})
	h.waitQueue.Serve(now)
}
