package ladderplan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// TestGangQueriesUnknownWorkers checks that a gang waiting for the only worker that it knows to be
// allowed queries advice about idle workers as well.
func TestGangQueriesUnknownWorkers(t *testing.T) {
	h := newHarness(t, 6)
	h.submit("long", ladderflow.Step{Tasks: 1, Need: ladderflow.Size{Processor: 8000}, Estimate: time.Minute})
	busy := h.startAll()[0].Worker.ID
	h.planner.fleet.Queues[0].Advice = &ladderflow.AdviceConfig{BaseTime: 10 * time.Millisecond, TicketLifetime: 2 * time.Second}
	h.planner.SetVMs([]string{"e1"})
	h.submit("a", gangOf(3))
	queries := h.plan().AdviceQueries
	require.Len(t, queries, 1)
	// Of the workers in the first query, only the busy one is allowed.
	query := queries[0]
	query.Workers = []string{busy}
	h.planner.AdviceAnswered(h.now, query, []ladderflow.Ticket{{Worker: busy, Text: "x"}}, 2*time.Second, false)
	queries = h.plan().AdviceQueries
	require.Len(t, queries, 1)
	require.NotContains(t, queries[0].Workers, busy)
	h.planner.AdviceAnswered(h.now, queries[0], []ladderflow.Ticket{{Worker: queries[0].Workers[0], Text: "x"}}, 2*time.Second, false)
	require.Len(t, h.startAll(), 3)
}

// TestProbationEnds checks that a gang, which starts on no worker on probation, starts once the
// probation of all workers has ended.
func TestProbationEnds(t *testing.T) {
	h := newHarness(t, 2)
	for _, w := range h.planner.workers {
		w.backOff(h.now)
	}
	h.submit("a", gangOf(3))
	require.Empty(t, h.plan().Starts)
	h.advance(excludeTime + probationTime + time.Millisecond)
	h.pollAll(nil)
	require.Len(t, h.plan().Starts, 3)
}

// TestGangWithoutAdvice checks that a gang of a queue without advice waits for capacity.
func TestGangWithoutAdvice(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("a", stepOf(4))
	first := h.startAll()
	h.submit("b", gangOf(4))
	require.Empty(t, h.startAll())
	for _, s := range first {
		h.endRun(s, ladderflow.EndDone)
	}
	require.Len(t, h.startAll(), 4)
}

// TestGangTooLargeForItsWorkers submits more gangs that are too large for their workers than may
// reserve workers at the same time. A smaller gang behind them must start nevertheless.
func TestGangTooLargeForItsWorkers(t *testing.T) {
	for name, large := range map[string]ladderflow.Step{
		"too many members": gangOf(9),
		"only one worker has the label": func() ladderflow.Step {
			s := gangOf(5)
			s.WorkerLabel = "r1"
			return s
		}(),
		"at most one member per worker": func() ladderflow.Step {
			s := gangOf(3)
			s.MaxPerWorker = 1
			s.WorkerLabel = "r0"
			s.Need.Processor = 5000
			s.Tasks = 5
			return s
		}(),
	} {
		t.Run(name, func(t *testing.T) {
			workers := 2
			if large.WorkerLabel != "" {
				workers = 5
			}
			h := newHarness(t, workers)
			h.planner.fleet.Queues[0].Advice = &ladderflow.AdviceConfig{BaseTime: 10 * time.Millisecond, TicketLifetime: 2 * time.Second}
			h.planner.SetVMs([]string{"e1"})
			for i := range minReservingGangs + 1 {
				h.submit(fmt.Sprintf("large%d", i), large)
			}
			h.advance(time.Millisecond)
			h.submit("small", gangOf(2))
			for range 100 {
				o := h.plan()
				if len(o.Starts) > 0 {
					require.Equal(t, "small", o.Starts[0].Run.Task.Job)
					return
				}
				h.advance(idlePassInterval)
				for _, query := range o.AdviceQueries {
					var allowed []ladderflow.Ticket
					for _, w := range query.Workers {
						allowed = append(allowed, ladderflow.Ticket{Worker: w, Text: "x"})
					}
					h.planner.AdviceAnswered(h.now, query, allowed, 2*time.Second, false)
				}
				h.pollAll(nil)
			}
			t.Fatal("the small gang did not start")
		})
	}
}

// TestGangOnWorkersWithoutRack submits a gang that prefers a single rack. It fits in no rack, and
// part of it fits on the workers without a rack. It must start on several.
func TestGangOnWorkersWithoutRack(t *testing.T) {
	h := newHarness(t, 2)
	for _, w := range h.planner.workers {
		if w.spec.ID == "w0" {
			w.spec.Labels = nil
		}
	}
	s := gangOf(6)
	s.PreferSameRack = true
	h.submit("a", s)
	require.Len(t, h.startAll(), 6)
}

