package ladderplan

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// TestCancellationOfAnotherTeam tells a leader of a job and of cancellations in all orders. One by another team must
// have no effect, also if it came first, and must be forgotten with the job's arrival.
func TestCancellationOfAnotherTeam(t *testing.T) {
	for name, c := range map[string]struct {
		steps string // j: the job of team a. a, b: a cancellation by a team. c: one that counts for all teams.
		want  ladderflow.State
	}{
		"its own, after":               {"ja", ladderflow.Cancelled},
		"its own, before":              {"aj", ladderflow.Cancelled},
		"another's, after":             {"jb", ladderflow.Queued},
		"another's, before":            {"bj", ladderflow.Queued},
		"another's, around":            {"bjb", ladderflow.Queued},
		"both, before":                 {"baj", ladderflow.Cancelled},
		"both, around":                 {"bja", ladderflow.Cancelled},
		"another's, then anybody's":    {"bcj", ladderflow.Cancelled},
		"anybody's, then another's":    {"cbj", ladderflow.Cancelled},
		"another's, anybody's after":   {"bjc", ladderflow.Cancelled},
		"another's, job, then its own": {"bbjab", ladderflow.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			j := testJob(h.now, "a", stepOf(2))
			j.Team = "a"
			for _, s := range c.steps {
				switch s {
				case 'j':
					h.planner.AddJob(h.now, j, false)
				case 'c':
					h.planner.Cancel(h.now, "a")
				default:
					h.planner.CancelFor(h.now, ladderflow.Cancellation{Job: "a", Teams: []string{string(s)}})
				}
			}
			require.Equal(t, View{Known: true, State: c.want}, h.planner.View(h.now, "a"))
			require.Empty(t, h.planner.cancellations)
			require.Empty(t, h.planner.cancellationTeams)
		})
	}
}

// TestUnknownCancellationOfATeamExpires checks that cancellations of jobs that never come are forgotten.
func TestUnknownCancellationOfATeamExpires(t *testing.T) {
	h := newHarness(t, 1)
	h.planner.CancelFor(h.now, ladderflow.Cancellation{Job: "x", Teams: []string{"a"}})
	ids := h.planner.ExpiredCancellations(h.now.Add(2*h.planner.options.JobRetention+1), 9)
	require.Equal(t, []string{"x"}, ids)
	b := &Batch{CancellationsToDelete: ids}
	h.planner.BatchStored(b)
	require.Empty(t, h.planner.cancellations)
	require.Empty(t, h.planner.cancellationTeams)
}
