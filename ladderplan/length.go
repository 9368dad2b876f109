package ladderplan

import (
	"math"
	"time"
)

const (
	// trustedEnds is how many ends weigh as much as the assumption that callers' estimates
	// are right.
	trustedEnds = 20
	// leastLength keeps the logarithm of a length finite.
	leastLength = time.Millisecond
)

// lengths learns how long the tasks of each queue run, and how far their callers'
// estimates are off. Both are about lognormal, so it counts logarithms.
type lengths map[string]*length

// length is what is known of one queue's tasks.
type length struct {
	// took holds the lengths of runs, and off by how much estimates were above them.
	took moments
	off  moments
}

// moments are the mean and the variance of values that come one after the other.
type moments struct {
	count float64
	mean  float64
	sum   float64
}

func (m *moments) add(v float64) {
	m.count++
	d := v - m.mean
	m.mean += d / m.count
	m.sum += d * (v - m.mean)
}

func (m *moments) variance() float64 {
	if m.count < 2 {
		return 0
	}
	return m.sum / (m.count - 1)
}

// ended takes in how long a run of a queue took, and what its caller had expected.
func (l lengths) ended(queue string, estimate, took time.Duration) {
	k, ok := l[queue]
	if !ok {
		k = &length{}
		l[queue] = k
	}
	actual, guess := logOf(took), logOf(estimate)
	k.took.add(actual)
	k.off.add(guess - actual)
}

// expect returns how long a run should take. An estimate counts the less, against what
// the queue's runs usually take, the further estimates are off and the more alike the
// runs are.
func (l lengths) expect(queue string, estimate time.Duration) time.Duration {
	k, ok := l[queue]
	if !ok || estimate <= 0 {
		return estimate
	}
	guess := logOf(estimate)
	weight := 1.0
	if v := k.took.variance() + k.off.variance(); v > 0 {
		weight = k.took.variance() / v
	}
	learnt := k.took.mean + weight*(guess-k.off.mean-k.took.mean)
	trust := k.took.count / (k.took.count + trustedEnds)
	return time.Duration(math.Exp(guess + trust*(learnt-guess)))
}

func logOf(d time.Duration) float64 { return math.Log(float64(max(d, leastLength))) }
