package ladderattempt_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderattempt"
	"lacewingladder/ladderbudget"
	"lacewingladder/laddermodel"
)

var start = time.Unix(1000, 0)

// newRun returns a run whose budget allows ten retries.
func newRun(once bool) *ladderattempt.Run {
	budget := ladderbudget.NewRetries(1)
	for range 10 {
		budget.Earn()
	}
	return ladderattempt.New(ladderattempt.Terms{Deadline: start.Add(time.Second), Once: once, Budget: budget})
}

func TestOutcome(t *testing.T) {
	placeAndSend := func(r *ladderattempt.Run) {
		r.Placed()
		r.Sending()
	}
	tests := map[string]struct {
		once   bool
		events func(r *ladderattempt.Run)
		step   ladderattempt.Step
		want   laddermodel.Outcome
	}{
		"no capacity":                   {events: func(r *ladderattempt.Run) { r.NoCapacity("full", time.Second) }, step: ladderattempt.Finish, want: laddermodel.NotRun},
		"answered":                      {events: func(r *ladderattempt.Run) { placeAndSend(r); r.Answered(nil) }, step: ladderattempt.Finish, want: laddermodel.Ran},
		"refused, retried":              {events: func(r *ladderattempt.Run) { placeAndSend(r); r.Refused("fenced") }, step: ladderattempt.Place},
		"failed, retried":               {events: func(r *ladderattempt.Run) { placeAndSend(r); r.Failed("500") }, step: ladderattempt.Place},
		"failed, must not be repeated":  {once: true, events: func(r *ladderattempt.Run) { placeAndSend(r); r.Failed("500") }, step: ladderattempt.Finish, want: laddermodel.Unknown},
		"no reply, revoked first":       {events: func(r *ladderattempt.Run) { placeAndSend(r); r.NoReply() }, step: ladderattempt.Revoke},
		"never begun, retried":          {once: true, events: func(r *ladderattempt.Run) { placeAndSend(r); r.NoReply(); r.Revoked(ladderattempt.NeverBegun, "") }, step: ladderattempt.Place},
		"stopped, must not be repeated": {once: true, events: func(r *ladderattempt.Run) { placeAndSend(r); r.NoReply(); r.Revoked(ladderattempt.Stopped, "") }, step: ladderattempt.Finish, want: laddermodel.Unknown},
		"stopped, retried":              {events: func(r *ladderattempt.Run) { placeAndSend(r); r.NoReply(); r.Revoked(ladderattempt.Stopped, "") }, step: ladderattempt.Place},
		"not proved to have ended":      {events: func(r *ladderattempt.Run) { placeAndSend(r); r.NoReply(); r.Revoked(ladderattempt.Unreachable, "") }, step: ladderattempt.Finish, want: laddermodel.Unknown},
		"failed, then no capacity":      {events: func(r *ladderattempt.Run) { placeAndSend(r); r.Failed("500"); r.NoCapacity("full", 0) }, step: ladderattempt.Finish, want: laddermodel.Unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRun(tt.once)
			tt.events(r)
			require.Equal(t, tt.step, r.Next(start))
			if tt.step == ladderattempt.Finish {
				require.Equal(t, tt.want, r.Answer().Outcome)
			}
		})
	}
}

func TestNoSendAfterDeadline(t *testing.T) {
	r := newRun(false)
	r.Placed()
	require.Equal(t, ladderattempt.Finish, r.Next(start.Add(time.Second)), "no start is sent after the deadline")
	require.Equal(t, laddermodel.NotRun, r.Answer().Outcome)
}

func TestRetryBudgetLimitsAttempts(t *testing.T) {
	const requests = 1000
	budget := ladderbudget.NewRetries(0.1)
	attempts := 0
	for range requests {
		budget.Earn()
		r := ladderattempt.New(ladderattempt.Terms{Deadline: start.Add(time.Second), Budget: budget})
		for r.Next(start) != ladderattempt.Finish {
			r.Placed()
			r.Sending()
			r.Failed("every worker fails")
		}
		attempts += r.Attempts()
	}
	require.LessOrEqual(t, attempts, requests*11/10)
}
