package ladderplan

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// nextLeader returns a harness for the next leader. Its planner holds what is stored and has polled
// no worker yet. The first rosterSize workers are in the roster.
func (h *harness) nextLeader(jobs []*ladderflow.Job, records []Record, rosterSize int) *harness {
	next := &harness{t: h.t, now: h.now, clock: map[string]time.Duration{}, ends: h.ends}
	for id, c := range h.clock {
		next.clock[id] = c
	}
	next.planner = newPlanner(h.now)
	next.planner.SetFleet(h.planner.fleet)
	for _, j := range jobs {
		next.planner.AddJob(next.now, j, true)
	}
	for _, r := range records {
		next.planner.Restore(next.now, r)
	}
	ids := map[string]bool{}
	for i := range rosterSize {
		next.planner.AddEarlierWorker(testWorker(i))
		ids[testWorker(i).ID] = true
	}
	next.planner.SetRoster(ids)
	next.listWorkers(rosterSize)
	return next
}

// TestFailuresCountInAnyOrder reports the failed runs of a task to a new leader in a different
// order than they were started. Each must count once.
func TestFailuresCountInAnyOrder(t *testing.T) {
	for name, steps := range map[string][]ladderflow.Step{"a task": {stepOf(1)}, "a gang": {gangOf(2)}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 3)
			h.planner.fleet.Queues[0].MaxFailures = 3
			j := testJob(h.now, "a", steps...)
			next := h.nextLeader([]*ladderflow.Job{j}, []Record{recordWithFailedRun(j)}, 3)
			fail := func(worker string, n int64, run int) {
				next.poll(worker, ladderflow.StatusReport{Ended: []ladderflow.EndedRun{{
					Sequence: n, Run: ladderflow.Run{Task: ladderflow.Task{Job: "a"}, Number: run}, Reason: ladderflow.EndFailed,
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
func recordWithFailedRun(j *ladderflow.Job) Record {
	r := Record{Job: j.ID, State: ladderflow.Running, Rounds: []RoundRecord{{Steps: []StepRecord{{}}}}}
	s := &r.Rounds[0].Steps[0]
	if j.Steps[0].Gang {
		s.Failed = []int{1}
		return r
	}
	s.Tasks = []TaskRecord{{LastRun: 1, LastClosedRun: 1, Failed: []int{1}}}
	return r
}

// TestUnseenWorkerHoldsBackItsTasks checks that a new leader does not start tasks that may be
// running on a worker that it has not polled yet, but starts other tasks.
func TestUnseenWorkerHoldsBackItsTasks(t *testing.T) {
	h := newHarness(t, 2)
	j := testJob(h.now, "a", stepOf(2))
	next := h.nextLeader([]*ladderflow.Job{j}, nil, 2)
	next.advance(2 * time.Second)
	next.poll("w0", ladderflow.StatusReport{Running: []ladderflow.ActiveRun{{Run: ladderflow.Run{Task: ladderflow.Task{Job: "a"}, Number: 4}}}})
	next.planner.SetJobsReadAt(next.now)
	next.submit("b", stepOf(1))
	starts := next.startAll()
	require.Len(t, starts, 1, "only the new job starts")
	require.Equal(t, "b", starts[0].Run.Task.Job)

	// The second worker reports a run of the other task.
	next.poll("w1", ladderflow.StatusReport{Running: []ladderflow.ActiveRun{{Run: ladderflow.Run{Task: ladderflow.Task{Job: "a", Index: 1}, Number: 2}}}})
	require.Empty(t, next.startAll())
	next.poll("w0", ladderflow.StatusReport{
		Running: []ladderflow.ActiveRun{{Run: starts[0].Run}},
		Ended:   []ladderflow.EndedRun{{Sequence: 1, Run: ladderflow.Run{Task: ladderflow.Task{Job: "a"}, Number: 4}, Reason: ladderflow.EndFailed}},
	})
	starts = next.startAll()
	require.Len(t, starts, 1)
	require.Equal(t, 5, starts[0].Run.Number)
}

// TestUnseenWorkerLeaseExpires checks that the tasks start once any lease from an earlier leader
// must have expired.
func TestUnseenWorkerLeaseExpires(t *testing.T) {
	h := newHarness(t, 2)
	next := h.nextLeader([]*ladderflow.Job{testJob(h.now, "a", stepOf(1))}, nil, 2)
	for passed := time.Duration(0); passed < 8*time.Second; passed += time.Second {
		next.poll("w0", ladderflow.StatusReport{})
		require.Empty(t, next.plan().Starts, "after %v", passed)
		next.advance(time.Second)
	}
	next.advance(time.Second)
	next.poll("w0", ladderflow.StatusReport{})
	require.Len(t, next.plan().Starts, 1)
}

// TestTwoRunsOfOneTask checks that a new leader that finds two runs of a task stops the second.
func TestTwoRunsOfOneTask(t *testing.T) {
	h := newHarness(t, 2)
	next := h.nextLeader([]*ladderflow.Job{testJob(h.now, "a", stepOf(1))}, nil, 2)
	for i, id := range []string{"w0", "w1"} {
		next.poll(id, ladderflow.StatusReport{Running: []ladderflow.ActiveRun{{Run: ladderflow.Run{Task: ladderflow.Task{Job: "a"}, Number: i + 1}}}})
	}
	o := next.plan()
	require.Empty(t, o.Starts)
	require.Len(t, o.Stops, 1)
	require.Equal(t, "w1", o.Stops[0].Worker.ID)
}

// TestStoppingRunsOfEndedJobsCount checks that the runs that a new leader finds of an ended job
// count against the worker's capacity until they are gone.
func TestStoppingRunsOfEndedJobsCount(t *testing.T) {
	h := newHarness(t, 1)
	j := testJob(h.now, "a", stepOf(4))
	next := h.nextLeader([]*ladderflow.Job{j}, []Record{{Job: "a", State: ladderflow.Cancelled}}, 1)
	var running []ladderflow.ActiveRun
	for i := range 4 {
		running = append(running, ladderflow.ActiveRun{Run: ladderflow.Run{Task: ladderflow.Task{Job: "a", Index: i}, Number: 1}})
	}
	next.poll("w0", ladderflow.StatusReport{Running: running})
	next.submit("b", stepOf(1))
	o := next.plan()
	require.Len(t, o.Stops, 4)
	require.Empty(t, o.Starts, "the worker is full")
	next.advance(time.Millisecond)
	next.poll("w0", ladderflow.StatusReport{Running: running[1:]})
	require.Len(t, next.plan().Starts, 1)
}

// TestRestartWithDifferentCapacity checks that a restarted worker gets no tasks until the
// platform's store lists the capacity of its new incarnation.
func TestRestartWithDifferentCapacity(t *testing.T) {
	h := newHarness(t, 1)
	h.poll("w0", ladderflow.StatusReport{Incarnation: 7})
	h.submit("a", stepOf(4))
	small := testWorker(0)
	small.Incarnation, small.Capacity.Processor = 1, 8000
	h.planner.SetWorkers(h.now, []ladderflow.Worker{small})
	require.Empty(t, h.plan().Starts)
	small.Incarnation, small.Capacity.Processor = 7, 2000
	h.planner.SetWorkers(h.now, []ladderflow.Worker{small})
	require.Len(t, h.plan().Starts, 1)
}

// TestUnresponsiveAfterFirstPoll lets a worker answer only the first poll of a new leader. The lease
// that an earlier leader granted may still be valid.
func TestUnresponsiveAfterFirstPoll(t *testing.T) {
	h := newHarness(t, 2)
	next := h.nextLeader([]*ladderflow.Job{testJob(h.now, "a", stepOf(1))}, nil, 2)
	next.poll("w0", ladderflow.StatusReport{Running: []ladderflow.ActiveRun{{Run: ladderflow.Run{Task: ladderflow.Task{Job: "a"}, Number: 1}}}})
	next.poll("w1", ladderflow.StatusReport{})
	next.planner.PollFailed("w0", false)
	for passed := time.Duration(0); passed < 6*time.Second; passed += time.Second / 2 {
		require.Empty(t, next.plan().Starts, "after %v", passed)
		next.advance(time.Second / 2)
		next.poll("w1", ladderflow.StatusReport{})
	}
	next.advance(6 * time.Second)
	next.poll("w1", ladderflow.StatusReport{})
	require.Len(t, next.plan().Starts, 1)
}

// TestRestartAfterLongLease lets a worker restart just before a poll that extends its lease. The
// new lease end was computed from the clock of the old incarnation, which was far ahead, so the new
// incarnation may keep its runs for the maximum length of a lease.
func TestRestartAfterLongLease(t *testing.T) {
	h := newHarness(t, 2)
	h.advance(time.Minute)
	h.clock["w0"] = 0
	h.poll("w0", ladderflow.StatusReport{Incarnation: 7})
	h.poll("w1", ladderflow.StatusReport{})
	h.submit("a", stepOf(4))
	first := h.startAll()
	require.Equal(t, "w0", first[0].Worker.ID)
	h.planner.PollFailed("w0", false)
	for passed := time.Duration(0); passed < 10*time.Second; passed += time.Second {
		require.Empty(t, h.plan().Starts, "after %v", passed)
		h.advance(time.Second)
		h.poll("w1", ladderflow.StatusReport{})
	}
	h.advance(time.Second)
	h.poll("w1", ladderflow.StatusReport{})
	require.Len(t, h.plan().Starts, 4)
}

// TestRoundsUnderWayAreTakenOver hands a job over to a new leader while two of its rounds are in
// progress, each with its first step done and its second one running. The new leader must adopt the
// runs.
func TestRoundsUnderWayAreTakenOver(t *testing.T) {
	h := newHarness(t, 2)
	j := testJob(h.now, "a", stepOf(2), after(stepOf(1), 0))
	j.Rounds, j.FirstDue, j.Interval = 4, h.now, 2*time.Second
	h.planner.AddJob(h.now, j, false)
	h.advance(2 * time.Second)
	h.pollAll(nil)
	first := h.startAll()
	require.Len(t, first, 4, "two rounds are due")
	for _, s := range first {
		h.endRun(s, ladderflow.EndDone)
	}
	second := h.startAll()
	require.Len(t, second, 2)
	next := h.nextLeader([]*ladderflow.Job{j}, h.planner.NextBatch().Records, 2)
	running := map[string][]ladderflow.ActiveRun{}
	for _, s := range second {
		running[s.Worker.ID] = append(running[s.Worker.ID], ladderflow.ActiveRun{Run: s.Run, Percent: 20})
	}
	next.pollAll(running)
	o := next.plan()
	require.Empty(t, o.Stops)
	require.Empty(t, o.Starts)
}

// TestRunWithClosedNumber lets two former leaders start a task's run 1 on different workers. One of
// the runs has ended. The other one must count against its worker's capacity until it has stopped,
// and the task must not start again before that.
func TestRunWithClosedNumber(t *testing.T) {
	h := newHarness(t, 2)
	large := ladderflow.Step{Tasks: 1, Need: ladderflow.Size{Processor: 8000, Memory: 1000}, Estimate: time.Second}
	h.planner.AddJob(h.now, testJob(h.now, "a", large), true)
	run := ladderflow.Run{Task: ladderflow.Task{Job: "a"}, Number: 1}
	h.poll("w0", ladderflow.StatusReport{Ended: []ladderflow.EndedRun{{Sequence: 1, Run: run, Reason: ladderflow.EndStopped}}})
	h.poll("w1", ladderflow.StatusReport{Running: []ladderflow.ActiveRun{{Run: run, Percent: 50}}})
	h.submit("b", large)
	o := h.plan()
	require.Len(t, o.Stops, 1)
	require.Equal(t, "w1", o.Stops[0].Worker.ID)
	for _, s := range o.Starts {
		require.Equal(t, "w0", s.Worker.ID, "w1 is full")
		require.Equal(t, "b", s.Run.Task.Job, "a former run of task a has not ended")
	}
}

// TestOutdatedReports delivers a status report that shows an earlier state of the worker than the
// last one. It must not make a run that has ended count as running.
func TestOutdatedReports(t *testing.T) {
	for name, outdated := range map[string]ladderflow.StatusReport{
		"earlier clock":       {Incarnation: 5, Clock: 900 * time.Millisecond},
		"earlier incarnation": {Incarnation: 4, Clock: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			requested := h.now
			h.submit("a", stepOf(1))
			s := h.startAll()[0]
			h.planner.RecordReport(h.now, "w0", h.now, ladderflow.StatusReport{Incarnation: 5, Clock: time.Second})
			outdated.Running = []ladderflow.ActiveRun{{Run: s.Run, Percent: 50}}
			free := h.planner.workers["w0"].free
			h.planner.RecordReport(h.now, "w0", requested, outdated)
			w := h.planner.workers["w0"]
			require.Equal(t, int64(5), w.incarnation)
			require.Equal(t, free, w.free)
			require.Empty(t, w.runs)
		})
	}
}

// TestUnreachedWorkerKeepsItsLease takes over while a worker of the roster does not answer. An earlier
// leader may have renewed its lease until it stopped acting as leader, whatever the list says, so the jobs of
// that leader start when the lease must have expired, and not before.
func TestUnreachedWorkerKeepsItsLease(t *testing.T) {
	for name, c := range map[string]struct {
		listed bool
		outage time.Duration
		// ended is when all earlier leaders have ended, or zero if that is not known.
		ended time.Duration
	}{
		"not listed":                             {},
		"not listed, store back after a second":  {outage: time.Second},
		"listed":                                 {listed: true},
		"not listed, store down for a long time": {outage: time.Minute},
		"earlier leaders have ended at once":     {ended: time.Millisecond},
		"earlier leaders have ended soon":        {ended: 1500 * time.Millisecond},
		"earlier leaders have ended late":        {ended: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			h := &harness{t: t, now: time.UnixMilli(1_000_000), clock: map[string]time.Duration{}, ends: map[string]int64{}}
			h.planner = newPlanner(h.now)
			h.planner.SetFleet(newHarness(t, 0).planner.fleet)
			h.planner.AddJob(h.now, testJob(h.now, "a", stepOf(1)), true)
			for i := range 2 {
				h.planner.AddEarlierWorker(testWorker(i))
			}
			h.planner.SetRoster(map[string]bool{"w0": true, "w1": true})
			h.listWorkers(1)
			if c.listed {
				h.listWorkers(2)
			}
			began := h.now
			if c.ended > 0 {
				h.planner.EarlierLeadersEnded(h.now.Add(c.ended))
			}
			for len(h.plan().Starts) == 0 {
				h.advance(50 * time.Millisecond)
				h.planner.SetStoreServing(h.now, h.now.Sub(began) >= c.outage)
				h.poll("w0", ladderflow.StatusReport{})
				h.planner.PollFailed("w1", false)
				require.Less(t, h.now.Sub(began), time.Minute)
			}
			o := h.planner.options
			ended := o.EarlierLeaderTimeout
			if c.ended > 0 {
				ended = min(ended, c.ended)
			}
			leaseEnd := (ended + o.LeaseDuration).Seconds()
			require.Greater(t, h.now.Sub(began).Seconds(), leaseEnd)
			require.Less(t, h.now.Sub(began).Seconds(), leaseEnd+0.5)
		})
	}
}

// TestJobHeardOfInDoubtDoesNotStart adds a job to a leader that may have been replaced. The next leader
// need not know the job, and could start it as well.
func TestJobHeardOfInDoubtDoesNotStart(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("a", stepOf(1))
	h.planner.Plan(h.now, h.now, LeadershipConfirmed)
	h.advance(idlePassInterval)
	h.pollAll(nil)
	h.submit("b", stepOf(1))
	require.Empty(t, h.planner.Plan(h.now, h.now, LeadershipProbable).Starts)
	h.advance(idlePassInterval)
	o := h.planner.Plan(h.now, h.now, LeadershipConfirmed)
	require.Len(t, o.Starts, 1)
	require.Equal(t, "b", o.Starts[0].Run.Task.Job)
}

// TestWorkerThatMissesOnePollKeepsItsRuns leaves a worker that answers polls out of the store's list, and
// then loses one poll. Its runs go on until its lease expires.
func TestWorkerThatMissesOnePollKeepsItsRuns(t *testing.T) {
	for name, outage := range map[string]time.Duration{
		"it is cut off from the store":         0,
		"its entry has expired in an outage":   4 * time.Second,
		"the store is back when it falls away": 8 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.submit("a", stepOf(1))
			lost := h.startAll()[0].Worker.ID
			list := slices.DeleteFunc([]ladderflow.Worker{testWorker(0), testWorker(1)}, func(w ladderflow.Worker) bool { return w.ID == lost })
			h.planner.SetWorkers(h.now, list)
			for began := h.now; h.now.Sub(began) < 8*time.Second; h.advance(100 * time.Millisecond) {
				h.planner.SetStoreServing(h.now, h.now.Sub(began) >= outage)
				for id := range h.clock {
					h.poll(id, ladderflow.StatusReport{Running: h.runsOf(id)})
					h.planner.NextPoll(h.now, id)
				}
				require.Empty(t, h.plan().Starts)
			}
			h.planner.SetStoreServing(h.now, true)
			h.planner.PollFailed(lost, false)
			renewed := h.now.Add(-100 * time.Millisecond)
			for len(h.plan().Starts) == 0 {
				h.advance(50 * time.Millisecond)
				h.poll(list[0].ID, ladderflow.StatusReport{})
				require.Less(t, h.now.Sub(renewed), time.Minute)
			}
			require.InDelta(t, h.planner.options.LeaseDuration.Seconds(), h.now.Sub(renewed).Seconds(), 0.5)
			require.GreaterOrEqual(t, h.now.Sub(renewed), h.planner.options.LeaseDuration)
		})
	}
}

// TestOvertakenJobRunsOnce tells only the former leader of a job, which the store holds after the next
// one has read it. The former leader starts the job on a worker that the next one has not polled yet.
func TestOvertakenJobRunsOnce(t *testing.T) {
	h := newHarness(t, 2)
	next := h.nextLeader(nil, nil, 2)
	next.poll("w0", ladderflow.StatusReport{})
	h.planner.PollFailed("w0", false)
	h.submit("a", stepOf(1))
	s := h.startAll()[0]
	require.Equal(t, "w1", s.Worker.ID)

	next.advance(2 * time.Second)
	next.poll("w0", ladderflow.StatusReport{})
	next.planner.AddJob(next.now, testJob(next.now, "a", stepOf(1)), false)
	require.Empty(t, next.plan().Starts, "the former leader's run may be on w1")
	next.poll("w1", ladderflow.StatusReport{Running: []ladderflow.ActiveRun{{Run: s.Run, Percent: 10}}})
	o := next.plan()
	require.Empty(t, o.Starts)
	require.Empty(t, o.Stops)
}
