package laddervm

import (
	"slices"
	"time"
)

// wall tells the time of day by the steady clock, so that a jump of the time of day
// has no effect until it has outlasted half of the samples.
type filteredClock struct {
	base    time.Time
	offsets []time.Duration
	sampled time.Time
}

const (
	// wallSamples is how many samples of the time of day are kept, and wallGap the
	// time between two: jumps that are taken back within half a minute pass unseen.
	clockSamples        = 60
	clockSampleInterval = time.Second
)

// now returns the time of day that belongs to a time of the steady clock.
func (w *filteredClock) now(steady time.Time) time.Time {
	day := steady.Round(0)
	if w.base.IsZero() {
		w.base = steady
	}
	passed := steady.Sub(w.base)
	if len(w.offsets) == 0 || steady.Sub(w.sampled) >= clockSampleInterval {
		w.sampled = steady
		w.offsets = append(w.offsets, day.Sub(w.base.Round(0))-passed)
		if len(w.offsets) > clockSamples {
			w.offsets = w.offsets[1:]
		}
	}
	sorted := slices.Sorted(slices.Values(w.offsets))
	return w.base.Round(0).Add(passed + sorted[len(sorted)/2])
}
