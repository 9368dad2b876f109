package ladderjournal

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lacewingladder/ladderaccess"
	"lacewingladder/ladderflow"
	"lacewingladder/platform"
)

// callerOf returns a caller with a key of the given team.
func callerOf(team string) ladderaccess.Caller {
	return ladderaccess.Caller{KeysRequired: true, Team: team, Queue: "booths"}
}

// TestJobIsOnlyItsTeams submits and cancels one job with the keys of two teams, in all orders. What one team does
// must have no effect on the job of the other, nor be stored once the job is known.
func TestJobIsOnlyItsTeams(t *testing.T) {
	ctx := context.Background()
	for name, c := range map[string]struct {
		// steps are pairs of what is done (s, c) and the team, - for a caller without one, or "o" for a call while
		// there were no teams.
		steps string
		want  []Outcome
		state ladderflow.State
	}{
		"submitted twice":                     {"sa sa", []Outcome{Stored, AlreadyStored}, ladderflow.Queued},
		"submitted by another":                {"sa sb", []Outcome{Stored, OtherTeam}, ladderflow.Queued},
		"submitted without a key":             {"sa s-", []Outcome{Stored, OtherTeam}, ladderflow.Queued},
		"submitted before there were teams":   {"so sb", []Outcome{Stored, AlreadyStored}, ladderflow.Queued},
		"cancelled":                           {"sa ca ca", []Outcome{Stored, Stored, AlreadyStored}, ladderflow.Cancelled},
		"cancelled by another":                {"sa cb", []Outcome{Stored, OtherTeam}, ladderflow.Queued},
		"cancelled by another, then its own":  {"sa cb ca", []Outcome{Stored, OtherTeam, Stored}, ladderflow.Cancelled},
		"nobody's job":                        {"s- cb", []Outcome{Stored, Stored}, ladderflow.Cancelled},
		"cancelled first":                     {"ca sa", []Outcome{Stored, CancelledFirst}, ladderflow.Cancelled},
		"cancelled first by another":          {"cb sa", []Outcome{Stored, Stored}, ladderflow.Queued},
		"cancelled first without a key":       {"c- sa", []Outcome{Stored, Stored}, ladderflow.Queued},
		"cancelled first by both":             {"cb ca sa", []Outcome{Stored, Stored, CancelledFirst}, ladderflow.Cancelled},
		"cancelled first by both, again":      {"cb ca cb ca sa", []Outcome{Stored, Stored, AlreadyStored, AlreadyStored, CancelledFirst}, ladderflow.Cancelled},
		"cancelled first by another, retried": {"cb sa sa ca", []Outcome{Stored, Stored, AlreadyStored, Stored}, ladderflow.Cancelled},
		"another's is not seen twice":         {"cb sa cb", []Outcome{Stored, Stored, OtherTeam}, ladderflow.Queued},
		"cancelled before there were teams":   {"co sa", []Outcome{Stored, CancelledFirst}, ladderflow.Cancelled},
		"teams are gone":                      {"cb sa co", []Outcome{Stored, Stored, Stored}, ladderflow.Cancelled},
		"teams are gone, first":               {"cb co sa", []Outcome{Stored, Stored, CancelledFirst}, ladderflow.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeStore()
			j := New(s)
			for i, step := range splitSteps(c.steps) {
				caller := callerOf(string(step[1]))
				switch step[1] {
				case '-':
					caller = ladderaccess.Caller{KeysRequired: true, Queue: "open", Public: true}
				case 'o':
					caller = ladderaccess.Caller{}
				}
				before := s.store.Keys("ladder/")
				var outcome Outcome
				var err error
				switch {
				case step[0] == 's':
					submitted := &Submission{Job: fullJob("j"), Caller: caller}
					submitted.Job.Team = caller.JobTeam()
					j.Accept(ctx, []*Submission{submitted})
					outcome, err = submitted.Outcome, submitted.Err
				case step[1] == 'o':
					outcome, err = j.Cancel(ctx, "j")
				default:
					outcome, _, err = j.CancelFor(ctx, "j", caller)
				}
				require.NoError(t, err)
				require.Equal(t, c.want[i], outcome, "step %d: %s", i, step)
				if outcome == OtherTeam {
					require.Equal(t, before, s.store.Keys("ladder/"), "nothing may be stored")
				}
			}
			state, ok, err := j.Lookup(ctx, "j")
			require.NoError(t, err)
			require.True(t, ok)
			require.Equal(t, c.state, state)
			contents, err := j.Load(ctx)
			require.NoError(t, err)
			require.Empty(t, contents.DecodeErrors)
			cancelled := len(contents.Cancelled) == 1
			for _, x := range contents.TeamCancellations {
				cancelled = cancelled || x.Cancels(contents.Jobs[0])
			}
			require.Equal(t, c.state == ladderflow.Cancelled, cancelled, "a later leader must see the same")
		})
	}
}

// splitSteps splits the steps of a test.
func splitSteps(s string) []string {
	var steps []string
	for i := 0; i+1 < len(s); i += 3 {
		steps = append(steps, s[i:i+2])
	}
	return steps
}

