package ladderadmission

import (
	"container/heap"
	"time"
)

const (
	// smoothingFactor is the weight of the newest sample in a moving average.
	smoothingFactor = 0.1
	// maxQueuedTasks bounds the length of a wait queue.
	maxQueuedTasks = 4096
	// initialGap is the assumed time between departures until one was measured.
	initialGap = 20 * time.Millisecond
)

// QueuedTask is an urgent task's entry in a [WaitQueue].
type QueuedTask struct {
	// Task identifies the waiting task.
	Task string
	// LatestStart is the last time at which the task may start and still meet its
	// deadline.
	LatestStart time.Time
	// TryReserve tries to reserve capacity for the task and reports whether it
	// succeeded. It is called whenever capacity may have become free, until it
	// succeeds or the task is removed.
	TryReserve func(now time.Time) bool

	heapIndex int // position in the heap
	removed   bool
}

// WaitQueue holds waiting tasks, ordered by their latest start. The zero value
// is an empty queue.
type WaitQueue struct {
	tasks         taskHeap
	lastDeparture time.Time
	meanGap       float64 // seconds between departures, as a moving average
}

// Len returns the number of waiting tasks.
func (q *WaitQueue) Len() int { return len(q.tasks) }

// PredictedWait returns how long a task that joined the queue now would wait,
// given the mean time between departures.
func (q *WaitQueue) PredictedWait() time.Duration {
	gap := q.meanGap
	if gap == 0 {
		gap = initialGap.Seconds()
	}
	return time.Duration(float64(len(q.tasks)+1) * gap * float64(time.Second))
}

// Admit adds a task if its predicted wait ends before its latest start, and
// returns that wait. Otherwise it returns false and the time after which a retry
// may succeed.
func (q *WaitQueue) Admit(now time.Time, t *QueuedTask) (time.Duration, bool) {
	wait := q.PredictedWait()
	if len(q.tasks) >= maxQueuedTasks || now.Add(wait).After(t.LatestStart) {
		return wait, false
	}
	q.Join(t)
	return wait, true
}

// Join adds a task regardless of the predicted wait. It is meant for tasks for
// which other work was preempted, so that capacity will become free.
func (q *WaitQueue) Join(t *QueuedTask) { heap.Push(&q.tasks, t) }

// RecordDeparture records that a task ended and freed its capacity.
func (q *WaitQueue) RecordDeparture(now time.Time) {
	if !q.lastDeparture.IsZero() {
		sample := now.Sub(q.lastDeparture).Seconds()
		if q.meanGap == 0 {
			q.meanGap = sample
		}
		q.meanGap += smoothingFactor * (sample - q.meanGap)
	}
	q.lastDeparture = now
}

// Serve lets the waiting tasks reserve free capacity in the order of their
// latest start. It stops at the first task that cannot reserve any, and drops
// tasks whose latest start has passed.
func (q *WaitQueue) Serve(now time.Time) {
	for len(q.tasks) > 0 {
		t := q.tasks[0]
		if !now.After(t.LatestStart) && !t.TryReserve(now) {
			return
		}
		q.Leave(t)
	}
}

// Leave removes a task from the queue. It does nothing if the task is no longer
// in the queue.
func (q *WaitQueue) Leave(t *QueuedTask) {
	if t.removed || t.heapIndex >= len(q.tasks) || q.tasks[t.heapIndex] != t {
		return
	}
	heap.Remove(&q.tasks, t.heapIndex)
	t.removed = true
}

// taskHeap is a heap of tasks, ordered by latest start.
type taskHeap []*QueuedTask

func (t taskHeap) Len() int           { return len(t) }
func (t taskHeap) Less(i, j int) bool { return t[i].LatestStart.Before(t[j].LatestStart) }
func (t taskHeap) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].heapIndex, t[j].heapIndex = i, j
}

// Push implements [heap.Interface].
func (t *taskHeap) Push(x any) {
	task := x.(*QueuedTask)
	task.heapIndex = len(*t)
	*t = append(*t, task)
}

// Pop implements [heap.Interface].
func (t *taskHeap) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}
