package laddervm

import (
	"sync"
	"time"
)

const (
	// smoothing is the weight of a new answer in the usual answer's time.
	latencyWeight = 0.2
	// usualFactor is how many times the usual answer's time an answer may take before
	// it counts as missing.
	timeoutFactor = 4
)

// usual is the usual time of an answer. Calls that were given up count with the time
// that they had, so that a receiver that became slow gets more. It is safe for
// concurrent use.
type typicalLatency struct {
	mu   sync.Mutex
	time time.Duration
}

// took takes in how long an answer took, or how long it was waited for.
func (u *typicalLatency) observe(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.time += time.Duration(latencyWeight * float64(d-u.time))
}

// value returns the usual time of an answer.
func (u *typicalLatency) value() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.time
}

// within returns how long to wait for an answer, at least and at most so long.
func (u *typicalLatency) timeout(least, most time.Duration) time.Duration {
	return min(max(least, timeoutFactor*u.value()), most)
}
