package ladderproof

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"lacewingladder/ladderflow"
)

// flowWorker is a worker that follows the worker protocol of package platform. It accepts
// orders only under the highest fencing token that it has seen, and stops all runs when its
// lease ends.
type flowWorker struct {
	id string
	// capacities holds the capacity that the worker has had from each time on, the present one last.
	capacities []capacitySince
	// listed is the capacity that the platform's store lists, until listDue, when it becomes the
	// present one. Zero means that it is the present one.
	listed  ladderflow.Size
	listDue time.Time
	// stopTime is how long a run takes to stop, and stopping holds when runs have stopped.
	stopTime    time.Duration
	stopping    map[ladderflow.Run]time.Time
	incarnation int64
	startedAt   time.Time
	// fence is the highest fencing token that this incarnation has seen.
	fence int64
	// leaseEnd is the end of the lease on the worker's own clock.
	leaseEnd time.Duration
	running  map[ladderflow.Run]ladderflow.Size
	// beganAt holds when the runs under way began.
	beganAt map[ladderflow.Run]time.Time
	// ended lists the ends that were not acknowledged yet, and lastEnd is the sequence number
	// of the newest end.
	ended   []ladderflow.EndedRun
	lastEnd int64
	// closedUpTo holds the highest run number of each task that may not start any more.
	closedUpTo map[ladderflow.Task]int
}

// capacitySince is the capacity of a worker from a time on.
type capacitySince struct {
	since time.Time
	size  ladderflow.Size
}

func newFlowWorker(id string, now time.Time, stopTime time.Duration) *flowWorker {
	w := &flowWorker{id: id, listed: ladderflow.Size{Processor: 4000, Memory: 4000}, stopTime: stopTime}
	w.capacities = []capacitySince{{now, w.listed}}
	w.restart(now)
	return w
}

// restart begins a new incarnation without any state of the previous one.
func (w *flowWorker) restart(now time.Time) {
	w.incarnation++
	w.startedAt, w.fence, w.leaseEnd, w.ended, w.lastEnd = now, 0, 0, nil, 0
	w.running, w.closedUpTo = map[ladderflow.Run]ladderflow.Size{}, map[ladderflow.Task]int{}
	w.beganAt, w.stopping = map[ladderflow.Run]time.Time{}, map[ladderflow.Run]time.Time{}
}

// runs returns the runs under way in a fixed order, so that a seed always plays the same.
func (w *flowWorker) runs() []ladderflow.Run {
	return slices.SortedFunc(maps.Keys(w.running), func(a, b ladderflow.Run) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Number, b.Number))
	})
}

// clock returns the worker's monotonic clock, which runs 1 % slow.
func (w *flowWorker) clock(now time.Time) time.Duration { return now.Sub(w.startedAt) * 99 / 100 }

// end ends a run, if it is running, and lists the end until the leader acknowledges it.
func (w *flowWorker) end(r ladderflow.Run, reason ladderflow.EndReason) {
	if _, ok := w.running[r]; !ok {
		return
	}
	delete(w.running, r)
	delete(w.beganAt, r)
	delete(w.stopping, r)
	w.lastEnd++
	w.closedUpTo[r.Task] = max(w.closedUpTo[r.Task], r.Number)
	w.ended = append(w.ended, ladderflow.EndedRun{Sequence: w.lastEnd, Run: r, Reason: reason})
}

// expireLease ends the runs that have stopped, and all others if the worker's lease has expired.
func (w *flowWorker) expireLease(now time.Time) {
	for _, r := range w.runs() {
		if at, ok := w.stopping[r]; ok && !now.Before(at) {
			w.end(r, ladderflow.EndStopped)
		}
	}
	if w.clock(now) <= w.leaseEnd {
		return
	}
	for _, r := range w.runs() {
		w.end(r, ladderflow.EndLeaseExpired)
	}
}

// acceptsFence reports whether the worker has seen no fencing token higher than fence. If so,
// it records fence.
func (w *flowWorker) acceptsFence(now time.Time, fence int64) bool {
	w.expireLease(now)
	if fence < w.fence {
		return false
	}
	w.fence = fence
	return true
}

