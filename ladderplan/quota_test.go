package ladderplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// withQuota returns the test fleet, in which team a has a quota of the given number of tasks of stepOf, and
// team b has none.
func withQuota(tasks int) *ladderflow.FleetConfig {
	return &ladderflow.FleetConfig{
		Queues: []ladderflow.Queue{{Name: testQueue, Service: testService, MaxFailures: 2, ObjectiveFactor: 2, BaseObjective: time.Second}},
		Teams:  []ladderflow.Team{{Name: "a", Quota: ladderflow.Size{Processor: tasks * 2000}}, {Name: "b"}},
	}
}

// newQuotaHarness returns a harness with workers for four tasks each and a quota of the given number of tasks.
func newQuotaHarness(t *testing.T, workers, tasks int) *harness {
	h := newHarness(t, workers)
	h.planner.SetFleet(withQuota(tasks))
	return h
}

func teamJob(now time.Time, team, id string, steps ...ladderflow.Step) *ladderflow.Job {
	j := testJob(now, id, steps...)
	j.Team = team
	return j
}

func (h *harness) submitFor(team, id string, steps ...ladderflow.Step) {
	h.planner.AddJob(h.now, teamJob(h.now, team, id, steps...), false)
}

func TestQuotaBoundsStarts(t *testing.T) {
	bestEffort := stepOf(9)
	bestEffort.BestEffort = true
	suspect := stepOf(9)
	for name, c := range map[string]struct {
		team  string
		step  ladderflow.Step
		first int
	}{
		"single tasks":             {"a", stepOf(9), 5},
		"best-effort tasks":        {"a", bestEffort, 5},
		"a gang that fits":         {"a", gangOf(5), 5},
		"a gang that does not fit": {"a", gangOf(6), 0},
		"a team without a quota":   {"b", suspect, 9},
		"an unknown team":          {"c", stepOf(9), 9},
		"no team":                  {"", stepOf(9), 9},
	} {
		t.Run(name, func(t *testing.T) {
			h := newQuotaHarness(t, 3, 5)
			h.submitFor(c.team, "x", c.step)
			starts := h.startAll()
			require.Len(t, starts, c.first)
			require.Empty(t, h.startAll())
			require.Equal(t, ladderflow.Queued == h.planner.View(h.now, "x").State, c.first == 0)
			if c.first == 0 || c.first == c.step.Tasks {
				return
			}
			e, _ := h.planner.Explain(h.now, "x")
			require.Contains(t, e.String(), "the team's quota is in use: 10000m of 10000m")
			h.endRun(starts[0], ladderflow.EndDone)
			require.Len(t, h.startAll(), 1, "one has ended")
		})
	}
}

// TestQuotaOfGangIsWhole lets a gang wait until the quota has room for all of its members.
func TestQuotaOfGangIsWhole(t *testing.T) {
	h := newQuotaHarness(t, 3, 5)
	h.submitFor("a", "x", stepOf(2))
	starts := h.startAll()
	h.submitFor("a", "g", gangOf(4))
	require.Empty(t, h.startAll())
	h.endRun(starts[0], ladderflow.EndDone)
	require.Len(t, h.startAll(), 4)
}

// TestStoppingRunsCountAgainstQuota cancels a job. Its runs count until their ends are listed.
func TestStoppingRunsCountAgainstQuota(t *testing.T) {
	h := newQuotaHarness(t, 2, 3)
	h.submitFor("a", "x", stepOf(3))
	starts := h.startAll()
	h.submitFor("a", "y", stepOf(1))
	h.planner.Cancel(h.now, "x")
	o := h.plan()
	require.Len(t, o.Stops, 3)
	require.Empty(t, o.Starts)
	h.planner.StopSettled(h.now, starts[0].Worker.ID, starts[0].Run, Result{})
	h.advance(100 * time.Millisecond)
	require.Empty(t, h.plan().Starts, "the stop was answered, but the run may go on")
	h.endRun(starts[0], ladderflow.EndStopped)
	require.Len(t, h.plan().Starts, 1)
}

