package ladderplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// endOf returns the end of run 1 of a job's first task.
func endOf(job string, sequence int64) ladderflow.EndedRun {
	return ladderflow.EndedRun{
		Sequence: sequence, Run: ladderflow.Run{Task: ladderflow.Task{Job: job}, Number: 1}, Reason: ladderflow.EndDone,
	}
}

// acknowledged stores all changes and returns the last end that the next poll of w0 acknowledges.
func (h *harness) acknowledged() int64 {
	h.storeAll()
	next, ok := h.planner.NextPoll(h.now, "w0")
	require.True(h.t, ok)
	return next.Acknowledged
}

// TestEndOfUnknownJobIsNotAcknowledged lets a worker list the end of a job that this leader does not
// know yet: an earlier leader was told of the job after this one had read the store, and started it. If
// the end were acknowledged, the worker would forget it, and the job would run again once this leader
// learns of it.
func TestEndOfUnknownJobIsNotAcknowledged(t *testing.T) {
	for name, scheduled := range map[string]bool{"job": false, "job with a schedule": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.submit("b", stepOf(1))
			b := h.startAll()[0]
			require.Equal(t, "w0", b.Worker.ID)
			h.poll("w0", ladderflow.StatusReport{Ended: []ladderflow.EndedRun{
				endOf("a", 1), {Sequence: 2, Run: b.Run, Reason: ladderflow.EndDone},
			}})
			require.Zero(t, h.acknowledged())
			require.Equal(t, ladderflow.Done, h.planner.View(h.now, "b").State, "the end of a job that is known counts at once")

			j := testJob(h.now, "a", stepOf(1))
			if scheduled {
				j.Rounds, j.FirstDue, j.Interval = 1, h.now, time.Second
			}
			h.planner.AddJob(h.now, j, false)
			require.Empty(t, h.startAll(), "the job has run")
			require.EqualValues(t, 2, h.acknowledged())
			require.Equal(t, ladderflow.Done, h.planner.View(h.now, "a").State)
		})
	}
}

// TestEndOfJobReadLate lets the leader read the jobs from the store long after a worker has listed the end
// of one of them, or lets the clock by which a round is due jump back.
func TestEndOfJobReadLate(t *testing.T) {
	for name, scheduled := range map[string]bool{"job": false, "round that is due later": true} {
		t.Run(name, func(t *testing.T) {
			const late = 6 * time.Second
			h := newHarness(t, 2)
			j := testJob(h.now, "a", stepOf(1))
			if scheduled {
				j.Rounds, j.FirstDue, j.Interval = 1, h.now.Add(late), time.Second
				h.planner.AddJob(h.now, j, true)
			}
			h.poll("w0", ladderflow.StatusReport{Ended: []ladderflow.EndedRun{endOf("a", 1)}})
			for range late / time.Second {
				h.plan()
				require.Zero(t, h.acknowledged())
				h.advance(time.Second)
				if scheduled {
					h.planner.SetJobsReadAt(h.now)
				}
				h.poll("w0", ladderflow.StatusReport{Ended: []ladderflow.EndedRun{endOf("a", 1)}})
				h.poll("w1", ladderflow.StatusReport{})
			}
			h.planner.AddJob(h.now, j, false)
			require.Empty(t, h.startAll(), "the job has run")
			require.EqualValues(t, 1, h.acknowledged())
			require.Equal(t, ladderflow.Done, h.planner.View(h.now, "a").State)
		})
	}
}

// TestEndOfUnknownJobIsAcknowledgedInTime checks that the end of a job that stays unknown is
// acknowledged once the jobs were read after it was listed, and that a new incarnation's ends don't
// wait for it.
func TestEndOfUnknownJobIsAcknowledgedInTime(t *testing.T) {
	h := newHarness(t, 2)
	seenAt := h.now
	h.poll("w0", ladderflow.StatusReport{Ended: []ladderflow.EndedRun{endOf("a", 1)}})
	h.plan()
	require.Zero(t, h.acknowledged())
	h.advance(time.Hour)
	h.planner.SetJobsReadAt(seenAt.Add(-time.Millisecond))
	h.plan()
	require.Zero(t, h.acknowledged())
	h.planner.SetJobsReadAt(seenAt)
	h.plan()
	require.EqualValues(t, 1, h.acknowledged())

	h.poll("w0", ladderflow.StatusReport{Ended: []ladderflow.EndedRun{endOf("c", 2)}})
	h.advance(time.Millisecond)
	h.submit("b", stepOf(1))
	h.poll("w0", ladderflow.StatusReport{Incarnation: 2, Ended: []ladderflow.EndedRun{endOf("b", 1)}})
	require.EqualValues(t, 1, h.acknowledged())
}

// TestRunOfUnknownJobIsAdopted lets a worker list a run of a job that this leader does not know yet. The
// run must not be stopped and started again elsewhere, and nothing may start beside it, since its size
// is unknown.
func TestRunOfUnknownJobIsAdopted(t *testing.T) {
	h := newHarness(t, 1)
	name := ladderflow.Run{Task: ladderflow.Task{Job: "a"}, Number: 1}
	running := map[string][]ladderflow.ActiveRun{"w0": {{Run: name, Percent: 10}}}
	h.pollAll(running)
	h.submit("b", stepOf(1))
	o := h.plan()
	require.Empty(t, o.Stops)
	require.Empty(t, o.Starts)
	h.planner.AddJob(h.now, testJob(h.now, "a", stepOf(1)), false)
	h.advance(idlePassInterval)
	h.pollAll(running)
	o = h.plan()
	require.Empty(t, o.Stops)
	require.Len(t, o.Starts, 1)
	require.Equal(t, "b", o.Starts[0].Run.Task.Job)
	require.Equal(t, 4000, h.planner.workers["w0"].free.Processor)
}

// TestRunOfJobThatStaysUnknownIsStopped checks that a run whose job stays unknown is stopped, but not
// before the jobs were read after it was listed.
func TestRunOfJobThatStaysUnknownIsStopped(t *testing.T) {
	h := newHarness(t, 1)
	name := ladderflow.Run{Task: ladderflow.Task{Job: "a"}, Number: 1}
	running := map[string][]ladderflow.ActiveRun{"w0": {{Run: name, Percent: 10}}}
	seenAt := h.now
	h.pollAll(running)
	h.advance(time.Hour)
	h.planner.SetJobsReadAt(seenAt.Add(-time.Millisecond))
	h.pollAll(running)
	require.Empty(t, h.plan().Stops)
	h.planner.SetJobsReadAt(seenAt)
	h.pollAll(running)
	require.Len(t, h.plan().Stops, 1)
}

// TestHeldEndOutlivesItsWorkersEntry lets a worker lose its entry, and get it back, after it has listed the end of
// a job that the leader reads late.
func TestHeldEndOutlivesItsWorkersEntry(t *testing.T) {
	h := newHarness(t, 2)
	h.poll("w0", ladderflow.StatusReport{Ended: []ladderflow.EndedRun{endOf("a", 1)}})
	h.planner.SetWorkers(h.now, []ladderflow.Worker{testWorker(1)})
	h.advance(500 * time.Millisecond)
	h.pollAll(nil)
	h.submit("a", stepOf(1))
	require.Empty(t, h.plan().Starts, "the job has run on w0")
}
