package ladderadmission

import (
	"math"
	"time"
)

const (
	// loadTimeConstant is the time constant of the moving averages.
	loadTimeConstant = 30 * time.Second
	// headroomDeviations is how many standard deviations above its mean the number
	// of urgent tasks is expected to reach.
	headroomDeviations = 3
)

// UrgentLoad tracks the mean and the variance of the number of urgent tasks that
// run at once. The zero value is ready to use.
type UrgentLoad struct {
	running   int
	updatedAt time.Time
	// mean and meanSquare are moving averages of the number of running tasks and
	// of its square, weighted by time.
	mean       float64
	meanSquare float64
}

// SetRunning records that n urgent tasks run from now on.
func (l *UrgentLoad) SetRunning(now time.Time, n int) {
	l.advance(now)
	l.running = n
}

// Headroom returns how many slots all other work must leave free, so that the
// number of urgent tasks can grow to its mean plus three standard deviations. It
// assumes that each urgent task needs one slot.
func (l *UrgentLoad) Headroom(now time.Time) int {
	l.advance(now)
	variance := max(0, l.meanSquare-l.mean*l.mean)
	need := l.mean + headroomDeviations*math.Sqrt(variance)
	return max(0, int(math.Ceil(need))-l.running)
}

// advance updates the averages for the time since the last update, during which
// the number of running tasks did not change.
func (l *UrgentLoad) advance(now time.Time) {
	if l.updatedAt.IsZero() {
		l.updatedAt = now
		return
	}
	passed := now.Sub(l.updatedAt)
	if passed <= 0 {
		return
	}
	weight := 1 - math.Exp(-passed.Seconds()/loadTimeConstant.Seconds())
	level := float64(l.running)
	l.mean += weight * (level - l.mean)
	l.meanSquare += weight * (level*level - l.meanSquare)
	l.updatedAt = now
}
