package ladderplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// nextLeader returns a harness with the planner of the next leader, which has read the store and
// has polled no worker yet.
func (b *bed) heir(jobs []*ladderflow.Job, records []Record, roster int) *bed {
	next := &bed{t: b.t, now: b.now, clock: map[string]time.Duration{}, ends: b.ends}
	for id, c := range b.clock {
		next.clock[id] = c
	}
	next.planner = newPlanner(b.now)
	next.planner.SetFleet(b.planner.fleet)
	for _, j := range jobs {
		next.planner.AddJob(next.now, j, true)
	}
	for _, r := range records {
		next.planner.Restore(next.now, r)
	}
	ids := map[string]bool{}
	for i := range roster {
		next.planner.Inherit(testWorker(i))
		ids[testWorker(i).ID] = true
	}
	next.planner.SetRoster(ids)
	next.list(roster)
	return next
}

// TestFailuresCountInAnyOrder reports the failed runs of a task to a new leader in a different
// order than they were started. Each must count once.
func TestFailuresCountInAnyOrder(t *testing.T) {
	for name, steps := range map[string][]ladderflow.Step{"a task": {tasks(1)}, "a gang": {gangOf(2)}} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, 3)
			b.planner.fleet.Queues[0].Attempts = 3
			j := testJob(b.now, "a", steps...)
			next := b.heir([]*ladderflow.Job{j}, []Record{j0(j)}, 3)
			fail := func(worker string, n int64, run int) {
				next.look(worker, ladderflow.Look{Ended: []ladderflow.EndedRun{{
					Number: n, Run: ladderflow.Run{Task: ladderflow.Task{Job: "a"}, Number: run}, How: ladderflow.EndFailed,
				}}})
			}
			fail("w2", 1, 3)
			require.Empty(t, next.plan().Starts)
			fail("w1", 1, 2)
			require.Equal(t, ladderflow.Failed, next.planner.jobs["a"].state)
		})
	}
}

// recordWithFailedRun returns the record of a job whose first run has failed.
func j0(j *ladderflow.Job) Record {
	r := Record{Job: j.ID, State: ladderflow.Running, Rounds: []RoundRecord{{Steps: []StepRecord{{}}}}}
	s := &r.Rounds[0].Steps[0]
	if j.Steps[0].Gang {
		s.Failed = []int{1}
		return r
	}
	s.Tasks = []TaskRecord{{Number: 1, Closed: 1, Failed: []int{1}}}
	return r
}

// TestUnseenWorkerHoldsBackItsTasks checks that a new leader does not start tasks that may run on a
// worker it has not polled yet, but starts other tasks.
func TestUnseenWorkerHoldsBackItsTasks(t *testing.T) {
	b := newBed(t, 2)
	j := testJob(b.now, "a", tasks(2))
	next := b.heir([]*ladderflow.Job{j}, nil, 2)
	next.look("w0", ladderflow.Look{Running: []ladderflow.LiveRun{{Run: ladderflow.Run{Task: ladderflow.Task{Job: "a"}, Number: 4}}}})
	next.submit("b", tasks(1))
	starts := next.begin()
	require.Len(t, starts, 1, "the new job does not wait")
	require.Equal(t, "b", starts[0].Run.Task.Job)

	// The second worker reports a run of the other task.
	next.look("w1", ladderflow.Look{Running: []ladderflow.LiveRun{{Run: ladderflow.Run{Task: ladderflow.Task{Job: "a", Index: 1}, Number: 2}}}})
	require.Empty(t, next.begin())
	next.look("w0", ladderflow.Look{
		Running: []ladderflow.LiveRun{{Run: starts[0].Run}},
		Ended:   []ladderflow.EndedRun{{Number: 1, Run: ladderflow.Run{Task: ladderflow.Task{Job: "a"}, Number: 4}, How: ladderflow.EndFailed}},
	})
	starts = next.begin()
	require.Len(t, starts, 1)
	require.Equal(t, 5, starts[0].Run.Number)
}

// TestUnseenWorkerLeaseExpires checks that the tasks start once any lease from an earlier leader
// must have expired.
func TestUnseenWorkerLapses(t *testing.T) {
	b := newBed(t, 2)
	next := b.heir([]*ladderflow.Job{testJob(b.now, "a", tasks(1))}, nil, 2)
	for passed := time.Duration(0); passed < 8*time.Second; passed += time.Second {
		next.look("w0", ladderflow.Look{})
		require.Empty(t, next.plan().Starts, "after %v", passed)
		next.pass(time.Second)
	}
	next.pass(time.Second)
	next.look("w0", ladderflow.Look{})
	require.Len(t, next.plan().Starts, 1)
}

// TestTwoRunsOfOneTask checks that a new leader that finds two runs of a task stops the second.
func TestTwoRunsOfOneTask(t *testing.T) {
	b := newBed(t, 2)
	next := b.heir([]*ladderflow.Job{testJob(b.now, "a", tasks(1))}, nil, 2)
	for i, id := range []string{"w0", "w1"} {
		next.look(id, ladderflow.Look{Running: []ladderflow.LiveRun{{Run: ladderflow.Run{Task: ladderflow.Task{Job: "a"}, Number: i + 1}}}})
	}
	o := next.plan()
	require.Empty(t, o.Starts)
	require.Len(t, o.Stops, 1)
	require.Equal(t, "w1", o.Stops[0].Worker.ID)
}

