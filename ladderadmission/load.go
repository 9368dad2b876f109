package ladderadmission

import (
	"math"
	"time"
)

const (
	// loadWindow is the time over which a load's mean and swing are measured.
	loadWindow = 30 * time.Second
	// swings is how many standard deviations of urgent work get room.
	swings = 3
)

// Load follows the amount of urgent work that runs at once. Its zero value has
// seen none.
type Load struct {
	running int
	last    time.Time
	mean    float64
	square  float64
}

// Set records that n urgent tasks run from now on.
func (l *Load) Set(now time.Time, n int) {
	l.settle(now)
	l.running = n
}

// Running returns the number of urgent tasks that run now.
func (l *Load) Running() int { return l.running }

// Headroom returns how many slots batch work must leave free so that urgent work
// finds room at its mean plus three standard deviations.
func (l *Load) Headroom(now time.Time) int {
	l.settle(now)
	variance := max(0, l.square-l.mean*l.mean)
	need := l.mean + swings*math.Sqrt(variance)
	return max(0, int(math.Ceil(need))-l.running)
}

// settle weighs the time since the last change into the averages.
func (l *Load) settle(now time.Time) {
	if l.last.IsZero() {
		l.last = now
		return
	}
	passed := now.Sub(l.last)
	if passed <= 0 {
		return
	}
	weight := 1 - math.Exp(-passed.Seconds()/loadWindow.Seconds())
	level := float64(l.running)
	l.mean += weight * (level - l.mean)
	l.square += weight * (level*level - l.square)
	l.last = now
}
