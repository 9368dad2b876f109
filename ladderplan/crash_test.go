package ladderplan

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// crash replaces a worker by a new one with no runs under the same id.
func (h *harness) crash(id string) {
	h.t.Helper()
	h.advance(3 * time.Second)
	for other := range h.clock {
		if other != id {
			h.poll(other, ladderflow.StatusReport{Running: h.runsOf(other)})
		}
	}
	h.clock[id], h.ends[id] = time.Millisecond, 0
	h.poll(id, ladderflow.StatusReport{Incarnation: h.planner.workers[id].incarnation + 1})
}

// runsOf returns the runs that a worker lists.
func (h *harness) runsOf(id string) []ladderflow.ActiveRun {
	var list []ladderflow.ActiveRun
	for name, x := range h.planner.workers[id].runs {
		if x.confirmed {
			// The progress changes with time, so that no run stalls.
			list = append(list, ladderflow.ActiveRun{Run: name, Percent: int(h.now.UnixMilli()/100) % 90})
		}
	}
	return list
}

// startAllFor plans for a while, accepts all starts and returns them.
func (h *harness) startAllFor(d time.Duration) []StartOrder {
	var list []StartOrder
	for until := h.now.Add(d); h.now.Before(until); h.advance(50 * time.Millisecond) {
		list = append(list, h.startAll()...)
		for id := range h.clock {
			h.poll(id, ladderflow.StatusReport{Incarnation: h.planner.workers[id].incarnation, Running: h.runsOf(id)})
		}
	}
	return list
}

// startSoon plans until something starts, for a second at most, accepts the starts and returns them.
func (h *harness) startSoon() []StartOrder {
	for until := h.now.Add(time.Second); h.now.Before(until); h.advance(50 * time.Millisecond) {
		if starts := h.startAll(); len(starts) > 0 {
			return starts
		}
		for id := range h.clock {
			h.poll(id, ladderflow.StatusReport{Incarnation: h.planner.workers[id].incarnation, Running: h.runsOf(id)})
		}
	}
	return nil
}

func lasting(s ladderflow.Step) ladderflow.Step {
	s.LongRunning = true
	return s
}

// TestCrashingTaskIsGivenUp has each worker crash that starts a task, at once or after a while. The
// job must fail after as many crashes as are clear, and the end must be visible only once it is stored.
func TestCrashingTaskIsGivenUp(t *testing.T) {
	for name, c := range map[string]struct {
		step    ladderflow.Step
		runFor  time.Duration
		crashes int
	}{
		"task":            {stepOf(1), 0, maxSuspicions},
		"gang":            {gangOf(1), 0, maxSuspicions},
		"task, later":     {stepOf(1), 500 * time.Millisecond, maxCrashes},
		"gang, later":     {gangOf(1), 500 * time.Millisecond, maxCrashes},
		"task that lasts": {lasting(stepOf(1)), 0, maxCrashes},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 4)
			h.submit("a", c.step)
			for range c.crashes {
				starts := h.startSoon()
				require.Len(t, starts, 1)
				require.Empty(t, h.startAllFor(c.runFor))
				h.crash(starts[0].Worker.ID)
			}
			require.Empty(t, h.startAllFor(3*time.Second))
			require.Equal(t, ladderflow.Running, h.planner.View(h.now, "a").State, "no worker lists what was counted")
			h.storeAll()
			require.Equal(t, ladderflow.Failed, h.planner.View(h.now, "a").State)
		})
	}
}