// TestEvacuatedRunsCountAgainstQuota drains the worker of a long-running task, whose team is at its quota. The
// task starts elsewhere only once its earlier run has ended.
func TestEvacuatedRunsCountAgainstQuota(t *testing.T) {
	h := newQuotaHarness(t, 2, 1)
	h.submitFor("a", "x", lasting(stepOf(1)))
	s := h.startAll()[0]
	draining := []ladderflow.Worker{testWorker(0), testWorker(1)}
	for i := range draining {
		draining[i].Draining = draining[i].ID == s.Worker.ID
	}
	h.pollAll(map[string][]ladderflow.ActiveRun{s.Worker.ID: {{Run: s.Run, Percent: 50}}})
	h.planner.SetWorkers(h.now, draining)
	o := h.plan()
	require.Len(t, o.Stops, 1)
	require.Empty(t, o.Starts)
	h.endRun(s, ladderflow.EndStopped)
	require.Len(t, h.startAll(), 1)
}

// TestRunsOfSilentWorkerCountAgainstQuota lets a worker fall silent while its team is at its quota.
func TestRunsOfSilentWorkerCountAgainstQuota(t *testing.T) {
	h := newQuotaHarness(t, 2, 2)
	h.submitFor("a", "x", stepOf(2))
	starts := h.startAll()
	require.Equal(t, starts[0].Worker.ID, starts[1].Worker.ID)
	silent := starts[0].Worker.ID
	other := map[string]string{"w0": "w1", "w1": "w0"}[silent]
	h.planner.PollFailed(silent, false)
	h.submitFor("a", "y", stepOf(1))
	for passed := time.Duration(0); passed < 10*time.Second; passed += time.Second / 2 {
		require.Empty(t, h.startAll(), "after %v", passed)
		h.advance(time.Second / 2)
		h.poll(other, ladderflow.StatusReport{})
	}
	h.advance(time.Second)
	h.poll(other, ladderflow.StatusReport{})
	require.Len(t, h.startAll(), 2, "the lease has expired, so the runs are over")
}

// TestQuotaChanges lowers a quota below what runs, which stops nothing and starts nothing, and raises it again.
func TestQuotaChanges(t *testing.T) {
	h := newQuotaHarness(t, 3, 4)
	h.submitFor("a", "x", stepOf(12))
	starts := h.startAll()
	require.Len(t, starts, 4)
	h.planner.SetFleet(withQuota(2))
	for i, want := range []int{0, 0, 1} {
		h.endRun(starts[i], ladderflow.EndDone)
		o := h.plan()
		require.Empty(t, o.Stops)
		require.Len(t, o.Starts, want, "%d have ended", i+1)
	}
	h.planner.SetFleet(withQuota(5))
	require.Len(t, h.plan().Starts, 3)
	removed := withQuota(5)
	removed.Teams = removed.Teams[1:]
	h.planner.SetFleet(removed)
	require.Empty(t, h.plan().Starts, "the last known quota of a removed team holds")
	removed.Teams = nil
	h.endRun(starts[3], ladderflow.EndDone)
	require.Len(t, h.plan().Starts, 1, "and its jobs go on")
}

// TestJobLargerThanQuotaStaysQueued lowers a quota below what an accepted gang needs.
func TestJobLargerThanQuotaStaysQueued(t *testing.T) {
	h := newQuotaHarness(t, 3, 2)
	h.submitFor("a", "g", gangOf(4))
	h.submitFor("a", "x", stepOf(1))
	require.Len(t, h.startAll(), 1, "it holds nothing else back")
	h.advance(time.Minute)
	require.Equal(t, View{Known: true, State: ladderflow.Queued}, h.planner.View(h.now, "g"))
	e, _ := h.planner.Explain(h.now, "g")
	require.Contains(t, e.String(), "it needs 8000m/4000MiB/0a at once, more than the team's quota of 4000m/0MiB/0a")
	h.planner.SetFleet(withQuota(5))
	h.pollAllRunning()
	require.Len(t, h.startAll(), 4)
}

