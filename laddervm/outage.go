package laddervm

import "time"

// outageTimer measures the time since the first of a series of calls that have all failed in
// some way, such as being unanswered. The threshold is fixed when the series begins: calls
// that time out meanwhile raise the typical latency, which must not postpone the detection of
// an outage.
type outageTimer struct {
	since     time.Time
	threshold time.Duration
}

// start records a call. It has no effect while the timer runs.
func (o *outageTimer) start(now time.Time, threshold time.Duration) {
	if o.since.IsZero() {
		o.since, o.threshold = now, threshold
	}
}

// reset records a call that succeeded.
func (o *outageTimer) reset() { o.since = time.Time{} }

// expired reports whether the failures have lasted longer than the threshold.
func (o *outageTimer) expired(now time.Time) bool {
	return !o.since.IsZero() && now.Sub(o.since) > o.threshold
}
