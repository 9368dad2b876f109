package ladderclock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time and waits for it.
type Clock interface {
	// Now returns the present time.
	Now() time.Time
	// After returns a channel that delivers the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// System is the clock of the machine. Its zero value is ready for use.
type System struct{}

// Now returns the machine's time with a monotonic reading.
func (System) Now() time.Time { return time.Now() }

// After implements [Clock].
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Manual is a clock that moves only when it is told to. It is safe for
// concurrent use.
type Manual struct {
	mu     sync.Mutex
	now    time.Time
	alarms []alarm
}

// alarm is a channel that waits for a time.
type alarm struct {
	at time.Time
	c  chan time.Time
}

// NewManual returns a clock that stands at start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the time to which the clock was last moved.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After implements [Clock].
func (m *Manual) After(d time.Duration) <-chan time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := alarm{at: m.now.Add(d), c: make(chan time.Time, 1)}
	m.alarms = append(m.alarms, a)
	m.ring()
	return a.c
}

// Advance moves the clock forward by d.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	m.ring()
}

// ring delivers the time to the alarms that are due.
func (m *Manual) ring() {
	waiting := m.alarms[:0]
	for _, a := range m.alarms {
		if m.now.Before(a.at) {
			waiting = append(waiting, a)
			continue
		}
		a.c <- m.now
	}
	m.alarms = waiting
}

// Boot tells the time since the machine started, in which a time of suspension
// counts. What a VM may do until a certain time is measured with it.
type Boot interface {
	SinceBoot() time.Duration
}

// SinceBoot implements [Boot].
func (System) SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has had this clock for longer than Go has existed.
	}
	return time.Duration(t.Nano())
}