// TestGangGetsTurnOnQuota hands in single tasks all the time, as many as the quota allows. A gang of the same
// team still starts in time, and other work does not stop for longer than that takes.
func TestGangGetsTurnOnQuota(t *testing.T) {
	for name, late := range map[string]time.Duration{"in time": 0, "late": time.Minute} {
		t.Run(name, func(t *testing.T) {
			h := newQuotaHarness(t, 4, 6)
			var running []StartOrder
			gangAt, begun := 0, 0
			for i := range 100 {
				for n := range 6 {
					if i == 0 || n == 0 {
						h.submitFor("a", fmt.Sprintf("s%d.%d", i, n), stepOf(1))
					}
				}
				if i == 1 {
					g := teamJob(h.now, "a", "g", gangOf(5))
					g.Accepted = g.Accepted.Add(-late)
					h.planner.AddJob(h.now, g, false)
				}
				if i%2 == 0 && len(running) > 0 {
					h.endRun(running[0], ladderflow.EndDone)
					running = running[1:]
				}
				for _, s := range h.startAll() {
					if s.Run.Task.Job == "g" {
						gangAt = i
					}
					begun++
					running = append(running, s)
				}
				h.advance(98 * time.Millisecond)
				h.pollAllRunning()
			}
			require.NotZero(t, gangAt)
			require.Less(t, gangAt, 50, "in passes of 100 ms")
			require.Greater(t, begun, 45, "the quota is used")
		})
	}
}

// pollAllRunning delivers a status report of each worker with the runs that the planner knows.
func (h *harness) pollAllRunning() {
	for id := range h.clock {
		h.poll(id, ladderflow.StatusReport{Running: h.otherRuns(StartOrder{Worker: ladderflow.Worker{ID: id}})})
	}
}

// TestGangTooWideBesideLastingTasksGivesWay has a long-running task, beside which the gang never fits the quota.
// Other work of the team goes on for most of the time.
func TestGangTooWideBesideLastingTasksGivesWay(t *testing.T) {
	h := newQuotaHarness(t, 4, 6)
	h.submitFor("a", "l", lasting(stepOf(2)))
	require.Len(t, h.startAll(), 2)
	h.submitFor("a", "g", gangOf(5))
	started := 0
	for i := range 300 {
		h.submitFor("a", fmt.Sprintf("s%d", i), stepOf(1))
		for _, s := range h.startAll() {
			started++
			require.NotEqual(t, "g", s.Run.Task.Job)
			h.endRun(s, ladderflow.EndDone)
		}
		h.advance(98 * time.Millisecond)
		h.pollAllRunning()
	}
	require.Greater(t, started, 200)
}

// TestHeldGangReservesNothing checks that a gang that waits for its quota takes no workers and no advice from
// other teams.
func TestHeldGangReservesNothing(t *testing.T) {
	h := newQuotaHarness(t, 2, 5)
	h.planner.fleet.Queues[0].Advice = &ladderflow.AdviceConfig{BaseTime: 10 * time.Millisecond, TicketLifetime: 2 * time.Second}
	h.planner.SetVMs([]string{"e1"})
	h.submitFor("a", "x", gangOf(4))
	q := h.plan().AdviceQueries
	require.Len(t, q, 1)
	h.planner.AdviceAnswered(h.now, q[0], []ladderflow.Ticket{{Worker: "w0", Text: "x"}, {Worker: "w1", Text: "x"}}, 2*time.Second, false)
	require.Len(t, h.startAll(), 4)
	for i := range 20 {
		h.submitFor("a", fmt.Sprintf("g%d", i), gangOf(3))
	}
	require.LessOrEqual(t, len(h.plan().AdviceQueries), 1, "only for the gang whose turn it is")
	for _, w := range h.planner.workers {
		require.NotEqual(t, h.planner.reservationPass, w.reservedPass)
	}
}

// TestPreemptsNothingForHeldStep checks that no run is stopped for an urgent step that its quota holds back.
func TestPreemptsNothingForHeldStep(t *testing.T) {
	h := newHarness(t, 1)
	f := withQuota(1)
	urgent := f.Queues[0]
	urgent.Name = "urgent"
	f.Queues[0].Priority = 1
	f.Queues = append(f.Queues, urgent)
	h.planner.SetFleet(f)
	other := stepOf(3)
	other.Checkpointable = true
	h.submitFor("b", "other", other)
	j := teamJob(h.now, "a", "x", stepOf(4))
	j.Queue = "urgent"
	h.planner.AddJob(h.now, j, false)
	require.Len(t, h.startAll(), 4)
	h.advance(200 * time.Millisecond)
	h.pollAllRunning()
	require.Empty(t, h.plan().Stops)
}

