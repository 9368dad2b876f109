package ladderplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// TestRecordKeepsProgress passes a job in progress to the next leader as a record. Successes,
// failures, checkpoints and run numbers must be preserved.
func TestRecordKeepsProgress(t *testing.T) {
	h := newHarness(t, 2)
	h.planner.fleet.Queues[0].MaxFailures = 2
	j := testJob(h.now, "a", stepOf(3), after(stepOf(1), 0))
	h.planner.AddJob(h.now, j, false)
	starts := h.startAll()
	require.Len(t, starts, 3)
	h.endRun(starts[0], ladderflow.EndDone)
	h.endRun(starts[1], ladderflow.EndFailed)
	w := starts[2].Worker.ID
	h.ends[w]++
	h.poll(w, ladderflow.StatusReport{Running: h.otherRuns(starts[2]), Ended: []ladderflow.EndedRun{{
		Sequence: h.ends[w], Run: starts[2].Run, Reason: ladderflow.EndStopped, Checkpoint: "half",
	}}})
	records := h.planner.NextBatch().Records
	require.Len(t, records, 1)

	next := h.nextLeader([]*ladderflow.Job{j}, records, 2)
	next.pollAll(nil)
	again := next.startAll()
	require.Len(t, again, 2, "the task that succeeded is not started again")
	for _, s := range again {
		require.Equal(t, 2, s.Run.Number)
		if s.Run.Task.Index == starts[2].Run.Task.Index {
			require.Equal(t, "half", s.Checkpoint)
		}
	}
	for _, s := range again {
		if s.Run.Task.Index == starts[1].Run.Task.Index {
			next.endRun(s, ladderflow.EndFailed)
		}
	}
	require.Equal(t, ladderflow.Failed, next.planner.jobs["a"].state, "the failure under the earlier leader counts")
}

// TestRounds checks that the rounds of a scheduled job start when they are due, and that the next
// leader does not repeat them.
func TestRounds(t *testing.T) {
	h := newHarness(t, 2)
	j := testJob(h.now, "a", stepOf(1))
	j.Rounds, j.FirstDue, j.Interval = 3, h.now.Add(time.Second), 2*time.Second
	h.planner.AddJob(h.now, j, false)
	require.Empty(t, h.startAll())
	h.advance(time.Second)
	h.pollAll(nil)
	first := h.startAll()
	require.Len(t, first, 1)
	h.endRun(first[0], ladderflow.EndDone)
	records := h.planner.NextBatch().Records
	next := h.nextLeader([]*ladderflow.Job{j}, records, 2)
	next.pollAll(nil)
	require.Empty(t, next.startAll())
	for round := 1; round < 3; round++ {
		next.advance(2 * time.Second)
		next.pollAll(nil)
		starts := next.startAll()
		require.Len(t, starts, 1)
		require.Equal(t, round, starts[0].Run.Task.Round)
		next.ends = map[string]int64{}
		next.planner.workers[starts[0].Worker.ID].lastSeenEnd = 0
		next.endRun(starts[0], ladderflow.EndDone)
	}
	require.Equal(t, ladderflow.Done, next.planner.jobs["a"].state)
}

// TestLeaseByTheSlowestClock checks that the task of an unresponsive worker does not start elsewhere
// before the worker's lease has ended by the slowest clock that the platform allows.
func TestLeaseByTheSlowestClock(t *testing.T) {
	h := newHarness(t, 2)
	h.advance(11 * time.Second)
	h.pollAll(nil)
	h.submit("a", stepOf(1))
	s := h.startAll()[0]
	granted := h.planner.workers[s.Worker.ID].leaseEnd - h.planner.workers[s.Worker.ID].clock
	h.planner.PollFailed(s.Worker.ID, false)
	slow := granted * 100 / 98
	h.advance(slow - 10*time.Millisecond)
	for id := range h.clock {
		if id != s.Worker.ID {
			h.poll(id, ladderflow.StatusReport{})
		}
	}
	require.Empty(t, h.plan().Starts)
	h.advance(500 * time.Millisecond)
	require.Len(t, h.plan().Starts, 1)
}

