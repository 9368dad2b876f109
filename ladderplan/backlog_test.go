package ladderplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// TestBacklogAtStartLimit checks that a plan tells that it left tasks waiting because of unanswered
// starts, and how many tasks wait.
func TestBacklogAtStartLimit(t *testing.T) {
	h := newHarness(t, 4)
	h.planner.window = newStartWindow(3)
	h.submit("a", stepOf(2))
	require.False(t, h.plan().AtStartLimit)
	require.Empty(t, h.planner.Backlogs())
	h.submit("b", stepOf(4))
	o := h.plan()
	require.Len(t, o.Starts, 1)
	require.True(t, o.AtStartLimit)
	unanswered, limit := h.planner.StartLimit()
	require.Equal(t, []int{3, 3}, []int{unanswered, limit})
	require.Equal(t, []Backlog{{Queue: testQueue, Steps: 1, Tasks: 3}}, h.planner.Backlogs())
	require.Empty(t, h.plan().Starts)
	require.False(t, h.plan().AtStartLimit, "no placement pass was due")
}

// TestBacklogAwaitingAdvice checks that steps that wait for their first tickets are told apart.
func TestBacklogAwaitingAdvice(t *testing.T) {
	h := newHarness(t, 2)
	h.planner.fleet.Queues[0].Advice = &ladderflow.AdviceConfig{BaseTime: 10 * time.Millisecond, TicketLifetime: 2 * time.Second}
	h.planner.SetVMs([]string{"e1"})
	h.submit("a", stepOf(2))
	queries := h.plan().AdviceQueries
	require.Len(t, queries, 1)
	require.Equal(t, []Backlog{{Queue: testQueue, Steps: 1, Tasks: 2, AwaitingAdvice: 1}}, h.planner.Backlogs())
	h.planner.AdviceAnswered(h.now, queries[0], nil, time.Second, false)
	require.Equal(t, []Backlog{{Queue: testQueue, Steps: 1, Tasks: 2}}, h.planner.Backlogs())
}
