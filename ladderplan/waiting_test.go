package ladderplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// TestGangBacklogNamesReason checks that the backlog of gangs tells what holds up the oldest one.
func TestGangBacklogNamesReason(t *testing.T) {
	withAdvice := func(h *harness) {
		h.planner.fleet.Queues[0].Advice = &ladderflow.AdviceConfig{BaseTime: 10 * time.Millisecond, TicketLifetime: 2 * time.Second}
		h.planner.SetVMs([]string{"e1"})
	}
	// answer answers the queries of the last plan with tickets for the given workers.
	answer := func(h *harness, workers ...string) {
		var tickets []ladderflow.Ticket
		for _, w := range workers {
			tickets = append(tickets, ladderflow.Ticket{Worker: w, Text: "x"})
		}
		for _, query := range h.orders.AdviceQueries {
			h.planner.AdviceAnswered(h.now, query, tickets, 2*time.Second, false)
		}
	}
	occupy := func(h *harness, tasks int) {
		h.submit("busy", ladderflow.Step{Tasks: tasks, Need: ladderflow.Size{Processor: 8000}, Estimate: time.Minute})
		require.Len(h.t, h.startAll(), tasks)
	}
	for name, c := range map[string]struct {
		workers int
		setUp   func(h *harness)
		want    WaitingGang
	}{
		"no advice yet": {2, withAdvice, WaitingGang{Reason: "no advice yet", Querying: true, Slots: 8}},
		"allowed on too few workers": {2, func(h *harness) {
			withAdvice(h)
			h.submit("a", gangOf(5))
			h.plan()
			answer(h, "w1")
		}, WaitingGang{Reason: "allowed on too few workers", Allowed: 1, Denied: 1, Slots: 8, AllowedSlots: 4, UnreservedSlots: 4, TicketSlots: 4}},
		"too little room": {
			2, func(h *harness) { occupy(h, 1) },
			WaitingGang{Reason: "its workers have too little room", Slots: 4, AllowedSlots: 4, UnreservedSlots: 4, TicketSlots: 4, Reserved: 2, StartsIn: time.Minute},
		},
		"too large": {
			1, func(*harness) {},
			WaitingGang{Reason: "too large for its workers", Slots: 4, AllowedSlots: 4, UnreservedSlots: 4, TicketSlots: 4},
		},
		"too many starts": {2, func(h *harness) {
			h.planner.window = newStartWindow(1)
			h.submit("busy", stepOf(2))
			require.Len(h.t, h.plan().Starts, 1)
		}, WaitingGang{Reason: "too many starts are unanswered", Slots: 7, AllowedSlots: 7, UnreservedSlots: 7, TicketSlots: 7}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, c.workers)
			_, ok := h.planner.GangBacklog(h.now)
			require.False(t, ok)
			c.setUp(h)
			if h.planner.jobs["a"] == nil {
				h.submit("a", gangOf(5))
			}
			h.plan()
			b, ok := h.planner.GangBacklog(h.now)
			require.True(t, ok)
			require.Equal(t, []ReasonCount{{c.want.Reason, 1}}, b.Reasons)
			require.InDelta(t, c.want.StartsIn, b.Oldest.StartsIn, float64(10*time.Millisecond))
			c.want.Step, c.want.Queue, c.want.Members = ladderflow.StepRef{Job: "a"}, testQueue, 5
			c.want.Age, c.want.Need, c.want.StartsIn = b.Oldest.Age, gangOf(5).Need, b.Oldest.StartsIn
			require.Equal(t, c.want, b.Oldest)
		})
	}
}

// TestGangBacklogCountsReasons checks that gangs without a reservation are counted by what they lack.
func TestGangBacklogCountsReasons(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("busy", ladderflow.Step{Tasks: 2, Need: ladderflow.Size{Processor: 8000}, Estimate: time.Minute})
	require.Len(t, h.startAll(), 2)
	for i := range minReservingGangs + 2 {
		h.submit(fmt.Sprintf("a%d", i), gangOf(5))
	}
	h.plan()
	b, ok := h.planner.GangBacklog(h.now)
	require.True(t, ok)
	require.Equal(t, minReservingGangs+2, b.Steps)
	require.Equal(t, "a0", b.Oldest.Step.Job)
	require.Equal(t, []ReasonCount{
		{"its workers are reserved for other gangs", minReservingGangs - 1}, {"too many gangs have reservations", 2}, {"its workers have too little room", 1},
	}, b.Reasons)
	require.Equal(t, "2: too many gangs have reservations", b.Reasons[1].String())
}
