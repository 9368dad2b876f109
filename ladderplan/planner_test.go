package ladderplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderlog"
)

const (
	testQueue   = "queue"
	testService = "service"
	fence       = 100
)

// harness runs a planner with simulated workers and a simulated clock.
type harness struct {
	t       *testing.T
	planner *Planner
	now     time.Time
	// clock holds the clock of each worker, and ends the number of ends that it has listed.
	clock map[string]time.Duration
	ends  map[string]int64
	// orders holds the result of the last plan.
	orders Orders
}

// newHarness returns a harness with the given number of workers, which have all answered a poll.
func newHarness(t *testing.T, workers int) *harness {
	h := &harness{t: t, now: time.UnixMilli(1_000_000), clock: map[string]time.Duration{}, ends: map[string]int64{}}
	h.planner = newPlanner(h.now)
	h.planner.SetFleet(&ladderflow.FleetConfig{Version: 1, Queues: []ladderflow.Queue{{
		Name: testQueue, Service: testService, MaxFailures: 2, ObjectiveFactor: 2, BaseObjective: time.Second,
	}}})
	h.listWorkers(workers)
	roster := map[string]bool{}
	for i := range workers {
		roster[testWorker(i).ID] = true
		h.poll(testWorker(i).ID, ladderflow.StatusReport{})
	}
	h.planner.SetRoster(roster)
	return h
}

// newPlanner returns the planner of a leader that is elected now and knows no workers.
func newPlanner(now time.Time) *Planner {
	return New(Options{
		Fence: fence, LeaseDuration: 6 * time.Second, MaxLeaseDuration: 10 * time.Second, ElectedAt: now,
		EarlierLeaderTimeout: 2 * time.Second, EarlierLeaseEnd: now.Add(time.Second), StopTimeout: time.Second,
		GangTimeout:  3 * time.Second,
		JobRetention: time.Minute, RemoteFactor: 2, Log: ladderlog.Discard().Component("plan"),
	})
}

// testWorker returns a worker with 8 processors. Four workers share a rack, whose label is the last.
func testWorker(i int) ladderflow.Worker {
	return ladderflow.Worker{
		ID: fmt.Sprintf("w%d", i), Service: testService, Capacity: ladderflow.Size{Processor: 8000, Memory: 8000},
		Labels: []string{"a", fmt.Sprintf("r%d", i/4)},
	}
}

// listWorkers sets the workers that the platform's store lists to the first n.
func (h *harness) listWorkers(n int) {
	list := make([]ladderflow.Worker, n)
	for i := range list {
		list[i] = testWorker(i)
	}
	h.planner.SetWorkers(h.now, list)
}

// advance moves the time of the planner and of all workers forward.
func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	for id := range h.clock {
		h.clock[id] += d
	}
}

// poll delivers a worker's status report that was requested at the present time.
func (h *harness) poll(id string, report ladderflow.StatusReport) {
	if _, ok := h.clock[id]; !ok {
		h.clock[id] = time.Second
	}
	report.Clock = h.clock[id]
	if report.Incarnation == 0 {
		report.Incarnation = 1
	}
	h.planner.RecordReport(h.now, id, h.now, report)
}

// pollAll delivers a status report of each worker with its runs in progress.
func (h *harness) pollAll(running map[string][]ladderflow.ActiveRun) {
	for id := range h.clock {
		h.poll(id, ladderflow.StatusReport{Running: running[id]})
	}
}

// plan returns the planner's orders and stores them in h.orders.
func (h *harness) plan() Orders {
	h.orders = h.planner.Plan(h.now, h.now, LeadershipConfirmed)
	h.checkPools()
	return h.orders
}

// checkPools checks that the pools hold just the workers that accept new tasks, and that no irregular
// worker was overlooked.
func (h *harness) checkPools() {
	p := h.planner
	for id, w := range p.workers {
		require.True(h.t, p.hasIrregular || w.regular(), "worker %s", id)
	}
	if p.pools.stale || !h.now.Before(p.pools.validUntil) {
		return
	}
	for id, w := range p.workers {
		require.Equal(h.t, p.acceptsTasks(h.now, w), w.lastPass == p.pools.pass, "worker %s", id)
	}
}

// startAll plans and accepts all starts, which it returns.
func (h *harness) startAll() []StartOrder {
	o := h.plan()
	h.advance(time.Millisecond)
	for _, s := range o.Starts {
		h.planner.StartSettled(h.now, s.Worker.ID, s.Run, Result{})
	}
	h.advance(time.Millisecond)
	return o.Starts
}

// endRun delivers a status report that lists the end of a run.
func (h *harness) endRun(s StartOrder, reason ladderflow.EndReason) {
	h.ends[s.Worker.ID]++
	h.poll(s.Worker.ID, ladderflow.StatusReport{
		Ended:   []ladderflow.EndedRun{{Sequence: h.ends[s.Worker.ID], Run: s.Run, Reason: reason}},
		Running: h.otherRuns(s),
	})
}

