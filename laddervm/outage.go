package laddervm

import "time"

// silence is the time since the first call that went without something, such as an
// answer. How long that must last to mean something is set when it begins: calls that
// are given up meanwhile make the usual answer's time longer, and must not hide it.
type outageTimer struct {
	since     time.Time
	threshold time.Duration
}

// begin takes note of a call.
func (s *outageTimer) start(now time.Time, threshold time.Duration) {
	if s.since.IsZero() {
		s.since, s.threshold = now, threshold
	}
}

// end takes note of what the calls went without.
func (s *outageTimer) reset() { s.since = time.Time{} }

// long reports whether it has lasted long enough to mean something.
func (s *outageTimer) expired(now time.Time) bool {
	return !s.since.IsZero() && now.Sub(s.since) > s.threshold
}