// TestQuotaAfterTakeover lets a leader die while team a is at its quota of four tasks on two workers, and
// checks what the next one starts before it has heard of all.
func TestQuotaAfterTakeover(t *testing.T) {
	h := newQuotaHarness(t, 4, 4)
	x := teamJob(h.now, "a", "x", stepOf(4))
	next := h.nextLeader([]*ladderflow.Job{x}, nil, 4)
	next.advance(1500 * time.Millisecond)
	next.poll("w2", ladderflow.StatusReport{})
	next.poll("w3", ladderflow.StatusReport{})
	next.planner.SetJobsReadAt(next.now)
	next.submitFor("a", "y", stepOf(2))
	next.submitFor("b", "z", stepOf(1))
	require.Len(t, next.startAll(), 1, "only the team without a quota")
	next.planner.SetFleet(withQuota(5))
	starts := next.startAll()
	require.Len(t, starts, 1, "four tasks may run on the unseen workers")
	require.Equal(t, "y", starts[0].Run.Task.Job)
	run := func(index int) ladderflow.ActiveRun {
		return ladderflow.ActiveRun{Run: ladderflow.Run{Task: ladderflow.Task{Job: "x", Index: index}, Number: 1}}
	}
	next.poll("w0", ladderflow.StatusReport{Running: []ladderflow.ActiveRun{run(0), run(1)}})
	require.Empty(t, next.startAll(), "the other two may still run on w1")
	next.poll("w1", ladderflow.StatusReport{
		Ended: []ladderflow.EndedRun{{Sequence: 1, Run: run(2).Run, Reason: ladderflow.EndDone}}, Running: []ladderflow.ActiveRun{run(3)},
	})
	require.Len(t, next.startAll(), 1)
}

// TestTeamFarBelowQuotaNeedNotWait checks that a team starts tasks while a worker is unseen, if whatever that
// worker may run leaves room, although many of the team's tasks may have been started.
func TestTeamFarBelowQuotaNeedNotWait(t *testing.T) {
	h := newQuotaHarness(t, 2, 6)
	next := h.nextLeader([]*ladderflow.Job{teamJob(h.now, "a", "x", stepOf(50))}, nil, 2)
	next.advance(1500 * time.Millisecond)
	next.poll("w1", ladderflow.StatusReport{})
	next.planner.SetJobsReadAt(next.now)
	next.submitFor("a", "y", stepOf(4))
	require.Len(t, next.startAll(), 2, "w0 may run four tasks")
}

// TestRunsOfUnknownJobsCountAgainstQuota finds a run of an unknown job on a worker. It may be of any team.
func TestRunsOfUnknownJobsCountAgainstQuota(t *testing.T) {
	h := newQuotaHarness(t, 2, 5)
	unknown := ladderflow.ActiveRun{Run: ladderflow.Run{Task: ladderflow.Task{Job: "unknown"}, Number: 1}}
	h.poll("w0", ladderflow.StatusReport{Running: []ladderflow.ActiveRun{unknown}})
	h.submitFor("a", "y", stepOf(4))
	require.Len(t, h.startAll(), 1)
	h.advance(time.Millisecond)
	h.poll("w0", ladderflow.StatusReport{})
	require.Len(t, h.startAll(), 3)
}

// TestOlderRunsOfGangAfterTakeover has run 1 of a gang on w0 and w1, which earlier leaders gave up to start run 2 on w2 and
// w3. The members of run 1 are listed and then end. The other workers have not reported.
func TestOlderRunsOfGangAfterTakeover(t *testing.T) {
	h := newHarness(t, 4)
	h.planner.SetFleet(&ladderflow.FleetConfig{Version: 2, Queues: h.planner.fleet.Queues, Teams: []ladderflow.Team{
		{Name: "a", Quota: ladderflow.Size{Processor: 16000}},
	}})
	g := gangOf(8)
	g.Estimate = time.Minute
	j := testJob(h.now, "a", g)
	j.Team = "a"
	next := h.nextLeader([]*ladderflow.Job{j}, nil, 4)
	next.planner.SetJobsReadAt(next.now.Add(10 * time.Second))
	run := func(i int) ladderflow.Run {
		return ladderflow.Run{Task: ladderflow.Task{Job: "a", Index: i}, Number: 1}
	}
	for w := range 2 {
		var list []ladderflow.ActiveRun
		for i := range 4 {
			list = append(list, ladderflow.ActiveRun{Run: run(4*w + i), Percent: 1})
		}
		next.poll(testWorker(w).ID, ladderflow.StatusReport{Running: list})
	}
	next.plan()
	for w := range 2 {
		var list []ladderflow.EndedRun
		for i := range 4 {
			list = append(list, ladderflow.EndedRun{Sequence: int64(i + 1), Run: run(4*w + i), Reason: ladderflow.EndStopped})
		}
		next.poll(testWorker(w).ID, ladderflow.StatusReport{Ended: list})
	}
	n := 0
	for i := range 8 {
		k := testJob(next.now, fmt.Sprint("n", i), stepOf(1))
		k.Team = "a"
		next.planner.AddJob(next.now, k, false)
	}
	for range 3 {
		next.advance(50 * time.Millisecond)
		n += len(next.plan().Starts)
	}
	require.LessOrEqual(t, n, 1, "run 2 of the gang may occupy the whole quota on w2 and w3")
}

