package laddervm

import (
	"slices"
	"time"
)

// wall tells the time of day by the steady clock, so that a jump of the time of day
// has no effect until it has outlasted half of the samples.
type wall struct {
	base    time.Time
	offsets []time.Duration
	sampled time.Time
}

const (
	// wallSamples is how many samples of the time of day are kept, and wallGap the
	// time between two: jumps that are taken back within half a minute pass unseen.
	wallSamples = 60
	wallGap     = time.Second
)

// now returns the time of day that belongs to a time of the steady clock.
func (w *wall) now(steady time.Time) time.Time {
	day := steady.Round(0)
	if w.base.IsZero() {
		w.base = steady
	}
	passed := steady.Sub(w.base)
	if len(w.offsets) == 0 || steady.Sub(w.sampled) >= wallGap {
		w.sampled = steady
		w.offsets = append(w.offsets, day.Sub(w.base.Round(0))-passed)
		if len(w.offsets) > wallSamples {
			w.offsets = w.offsets[1:]
		}
	}
	sorted := slices.Sorted(slices.Values(w.offsets))
	return w.base.Round(0).Add(passed + sorted[len(sorted)/2])
}
