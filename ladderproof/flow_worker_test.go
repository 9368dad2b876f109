package ladderproof

import (
	"fmt"
	"time"

	"lacewingladder/ladderflow"
)

// flowWorker is a worker of the members' platform as its pages describe it: it runs
// what it is told to under the highest fence that it has seen, until its lease ends.
type flowWorker struct {
	id       string
	capacity ladderflow.Size
	born     int64
	began    time.Time
	fence    int64
	until    time.Duration
	running  map[ladderflow.Run]ladderflow.Size
	ended    []ladderflow.EndedRun
	number   int64
	barred   map[ladderflow.Task]int
}

func newFlowWorker(id string, now time.Time) *flowWorker {
	w := &flowWorker{id: id, capacity: ladderflow.Size{Processor: 4000, Memory: 4000}}
	w.reborn(now)
	return w
}

// reborn begins a life that knows nothing of the one before.
func (w *flowWorker) reborn(now time.Time) {
	w.born++
	w.began, w.fence, w.until, w.ended, w.number = now, 0, 0, nil, 0
	w.running, w.barred = map[ladderflow.Run]ladderflow.Size{}, map[ladderflow.Task]int{}
}

// clock is the worker's own steady clock, which is one in a hundred slow.
func (w *flowWorker) clock(now time.Time) time.Duration { return now.Sub(w.began) * 99 / 100 }

func (w *flowWorker) end(r ladderflow.Run, how ladderflow.How) {
	if _, ok := w.running[r]; !ok {
		return
	}
	delete(w.running, r)
	w.number++
	w.barred[r.Task] = max(w.barred[r.Task], r.Number)
	w.ended = append(w.ended, ladderflow.EndedRun{Number: w.number, Run: r, How: how})
}

func (w *flowWorker) lapse(now time.Time) {
	if w.clock(now) <= w.until {
		return
	}
	for r := range w.running {
		w.end(r, ladderflow.EndLapsed)
	}
}

// obeys takes in a fence. It is false when the worker has seen a higher one.
func (w *flowWorker) obeys(now time.Time, fence int64) bool {
	w.lapse(now)
	if fence < w.fence {
		return false
	}
	w.fence = fence
	return true
}

// start carries a start out, and reports what began and why nothing did.
func (w *flowWorker) start(now time.Time, fence int64, r ladderflow.Run, size ladderflow.Size, until time.Duration) (bool, ladderflow.Refusal) {
	if !w.obeys(now, fence) {
		return false, ladderflow.RefusedFence
	}
	w.until = max(w.until, min(until, w.clock(now)+flowLongest))
	if _, ok := w.running[r]; ok {
		return false, ladderflow.NotRefused
	}
	switch {
	case r.Number <= w.barred[r.Task]:
		return false, ladderflow.RefusedOld
	case until <= w.clock(now):
		return false, ladderflow.RefusedLate
	}
	w.running[r] = size
	return true, ladderflow.NotRefused
}

func (w *flowWorker) stop(now time.Time, fence int64, r ladderflow.Run) ladderflow.Refusal {
	if !w.obeys(now, fence) {
		return ladderflow.RefusedFence
	}
	w.barred[r.Task] = max(w.barred[r.Task], r.Number)
	w.end(r, ladderflow.EndStopped)
	return ladderflow.NotRefused
}

// look returns the worker's account. It is false when the fence is too low.
func (w *flowWorker) look(now time.Time, fence, noted int64, until time.Duration) (ladderflow.Look, bool) {
	if !w.obeys(now, fence) {
		return ladderflow.Look{}, false
	}
	w.until = max(w.until, min(until, w.clock(now)+flowLongest))
	for len(w.ended) > 0 && w.ended[0].Number <= noted {
		w.ended = w.ended[1:]
	}
	l := ladderflow.Look{Born: w.born, Clock: w.clock(now), Ended: append([]ladderflow.EndedRun(nil), w.ended...)}
	for r := range w.running {
		l.Running = append(l.Running, ladderflow.LiveRun{Run: r, Percent: 50})
	}
	return l, true
}

// room returns an error when more runs than the worker holds.
func (w *flowWorker) room() error {
	var used ladderflow.Size
	for _, s := range w.running {
		used = used.Plus(s)
	}
	if !used.Fits(w.capacity) {
		return fmt.Errorf("worker %s holds %v and runs %v", w.id, w.capacity, used)
	}
	return nil
}
