package ladderadmission

import (
	"math"
	"time"
)

const (
	// loadTimeConstant is the time over which a load's mean and swing are measured.
	loadTimeConstant = 30 * time.Second
	// headroomDeviations is how many standard deviations of urgent work get room.
	headroomDeviations = 3
)

// UrgentLoad follows the amount of urgent work that runs at once. Its zero value has
// seen none.
type UrgentLoad struct {
	running    int
	updatedAt  time.Time
	mean       float64
	meanSquare float64
}

// SetRunning records that n urgent tasks run from now on.
func (l *UrgentLoad) SetRunning(now time.Time, n int) {
	l.advance(now)
	l.running = n
}

// Running returns the number of urgent tasks that run now.
func (l *UrgentLoad) Running() int { return l.running }

// Headroom returns how many slots batch work must leave free so that urgent work
// finds room at its mean plus three standard deviations.
func (l *UrgentLoad) Headroom(now time.Time) int {
	l.advance(now)
	variance := max(0, l.meanSquare-l.mean*l.mean)
	need := l.mean + headroomDeviations*math.Sqrt(variance)
	return max(0, int(math.Ceil(need))-l.running)
}

// advance weighs the time since the last change into the averages.
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
