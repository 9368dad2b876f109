package ladderdelegate

import "time"

// ClockBound converts times between the boot clocks of the leader and a delegate. Because
// the transit times of messages are unknown, it errs in one direction: a converted time is
// at or before the exact one. It is the result of one request and response. The zero value
// is the state before the first exchange.
type ClockBound struct {
	// delegateSent is when the delegate sent the response, on its clock, and
	// leaderReceived when the response arrived, on the leader's clock.
	delegateSent   time.Duration
	leaderReceived time.Duration
	// delegateReceived is when the request arrived, on the delegate's clock, and
	// leaderSent when the leader sent it, on the leader's clock.
	delegateReceived time.Duration
	leaderSent       time.Duration
	known            bool
}

// NewClockBound returns the bound that follows from one request and response. The
// arguments are the times at which the leader sent the request and received the response,
// on its clock, and at which the delegate received the request and sent the response, on
// the delegate's clock.
func NewClockBound(leaderSent, leaderReceived, delegateReceived, delegateSent time.Duration) ClockBound {
	return ClockBound{
		delegateSent: delegateSent, leaderReceived: leaderReceived, delegateReceived: delegateReceived,
		leaderSent: leaderSent, known: true,
	}
}

// Known reports whether b is the result of an exchange, unlike the zero value.
func (b ClockBound) Known() bool { return b.known }

// ToDelegate converts a time on the leader's clock to the delegate's clock. The result is
// early by the transit time of the response.
func (b ClockBound) ToDelegate(leaderTime time.Duration) time.Duration {
	return b.delegateSent + leaderTime - b.leaderReceived
}

// ToLeader converts a time on the delegate's clock to the leader's clock. The result is
// early by the transit time of the request.
func (b ClockBound) ToLeader(delegateTime time.Duration) time.Duration {
	return b.leaderSent + delegateTime - b.delegateReceived
}
