package ladderplan

import (
	"math"
	"time"
)

const (
	// priorRuns is the number of runs at which what was learned about a queue weighs as much as the
	// initial assumption that callers' estimates are right.
	priorRuns = 20
	// minDuration keeps the logarithm of a duration finite.
	minDuration = time.Millisecond
)

// durationEstimators predicts how long the tasks of each queue run. It learns the distribution of
// run durations and the error of the callers' estimates. Both are roughly lognormal, so it works on
// logarithms.
type durationEstimators map[string]*durationEstimator

// durationEstimator holds what was learned about the tasks of one queue.
type durationEstimator struct {
	// duration describes the logarithms of run durations, and overestimate the logarithms of the
	// ratio of the estimate to the actual duration.
	duration     moments
	overestimate moments
}

// moments accumulates the mean and the variance of a sequence of values by Welford's algorithm.
type moments struct {
	count float64
	mean  float64
	// squares is the sum of the squared deviations from the mean.
	squares float64
}

func (m *moments) add(v float64) {
	m.count++
	d := v - m.mean
	m.mean += d / m.count
	m.squares += d * (v - m.mean)
}

func (m *moments) variance() float64 {
	if m.count < 2 {
		return 0
	}
	return m.squares / (m.count - 1)
}

// observe records the duration of a run of a queue and the caller's estimate.
func (d durationEstimators) observe(queue string, estimate, took time.Duration) {
	e, ok := d[queue]
	if !ok {
		e = &durationEstimator{}
		d[queue] = e
	}
	actual, guess := logOf(took), logOf(estimate)
	e.duration.add(actual)
	e.overestimate.add(guess - actual)
}

// predict returns the expected duration of a run. The estimate has less weight, and the queue's
// mean duration more, if the errors of estimates vary much in comparison with the durations.
func (d durationEstimators) predict(queue string, estimate time.Duration) time.Duration {
	e, ok := d[queue]
	if !ok || estimate <= 0 {
		return estimate
	}
	guess := logOf(estimate)
	weight := 1.0
	if v := e.duration.variance() + e.overestimate.variance(); v > 0 {
		weight = e.duration.variance() / v
	}
	learned := e.duration.mean + weight*(guess-e.overestimate.mean-e.duration.mean)
	trust := e.duration.count / (e.duration.count + priorRuns)
	return time.Duration(math.Exp(guess + trust*(learned-guess)))
}

func logOf(d time.Duration) float64 { return math.Log(float64(max(d, minDuration))) }
