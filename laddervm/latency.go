package laddervm

import (
	"sync"
	"time"
)

const (
	// latencyWeight is the weight of a new measurement in the moving average.
	latencyWeight = 0.2
	// timeoutFactor is how many times the typical latency a receiver may take to answer
	// before the answer counts as missing.
	timeoutFactor = 4
)

// typicalLatency is an exponentially weighted moving average of the time that answers take.
// Calls that timed out count with the time that was waited for them, so that a receiver that
// became slow gets a longer timeout. It is safe for concurrent use.
type typicalLatency struct {
	mu      sync.Mutex
	average time.Duration
}

// observe adds a measurement: how long an answer took, or how long it was waited for in vain.
func (l *typicalLatency) observe(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.average += time.Duration(latencyWeight * float64(d-l.average))
}

// value returns the typical latency.
func (l *typicalLatency) value() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.average
}

// timeout returns how long to wait for an answer, within the given bounds.
func (l *typicalLatency) timeout(shortest, longest time.Duration) time.Duration {
	return min(max(shortest, timeoutFactor*l.value()), longest)
}
