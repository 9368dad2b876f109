package laddervm

import (
	"sync"
	"time"
)

const (
	// latencyWeight is the weight of a new measurement in the moving average.
	latencyWeight = 0.2
	// timeoutFactor is the timeout of a call as a multiple of the typical latency.
	timeoutFactor = 4
)

// typicalLatency is an exponentially weighted moving average of response times. A call that
// timed out counts as a response at the time of the timeout, so that a receiver that has become
// slow gets a longer timeout. It is safe for concurrent use.
type typicalLatency struct {
	mu      sync.Mutex
	average time.Duration
}

// observe adds a measurement: the time until a call was answered or timed out.
func (l *typicalLatency) observe(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.average += time.Duration(latencyWeight * float64(d-l.average))
}

func (l *typicalLatency) value() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.average
}

// timeout returns how long to wait for a response, within the given bounds.
func (l *typicalLatency) timeout(shortest, longest time.Duration) time.Duration {
	return min(max(shortest, timeoutFactor*l.value()), longest)
}