// TestCrashesInAllForms ends workers in each way in which a crash shows.
func TestCrashesInAllForms(t *testing.T) {
	for name, c := range map[string]struct {
		end     func(h *harness, id string)
		crashes int
	}{
		"restarted":                       {(*harness).crash, 1},
		"replaced":                        {func(h *harness, id string) { h.planner.WorkerReplaced(h.now, id) }, 1},
		"gone, so that it may be cut off": {(*harness).depart, 0},
		"gone, then back":                 {func(h *harness, id string) { h.depart(id); h.comeBack(id, 1) }, 0},
		"gone, then restarted":            {func(h *harness, id string) { h.depart(id); h.comeBack(id, 2) }, 1},
		"gone, then another one at its address": {func(h *harness, id string) {
			h.depart(id)
			other := h.addressed(testWorker(0))
			other.ID = "w9"
			h.planner.SetWorkers(h.now, []ladderflow.Worker{other})
			h.poll(other.ID, ladderflow.StatusReport{Incarnation: 5})
		}, 1},
		"gone for long, then restarted": {func(h *harness, id string) {
			h.depart(id)
			h.advance(2 * departedRetention)
			h.plan()
			require.Empty(h.t, h.planner.departed)
			h.comeBack(id, 2)
		}, 0},
		"restarted after its lease": {func(h *harness, id string) {
			h.planner.PollFailed(id, false)
			h.advance(15 * time.Second)
			h.plan()
			require.Empty(h.t, h.planner.workers[id].runs)
			h.crash(id)
		}, 1},
		"back after its lease": {func(h *harness, id string) {
			h.planner.PollFailed(id, false)
			h.advance(15 * time.Second)
			h.plan()
			h.poll(id, ladderflow.StatusReport{})
			h.crash(id)
		}, 0},
		"left": {func(h *harness, id string) {
			w := testWorker(0)
			w.ID, w.Draining, w.RemainingTime = id, true, 2*time.Second
			h.planner.SetWorkers(h.now, []ladderflow.Worker{w})
			h.planner.WorkerReplaced(h.now, id)
		}, 0},
		"maintenance": {func(h *harness, id string) {
			h.planner.MaintenanceOrdered(h.now, id)
			h.planner.WorkerReplaced(h.now, id)
		}, 0},
		"run ended before": {func(h *harness, id string) {
			for name := range h.planner.workers[id].runs {
				h.endRun(StartOrder{Worker: testWorker(0), Run: name}, ladderflow.EndStopped)
			}
			h.planner.WorkerReplaced(h.now, id)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.submit("a", stepOf(1))
			require.Len(t, h.startAll(), 1)
			c.end(h, "w0")
			require.Equal(t, c.crashes, h.planner.jobs["a"].rounds[0].steps[0].tasks[0].crashes)
		})
	}
}

// addressed returns a worker with an address.
func (h *harness) addressed(w ladderflow.Worker) ladderflow.Worker {
	w.Address = netip.MustParseAddrPort("10.0.0.1:80")
	return w
}

// depart lets a worker answer no polls, and the store list it no more, until its lease has expired.
func (h *harness) depart(id string) {
	h.planner.SetWorkers(h.now, []ladderflow.Worker{h.addressed(testWorker(0))})
	h.planner.PollFailed(id, false)
	h.planner.SetWorkers(h.now, nil)
	h.advance(2500 * time.Millisecond)
	h.plan()
	require.NotEmpty(h.t, h.planner.workers[id].runs, "the worker's lease has not expired")
	h.advance(12 * time.Second)
	h.plan()
	require.NotContains(h.t, h.planner.workers, id)
}

// comeBack lists a departed worker again, which answers with the given incarnation.
func (h *harness) comeBack(id string, incarnation int64) {
	h.planner.SetWorkers(h.now, []ladderflow.Worker{h.addressed(testWorker(0))})
	h.poll(id, ladderflow.StatusReport{Incarnation: incarnation})
}

// TestInnocentTasksOutliveCrashes starts innocent tasks with a guilty one. Only the job of the guilty
// one may fail.
func TestInnocentTasksOutliveCrashes(t *testing.T) {
	for name, guiltyStep := range map[string]ladderflow.Step{"tasks": stepOf(1), "gang": gangOf(3)} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 6)
			guilty := ladderflow.Task{Job: "guilty"}
			for i := range 4 {
				h.submit(fmt.Sprintf("innocent%d", i), stepOf(3))
			}
			h.submit("guilty", guiltyStep)
			crashes := 0
			for range 60 {
				for _, s := range h.startAllFor(100 * time.Millisecond) {
					if s.Run.Task == guilty {
						crashes++
						h.crash(s.Worker.ID)
					}
				}
			}
			require.Equal(t, maxSuspicions, crashes)
			require.Equal(t, ladderflow.Failed, h.planner.jobs["guilty"].state)
			for i := range 4 {
				require.True(t, h.planner.jobs[fmt.Sprintf("innocent%d", i)].active())
			}
		})
	}
}

