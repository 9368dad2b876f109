package ladderplan

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// TestRoundsInProgressAreBounded makes all rounds of a job due at once.
func TestRoundsInProgressAreBounded(t *testing.T) {
	h := newHarness(t, 1)
	j := testJob(h.now, "a", stepOf(2000))
	j.Rounds, j.FirstDue = 1000, h.now
	h.planner.AddJob(h.now, j, false)
	h.plan()
	require.Len(t, h.planner.jobs["a"].rounds, ladderflow.MaxTasks/2000)
}
