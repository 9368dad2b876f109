package ladderplan

import "time"

const (
	// startsPerGrowth is the number of starts that are answered in time before the window grows by one.
	startsPerGrowth = 8
	// maxAnswerTime is the time from the order of a start to its answer above which the answer is late.
	maxAnswerTime = 200 * time.Millisecond
	// shrinkInterval is the shortest time between two reductions of the window. Answers that are late for
	// the same reason arrive within that time.
	shrinkInterval = 500 * time.Millisecond
	// maxLateShare is the share of late answers, of about the last window of them, above which the window
	// shrinks. A smaller share is due to single workers, links or delegates.
	maxLateShare = 0.5
)

// startWindow bounds the number of starts without an answer. A fixed bound would limit the starts per
// second to the bound divided by the time until an answer, however many VMs send them; without a bound,
// a leader would send more than its VMs can answer. So the window grows while it is full and
// answers come in time, and shrinks when most of them do not.
type startWindow struct {
	// least and most bound the size. A least size of zero means that there is no bound.
	least, most int
	size        int
	// full is true once the window has held up a start since it last grew.
	full     bool
	answered int
	// lateShare is the moving average share of answers that were late, failed or missing.
	lateShare float64
	shrunkAt  time.Time
}

func newStartWindow(least int) startWindow {
	return startWindow{least: least, most: least, size: least}
}

// setSenders sets the number of VMs that send starts, to which the largest size is proportional.
func (s *startWindow) setSenders(n int) {
	s.most = s.least * max(1, n)
	s.size = min(s.size, s.most)
}

// holdsUp reports whether no more starts may be sent before some of those that are unanswered are
// answered.
func (s *startWindow) holdsUp(unanswered int) bool {
	if s.least == 0 || unanswered < s.size {
		return false
	}
	s.full = true
	return true
}

// settled records the outcome of a start that was ordered the given time ago. It reports whether the
// window has shrunk.
func (s *startWindow) settled(now time.Time, r Result, took time.Duration) bool {
	if s.least == 0 {
		return false
	}
	before := s.size
	late := !r.succeeded() || took > maxAnswerTime
	s.lateShare += (float64(boolToInt(late)) - s.lateShare) / float64(s.size)
	switch {
	case s.lateShare > maxLateShare && now.Sub(s.shrunkAt) >= shrinkInterval:
		s.size, s.shrunkAt = max(s.least, s.size/2), now
		s.answered, s.lateShare = 0, 0
	case !late && s.full:
		if s.answered++; s.answered >= startsPerGrowth {
			s.size, s.answered, s.full = min(s.most, s.size+1), 0, false
		}
	}
	return s.size < before
}