// otherRuns returns the runs that the worker of s has apart from s.
func (h *harness) otherRuns(s StartOrder) []ladderflow.ActiveRun {
	var list []ladderflow.ActiveRun
	for name, x := range h.planner.workers[s.Worker.ID].runs {
		if name != s.Run && x.phase != phaseSent {
			list = append(list, ladderflow.ActiveRun{Run: name, Percent: 50})
		}
	}
	return list
}

// storeAll marks all changes as stored.
func (h *harness) storeAll() {
	h.planner.BatchStored(h.planner.NextBatch())
}

// submit adds a job with the given steps.
func (h *harness) submit(id string, steps ...ladderflow.Step) {
	h.planner.AddJob(h.now, testJob(h.now, id, steps...), false)
}

func testJob(now time.Time, id string, steps ...ladderflow.Step) *ladderflow.Job {
	return &ladderflow.Job{ID: id, Queue: testQueue, Service: testService, Payload: "payload of " + id, Steps: steps, Accepted: now}
}

// stepOf returns a step with n tasks, of which four fit on a test worker.
func stepOf(n int) ladderflow.Step {
	return ladderflow.Step{
		Tasks: n, Need: ladderflow.Size{Processor: 2000, Memory: 1000}, Estimate: time.Second,
	}
}

// gangOf returns a step whose n tasks form a gang.
func gangOf(n int) ladderflow.Step {
	s := stepOf(n)
	s.Gang = true
	return s
}

func TestJobRunsToItsEnd(t *testing.T) {
	for name, c := range map[string]struct {
		steps  []ladderflow.Step
		starts []int
	}{
		"one task":              {[]ladderflow.Step{stepOf(1)}, []int{1}},
		"many tasks":            {[]ladderflow.Step{stepOf(5)}, []int{5}},
		"two steps in sequence": {[]ladderflow.Step{stepOf(2), after(stepOf(3), 0)}, []int{2, 3}},
		"two gangs in sequence": {
			[]ladderflow.Step{gangOf(4), after(gangOf(2), 0)},
			[]int{4, 2},
		},
		"two parallel steps and one after both": {
			[]ladderflow.Step{stepOf(1), stepOf(2), after(stepOf(1), 0, 1)},
			[]int{3, 1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.submit("a", c.steps...)
			require.Equal(t, View{Known: true, State: ladderflow.Queued}, h.planner.View(h.now, "a"))
			for _, want := range c.starts {
				starts := h.startAll()
				require.Len(t, starts, want)
				require.Equal(t, ladderflow.Running, h.planner.View(h.now, "a").State)
				for _, s := range starts {
					require.Equal(t, "payload of a", s.Payload)
					h.endRun(s, ladderflow.EndDone)
				}
			}
			require.Equal(t, ladderflow.Running, h.planner.View(h.now, "a").State, "the end is withheld until it is stored")
			h.storeAll()
			require.Equal(t, ladderflow.Done, h.planner.View(h.now, "a").State)
			require.Empty(t, h.startAll())
		})
	}
}

// after returns the step s with dependencies on earlier steps.
func after(s ladderflow.Step, steps ...int) ladderflow.Step {
	s.DependsOn = steps
	return s
}

// TestLateGangStillStarts checks that a gang so late that its result is no longer of use still gets
// tickets and starts.
func TestLateGangStillStarts(t *testing.T) {
	h := newHarness(t, 2)
	h.planner.fleet.Queues[0].Advice = &ladderflow.AdviceConfig{BaseTime: 10 * time.Millisecond, TicketLifetime: 2 * time.Second}
	h.planner.SetVMs([]string{"e1"})
	h.submit("a", gangOf(3))
	h.advance(time.Minute)
	h.pollAll(nil)
	queries := h.plan().AdviceQueries
	require.Len(t, queries, 1)
	h.planner.AdviceAnswered(h.now, queries[0], []ladderflow.Ticket{{Worker: "w0", Text: "x"}}, 2*time.Second, false)
	require.Len(t, h.startAll(), 3)
}

// TestShownJobDoesNotStartAgain lets a job end, and its worker and its leader with it. The store takes
// the end before that or never. If the end was shown to callers, however late, the next leader must
// show it as well and start nothing.
func TestShownJobDoesNotStartAgain(t *testing.T) {
	for name, c := range map[string]struct {
		stored bool
		reason ladderflow.EndReason
		state  ladderflow.State
	}{
		"succeeded, the store is unavailable": {reason: ladderflow.EndDone, state: ladderflow.Done},
		"succeeded, the end is stored":        {stored: true, reason: ladderflow.EndDone, state: ladderflow.Done},
		"failed, the store is unavailable":    {reason: ladderflow.EndFailed, state: ladderflow.Failed},
		"failed, the end is stored":           {stored: true, reason: ladderflow.EndFailed, state: ladderflow.Failed},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.planner.fleet.Queues[0].MaxFailures = 1
			j := testJob(h.now, "a", stepOf(1))
			h.planner.AddJob(h.now, j, false)
			h.endRun(h.startAll()[0], c.reason)
			batch := h.planner.NextBatch()
			var records []Record
			if c.stored {
				h.planner.BatchStored(batch)
				records = batch.Records
			} else {
				h.planner.BatchNotStored(batch, batch.Records)
			}
			var shown View
			for range 20 {
				h.advance(500 * time.Millisecond)
				h.pollAll(nil)
				h.plan()
				if shown = h.planner.View(h.now, "a"); shown.State.Final() {
					break
				}
			}
			next := h.nextLeader([]*ladderflow.Job{j}, records, 2)
			next.pollAll(nil)
			starts := next.startAll()
			if shown.State.Final() {
				require.Equal(t, c.state, shown.State)
				require.Empty(t, starts, "the job was shown as %s", shown.State)
				require.Equal(t, shown, next.planner.View(next.now, "a"))
			}
			require.Equal(t, c.stored, shown.State.Final())
		})
	}
}

