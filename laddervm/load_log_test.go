package laddervm

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/laddermessage"
)

func TestQuantile(t *testing.T) {
	bounds := []float64{0, 0.001, 0.01, math.Inf(1)}
	for name, c := range map[string]struct {
		counts []uint64
		share  float64
		want   time.Duration
	}{
		"no values":            {[]uint64{0, 0, 0}, 0.99, 0},
		"first bucket":         {[]uint64{9, 1, 0}, 0.5, time.Millisecond},
		"second bucket":        {[]uint64{9, 1, 0}, 0.99, 10 * time.Millisecond},
		"bucket with no bound": {[]uint64{0, 0, 5}, 0.5, 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, quantile(c.counts, bounds, c.share))
		})
	}
}

// TestRuntimeLoad checks that the runtime has all metrics of the summary, and that they count from the
// last one.
func TestRuntimeLoad(t *testing.T) {
	r := newRuntimeLoad()
	for range 2 {
		keys := []any{}
		values := r.take()
		for i := 0; i < len(values); i += 2 {
			keys = append(keys, values[i])
		}
		require.Equal(t, []any{"schedP50", "schedP99", "runnable", "goroutines", "gc"}, keys)
	}
}

func TestExchangeCounts(t *testing.T) {
	var e exchangeCounts
	require.Empty(t, e.take())
	e.count("out", laddermessage.DelegatePoll{})
	e.count("out", laddermessage.DelegatePoll{})
	e.count("in", laddermessage.JobStateQuery{})
	require.Equal(t, []any{"inJobStateQuery", 1, "outDelegatePoll", 2}, e.take())
	require.Empty(t, e.take())
}

func TestControlLoad(t *testing.T) {
	var l controlLoad
	l.handled(30*time.Millisecond, time.Millisecond)
	l.handled(10*time.Millisecond, 3*time.Millisecond)
	require.Equal(t, controlLoad{events: 2, time: 4 * time.Millisecond, waits: 40 * time.Millisecond, maxWait: 30 * time.Millisecond}, l)
}
