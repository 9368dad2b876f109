package ladderplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// TestStalledRuns polls a worker with a run whose progress does not change, and checks whether the
// run is stopped.
func TestStalledRuns(t *testing.T) {
	for name, c := range map[string]struct {
		step     ladderflow.Step
		percent  int
		duration time.Duration
		stopped  bool
	}{
		"a stalled task": {stepOf(1), 40, 2 * time.Second, true},
		"a task without progress for a short time": {stepOf(1), 40, time.Second, false},
		"a gang member that waits for the others":  {gangOf(1), 100, 8 * time.Second, false},
		"a stalled gang":      {gangOf(1), 40, 4 * time.Second, true},
		"a long-running task": {ladderflow.Step{Tasks: 1, LongRunning: true}, 100, 8 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.submit("a", c.step)
			s := h.startAll()[0]
			running := []ladderflow.ActiveRun{{Run: s.Run, Percent: c.percent}}
			h.poll(s.Worker.ID, ladderflow.StatusReport{Running: running})
			for passed := time.Duration(0); passed < c.duration; passed += time.Second / 2 {
				h.advance(time.Second / 2)
				h.poll(s.Worker.ID, ladderflow.StatusReport{Running: running})
			}
			require.Equal(t, c.stopped, len(h.plan().Stops) > 0)
		})
	}
}

// TestWorkerThatFailsAll checks that a worker is excluded if several jobs fail on it, but not if a
// single job fails on it repeatedly.
func TestWorkerThatFailsAll(t *testing.T) {
	for name, c := range map[string]struct {
		jobs        []string
		onProbation bool
	}{
		"several jobs": {[]string{"a", "b"}, true},
		"a single job": {[]string{"a", "a"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			for _, id := range c.jobs {
				h.submit(id, stepOf(1))
				for _, s := range h.startAll() {
					if s.Run.Task.Job == id {
						h.endRun(s, ladderflow.EndFailed)
					}
				}
			}
			require.Equal(t, c.onProbation, h.planner.workers["w0"].onProbation(h.now))
		})
	}
}

// TestRetryElsewhere checks that a failed task is retried on another worker while there is one, and
// on the same one otherwise.
func TestRetryElsewhere(t *testing.T) {
	for name, step := range map[string]ladderflow.Step{"a task": stepOf(1), "a gang": gangOf(2)} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.planner.fleet.Queues[0].MaxFailures = 9
			h.submit("a", step)
			used := map[string]bool{}
			for range 2 {
				s := h.startAll()
				require.NotEmpty(t, s)
				require.False(t, used[s[0].Worker.ID], "the task has failed on this worker before")
				used[s[0].Worker.ID] = true
				h.endRun(s[0], ladderflow.EndFailed)
				for _, x := range s[1:] {
					h.endRun(x, ladderflow.EndGangBroken)
				}
			}
			require.NotEmpty(t, h.startAll(), "the task has failed on all workers")
		})
	}
}

// TestDrainingWorker checks that a draining worker gets no new tasks, and that the runs that will
// not end in time are stopped so that they can resume elsewhere.
func TestDrainingWorker(t *testing.T) {
	for name, c := range map[string]struct {
		step  ladderflow.Step
		stops int
	}{
		"a short task ends there":        {stepOf(1), 0},
		"a long task is stopped":         {ladderflow.Step{Tasks: 1, Estimate: time.Minute}, 1},
		"a long-running task is stopped": {ladderflow.Step{Tasks: 1, LongRunning: true}, 1},
		"a long gang is stopped":         {ladderflow.Step{Tasks: 2, Gang: true, Estimate: time.Minute}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.submit("a", c.step)
			require.Len(t, h.startAll(), c.step.Tasks)
			leaving := testWorker(0)
			leaving.Draining, leaving.RemainingTime = true, 4*time.Second
			h.planner.SetWorkers(h.now, []ladderflow.Worker{leaving})
			h.submit("b", stepOf(1))
			o := h.plan()
			require.Empty(t, o.Starts)
			require.Len(t, o.Stops, c.stops)
		})
	}
}

// TestSpeedLimits checks that a best-effort run is slowed while the tail latency of a long-running
// task on the same worker is close to its target, and that its speed is raised again afterwards.
func TestSpeedLimits(t *testing.T) {
	h := newHarness(t, 1)
	serving := ladderflow.Step{Tasks: 1, Need: ladderflow.Size{Processor: 1000}, LongRunning: true, LatencyTarget: 100 * time.Millisecond}
	h.submit("serving", serving)
	h.submit("best-effort", ladderflow.Step{Tasks: 1, Need: ladderflow.Size{Processor: 4000}, BestEffort: true, Estimate: time.Hour})
	starts := h.startAll()
	require.Len(t, starts, 2)
	speedLimits := func(tail time.Duration) []SpeedLimitOrder {
		h.advance(time.Second)
		var running []ladderflow.ActiveRun
		for i, s := range starts {
			running = append(running, ladderflow.ActiveRun{Run: s.Run, Percent: int(h.now.Unix()) % 100, TailLatency: tail * time.Duration(1-min(i, 1))})
			if s.Run.Task.Job == "serving" {
				running[i].TailLatency = tail
			}
		}
		h.poll("w0", ladderflow.StatusReport{Running: running})
		return h.plan().SpeedLimits
	}
	require.Empty(t, speedLimits(50*time.Millisecond))
	slowed := speedLimits(95 * time.Millisecond)
	require.Len(t, slowed, 1)
	require.Equal(t, "best-effort", slowed[0].Run.Task.Job)
	require.Equal(t, 50, slowed[0].Percent)
	require.Equal(t, 25, speedLimits(95 * time.Millisecond)[0].Percent)
	require.Equal(t, 35, speedLimits(20 * time.Millisecond)[0].Percent)
}
