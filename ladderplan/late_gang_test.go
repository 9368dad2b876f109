package ladderplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLateTakeoverKeepsWholeGangs takes over whole gangs at work, by a leader that has taken long to read the store and
// does not hear of all workers at once.
func TestLateTakeoverKeepsWholeGangs(t *testing.T) {
	for name, c := range map[string]struct {
		number, resume int
		read, silent   time.Duration
	}{
		"first run, 0%, read in 1.7 s": {1, 0, 1700 * time.Millisecond, 100 * time.Millisecond},
		"resumed, read in 1.7 s":       {3, 40, 1700 * time.Millisecond, 100 * time.Millisecond},
		"resumed, read in 5 s":         {3, 40, 5 * time.Second, 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			sim := takeover(t, 8, 3, c.number, 10*time.Second, 0, 1, 2)
			for _, x := range sim.runs {
				x.resume = c.resume
			}
			sim.advance(c.read)
			sim.began = sim.now
			sim.silent["w2"] = true
			sim.after(c.silent-simTick, func() { clear(sim.silent) })
			sim.runFor(3 * time.Second)
			require.Empty(t, sim.stops, "a whole gang was stopped")
		})
	}
}

// TestLateLeaderStartsGang has a leader learn each answer to a start, and each report, late. All starts arrive at once.
func TestLateLeaderStartsGang(t *testing.T) {
	for name, late := range map[string]time.Duration{"1.4 s": 1400 * time.Millisecond, "1.8 s": 1800 * time.Millisecond, "2.2 s": 2200 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			sim := ordered(t, 5)
			sim.late = late
			sim.outcome = func(StartOrder) (time.Duration, time.Duration, Result) { return simTick, late, Result{} }
			sim.runFor(15 * time.Second)
			require.Empty(t, sim.alone)
			working := 0
			for _, x := range sim.runs {
				working += boolToInt(x.worked > 2*time.Second)
			}
			require.Equal(t, 5, working, "the gang does not work after %d starts", len(sim.starts))
		})
	}
}