// TestLargeTaskGetsTurnOnQuota hands in small tasks all the time, which take several times the objective of a task that
// needs the whole quota.
func TestLargeTaskGetsTurnOnQuota(t *testing.T) {
	h := newQuotaHarness(t, 4, 4)
	var running []StartOrder
	largeAt, begun := 0, 0
	for i := range 1200 {
		small := stepOf(1)
		small.Estimate = 10 * time.Second
		if i%10 == 0 {
			h.submitFor("a", fmt.Sprint("s", i), small)
		}
		if i == 200 {
			large := stepOf(1)
			large.Need.Processor = 8000
			h.submitFor("a", "large", large)
		}
		for len(running) > 0 && h.now.Sub(h.planner.workers[running[0].Worker.ID].runs[running[0].Run].startedAt) >= 10*time.Second {
			h.endRun(running[0], ladderflow.EndDone)
			running = running[1:]
		}
		for _, s := range h.startAll() {
			begun++
			running = append(running, s)
			if s.Run.Task.Job == "large" {
				largeAt = i
				h.endRun(s, ladderflow.EndDone)
				running = running[:len(running)-1]
			}
		}
		h.advance(98 * time.Millisecond)
		h.pollProgress()
	}
	require.NotZero(t, largeAt)
	require.Greater(t, begun, 40, "the quota is used")
}

// pollProgress delivers a status report of each worker in which runs of 10 s make progress.
func (h *harness) pollProgress() {
	for id, w := range h.planner.workers {
		var list []ladderflow.ActiveRun
		for _, x := range w.runOrder {
			list = append(list, ladderflow.ActiveRun{Run: x.name, Percent: min(99, int(h.now.Sub(x.startedAt)/(100*time.Millisecond)))})
		}
		h.poll(id, ladderflow.StatusReport{Running: list})
	}
}

// TestWorkerThatShrankAfterTakeover has a silent worker that shrank under the run of an earlier leader, before the next
// one first saw its capacity.
func TestWorkerThatShrankAfterTakeover(t *testing.T) {
	for name, processor := range map[string]int{"to nothing": 0, "to half": 4000, "not at all": 8000} {
		t.Run(name, func(t *testing.T) {
			h := newQuotaHarness(t, 2, 4)
			large := stepOf(1)
			large.Need.Processor = 8000
			next := h.nextLeader([]*ladderflow.Job{teamJob(h.now, "a", "x", large)}, nil, 0)
			shrunk := testWorker(0)
			shrunk.Capacity.Processor = processor
			next.planner.AddEarlierWorker(shrunk)
			next.planner.SetRoster(map[string]bool{"w0": true, "w1": true})
			next.planner.SetWorkers(next.now, []ladderflow.Worker{shrunk, testWorker(1)})
			next.advance(1500 * time.Millisecond)
			next.poll("w1", ladderflow.StatusReport{})
			next.planner.SetJobsReadAt(next.now)
			next.submitFor("a", "y", stepOf(2))
			require.Empty(t, next.startAll())
			next.poll("w0", ladderflow.StatusReport{})
			require.NotEmpty(t, next.startAll(), "all is known")
			grown := testWorker(0)
			next.planner.SetWorkers(next.now, []ladderflow.Worker{grown, testWorker(1)})
			next.planner.SetWorkers(next.now, []ladderflow.Worker{shrunk, testWorker(1)})
			require.Equal(t, 8000, next.planner.LargestCapacity("w0").Processor, "the roster holds it")
		})
	}
}
