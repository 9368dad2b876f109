package ladderattempt

import (
	"time"

	"lacewingladder/laddermodel"
)

// maxPlacements is the number of placements after which a request is not tried
// again.
const maxPlacements = 5

// defaultRetryAfter is the Retry-After of a request for which no holder stated
// one.
const defaultRetryAfter = 200 * time.Millisecond

// Step is the next thing to do for a request.
type Step int

// The steps of a run.
const (
	// Place means that a holder must be asked for capacity.
	Place Step = iota
	// Send means that the start must be sent to the worker.
	Send
	// Revoke means that the worker must be asked to make sure that the attempt
	// does not run.
	Revoke
	// Finish means that the answer is final.
	Finish
)

// State is a worker's reply about a revoked attempt.
type State int

// The states of a revoked attempt.
const (
	// Unreachable means that the worker did not reply.
	Unreachable State = iota
	// NeverBegun means that the attempt has not begun and never will.
	NeverBegun
	// Stopped means that the attempt may have begun but is no longer running.
	Stopped
	// Ended means that the attempt ended before it could be revoked. Its answer
	// is available.
	Ended
)

// Budget limits the number of retries.
type Budget interface {
	// Spend takes one retry from the budget. It returns false if there is none.
	Spend() bool
}

// Terms are the conditions under which a request is run.
type Terms struct {
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// Once is true if the request must not be repeated.
	Once bool
	// Budget limits the retries after failures and timeouts. Without a budget
	// there are none.
	Budget Budget
}

// Run is the state of one request. Create one with [New].
type Run struct {
	terms      Terms
	step       Step
	placements int
	// attempts is the number of starts that were sent.
	attempts int
	// mayHaveBegun is true if a worker may have begun an attempt that did not
	// return a complete answer.
	mayHaveBegun bool
	answer       laddermodel.Answer
}

// New returns the run of a request that has not been placed yet.
func New(t Terms) *Run { return &Run{terms: t} }

// Next returns the next step. Once the deadline has passed, it allows no
// further placement or start.
func (r *Run) Next(now time.Time) Step {
	if (r.step == Place || r.step == Send) && !now.Before(r.terms.Deadline) {
		r.finish("the deadline passed before the request could start", defaultRetryAfter)
	}
	return r.step
}

// Attempts returns the number of starts that were sent.
func (r *Run) Attempts() int { return r.attempts }

// Answer returns the final answer. It is valid once Next has returned [Finish].
func (r *Run) Answer() laddermodel.Answer {
	a := r.answer
	a.Attempts = r.attempts
	return a
}

// Placed records that capacity was reserved.
func (r *Run) Placed() {
	r.placements++
	r.step = Send
}

// NoCapacity records that no holder has capacity.
func (r *Run) NoCapacity(reason string, retryAfter time.Duration) { r.finish(reason, retryAfter) }

// HomeLost records that this VM may no longer start the request, because it is
// no longer the home of the request's key.
func (r *Run) HomeLost(reason string) { r.finish(reason, defaultRetryAfter) }

// Sending records that a start is about to be sent.
func (r *Run) Sending() { r.attempts++ }

// Answered records the complete answer of the endpoint.
func (r *Run) Answered(body []byte) {
	r.answer = laddermodel.Answer{Outcome: laddermodel.Ran, Body: body}
	r.step = Finish
}

// Refused records that the attempt is proved not to have begun, because the
// worker refused the start or it was never sent. The next attempt is not taken
// from the retry budget, because no worker did any work.
func (r *Run) Refused(reason string) {
	if r.placements >= maxPlacements {
		r.finish(reason, defaultRetryAfter)
		return
	}
	r.step = Place
}

// Failed records that the endpoint began the request and reported a failure.
func (r *Run) Failed(reason string) {
	r.mayHaveBegun = true
	r.retry(reason)
}

// NoReply records that no answer arrived in time.
func (r *Run) NoReply() { r.step = Revoke }

// Revoked records the worker's reply about a revoked attempt. If the state is
// [Ended] and the answer was fetched, the caller calls Answered or Failed
// instead.
func (r *Run) Revoked(s State, reason string) {
	switch s {
	case NeverBegun:
		r.retry(reason)
	case Stopped, Ended:
		r.mayHaveBegun = true
		r.retry(reason)
	case Unreachable:
		r.mayHaveBegun = true
		r.finish(reason, 0)
	}
}

// retry allows another attempt if the terms and the retry budget permit it.
// Otherwise it ends the run.
func (r *Run) retry(reason string) {
	mustNotRepeat := r.terms.Once && r.mayHaveBegun
	if mustNotRepeat || r.placements >= maxPlacements || r.terms.Budget == nil || !r.terms.Budget.Spend() {
		r.finish(reason, defaultRetryAfter)
		return
	}
	r.step = Place
}

// finish ends the run of a request that was not answered.
func (r *Run) finish(reason string, retryAfter time.Duration) {
	outcome := laddermodel.NotRun
	if r.mayHaveBegun {
		outcome = laddermodel.Unknown
	}
	r.answer = laddermodel.Answer{Outcome: outcome, Reason: reason, RetryAfter: retryAfter}
	r.step = Finish
}
