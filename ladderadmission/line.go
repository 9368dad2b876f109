package ladderadmission

import (
	"container/heap"
	"time"
)

const (
	// smoothing is the weight of the newest sample in a moving average.
	smoothing = 0.1
	// maxWaiting bounds the number of tickets in a line.
	maxWaiting = 4096
	// firstGap is assumed between departures before any was measured.
	firstGap = 20 * time.Millisecond
)

// Ticket is an urgent task's place in a line.
type Ticket struct {
	// Task identifies the waiting task.
	Task string
	// Latest is the last moment at which a start still makes sense.
	Latest time.Time
	// Serve is called once when room for the ticket came back.
	Serve func(now time.Time) bool

	index int
	gone  bool
}

// Line orders waiting tickets by their latest start. Its zero value is empty.
type Line struct {
	tickets tickets
	last    time.Time
	gap     float64 // seconds between departures, as a moving average
}

// Len returns the number of waiting tickets.
func (l *Line) Len() int { return len(l.tickets) }

// Wait predicts how long a ticket that joined now would wait.
func (l *Line) Wait() time.Duration {
	gap := l.gap
	if gap == 0 {
		gap = firstGap.Seconds()
	}
	return time.Duration(float64(len(l.tickets)+1) * gap * float64(time.Second))
}

// Offer adds a ticket when the predicted wait ends before its latest start.
// Otherwise it returns the time after which asking again makes sense.
func (l *Line) Offer(now time.Time, t *Ticket) (time.Duration, bool) {
	wait := l.Wait()
	if len(l.tickets) >= maxWaiting || now.Add(wait).After(t.Latest) {
		return wait, false
	}
	l.Join(t)
	return wait, true
}

// Join adds a ticket whatever the predicted wait, for room that is known to come.
func (l *Line) Join(t *Ticket) { heap.Push(&l.tickets, t) }

// Departed records that a task ended and room came back.
func (l *Line) Departed(now time.Time) {
	if !l.last.IsZero() {
		sample := now.Sub(l.last).Seconds()
		if l.gap == 0 {
			l.gap = sample
		}
		l.gap += smoothing * (sample - l.gap)
	}
	l.last = now
}

// Serve offers the room that came back to the waiting tickets, the most pressing
// first, until one can not use it. Tickets past their latest start are dropped.
func (l *Line) Serve(now time.Time) {
	for len(l.tickets) > 0 {
		t := l.tickets[0]
		if !now.After(t.Latest) && !t.Serve(now) {
			return
		}
		l.Leave(t)
	}
}

// Leave takes a ticket out of the line. It is harmless when it has left already.
func (l *Line) Leave(t *Ticket) {
	if t.gone || t.index >= len(l.tickets) || l.tickets[t.index] != t {
		return
	}
	heap.Remove(&l.tickets, t.index)
	t.gone = true
}

// tickets is a heap by latest start.
type tickets []*Ticket

func (t tickets) Len() int           { return len(t) }
func (t tickets) Less(i, j int) bool { return t[i].Latest.Before(t[j].Latest) }
func (t tickets) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

// Push implements [heap.Interface].
func (t *tickets) Push(x any) {
	ticket := x.(*Ticket)
	ticket.index = len(*t)
	*t = append(*t, ticket)
}

// Pop implements [heap.Interface].
func (t *tickets) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}