// TestCancellationWithoutAnswerIsNoOthers loses the answer to the cancellation of a job that is then submitted by
// another team. The repetition must learn of it, and the job must not be cancelled.
func TestCancellationWithoutAnswerIsNoOthers(t *testing.T) {
	ctx := context.Background()
	for name, applied := range map[string]bool{"it took effect": true, "it takes effect late": false} {
		t.Run(name, func(t *testing.T) {
			s := newFakeStore()
			j := New(s)
			s.unanswered, s.applyUnanswered = 1, applied
			outcome, _, err := j.CancelFor(ctx, "j", callerOf("b"))
			require.Equal(t, OutcomeUnknown, outcome, err)
			submitted := &Submission{Job: fullJob("j"), Caller: callerOf("a")}
			submitted.Job.Team = "a"
			j.Accept(ctx, []*Submission{submitted})
			require.Equal(t, Stored, submitted.Outcome)
			for _, txn := range s.delayed {
				require.False(t, s.store.Txn(txn).Committed, "the job is known to be another team's")
			}
			outcome, known, err := j.CancelFor(ctx, "j", callerOf("b"))
			require.NoError(t, err)
			require.Equal(t, OtherTeam, outcome)
			require.True(t, known)
			state, _, err := j.Lookup(ctx, "j")
			require.NoError(t, err)
			require.Equal(t, ladderflow.Queued, state)
		})
	}
}

// TestMalformedCancellationCancelsNothing stores cancellations that can't be decoded.
func TestMalformedCancellationCancelsNothing(t *testing.T) {
	ctx := context.Background()
	for name, value := range map[string][]byte{"empty": {}, "other number": {2}, "no teams": {0x80}, "numbers": {0x81, 1}, "cut": {0x81, 0x61}} {
		t.Run(name, func(t *testing.T) {
			s := newFakeStore()
			j := New(s)
			s.store.Txn(platform.Txn{Writes: []platform.Write{{Key: cancelPrefix + "j", Value: value}}})
			submitted := &Submission{Job: fullJob("j"), Caller: callerOf("a")}
			submitted.Job.Team = "a"
			j.Accept(ctx, []*Submission{submitted})
			require.Equal(t, Stored, submitted.Outcome, submitted.Err)
			c, err := j.Load(ctx)
			require.NoError(t, err)
			require.Len(t, c.DecodeErrors, 1)
			require.Empty(t, c.Cancelled)
			require.Empty(t, c.TeamCancellations)
			outcome, _, err := j.CancelFor(ctx, "j", callerOf("a"))
			require.NoError(t, err)
			require.Equal(t, Stored, outcome)
			state, _, err := j.Lookup(ctx, "j")
			require.NoError(t, err)
			require.Equal(t, ladderflow.Cancelled, state)
		})
	}
}

// TestAgainstModel submits and cancels a job for several teams in drawn orders, some calls without an answer, and
// compares what holds with a plain model of it.
func TestAgainstModel(t *testing.T) {
	ctx := context.Background()
	rapid.Check(t, func(t *rapid.T) {
		s := newFakeStore()
		j := New(s)
		stored, owner, cancelled, early := false, "", false, map[string]bool{}
		for range rapid.IntRange(1, 12).Draw(t, "calls") {
			team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
			caller := callerOf(team)
			if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
				s.unanswered, s.applyUnanswered = 1, true
			}
			foreign := stored && owner != team
			var outcome Outcome
			if rapid.Bool().Draw(t, "submit") {
				submitted := &Submission{Job: fullJob("j"), Caller: caller}
				submitted.Job.Team = team
				j.Accept(ctx, []*Submission{submitted})
				if outcome = submitted.Outcome; outcome == OutcomeUnknown {
					again := &Submission{Job: submitted.Job, Caller: caller}
					j.Accept(ctx, []*Submission{again})
					outcome = again.Outcome
				}
				if !stored {
					stored, owner, cancelled = true, team, early[team]
				}
			} else {
				if outcome, _, _ = j.CancelFor(ctx, "j", caller); outcome == OutcomeUnknown {
					outcome, _, _ = j.CancelFor(ctx, "j", caller)
				}
				cancelled = cancelled || stored && !foreign
				early[team] = early[team] || !stored
			}
			s.unanswered = 0
			require.Equal(t, foreign, outcome == OtherTeam)
			state, ok, err := j.Lookup(ctx, "j")
			require.NoError(t, err)
			require.Equal(t, stored, ok)
			if ok {
				require.Equal(t, cancelled, state == ladderflow.Cancelled)
			}
			team, _, ok, err = j.Owner(ctx, "j")
			require.NoError(t, err)
			require.Equal(t, stored, ok)
			require.Equal(t, owner, team)
		}
	})
}

// TestUnreadableJobIsNobodysForCertain submits and cancels a job that the store holds in a form that this build can't
// decode. Neither success nor refusal may be told, and nothing stored.
func TestUnreadableJobIsNobodysForCertain(t *testing.T) {
	ctx := context.Background()
	s := newFakeStore()
	j := New(s)
	s.store.Txn(platform.Txn{Writes: []platform.Write{{Key: jobPrefix + "j", Value: []byte{0x8f}}}})
	submitted := &Submission{Job: fullJob("j"), Caller: callerOf("a")}
	j.Accept(ctx, []*Submission{submitted})
	require.Equal(t, OutcomeUnknown, submitted.Outcome)
	require.Error(t, submitted.Err)
	outcome, _, err := j.CancelFor(ctx, "j", callerOf("a"))
	require.Equal(t, OutcomeUnknown, outcome)
	require.Error(t, err)
	require.Equal(t, []string{jobPrefix + "j"}, s.store.Keys("ladder/"))
}
