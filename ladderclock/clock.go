package ladderclock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current time and waits for later times.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that receives the current time once the duration d has passed.
	After(d time.Duration) <-chan time.Time
}

// System is the clock of the machine. It implements [Clock] and [BootClock], and its zero
// value is ready for use.
type System struct{}

// Now returns the machine's time, with a monotonic clock reading as in [time.Now].
func (System) Now() time.Time { return time.Now() }

// After implements [Clock].
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Manual is a [Clock] for tests that changes only when [Manual.Advance] is called. It is
// safe for concurrent use.
type Manual struct {
	mu  sync.Mutex
	now time.Time
	// timers holds the timers that have not fired yet.
	timers []timer
}

// timer is a channel that receives the time when the clock reaches a given time.
type timer struct {
	at time.Time
	c  chan time.Time
}

// NewManual returns a clock that is set to start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the time to which the clock is set.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After implements [Clock].
func (m *Manual) After(d time.Duration) <-chan time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := timer{at: m.now.Add(d), c: make(chan time.Time, 1)}
	m.timers = append(m.timers, t)
	m.fire()
	return t.c
}

// Advance moves the clock forward by d.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	m.fire()
}

// fire sends the time to the channels of the timers that are due, and removes these
// timers. The caller holds mu.
func (m *Manual) fire() {
	waiting := m.timers[:0]
	for _, t := range m.timers {
		if m.now.Before(t.at) {
			waiting = append(waiting, t)
			continue
		}
		t.c <- m.now
	}
	m.timers = waiting
}

// BootClock is a clock that counts the time since the machine was booted, including the
// time during which the machine was suspended. Permissions that expire, such as the
// permission to renew worker leases, are measured with it, so that they also expire
// during a suspension.
type BootClock interface {
	// SinceBoot returns the time since the machine was booted.
	SinceBoot() time.Duration
}

// SinceBoot implements [BootClock].
func (System) SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // All Linux versions that Go supports have this clock.
	}
	return time.Duration(t.Nano())
}
