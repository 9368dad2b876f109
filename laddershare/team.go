package laddershare

import (
	"time"

	"lacewingladder/ladderflow"
)

const (
	// burstTime times the rate of a team, or minBurst if that is more, is the number of jobs that the team may
	// send at once and still be within its rate.
	burstTime = time.Second
	minBurst  = 4
)

// Team is the state of one team.
type Team struct {
	name   string
	shares *Shares
	// weight is above zero. rate is in jobs per second, or zero if there is no bound.
	weight, rate float64
	// tokens is the number of jobs that the team may send at tokensAt and be within its rate. overRate is true
	// from the first job beyond the rate until half the bucket is full.
	tokens   float64
	tokensAt time.Time
	overRate bool
	// share and used are parts of the fleet. The debt and the largest cost of a step that was started since the
	// debt was last zero are parts of the fleet times seconds.
	share, used, debt, largest float64
	activeUntil                time.Time
}

// setWeight sets the weight. Zero stands for a team without one.
func (t *Team) setWeight(w float64) {
	t.weight, t.rate = t.shares.least, 0
	if w > 0 {
		t.weight, t.rate = w, w
	}
	t.tokens = min(t.tokens, t.burst())
	if t.tokensAt.IsZero() {
		t.tokens = t.burst()
	}
	if t.rate == 0 {
		t.overRate = false
	}
}

// burst returns the size of the bucket.
func (t *Team) burst() float64 { return max(minBurst, t.rate*burstTime.Seconds()) }

// Name returns the team's name.
func (t *Team) Name() string { return t.name }

// Weight returns the weight that counts for the team's share.
func (t *Team) Weight() float64 { return t.weight }

// Accept takes a token for a job that was accepted at the given time. It returns false if there is none: the job
// is beyond the team's rate. Jobs should be accepted in the order of their times. One that comes late takes a token
// of the present ones, and a time after now counts as now.
func (t *Team) Accept(now, at time.Time) bool {
	if t.rate == 0 {
		return true
	}
	if at.After(now) {
		at = now
	}
	t.refill(now, at)
	if t.tokens < 1 {
		t.overRate = true
		return false
	}
	t.tokens--
	return true
}

// refill adds the tokens of the time that has passed.
func (t *Team) refill(now, at time.Time) {
	if t.tokensAt.IsZero() {
		t.tokens, t.tokensAt = t.burst(), at
	}
	if t.tokensAt.After(now) {
		t.tokensAt = now // The clock was set back.
	}
	if passed := at.Sub(t.tokensAt); passed > 0 {
		t.tokens, t.tokensAt = min(t.burst(), t.tokens+t.rate*passed.Seconds()), at
	}
	if t.tokens >= t.burst()/2 {
		t.overRate = false
	}
}

// OverRate reports whether the team sends more than its rate: the jobs that are beyond it count as such.
func (t *Team) OverRate(now time.Time) bool {
	if t.overRate {
		t.refill(now, now)
	}
	return t.overRate
}

// Wants records that the team has work.
func (t *Team) Wants(now time.Time) {
	if until := now.Add(activeTime); until.After(t.activeUntil) {
		t.activeUntil = until
	}
}

// Share returns the part of the fleet that the team is entitled to.
func (t *Team) Share() float64 { return t.share }

// Used returns the part of the fleet that the team used at the last update.
func (t *Team) Used() float64 { return t.used }

// Debt returns the team's debt, as time for which it would have to use nothing to repay it.
func (t *Team) Debt() time.Duration {
	if t.share == 0 {
		return 0
	}
	return time.Duration(t.debt / t.share * float64(time.Second))
}

// allowance returns the debt up to which the team is within its share.
func (t *Team) allowance() float64 {
	return max(t.share*CreditTime.Seconds(), min(t.largest, t.share*MaxStepTime.Seconds()))
}

// Beyond reports whether no step of the team is within its share, however short: its debt exceeds its allowance.
func (t *Team) Beyond() bool { return t.debt > t.allowance() }

// Exceeds reports whether the team uses more than its share if it has used running.
func (t *Team) Exceeds(used ladderflow.Size) bool { return t.shares.part(used) > t.share }

// Within reports whether a step that takes the given time is within the team's share, while the team has used
// running.
func (t *Team) Within(used ladderflow.Size, duration time.Duration) bool {
	over := max(0, t.shares.part(used)-t.share)
	return t.debt+over*duration.Seconds() <= t.allowance()
}

// Started records that tasks of one step that was within the share were started: the size of all tasks of the step
// that run, and the time that they take.
func (t *Team) Started(size ladderflow.Size, duration time.Duration) {
	t.largest = max(t.largest, t.shares.part(size)*duration.Seconds())
}