// TestSuspectsAreSeparated crashes a worker under several tasks that had just started. They must
// start again on different workers, with nothing else started beside them.
func TestSuspectsAreSeparated(t *testing.T) {
	h := newHarness(t, 5)
	for i := range 4 {
		h.submit(fmt.Sprintf("a%d", i), stepOf(1))
	}
	starts := h.startAll()
	require.Len(t, starts, 4)
	for _, s := range starts {
		require.Equal(t, starts[0].Worker.ID, s.Worker.ID)
	}
	h.crash(starts[0].Worker.ID)
	again := h.startAll()
	require.Len(t, again, 4)
	used := map[string]bool{}
	for _, s := range again {
		require.False(t, used[s.Worker.ID], "two suspects on one worker")
		used[s.Worker.ID] = true
	}
	h.submit("b", stepOf(20))
	for _, s := range h.startAll() {
		require.False(t, used[s.Worker.ID], "a task beside a suspect that has just started")
	}
}

// TestSuspectFindsNoEmptyWorker keeps all workers busy. A suspect must not starve.
func TestSuspectFindsNoEmptyWorker(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("a", stepOf(1))
	starts := h.startAll()
	h.submit("b", stepOf(2))
	h.startAll()
	h.submit("c", stepOf(4))
	h.startAll()
	h.crash(starts[0].Worker.ID)
	again := h.startAllFor(2 * emptyWorkerWait)
	n := 0
	for _, s := range again {
		n += boolToInt(s.Run.Task.Job == "a")
	}
	require.Equal(t, 1, n)
}

// TestCrashesSurviveTakeover changes the leader after each crash.
func TestCrashesSurviveTakeover(t *testing.T) {
	h := newHarness(t, 3)
	j := testJob(h.now, "a", stepOf(1))
	h.planner.AddJob(h.now, j, false)
	crashes := 0
	for range 4 {
		starts := h.startSoon()
		if len(starts) == 0 {
			break
		}
		h.crash(starts[0].Worker.ID)
		crashes++
		records := h.planner.NextBatch().Records
		require.Len(t, records, 1)
		h = h.nextLeader([]*ladderflow.Job{j}, records, 3)
		h.pollAll(nil)
	}
	require.Equal(t, maxSuspicions, crashes)
	require.Equal(t, ladderflow.Failed, h.planner.View(h.now, "a").State)
}

// TestStartAfterCrashWaitsForStore checks that a task starts again only once the store holds the
// count of its crashes, but that an outage of the store delays no start.
func TestStartAfterCrashWaitsForStore(t *testing.T) {
	for name, c := range map[string]struct {
		serving, stored bool
		starts          int
	}{
		"not stored": {true, false, 0},
		"stored":     {true, true, 1},
		"outage":     {false, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 3)
			h.submit("a", stepOf(1))
			starts := h.startAll()
			h.planner.SetStoreServing(h.now, c.serving)
			h.crash(starts[0].Worker.ID)
			if c.stored {
				h.storeAll()
			}
			require.Len(t, h.startAll(), c.starts)
		})
	}
}

// TestLastingTaskOutlivesCrashes crashes the worker of a long-running task after it has run for long.
// It must be restarted each time.
func TestLastingTaskOutlivesCrashes(t *testing.T) {
	h := newHarness(t, 4)
	h.submit("a", lasting(stepOf(1)))
	for range 2 * maxCrashes {
		starts := h.startAllFor(2 * lastingCrashAge)
		require.Len(t, starts, 1)
		h.crash(starts[0].Worker.ID)
	}
}