// TestEarlierEndDoesNotStopGang lists the end of a gang's first run after its second run has started.
func TestEarlierEndDoesNotStopGang(t *testing.T) {
	for _, reason := range []ladderflow.EndReason{ladderflow.EndLeaseExpired, ladderflow.EndStopped, ladderflow.EndFailed} {
		t.Run(string(reason), func(t *testing.T) {
			h := newHarness(t, 2)
			h.planner.fleet.Queues[0].BaseObjective = time.Minute
			h.submit("a", gangOf(2))
			for _, s := range h.startAll() {
				h.planner.PollFailed(s.Worker.ID, false)
			}
			h.advance(20 * time.Second)
			h.plan() // The leases have expired.
			h.pollAll(nil)
			h.advance(idlePassInterval)
			second := h.startAll()
			require.Len(t, second, 2)
			require.Equal(t, 2, second[0].Run.Number)
			first := second[0]
			first.Run.Number = 1
			h.ends[first.Worker.ID]++
			h.poll(first.Worker.ID, ladderflow.StatusReport{
				Running: h.otherRuns(first),
				Ended:   []ladderflow.EndedRun{{Sequence: h.ends[first.Worker.ID], Run: first.Run, Reason: reason}},
			})
			require.Empty(t, h.plan().Stops)
		})
	}
}

// TestGangQueriesBesideReservedWorkers checks that a gang queries advice about idle workers while those
// that it is allowed on are reserved for another gang.
func TestGangQueriesBesideReservedWorkers(t *testing.T) {
	h := newHarness(t, 6)
	h.planner.fleet.Queues[0].Priority = 1 // Urgent gangs ignore reservations.
	h.submit("long", ladderflow.Step{Tasks: 1, Need: ladderflow.Size{Processor: 8000}, Estimate: time.Minute})
	busy := h.startAll()[0].Worker.ID
	h.planner.fleet.Queues[0].Advice = &ladderflow.AdviceConfig{BaseTime: 10 * time.Millisecond, TicketLifetime: 2 * time.Second}
	h.planner.SetVMs([]string{"e1", "e2"})
	idle := slices.DeleteFunc([]string{"w0", "w1", "w2", "w3", "w4", "w5"}, func(id string) bool { return id == busy })
	answer := func(job string, denied []string, allowed ...string) {
		var tickets []ladderflow.Ticket
		for _, w := range allowed {
			tickets = append(tickets, ladderflow.Ticket{Worker: w, Text: "x"})
		}
		query := AdviceQuery{VM: "e1", Step: ladderflow.StepRef{Job: job}, Workers: slices.Concat(denied, allowed)}
		h.planner.AdviceAnswered(h.now, query, tickets, 2*time.Second, false)
	}
	h.submit("a", gangOf(9))
	answer("a", idle[2:], busy, idle[0], idle[1])
	h.advance(time.Millisecond)
	h.submit("b", gangOf(8))
	answer("b", nil, idle[0], idle[1])
	o := h.plan()
	require.Empty(t, o.Starts)
	queries := slices.DeleteFunc(o.AdviceQueries, func(q AdviceQuery) bool { return q.Step.Job != "b" })
	require.Len(t, queries, 1)
	require.Subset(t, queries[0].Workers, idle[2:])
}

// TestGangQueriesUnknownWorkersUntilItFits checks that a gang that expects to fit on its workers soon queries
// advice about idle workers as well.
func TestGangQueriesUnknownWorkersUntilItFits(t *testing.T) {
	h := newHarness(t, 6)
	h.submit("short", ladderflow.Step{Tasks: 1, Need: ladderflow.Size{Processor: 8000}, Estimate: 200 * time.Millisecond})
	busy := h.startAll()[0].Worker.ID
	h.planner.fleet.Queues[0].Advice = &ladderflow.AdviceConfig{BaseTime: 500 * time.Millisecond, TicketLifetime: 2 * time.Second}
	h.planner.SetVMs([]string{"e1"})
	h.submit("a", gangOf(9))
	idle := slices.DeleteFunc([]string{"w0", "w1", "w2", "w3", "w4", "w5"}, func(id string) bool { return id == busy })
	var tickets []ladderflow.Ticket
	for _, w := range []string{busy, idle[0], idle[1]} {
		tickets = append(tickets, ladderflow.Ticket{Worker: w, Text: "x"})
	}
	h.planner.AdviceAnswered(h.now, AdviceQuery{VM: "e1", Step: ladderflow.StepRef{Job: "a"}}, tickets, 2*time.Second, false)
	queries := h.plan().AdviceQueries
	require.Len(t, queries, 1)
	require.ElementsMatch(t, idle[2:], queries[0].Workers)
}
