package laddervm

import (
	"slices"
	"time"
)

// filteredClock derives the time of day from the monotonic clock and the median of recent
// offsets between the two clocks. A jump of the time of day therefore has no effect until it
// has lasted for half of the samples.
type filteredClock struct {
	// base is the first reading of the clock.
	base time.Time
	// offsets holds the latest samples of how far the time of day has moved in relation to the
	// monotonic clock since base, the oldest first. The latest was added at lastSample.
	offsets    []time.Duration
	lastSample time.Time
}

const (
	// clockSamples is how many offsets are kept, and clockSampleInterval the time between two
	// samples: a jump that is reverted within half a minute has no effect.
	clockSamples        = 60
	clockSampleInterval = time.Second
)

// now returns the filtered time of day at a time that was read from the clock. The argument
// must carry a monotonic reading.
func (c *filteredClock) now(reading time.Time) time.Time {
	timeOfDay := reading.Round(0)
	if c.base.IsZero() {
		c.base = reading
	}
	elapsed := reading.Sub(c.base)
	if len(c.offsets) == 0 || reading.Sub(c.lastSample) >= clockSampleInterval {
		c.lastSample = reading
		c.offsets = append(c.offsets, timeOfDay.Sub(c.base.Round(0))-elapsed)
		if len(c.offsets) > clockSamples {
			c.offsets = c.offsets[1:]
		}
	}
	sorted := slices.Sorted(slices.Values(c.offsets))
	return c.base.Round(0).Add(elapsed + sorted[len(sorted)/2])
}
