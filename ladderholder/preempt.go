package ladderholder

import (
	"sort"
	"time"

	"lacewingladder/ladderattempt"
	"lacewingladder/ladderledger"
	"lacewingladder/laddermodel"
)

// maxVictims bounds the preemptions that wait to be carried out.
const maxVictims = 1024

// Victim is a task of a job that has to make room for urgent work.
type Victim struct {
	Worker laddermodel.Worker
	Grant  laddermodel.Grant
	Task   string
	// Millicores is what the task is to be throttled to. Zero means that it is to
	// be checkpointed and stopped.
	Millicores int
}

// throttlePart is the part of its processor time that a throttled task keeps, as
// a divisor.
const throttlePart = 2

// Victims delivers the tasks that have to make room. Whoever carries that out
// calls [Holder.Throttled] or [Holder.Stopped].
func (h *Holder) Victims() <-chan Victim { return h.victims }

// preempt picks batch tasks that make room for an urgent ask: by throttling where
// only processor time is short, and else by stopping the fewest on one worker. It
// reports whether room will come free.
func (h *Holder) preempt(now time.Time, a Ask) bool {
	candidates, _ := h.candidates(now, a)
	for _, c := range candidates {
		if items := h.throttling(c.Worker.Name, c.Free, a.Size); len(items) > 0 {
			return h.order(now, a, c.Worker, items, true)
		}
	}
	var chosen []ladderledger.Item
	var from *laddermodel.Worker
	for _, c := range candidates {
		items := h.yielding(c.Worker.Name, c.Free, a.Size)
		if len(items) > 0 && (from == nil || len(items) < len(chosen)) {
			chosen, from = items, c.Worker
		}
	}
	return from != nil && h.order(now, a, from, chosen, false)
}

// order hands victims over to whoever carries preemption out.
func (h *Holder) order(now time.Time, a Ask, w *laddermodel.Worker, items []ladderledger.Item, throttle bool) bool {
	grant, ok := h.claims.Grant(now, w.Name)
	if !ok {
		return false
	}
	for _, it := range items {
		v := Victim{Worker: *w, Grant: grant, Task: it.Task}
		if throttle {
			v.Millicores = it.Size.Millicores / throttlePart
		}
		select {
		case h.victims <- v:
			h.preempted[it.Task] = true
			h.log.Info("batch task makes room", "task", it.Task, "worker", w.Name, "for", a.Task, "throttle", throttle)
		default:
			return false
		}
	}
	return true
}

// throttling returns batch tasks on a worker that free enough processor time when
// they are throttled, if nothing else is short.
func (h *Holder) throttling(worker string, free, need laddermodel.Size) []ladderledger.Item {
	short := need.Millicores - free.Millicores
	rest := need
	rest.Millicores = 0
	free.Millicores = max(0, free.Millicores)
	if short <= 0 || !rest.Fits(free) {
		return nil
	}
	batch := h.batchOn(worker)
	for i, it := range batch {
		short -= it.Size.Millicores - it.Size.Millicores/throttlePart
		if short <= 0 {
			return batch[:i+1]
		}
	}
	return nil
}

// batchOn returns the batch tasks on a worker that make no room yet, the largest
// first.
func (h *Holder) batchOn(worker string) []ladderledger.Item {
	var batch []ladderledger.Item
	for _, it := range h.ledger.Items(worker) {
		if it.Kind == laddermodel.Batch && !h.preempted[it.Task] {
			batch = append(batch, it)
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

// yielding returns the fewest batch tasks on a worker whose room, with what is
// free, is enough. Tasks that are being stopped already are not counted again.
func (h *Holder) yielding(worker string, free, need laddermodel.Size) []ladderledger.Item {
	batch := h.batchOn(worker)
	for i, it := range batch {
		free = free.Add(it.Size)
		if need.Fits(free) {
			return batch[:i+1]
		}
	}
	return nil
}

// Throttled records whether a victim was throttled. The processor time that it
// gave up comes free when it was; it stays throttled until its end.
func (h *Holder) Throttled(now time.Time, v Victim, done bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.preempted, v.Task)
	if done && h.ledger.Shrink(v.Worker.Name, v.Task, v.Millicores) {
		h.line.Serve(now)
	}
}

// Stopped records what a victim's worker said of it. Its room comes back when it
// does not run any more. A victim that had ended by itself is left to the worker's
// report, which says how.
func (h *Holder) Stopped(now time.Time, v Victim, s ladderattempt.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.preempted, v.Task)
	if s == ladderattempt.Unreachable || s == ladderattempt.Ended || !h.ledger.Release(v.Worker.Name, v.Task) {
		return
	}
	h.note(Finished{Task: v.Task, Worker: v.Worker.Name, Known: true, Stopped: true})
	h.line.Serve(now)
}
