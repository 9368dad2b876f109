package ladderplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// TestStalledRuns polls a worker with a run whose progress does not change.
func TestStandingStill(t *testing.T) {
	for name, c := range map[string]struct {
		step    ladderflow.Step
		percent int
		lasts   time.Duration
		stopped bool
	}{
		"a task that stands still":                  {tasks(1), 40, 2 * time.Second, true},
		"a task that has stood still only briefly":  {tasks(1), 40, time.Second, false},
		"a gang's member that waits for the others": {gangOf(1), 100, 8 * time.Second, false},
		"a gang that stands still":                  {gangOf(1), 40, 4 * time.Second, true},
		"a lasting task":                            {ladderflow.Step{Tasks: 1, Lasting: true}, 100, 8 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, 2)
			b.submit("a", c.step)
			s := b.begin()[0]
			live := []ladderflow.LiveRun{{Run: s.Run, Percent: c.percent}}
			b.look(s.Worker.ID, ladderflow.Look{Running: live})
			for passed := time.Duration(0); passed < c.lasts; passed += time.Second / 2 {
				b.pass(time.Second / 2)
				b.look(s.Worker.ID, ladderflow.Look{Running: live})
			}
			require.Equal(t, c.stopped, len(b.plan().Stops) > 0)
		})
	}
}

// TestWorkerThatFailsAll checks that a worker is excluded if several jobs fail on it, but not if a
// single job fails on it repeatedly.
func TestWorkerThatFailsAll(t *testing.T) {
	for name, c := range map[string]struct {
		jobs  []string
		avoid bool
	}{
		"several jobs":  {[]string{"a", "b"}, true},
		"one job alone": {[]string{"a", "a"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, 1)
			for _, id := range c.jobs {
				b.submit(id, tasks(1))
				for _, s := range b.begin() {
					if s.Run.Task.Job == id {
						b.end(s, ladderflow.EndFailed)
					}
				}
			}
			require.Equal(t, c.avoid, b.planner.workers["w0"].struck(b.now))
		})
	}
}

// TestRetryElsewhere checks that a failed task is retried on another worker while there is one, and
// on the same one otherwise.
func TestRetryElsewhere(t *testing.T) {
	for name, step := range map[string]ladderflow.Step{"a task": tasks(1), "a gang": gangOf(2)} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, 2)
			b.planner.fleet.Queues[0].Attempts = 9
			b.submit("a", step)
			used := map[string]bool{}
			for range 2 {
				s := b.begin()
				require.NotEmpty(t, s)
				require.False(t, used[s[0].Worker.ID], "it failed there before")
				used[s[0].Worker.ID] = true
				b.end(s[0], ladderflow.EndFailed)
				for _, x := range s[1:] {
					b.end(x, ladderflow.EndBroken)
				}
			}
			require.NotEmpty(t, b.begin(), "no other worker is left")
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
		"a short task ends there":   {tasks(1), 0},
		"a long task is stopped":    {ladderflow.Step{Tasks: 1, Estimate: time.Minute}, 1},
		"a lasting task is stopped": {ladderflow.Step{Tasks: 1, Lasting: true}, 1},
		"a long gang is stopped":    {ladderflow.Step{Tasks: 2, Gang: true, Estimate: time.Minute}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, 1)
			b.submit("a", c.step)
			require.Len(t, b.begin(), c.step.Tasks)
			leaving := testWorker(0)
			leaving.Draining, leaving.Leaves = true, 4*time.Second
			b.planner.SetWorkers(b.now, []ladderflow.Worker{leaving})
			b.submit("b", tasks(1))
			o := b.plan()
			require.Empty(t, o.Starts)
			require.Len(t, o.Stops, c.stops)
		})
	}
}

// TestSpeedLimits checks that a best-effort run is slowed while the tail latency of a long-running
// task on the same worker is close to its target, and that its speed is raised again afterwards.
func TestPaces(t *testing.T) {
	b := newBed(t, 1)
	serving := ladderflow.Step{Tasks: 1, Need: ladderflow.Size{Processor: 1000}, Lasting: true, Target: 100 * time.Millisecond}
	b.submit("serving", serving)
	b.submit("filler", ladderflow.Step{Tasks: 1, Need: ladderflow.Size{Processor: 4000}, Filler: true, Estimate: time.Hour})
	starts := b.begin()
	require.Len(t, starts, 2)
	pace := func(tail time.Duration) []PaceOrder {
		b.pass(time.Second)
		var running []ladderflow.LiveRun
		for i, s := range starts {
			running = append(running, ladderflow.LiveRun{Run: s.Run, Percent: int(b.now.Unix()) % 100, Tail: tail * time.Duration(1-min(i, 1))})
			if s.Run.Task.Job == "serving" {
				running[i].Tail = tail
			}
		}
		b.look("w0", ladderflow.Look{Running: running})
		return b.plan().Paces
	}
	require.Empty(t, pace(50*time.Millisecond))
	slowed := pace(95 * time.Millisecond)
	require.Len(t, slowed, 1)
	require.Equal(t, "filler", slowed[0].Run.Task.Job)
	require.Equal(t, 50, slowed[0].Percent)
	require.Equal(t, 25, pace(95 * time.Millisecond)[0].Percent)
	require.Equal(t, 35, pace(20 * time.Millisecond)[0].Percent)
}