// TestStoppingRunsOfEndedJobsCount checks that the runs that a new leader finds of an ended job
// count against the worker's capacity until they are gone.
func TestStoppingRunsOfEndedJobsCount(t *testing.T) {
	b := newBed(t, 1)
	j := testJob(b.now, "a", tasks(4))
	next := b.heir([]*ladderflow.Job{j}, []Record{{Job: "a", State: ladderflow.Cancelled}}, 1)
	var running []ladderflow.LiveRun
	for i := range 4 {
		running = append(running, ladderflow.LiveRun{Run: ladderflow.Run{Task: ladderflow.Task{Job: "a", Index: i}, Number: 1}})
	}
	next.look("w0", ladderflow.Look{Running: running})
	next.submit("b", tasks(1))
	o := next.plan()
	require.Len(t, o.Stops, 4)
	require.Empty(t, o.Starts, "the worker is full")
	next.pass(time.Millisecond)
	next.look("w0", ladderflow.Look{Running: running[1:]})
	require.Len(t, next.plan().Starts, 1)
}

// TestRestartWithDifferentCapacity checks that a restarted worker gets no tasks until the
// platform's store lists the capacity of its new incarnation.
func TestNewLifeOfOtherKind(t *testing.T) {
	b := newBed(t, 1)
	b.look("w0", ladderflow.Look{Born: 7})
	b.submit("a", tasks(4))
	small := testWorker(0)
	small.Born, small.Capacity.Processor = 1, 8000
	b.planner.SetWorkers(b.now, []ladderflow.Worker{small})
	require.Empty(t, b.plan().Starts)
	small.Born, small.Capacity.Processor = 7, 2000
	b.planner.SetWorkers(b.now, []ladderflow.Worker{small})
	require.Len(t, b.plan().Starts, 1)
}

// TestUnreachableAfterFirstPoll lets a worker answer only the first poll of a new leader. The lease
// that an earlier leader granted may still be valid.
func TestSilentAfterFirstLook(t *testing.T) {
	b := newBed(t, 2)
	next := b.heir([]*ladderflow.Job{testJob(b.now, "a", tasks(1))}, nil, 2)
	next.look("w0", ladderflow.Look{Running: []ladderflow.LiveRun{{Run: ladderflow.Run{Task: ladderflow.Task{Job: "a"}, Number: 1}}}})
	next.look("w1", ladderflow.Look{})
	next.planner.LookFailed("w0", false)
	for passed := time.Duration(0); passed < 6*time.Second; passed += time.Second / 2 {
		require.Empty(t, next.plan().Starts, "after %v", passed)
		next.pass(time.Second / 2)
		next.look("w1", ladderflow.Look{})
	}
	next.pass(6 * time.Second)
	next.look("w1", ladderflow.Look{})
	require.Len(t, next.plan().Starts, 1)
}

// TestRestartAfterLongLease lets a worker restart just before a poll that extends its lease. The
// new lease end was computed from the clock of the old incarnation, which was far ahead, so the new
// incarnation may keep its runs for the maximum length of a lease.
func TestNewLifeMayBeHeldForLong(t *testing.T) {
	b := newBed(t, 2)
	b.pass(time.Minute)
	b.clock["w0"] = 0
	b.look("w0", ladderflow.Look{Born: 7})
	b.look("w1", ladderflow.Look{})
	b.submit("a", tasks(4))
	first := b.begin()
	require.Equal(t, "w0", first[0].Worker.ID)
	b.planner.LookFailed("w0", false)
	for passed := time.Duration(0); passed < 10*time.Second; passed += time.Second {
		require.Empty(t, b.plan().Starts, "after %v", passed)
		b.pass(time.Second)
		b.look("w1", ladderflow.Look{})
	}
	b.pass(time.Second)
	b.look("w1", ladderflow.Look{})
	require.Len(t, b.plan().Starts, 4)
}

// TestRoundsUnderWayAreTakenOver hands a job over to a new leader while two of its rounds are in
// progress, each with its first step done and its second one running. The new leader must adopt the
// runs.
func TestRoundsUnderWayAreTakenOver(t *testing.T) {
	b := newBed(t, 2)
	j := testJob(b.now, "a", tasks(2), after(tasks(1), 0))
	j.Rounds, j.First, j.Every = 4, b.now, 2*time.Second
	b.planner.AddJob(b.now, j, false)
	b.pass(2 * time.Second)
	b.lookAll(nil)
	first := b.begin()
	require.Len(t, first, 4, "two rounds are due")
	for _, s := range first {
		b.end(s, ladderflow.EndDone)
	}
	second := b.begin()
	require.Len(t, second, 2)
	next := b.heir([]*ladderflow.Job{j}, b.planner.Unsaved().Records, 2)
	running := map[string][]ladderflow.LiveRun{}
	for _, s := range second {
		running[s.Worker.ID] = append(running[s.Worker.ID], ladderflow.LiveRun{Run: s.Run, Percent: 20})
	}
	next.lookAll(running)
	o := next.plan()
	require.Empty(t, o.Stops)
	require.Empty(t, o.Starts)
}
