package ladderdelegate

import "time"

// maxDriftPerMille bounds how much the rates of two VMs' clocks differ.
const maxDriftPerMille = 10

// ClockBound converts times between the boot clocks of the leader and a delegate. Because
// the transit times of messages are unknown, it errs in one direction: a converted time is
// at or before the exact one. It is the result of requests and responses. The zero value
// is the state before the first exchange.
type ClockBound struct {
	// toDelegate is at most the delegate's clock minus the leader's, and toLeader at most
	// the reverse.
	toDelegate time.Duration
	toLeader   time.Duration
	// at is when the latest response arrived, on the leader's clock.
	at    time.Duration
	known bool
}

// NewClockBound returns the bound that follows from one request and response. The
// arguments are the times at which the leader sent the request and received the response,
// on its clock, and at which the delegate received the request and sent the response, on
// the delegate's clock.
func NewClockBound(leaderSent, leaderReceived, delegateReceived, delegateSent time.Duration) ClockBound {
	drift := maxDrift(leaderReceived - leaderSent)
	return ClockBound{
		toDelegate: delegateSent - leaderReceived - drift, toLeader: leaderSent - delegateReceived - drift, at: leaderReceived, known: true,
	}
}

// maxDrift returns how much two clocks may drift apart in a given time.
func maxDrift(d time.Duration) time.Duration { return d * maxDriftPerMille / 1000 }

// Combine returns the bound that follows from the exchanges of b and a later one. In each
// direction, the message that was in transit for the shortest time determines it, less
// what the clocks may have drifted apart since. If the two exchanges contradict each other,
// a clock has stood still in between, and only the later exchange counts.
func (b ClockBound) Combine(later ClockBound) ClockBound {
	if !b.known {
		return later
	}
	combined, drift := later, maxDrift(later.at-b.at)
	combined.toDelegate = max(later.toDelegate, b.toDelegate-drift)
	combined.toLeader = max(later.toLeader, b.toLeader-drift)
	if combined.toDelegate+combined.toLeader > 0 {
		return later
	}
	return combined
}

// Known reports whether b is the result of an exchange, unlike the zero value.
func (b ClockBound) Known() bool { return b.known }

// ToDelegate converts a time on the leader's clock to the delegate's clock. The result is
// early by the transit time of a response, and by what the clocks may have drifted apart between the
// latest exchange and that time.
func (b ClockBound) ToDelegate(leaderTime time.Duration) time.Duration {
	return leaderTime + b.toDelegate - maxDrift((leaderTime - b.at).Abs())
}

// ToLeader converts a time on the delegate's clock to the leader's clock. The result is
// early by the transit time of a request, and by the drift as in [ClockBound.ToDelegate].
func (b ClockBound) ToLeader(delegateTime time.Duration) time.Duration {
	leaderTime := delegateTime + b.toLeader
	return leaderTime - maxDrift((leaderTime - b.at).Abs())
}
