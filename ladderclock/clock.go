package ladderclock

import (
	"sync"
	"time"
)

// Clock tells the time.
type Clock interface {
	// Now returns the present time.
	Now() time.Time
}

// System is the clock of the machine. Its zero value is ready for use.
type System struct{}

// Now returns the machine's time with a monotonic reading.
func (System) Now() time.Time { return time.Now() }

// Manual is a clock that moves only when it is told to. It is safe for
// concurrent use.
type Manual struct {
	mu  sync.Mutex
	now time.Time
}

// NewManual returns a clock that stands at start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the time to which the clock was last moved.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward by d.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}