// TestEndIsShownOnceStored checks that the end of a job is withheld for as long as the store does not
// hold it, whatever becomes of the job's worker meanwhile, and is shown as soon as the store does. The
// worker may crash or go at any time, and its list of ends with it.
func TestEndIsShownOnceStored(t *testing.T) {
	leave := func(h *harness) {
		w := testWorker(0)
		w.Draining, w.RemainingTime = true, 3*time.Second
		h.planner.SetWorkers(h.now, []ladderflow.Worker{w})
	}
	nothing := func(*harness) {}
	for name, c := range map[string]struct{ before, after func(*harness) }{
		"worker stays":                         {nothing, nothing},
		"worker leaves before the end":         {leave, nothing},
		"worker leaves after the end":          {nothing, leave},
		"worker is not listed after the end":   {nothing, func(h *harness) { h.planner.SetWorkers(h.now, nil) }},
		"worker does not answer after the end": {nothing, func(h *harness) { h.planner.PollFailed("w0", false) }},
		"worker restarts after the end": {nothing, func(h *harness) {
			h.poll("w0", ladderflow.StatusReport{Incarnation: 7})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.submit("a", stepOf(1))
			s := h.startAll()[0]
			c.before(h)
			h.endRun(s, ladderflow.EndDone)
			c.after(h)
			for range 20 {
				batch := h.planner.NextBatch()
				require.Len(t, batch.Records, 1, "the end is in each batch until one is stored")
				require.Equal(t, ladderflow.Running, h.planner.View(h.now, "a").State)
				h.planner.BatchNotStored(batch, batch.Records)
				next, _ := h.planner.NextPoll(h.now, "w0")
				require.Zero(t, next.Acknowledged, "the end is not acknowledged to the worker yet")
				h.advance(time.Second)
			}
			h.storeAll()
			require.Equal(t, ladderflow.Done, h.planner.View(h.now, "a").State)
		})
	}
}

// TestStoredEndIsAcknowledged checks that the end of a run is acknowledged to its worker once it is
// stored, and not before.
func TestStoredEndIsAcknowledged(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("a", stepOf(1))
	h.endRun(h.startAll()[0], ladderflow.EndDone)
	batch := h.planner.NextBatch()
	h.planner.BatchNotStored(batch, batch.Records)
	next, _ := h.planner.NextPoll(h.now, "w0")
	require.Zero(t, next.Acknowledged)
	h.storeAll()
	next, _ = h.planner.NextPoll(h.now, "w0")
	require.EqualValues(t, 1, next.Acknowledged)
}

// TestCancellationIsShownAtOnce checks that a cancellation, which the store holds before the leader
// learns of it, is shown without a record of the job.
func TestCancellationIsShownAtOnce(t *testing.T) {
	h := newHarness(t, 1)
	j := testJob(h.now, "a", stepOf(1))
	h.planner.AddJob(h.now, j, false)
	h.startAll()
	h.planner.Cancel(h.now, "a")
	require.Equal(t, ladderflow.Cancelled, h.planner.View(h.now, "a").State)
	next := h.nextLeader([]*ladderflow.Job{j}, nil, 1)
	next.planner.Cancel(next.now, "a")
	require.Equal(t, ladderflow.Cancelled, next.planner.View(next.now, "a").State)
}

// TestLastingTaskThatLostItsWorkerStartsFirst ends a run of a long-running task long after its job was accepted,
// while the tasks of a less urgent queue wait that fill all workers.
func TestLastingTaskThatLostItsWorkerStartsFirst(t *testing.T) {
	for name, priority := range map[string]int{"urgent queue": 0, "another queue": 1} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.planner.fleet.Queues[0].Priority = priority
			batch := h.planner.fleet.Queues[0]
			batch.Name, batch.Priority = "batch", 1
			h.planner.fleet.Queues = append(h.planner.fleet.Queues, batch)
			h.submit("service", lasting(stepOf(2)))
			lost := h.startAll()[0]
			for range 100 {
				h.advance(time.Second)
				h.poll("w0", ladderflow.StatusReport{Running: h.runsOf("w0")})
			}
			j := testJob(h.now, "batch", stepOf(8))
			j.Queue = "batch"
			h.planner.AddJob(h.now, j, false)
			require.Len(t, h.startAll(), 2, "the worker has room for two more tasks")
			h.endRun(lost, ladderflow.EndFailed)
			starts := h.startAll()
			require.Len(t, starts, 1)
			require.Equal(t, "service", starts[0].Run.Task.Job)
		})
	}
}
