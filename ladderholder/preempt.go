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
}

// Victims delivers the tasks that have to be checkpointed and stopped. Whoever
// carries that out calls [Holder.Stopped].
func (h *Holder) Victims() <-chan Victim { return h.victims }

// preempt picks batch tasks that make room for an urgent ask, on the worker that
// has to give up the fewest. It reports whether room will come free.
func (h *Holder) preempt(now time.Time, a Ask) bool {
	candidates, _ := h.candidates(now, a)
	var chosen []ladderledger.Item
	var from *laddermodel.Worker
	for _, c := range candidates {
		items := h.yielding(c.Worker.Name, c.Free, a.Size)
		if len(items) > 0 && (from == nil || len(items) < len(chosen)) {
			chosen, from = items, c.Worker
		}
	}
	if from == nil {
		return false
	}
	grant, ok := h.claims.Grant(now, from.Name)
	if !ok {
		return false
	}
	for _, it := range chosen {
		select {
		case h.victims <- Victim{Worker: *from, Grant: grant, Task: it.Task}:
			h.preempted[it.Task] = true
			h.log.Info("batch task makes room", "task", it.Task, "worker", from.Name, "for", a.Task)
		default:
			return false
		}
	}
	return true
}

// yielding returns the fewest batch tasks on a worker whose room, with what is
// free, is enough. Tasks that are being stopped already are not counted again.
func (h *Holder) yielding(worker string, free, need laddermodel.Size) []ladderledger.Item {
	var batch []ladderledger.Item
	for _, it := range h.ledger.Items(worker) {
		if it.Kind == laddermodel.Batch && !h.preempted[it.Task] {
			batch = append(batch, it)
		}
	}
	sort.SliceStable(batch, func(i, j int) bool { return batch[i].Size.Slots > batch[j].Size.Slots })
	for i, it := range batch {
		free = free.Add(it.Size)
		if need.Fits(free) {
			return batch[:i+1]
		}
	}
	return nil
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
