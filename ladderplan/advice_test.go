package ladderplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// TestShortQueriesLeaveRoomForLongOnes sends more short queries than the VMs can answer. A long one
// must be sent nevertheless.
func TestShortQueriesLeaveRoomForLongOnes(t *testing.T) {
	h := newHarness(t, 1)
	h.planner.SetVMs([]string{"a", "b", "c", "d", "e", "f"})
	sent := 0
	for range 600 {
		for range 20 {
			h.planner.pickVM(h.now, 20*time.Millisecond, false)
		}
		if _, ok := h.planner.pickVM(h.now, 2*longQueryCost, false); ok {
			sent++
		}
		h.advance(10 * time.Millisecond)
	}
	require.Greater(t, sent, 20)
}

// TestBacklogDoesNotAskForAllAdviceAtOnce lets more steps wait than the VMs can ask about at a time. The rest
// must ask as answers arrive, and the first ones in the order of placement first. A long query of a step
// behind them must be sent all the same.
func TestBacklogDoesNotAskForAllAdviceAtOnce(t *testing.T) {
	h := newHarness(t, 1)
	q := &h.planner.fleet.Queues[0]
	q.Advice = &ladderflow.AdviceConfig{BaseTime: 10 * time.Millisecond, TicketLifetime: 2 * time.Second}
	slow := *q
	slow.Name, slow.Advice = "slow", &ladderflow.AdviceConfig{BaseTime: 2 * longQueryCost, TicketLifetime: 2 * time.Second}
	h.planner.fleet.Queues = append(h.planner.fleet.Queues, slow)
	h.planner.SetVMs([]string{"e1", "e2"})
	for i := range 100 {
		h.submit(fmt.Sprintf("job%02d", i), stepOf(1))
	}
	last := testJob(h.now, "slow", stepOf(1))
	last.Queue = "slow"
	h.planner.AddJob(h.now, last, false)

	asked := map[string]bool{}
	for len(asked) < 100 {
		queries := h.plan().AdviceQueries
		short := 0
		for _, a := range queries {
			short += boolToInt(a.Step.Job != "slow")
			asked[a.Step.Job] = true
		}
		require.NotZero(t, short)
		require.LessOrEqual(t, short, 2*maxShortQueries)
		require.True(t, asked["slow"])
		h.advance(retryInterval)
		for _, a := range queries {
			h.planner.AdviceAnswered(h.now, a, nil, time.Second, false)
		}
	}
}

// TestStepsQueryDifferentWorkers checks that steps do not all ask about the same workers first.
func TestStepsQueryDifferentWorkers(t *testing.T) {
	const workers, jobs = 64, minReservingGangs
	for name, s := range map[string]ladderflow.Step{"gangs": gangOf(4), "single tasks": stepOf(4)} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, workers)
			h.planner.fleet.Queues[0].Advice = &ladderflow.AdviceConfig{BaseTime: 10 * time.Millisecond, TicketLifetime: 2 * time.Second}
			h.planner.SetVMs([]string{"e1", "e2"})
			queried := map[string]int{}
			for i := range jobs {
				h.submit(fmt.Sprintf("job%d", i), s)
			}
			for _, query := range h.plan().AdviceQueries {
				for _, w := range query.Workers {
					queried[w]++
				}
			}
			require.Greater(t, len(queried), workers/2)
			for w, n := range queried {
				require.LessOrEqual(t, n, jobs/2, "worker %s", w)
			}
		})
	}
}

// TestWideGangQueriesSeveralVMs checks that a gang that needs more workers than one query may name asks
// several VMs at the same time, and sends no other query before all have answered.
func TestWideGangQueriesSeveralVMs(t *testing.T) {
	const workers = maxGangQueries * maxQueryWorkers
	h := newHarness(t, workers)
	h.planner.fleet.Queues[0].Advice = &ladderflow.AdviceConfig{BaseTime: 500 * time.Millisecond, TicketLifetime: 2 * time.Second}
	h.planner.SetVMs([]string{"e1", "e2", "e3", "e4", "e5", "e6"})
	gang := gangOf(workers)
	gang.Need.Processor = 8000
	h.submit("a", gang)
	queries := h.plan().AdviceQueries
	require.Len(t, queries, maxGangQueries)
	vms, queried := map[string]bool{}, map[string]bool{}
	var tickets []ladderflow.Ticket
	for _, query := range queries {
		require.Len(t, query.Workers, maxQueryWorkers)
		vms[query.VM] = true
		for _, w := range query.Workers {
			queried[w] = true
			tickets = append(tickets, ladderflow.Ticket{Worker: w, Text: "x"})
		}
	}
	require.Len(t, vms, len(queries))
	require.Len(t, queried, workers)
	h.advance(600 * time.Millisecond)
	for i, query := range queries {
		o := h.plan()
		require.Empty(t, o.AdviceQueries, "%d answers", i)
		require.Empty(t, o.Starts, "%d answers", i)
		h.planner.AdviceAnswered(h.now, query, tickets[i*maxQueryWorkers:(i+1)*maxQueryWorkers], 2*time.Second, false)
	}
	require.Len(t, h.plan().Starts, workers)
}

func TestEvenPart(t *testing.T) {
	for name, c := range map[string]struct{ n, most, want int }{
		"one part":          {7, 100, 7},
		"a full part":       {100, 100, 100},
		"two even parts":    {102, 100, 51},
		"parts that differ": {101, 100, 51},
		"three parts":       {300, 100, 100},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, evenPart(c.n, c.most))
		})
	}
}