// start starts a run and extends the lease. It reports whether the run began, and the
// reason if the worker refused it. A run that is running already is not refused.
func (w *flowWorker) start(now time.Time, fence int64, r ladderflow.Run, size ladderflow.Size, until time.Duration) (bool, ladderflow.Refusal) {
	if !w.acceptsFence(now, fence) {
		return false, ladderflow.RefusedFenced
	}
	w.leaseEnd = max(w.leaseEnd, min(until, w.clock(now)+flowMaxWorkerLease))
	if _, ok := w.running[r]; ok {
		return false, ladderflow.NotRefused
	}
	switch {
	case r.Number <= w.closedUpTo[r.Task]:
		return false, ladderflow.RefusedOldRun
	case until <= w.clock(now):
		return false, ladderflow.RefusedExpired
	}
	w.running[r], w.beganAt[r] = size, now
	return true, ladderflow.NotRefused
}

// stop ends a run after stopTime and refuses later starts of the same or an earlier run of the task.
func (w *flowWorker) stop(now time.Time, fence int64, r ladderflow.Run) ladderflow.Refusal {
	if !w.acceptsFence(now, fence) {
		return ladderflow.RefusedFenced
	}
	w.closedUpTo[r.Task] = max(w.closedUpTo[r.Task], r.Number)
	_, running := w.running[r]
	if _, ok := w.stopping[r]; running && !ok {
		w.stopping[r] = now.Add(w.stopTime)
		w.expireLease(now)
	}
	return ladderflow.NotRefused
}

// status answers a poll: it extends the lease and drops the ends up to acknowledged. It
// returns false if the fencing token is too low.
func (w *flowWorker) status(now time.Time, fence, acknowledged int64, until time.Duration) (ladderflow.StatusReport, bool) {
	if !w.acceptsFence(now, fence) {
		return ladderflow.StatusReport{}, false
	}
	w.leaseEnd = max(w.leaseEnd, min(until, w.clock(now)+flowMaxWorkerLease))
	for len(w.ended) > 0 && w.ended[0].Sequence <= acknowledged {
		w.ended = w.ended[1:]
	}
	report := ladderflow.StatusReport{Incarnation: w.incarnation, Clock: w.clock(now), Ended: append([]ladderflow.EndedRun(nil), w.ended...)}
	for _, r := range w.runs() {
		report.Running = append(report.Running, ladderflow.ActiveRun{Run: r, Percent: 50})
	}
	return report, true
}

// capacity returns the worker's capacity.
func (w *flowWorker) capacity() ladderflow.Size { return w.capacities[len(w.capacities)-1].size }

// resize changes the capacity. The store lists the present one after delay at the latest.
func (w *flowWorker) resize(now time.Time, size ladderflow.Size, delay time.Duration) {
	w.capacities = append(w.capacities, capacitySince{now, size})
	if due := now.Add(delay); w.listDue.IsZero() || due.Before(w.listDue) {
		w.listDue = due
	}
}

// list reports whether the store has come to list another capacity.
func (w *flowWorker) list(now time.Time) bool {
	if w.listDue.IsZero() || now.Before(w.listDue) {
		return false
	}
	w.listed, w.listDue = w.capacity(), time.Time{}
	return true
}

// checkCapacity returns an error if the runs exceed the worker's present capacity and each one that
// it has had since a time.
func (w *flowWorker) checkCapacity(since time.Time) error {
	var used ladderflow.Size
	for _, s := range w.running {
		used = used.Plus(s)
	}
	for i, c := range w.capacities {
		held := i == len(w.capacities)-1 || w.capacities[i+1].since.After(since)
		if held && used.Fits(c.size) {
			return nil
		}
	}
	return fmt.Errorf("worker %s has capacity %v and runs use %v", w.id, w.capacity(), used)
}

// worker draws a worker.
func (sim *flowSimulation) worker(t *rapid.T) *flowWorker {
	return rapid.SampledFrom(sim.workers).Draw(t, "worker")
}

// workerByID returns the worker with the given ID, or nil.
func (sim *flowSimulation) workerByID(id string) *flowWorker {
	for _, w := range sim.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}
