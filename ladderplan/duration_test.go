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
func TestDurationPrediction(t *testing.T) {
	for name, c := range map[string]struct {
		// The spreads are standard deviations, and all three values are of logarithms.
		durationSpread, errorSpread, errorBias float64
		// gain is the least reduction of the total error, as a share of the estimates' error.
		gain float64
	}{
		"good estimates":           {durationSpread: 0.5, errorSpread: 0.1},
		"bad estimates":            {durationSpread: 0.5, errorSpread: 0.9, gain: 0.4},
		"estimates twice too long": {durationSpread: 0.5, errorSpread: 0.2, errorBias: math.Ln2, gain: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			estimators := durationEstimators{}
			estimateError, predictionError := 0.0, 0.0
			const runs = 2000
			for range runs {
				took := math.Log(5e9) + c.durationSpread*random.NormFloat64()
				estimate := time.Duration(math.Exp(took + c.errorBias + c.errorSpread*random.NormFloat64()))
				estimateError += math.Abs(logOf(estimate) - took)
				predictionError += math.Abs(logOf(estimators.predict("q", estimate)) - took)
				estimators.observe("q", estimate, time.Duration(math.Exp(took)))
			}
			require.LessOrEqual(t, predictionError, estimateError*(1-c.gain)*1.01)
		})
	}
}

// TestPredictionForUnknownQueue checks that the caller's estimate is used while nothing was learned
// about a queue.
func TestPredictionForUnknownQueue(t *testing.T) {
	estimators := durationEstimators{}
	estimators.observe("other", time.Second, time.Minute)
	require.Equal(t, time.Second, estimators.predict("q", time.Second))
	require.Zero(t, estimators.predict("other", 0), "without an estimate there is no prediction")
	estimators.observe("q", time.Second, 0)
	require.Positive(t, estimators.predict("q", time.Second))
}
