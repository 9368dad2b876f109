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
	b := newBed(t, 2)
	b.planner.fleet.Queues[0].Attempts = 2
	j := testJob(b.now, "a", tasks(3), after(tasks(1), 0))
	b.planner.AddJob(b.now, j, false)
	starts := b.begin()
	require.Len(t, starts, 3)
	b.end(starts[0], ladderflow.EndDone)
	b.end(starts[1], ladderflow.EndFailed)
	w := starts[2].Worker.ID
	b.ends[w]++
	b.look(w, ladderflow.Look{Running: b.rest(starts[2]), Ended: []ladderflow.EndedRun{{
		Number: b.ends[w], Run: starts[2].Run, How: ladderflow.EndStopped, Saved: "half",
	}}})
	records := b.planner.Unsaved().Records
	require.Len(t, records, 1)

	next := b.heir([]*ladderflow.Job{j}, records, 2)
	next.lookAll(nil)
	again := next.begin()
	require.Len(t, again, 2, "what has ended well is not started again")
	for _, s := range again {
		require.Equal(t, 2, s.Run.Number)
		if s.Run.Task.Index == starts[2].Run.Task.Index {
			require.Equal(t, "half", s.Saved)
		}
	}
	for _, s := range again {
		if s.Run.Task.Index == starts[1].Run.Task.Index {
			next.end(s, ladderflow.EndFailed)
		}
	}
	require.Equal(t, ladderflow.Failed, next.planner.jobs["a"].state, "the failure before counts")
}

// TestRounds checks that the rounds of a timed job start when they are due, and that the next
// leader does not repeat them.
func TestRounds(t *testing.T) {
	b := newBed(t, 2)
	j := testJob(b.now, "a", tasks(1))
	j.Rounds, j.First, j.Every = 3, b.now.Add(time.Second), 2*time.Second
	b.planner.AddJob(b.now, j, false)
	require.Empty(t, b.begin())
	b.pass(time.Second)
	b.lookAll(nil)
	first := b.begin()
	require.Len(t, first, 1)
	b.end(first[0], ladderflow.EndDone)
	records := b.planner.Unsaved().Records
	next := b.heir([]*ladderflow.Job{j}, records, 2)
	next.lookAll(nil)
	require.Empty(t, next.begin())
	for round := 1; round < 3; round++ {
		next.pass(2 * time.Second)
		next.lookAll(nil)
		starts := next.begin()
		require.Len(t, starts, 1)
		require.Equal(t, round, starts[0].Run.Task.Round)
		next.ends = map[string]int64{}
		next.planner.workers[starts[0].Worker.ID].seen = 0
		next.end(starts[0], ladderflow.EndDone)
	}
	require.Equal(t, ladderflow.Done, next.planner.jobs["a"].state)
}

// TestLeaseByTheSlowestClock checks that the task of an unreachable worker does not start elsewhere
// before the worker's lease has ended by the slowest clock that the platform allows.
func TestLeaseByTheSlowestClock(t *testing.T) {
	b := newBed(t, 2)
	b.pass(11 * time.Second)
	b.lookAll(nil)
	b.submit("a", tasks(1))
	s := b.begin()[0]
	granted := b.planner.workers[s.Worker.ID].until - b.planner.workers[s.Worker.ID].clock
	b.planner.LookFailed(s.Worker.ID, false)
	slow := granted * 100 / 98
	b.pass(slow - 10*time.Millisecond)
	for id := range b.clock {
		if id != s.Worker.ID {
			b.look(id, ladderflow.Look{})
		}
	}
	require.Empty(t, b.plan().Starts)
	b.pass(500 * time.Millisecond)
	require.Len(t, b.plan().Starts, 1)
}

// TestStaleReportIsIgnored delivers a status report that still lists a run after a newer report has
// listed its end. The run must be neither adopted nor counted against the worker's capacity.
func TestOldAccountIsNotBelieved(t *testing.T) {
	b := newBed(t, 1)
	b.submit("a", tasks(1))
	s := b.begin()[0]
	b.end(s, ladderflow.EndFailed)
	free := b.planner.workers["w0"].free
	b.look("w0", ladderflow.Look{Running: []ladderflow.LiveRun{{Run: s.Run}}})
	require.Equal(t, free, b.planner.workers["w0"].free)
	starts := b.begin()
	require.Len(t, starts, 1)
	require.Equal(t, 2, starts[0].Run.Number)
}

// TestUnreachableWorkerGetsNoAcknowledgment checks that a poll of a worker that did not answer the
// last one acknowledges no ends: the worker may have restarted, and none of its new ends is stored.
func TestSilentWorkerIsToldNothing(t *testing.T) {
	b := newBed(t, 1)
	b.submit("a", tasks(1))
	b.end(b.begin()[0], ladderflow.EndDone)
	b.save()
	next, _ := b.planner.Look(b.now, "w0")
	require.Equal(t, int64(1), next.Noted)
	b.planner.LookFailed("w0", false)
	next, _ = b.planner.Look(b.now, "w0")
	require.Zero(t, next.Noted)
	b.look("w0", ladderflow.Look{Born: 9})
	next, _ = b.planner.Look(b.now, "w0")
	require.Zero(t, next.Noted, "of the new life no end is noted")
}

// TestDelegatedLeaseExpires keeps recording delegated renewals for a worker that does not answer,
// as a leader does for all workers of a delegate. The worker's task must start elsewhere, but not
// before the lease that the delegate may have granted has expired.
func TestEntrustedWorkerLapses(t *testing.T) {
	const step, word = 400 * time.Millisecond, 1200 * time.Millisecond
	b := newBed(t, 2)
	b.pass(b.planner.options.Longest) // What an earlier leader may have given has ended.
	b.lookAll(nil)
	b.submit("a", tasks(1))
	first := b.begin()[0]
	b.planner.Entrust(b.now, first.Worker.ID, word)
	b.planner.LookFailed(first.Worker.ID, false)
	other := map[string]string{"w0": "w1", "w1": "w0"}[first.Worker.ID]
	for passed := time.Duration(0); passed < word+b.planner.options.Hold; passed += step {
		require.Empty(t, b.plan().Starts, "after %v", passed)
		b.pass(step)
		b.look(other, ladderflow.Look{})
		b.planner.Entrust(b.now, first.Worker.ID, word)
	}
	b.pass(time.Second)
	b.look(other, ladderflow.Look{})
	require.Len(t, b.plan().Starts, 1)
}
