package ladderadmission

import (
	"container/heap"
	"time"
)

const (
	// smoothingFactor is the weight of the newest sample in a moving average.
	smoothingFactor = 0.1
	// maxWaiting bounds the number of tickets in a line.
	maxWaiting = 4096
	// initialGap is assumed between departures before any was measured.
	initialGap = 20 * time.Millisecond
)

// QueuedTask is an urgent task's place in a line.
type QueuedTask struct {
	// Task identifies the waiting task.
	Task string
	// LatestStart is the last moment at which a start still makes sense.
	LatestStart time.Time
	// TryReserve is called once when room for the ticket came back.
	TryReserve func(now time.Time) bool

	heapIndex int
	removed   bool
}

// WaitQueue orders waiting tickets by their latest start. Its zero value is empty.
type WaitQueue struct {
	tasks         taskHeap
	lastDeparture time.Time
	meanGap       float64 // seconds between departures, as a moving average
}

// Len returns the number of waiting tickets.
func (l *WaitQueue) Len() int { return len(l.tasks) }

// PredictedWait predicts how long a ticket that joined now would wait.
func (l *WaitQueue) PredictedWait() time.Duration {
	gap := l.meanGap
	if gap == 0 {
		gap = initialGap.Seconds()
	}
	return time.Duration(float64(len(l.tasks)+1) * gap * float64(time.Second))
}

// Admit adds a ticket when the predicted wait ends before its latest start.
// Otherwise it returns the time after which asking again makes sense.
func (l *WaitQueue) Admit(now time.Time, t *QueuedTask) (time.Duration, bool) {
	wait := l.PredictedWait()
	if len(l.tasks) >= maxWaiting || now.Add(wait).After(t.LatestStart) {
		return wait, false
	}
	l.Join(t)
	return wait, true
}

// Join adds a ticket whatever the predicted wait, for room that is known to come.
func (l *WaitQueue) Join(t *QueuedTask) { heap.Push(&l.tasks, t) }

// RecordDeparture records that a task ended and room came back.
func (l *WaitQueue) RecordDeparture(now time.Time) {
	if !l.lastDeparture.IsZero() {
		sample := now.Sub(l.lastDeparture).Seconds()
		if l.meanGap == 0 {
			l.meanGap = sample
		}
		l.meanGap += smoothingFactor * (sample - l.meanGap)
	}
	l.lastDeparture = now
}

// Serve offers the room that came back to the waiting tickets, the most pressing
// first, until one can not use it. Tickets past their latest start are dropped.
func (l *WaitQueue) Serve(now time.Time) {
	for len(l.tasks) > 0 {
		t := l.tasks[0]
		if !now.After(t.LatestStart) && !t.TryReserve(now) {
			return
		}
		l.Leave(t)
	}
}

// Leave takes a ticket out of the line. It is harmless when it has left already.
func (l *WaitQueue) Leave(t *QueuedTask) {
	if t.removed || t.heapIndex >= len(l.tasks) || l.tasks[t.heapIndex] != t {
		return
	}
	heap.Remove(&l.tasks, t.heapIndex)
	t.removed = true
}

// taskHeap is a heap by latest start.
type taskHeap []*QueuedTask

func (t taskHeap) Len() int           { return len(t) }
func (t taskHeap) Less(i, j int) bool { return t[i].LatestStart.Before(t[j].LatestStart) }
func (t taskHeap) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].heapIndex, t[j].heapIndex = i, j
}

// Push implements [heap.Interface].
func (t *taskHeap) Push(x any) {
	ticket := x.(*QueuedTask)
	ticket.heapIndex = len(*t)
	*t = append(*t, ticket)
}

// Pop implements [heap.Interface].
func (t *taskHeap) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}
