package ladderdelegate

import "time"

// Bound tells how far a delegate's clock has come at least, from one exchange with it.
// The zero value knows nothing.
type Bound struct {
	// clock is what the delegate's clock showed when it answered, and at when the answer
	// was here, on the leader's clock.
	clock time.Duration
	at    time.Duration
	// heard is what the delegate's clock showed when the question arrived, and asked when
	// it was sent, on the leader's clock.
	heard time.Duration
	asked time.Duration
	known bool
}

// NewBound returns what an exchange tells: when the leader asked and had the answer, and
// when the delegate heard the question and answered it, each on its own clock.
func NewBound(asked, at, heard, clock time.Duration) Bound {
	return Bound{clock: clock, at: at, heard: heard, asked: asked, known: true}
}

// Known reports whether there was an exchange.
func (b Bound) Known() bool { return b.known }

// There returns a time of the leader's on the delegate's clock, or somewhat before: the
// answer was some time on its way, so that the delegate's clock is ahead by that.
func (b Bound) There(now time.Duration) time.Duration { return b.clock + now - b.at }

// Here returns a time of the delegate's on the leader's clock, or somewhat before: the
// question was some time on its way.
func (b Bound) Here(there time.Duration) time.Duration { return b.asked + there - b.heard }
