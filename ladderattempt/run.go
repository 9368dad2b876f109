package ladderattempt

import (
	"time"

	"lacewingladder/laddermodel"
)

// maxPlacements bounds how often one request asks for room.
const maxPlacements = 5

// retryPause is the Retry-After of a request that did not run by bad luck.
const retryPause = 200 * time.Millisecond

// Step is what has to be done next for a request.
type Step int

// The steps of a run.
const (
	// Place asks a holder for room.
	Place Step = iota
	// Send sends the start to the worker.
	Send
	// Revoke asks the worker to make sure that the attempt does not run.
	Revoke
	// Finish means that the answer is final.
	Finish
)

// State is what a worker says of an attempt that was revoked.
type State int

// The states of a revoked attempt.
const (
	// Unreachable means that the worker did not say.
	Unreachable State = iota
	// Never means that the attempt had not begun, and never will.
	Never
	// Stopped means that the attempt may have begun and does not run any more.
	Stopped
	// Ended means that the attempt had ended before and its answer is at hand.
	Ended
)

// Budget grants retries.
type Budget interface {
	// Spend takes one retry and reports whether there was one to take.
	Spend() bool
}

// Terms are the conditions of a run.
type Terms struct {
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Once is true when the request must not be repeated.
	Once bool
	// Budget grants the attempts after the first.
	Budget Budget
}

// Run is the course of one request. Create one with [New].
type Run struct {
	terms      Terms
	step       Step
	placements int
	sent       int
	// began is true when some attempt may have begun.
	began  bool
	answer laddermodel.Answer
}

// New returns the run of a request that has not been placed.
func New(t Terms) *Run { return &Run{terms: t} }

// Next returns what has to be done now.
func (r *Run) Next(now time.Time) Step {
	if (r.step == Place || r.step == Send) && !now.Before(r.terms.Deadline) {
		r.end("the deadline passed before the request could start", retryPause)
	}
	return r.step
}

// Attempts returns the number of starts that were sent.
func (r *Run) Attempts() int { return r.sent }

// Answer returns the final answer after [Finish].
func (r *Run) Answer() laddermodel.Answer {
	a := r.answer
	a.Attempts = r.sent
	return a
}

// Placed records that room was found.
func (r *Run) Placed() {
	r.placements++
	r.step = Send
}

// NoRoom records that no holder has room.
func (r *Run) NoRoom(reason string, retryAfter time.Duration) { r.end(reason, retryAfter) }

// Barred records that the request may not be sent by this VM any more.
func (r *Run) Barred(reason string) { r.end(reason, retryPause) }

// Sending records that a start is about to leave.
func (r *Run) Sending() { r.sent++ }

// Answered records the whole answer of the endpoint.
func (r *Run) Answered(body []byte) {
	r.answer = laddermodel.Answer{Outcome: laddermodel.Ran, Body: body}
	r.step = Finish
}

// Refused records that the worker, or the way to it, proved the attempt not to
// have begun. It costs no retry, since no worker did any work.
func (r *Run) Refused(reason string) {
	if r.placements >= maxPlacements {
		r.end(reason, retryPause)
		return
	}
	r.step = Place
}

// Failed records that the endpoint began the request and reported a failure.
func (r *Run) Failed(reason string) {
	r.began = true
	r.again(reason)
}

// Silent records that no answer came in time.
func (r *Run) Silent() { r.step = Revoke }

// Revoked records what the worker says of a revoked attempt. For [Ended] the
// caller fetches the answer and reports it by Answered or Failed instead.
func (r *Run) Revoked(s State, reason string) {
	switch s {
	case Never:
		r.again(reason)
	case Stopped, Ended:
		r.began = true
		r.again(reason)
	case Unreachable:
		r.began = true
		r.end(reason, 0)
	}
}

// again tries once more when the terms and the budget allow it.
func (r *Run) again(reason string) {
	barred := r.terms.Once && r.began
	if barred || r.placements >= maxPlacements || r.terms.Budget == nil || !r.terms.Budget.Spend() {
		r.end(reason, retryPause)
		return
	}
	r.step = Place
}

// end settles the answer for a request that has none.
func (r *Run) end(reason string, retryAfter time.Duration) {
	outcome := laddermodel.NotRun
	if r.began {
		outcome = laddermodel.Unknown
	}
	r.answer = laddermodel.Answer{Outcome: outcome, Reason: reason, RetryAfter: retryAfter}
	r.step = Finish
}