// TestStaleReportIsIgnored delivers a status report that still lists a run after a newer report has
// listed its end. The run must be neither adopted nor counted against the worker's capacity.
func TestStaleReportIsIgnored(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("a", stepOf(1))
	s := h.startAll()[0]
	h.endRun(s, ladderflow.EndFailed)
	free := h.planner.workers["w0"].free
	h.poll("w0", ladderflow.StatusReport{Running: []ladderflow.ActiveRun{{Run: s.Run}}})
	require.Equal(t, free, h.planner.workers["w0"].free)
	starts := h.startAll()
	require.Len(t, starts, 1)
	require.Equal(t, 2, starts[0].Run.Number)
}

// TestUnresponsiveWorkerGetsNoAcknowledgment checks that a poll of a worker that did not answer the
// last one acknowledges no ends: the worker may have restarted, and none of its new ends is stored.
func TestUnresponsiveWorkerGetsNoAcknowledgment(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("a", stepOf(1))
	h.endRun(h.startAll()[0], ladderflow.EndDone)
	h.storeAll()
	next, _ := h.planner.NextPoll(h.now, "w0")
	require.Equal(t, int64(1), next.Acknowledged)
	h.planner.PollFailed("w0", false)
	next, _ = h.planner.NextPoll(h.now, "w0")
	require.Zero(t, next.Acknowledged)
	h.poll("w0", ladderflow.StatusReport{Incarnation: 9})
	next, _ = h.planner.NextPoll(h.now, "w0")
	require.Zero(t, next.Acknowledged, "no end of the new incarnation is stored")
}

// TestDelegatedLeaseExpires keeps recording delegated renewals for a worker that does not answer,
// as a leader does for all workers of a delegate. The worker's task must start elsewhere, but not
// before the lease that the delegate may have granted has expired.
func TestDelegatedLeaseExpires(t *testing.T) {
	const interval, span = 400 * time.Millisecond, 1200 * time.Millisecond
	h := newHarness(t, 2)
	h.advance(h.planner.options.MaxLeaseDuration) // Leases granted by an earlier leader have expired.
	h.pollAll(nil)
	h.submit("a", stepOf(1))
	first := h.startAll()[0]
	h.planner.DelegateLease(h.now, first.Worker.ID, span)
	h.planner.PollFailed(first.Worker.ID, false)
	other := map[string]string{"w0": "w1", "w1": "w0"}[first.Worker.ID]
	for passed := time.Duration(0); passed < span+h.planner.options.LeaseDuration; passed += interval {
		require.Empty(t, h.plan().Starts, "after %v", passed)
		h.advance(interval)
		h.poll(other, ladderflow.StatusReport{})
		h.planner.DelegateLease(h.now, first.Worker.ID, span)
	}
	h.advance(time.Second)
	h.poll(other, ladderflow.StatusReport{})
	require.Len(t, h.plan().Starts, 1)
}

// TestDeletedJobDoesNotStartAgain adds a job that was deleted from the store, as a slow read of the
// store does that began before. A job that is handed in again under the same id must start.
func TestDeletedJobDoesNotStartAgain(t *testing.T) {
	h := newHarness(t, 1)
	j := testJob(h.now, "a", stepOf(1))
	h.planner.AddJob(h.now, j, false)
	h.endRun(h.startAll()[0], ladderflow.EndDone)
	h.storeAll()
	b := h.planner.NextBatch()
	b.JobsToDelete = []string{"a"}
	h.planner.BatchStored(b)
	h.advance(time.Second)
	h.pollAll(nil)
	h.planner.AddJob(h.now, testJob(j.Accepted, "a", stepOf(1)), false)
	require.Empty(t, h.startAll())
	require.False(t, h.planner.View(h.now, "a").Known)

	h.planner.AddJob(h.now, testJob(h.now, "a", stepOf(1)), false)
	require.Len(t, h.startAll(), 1)
}
