package ladderplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// TestRecordKeepsProgress hands a job that is half done to the next leader by its
// record alone: ends, failures, checkpoints and the numbers of runs are as they were.
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

// TestRounds opens the rounds of a timed job when they are due, and not again at the
// next leader.
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

// TestLeaseByTheSlowestClock keeps the tasks of a silent worker until its lease has
// ended by a clock that is as slow as the platform allows.
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

// TestOldAccountIsNotBelieved lets an account overtake a newer one that showed the
// end of a run: the run is neither adopted nor counted.
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

// TestSilentWorkerIsToldNothing does not tell a worker that did not answer which ends are
// noted: it may have begun a new life meanwhile, of which none is.
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

// TestEntrustedWorkerLapses entrusts a worker that does not answer again and again, as a
// leader does with all that a delegate holds: its task goes on elsewhere all the same, but
// not before what the delegate may have prolonged has ended.
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
