package ladderplan

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDurationPrediction compares the errors of predicted durations with those of the estimates
// that they are based on.
func TestLengths(t *testing.T) {
	for name, c := range map[string]struct {
		spread, off, bias float64
		// gain is the least reduction of the total error, as a share of the estimates' error.
		gain float64
	}{
		"good estimates":        {spread: 0.5, off: 0.1},
		"bad estimates":         {spread: 0.5, off: 0.9, gain: 0.4},
		"always twice too long": {spread: 0.5, off: 0.2, bias: math.Ln2, gain: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			l := lengths{}
			guessed, expected := 0.0, 0.0
			const runs = 2000
			for range runs {
				took := math.Log(5e9) + c.spread*random.NormFloat64()
				estimate := time.Duration(math.Exp(took + c.bias + c.off*random.NormFloat64()))
				guessed += math.Abs(logOf(estimate) - took)
				expected += math.Abs(logOf(l.expect("q", estimate)) - took)
				l.ended("q", estimate, time.Duration(math.Exp(took)))
			}
			require.LessOrEqual(t, expected, guessed*(1-c.gain)*1.01)
		})
	}
}

// TestPredictionForUnknownQueue checks that the caller's estimate is used while nothing was learned
// about a queue.
func TestLengthsOfUnknownQueue(t *testing.T) {
	l := lengths{}
	l.ended("other", time.Second, time.Minute)
	require.Equal(t, time.Second, l.expect("q", time.Second))
	require.Zero(t, l.expect("other", 0), "a step without an estimate has no length")
	l.ended("q", time.Second, 0)
	require.Positive(t, l.expect("q", time.Second))
}
