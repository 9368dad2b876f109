package ladderplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// withoutQueue is a configuration from which the test queue was removed, or to which it was not added yet.
func withoutQueue() *ladderflow.FleetConfig { return &ladderflow.FleetConfig{Version: 2} }

// TestJobOfRemovedQueueKeepsItsAttempts fails the first run of a job while the configuration lacks its queue.
func TestJobOfRemovedQueueKeepsItsAttempts(t *testing.T) {
	const attempts = 3
	for name, takeover := range map[string]bool{"same leader": false, "new leader, to which the queue is unknown": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			j := testJob(h.now, "a", stepOf(1))
			j.Rules = &ladderflow.Queue{Name: testQueue, Service: testService, MaxFailures: attempts, ObjectiveFactor: 2, BaseObjective: time.Second}
			h.planner.AddJob(h.now, j, false)
			h.planner.SetFleet(withoutQueue())
			for i := 1; i < attempts; i++ {
				starts := h.startSoon()
				require.Len(t, starts, 1, "run %d", i)
				h.endRun(starts[0], ladderflow.EndFailed)
				require.True(t, h.planner.jobs["a"].active(), "%d of %d runs have failed", i, attempts)
				if takeover {
					h = h.nextLeader([]*ladderflow.Job{j}, h.planner.NextBatch().Records, 2)
					h.pollAll(nil)
				}
				h.advance(10 * time.Second)
				h.pollAll(nil)
			}
			starts := h.startSoon()
			require.Len(t, starts, 1)
			h.endRun(starts[0], ladderflow.EndFailed)
			require.Equal(t, ladderflow.Failed, h.planner.jobs["a"].state)
		})
	}
}

// TestRemovedQueueKeepsPriorityAndObjective compares how a job ranks before and after the removal of its queue.
func TestRemovedQueueKeepsPriorityAndObjective(t *testing.T) {
	h := newHarness(t, 1)
	j := testJob(h.now, "a", stepOf(1))
	j.Rules, _ = h.planner.fleet.Queue(testQueue)
	h.planner.AddJob(h.now, j, false)
	s := h.planner.jobs["a"].rounds[0].steps[0]
	before := h.planner.rank(h.now, s)
	h.planner.SetFleet(withoutQueue())
	require.Equal(t, before, h.planner.rank(h.now, s))
}

// TestChangedQueueAppliesToItsJobs changes the attempts of a queue, which the configuration still has.
func TestChangedQueueAppliesToItsJobs(t *testing.T) {
	h := newHarness(t, 1)
	j := testJob(h.now, "a", stepOf(1))
	j.Rules = &ladderflow.Queue{Name: testQueue, Service: testService, MaxFailures: 1}
	h.planner.AddJob(h.now, j, false)
	h.endRun(h.startAll()[0], ladderflow.EndFailed)
	require.True(t, h.planner.jobs["a"].active(), "the present configuration allows two failures")
}

// TestStepOfRemovedQueueWaitsForTicket removes a queue with advice before the second step of its job.
func TestStepOfRemovedQueueWaitsForTicket(t *testing.T) {
	h := newHarness(t, 2)
	h.planner.SetVMs([]string{"e1"})
	j := testJob(h.now, "a", stepOf(1))
	j.Rules = &ladderflow.Queue{
		Name: testQueue, Service: testService, MaxFailures: 2, ObjectiveFactor: 2,
		Advice: &ladderflow.AdviceConfig{BaseTime: 10 * time.Millisecond, TicketLifetime: 2 * time.Second},
	}
	h.planner.AddJob(h.now, j, false)
	h.planner.SetFleet(withoutQueue())
	o := h.plan()
	require.Empty(t, o.Starts, "a start without a ticket would be refused")
	require.Len(t, o.AdviceQueries, 1)
	h.planner.AdviceAnswered(h.now, o.AdviceQueries[0], []ladderflow.Ticket{{Worker: "w1", Text: "x"}}, 2*time.Second, false)
	starts := h.startAll()
	require.Len(t, starts, 1)
	require.Equal(t, "x", starts[0].Ticket)
}

// TestStartRefusedForWantOfTicketIsNotRepeatedAtOnce refuses starts of a queue without advice for want of a ticket.
func TestStartRefusedForWantOfTicketIsNotRepeatedAtOnce(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("a", stepOf(1))
	starts := 0
	for range 100 {
		for _, s := range h.plan().Starts {
			starts++
			h.planner.StartSettled(h.now, s.Worker.ID, s.Run, Result{Refusal: ladderflow.RefusedTicket})
		}
		h.advance(10 * time.Millisecond)
		h.pollAll(nil)
	}
	require.LessOrEqual(t, starts, 4, "two workers in a second")
	require.Positive(t, starts)
}
