package ladderplan

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// TestStartWithoutAnswer covers the possible outcomes of a start without a reply.
func TestStartWithoutAnswer(t *testing.T) {
	startWithoutAnswer := func(t *testing.T) (*harness, StartOrder) {
		h := newHarness(t, 2)
		h.advance(5 * time.Second) // Leases granted by an earlier leader have expired.
		h.pollAll(nil)
		h.submit("a", stepOf(1))
		s := h.plan().Starts[0]
		h.advance(200 * time.Millisecond)
		h.planner.StartSettled(h.now, s.Worker.ID, s.Run, Result{Unknown: true})
		require.Equal(t, []string{s.Worker.ID}, h.plan().Polls, "the worker is polled at once")
		h.advance(time.Millisecond)
		return h, s
	}
	t.Run("the run is in progress", func(t *testing.T) {
		h, s := startWithoutAnswer(t)
		h.poll(s.Worker.ID, ladderflow.StatusReport{Running: []ladderflow.ActiveRun{{Run: s.Run}}})
		o := h.plan()
		require.Empty(t, o.Starts)
		require.Empty(t, o.Stops)
	})
	t.Run("the run has ended", func(t *testing.T) {
		h, s := startWithoutAnswer(t)
		h.endRun(s, ladderflow.EndDone)
		h.storeAll()
		require.Equal(t, ladderflow.Done, h.planner.View(h.now, "a").State)
	})
	t.Run("the start may still arrive", func(t *testing.T) {
		h, s := startWithoutAnswer(t)
		h.poll(s.Worker.ID, ladderflow.StatusReport{})
		o := h.plan()
		require.Equal(t, []StopOrder{{Worker: s.Worker, Run: s.Run}}, o.Stops, "the stop also rejects the delayed start")
		require.Empty(t, o.Starts)
		h.advance(180 * time.Millisecond)
		h.planner.StopSettled(h.now, s.Worker.ID, s.Run, Result{Unknown: true})
		require.Len(t, h.plan().Stops, 1, "an unanswered stop is repeated at once")
		h.planner.StopSettled(h.now, s.Worker.ID, s.Run, Result{})
		require.Empty(t, h.plan().Starts)
		require.Equal(t, 2000, 8000-h.planner.workers[s.Worker.ID].free.Processor, "the run still counts against the capacity")
		h.advance(time.Millisecond)
		h.poll(s.Worker.ID, ladderflow.StatusReport{})
		o = h.plan()
		require.Len(t, o.Starts, 1)
		require.Equal(t, s.Run.Number+1, o.Starts[0].Run.Number)
	})
	t.Run("the worker does not answer any more", func(t *testing.T) {
		h, s := startWithoutAnswer(t)
		h.planner.PollFailed(s.Worker.ID, false)
		for passed := time.Duration(0); passed < 6*time.Second; passed += time.Second {
			require.Empty(t, h.plan().Starts, "after %v", passed)
			h.advance(time.Second)
		}
		h.advance(time.Second)
		for id := range h.clock {
			if id != s.Worker.ID {
				h.poll(id, ladderflow.StatusReport{})
			}
		}
		require.Len(t, h.plan().Starts, 1)
	})
}

// TestStartsAreBounded checks that no more starts are ordered than may be unanswered, and that more
// are ordered as replies come in.
func TestStartsAreBounded(t *testing.T) {
	h := newHarness(t, 4)
	h.planner.window = newStartWindow(3)
	h.submit("a", stepOf(2))
	h.submit("gang", gangOf(4))
	h.advance(time.Millisecond)
	h.submit("b", stepOf(2))
	first := h.plan().Starts
	require.Len(t, first, 6, "a gang may exceed the bound")
	require.Empty(t, h.plan().Starts)
	for i, s := range first {
		r := Result{}
		if i%2 == 0 {
			r.Unknown = true
		}
		h.planner.StartSettled(h.now, s.Worker.ID, s.Run, r)
		if i < 3 {
			require.Empty(t, h.plan().Starts, "%d starts are not answered yet", len(first)-i-1)
		}
	}
	require.Len(t, h.plan().Starts, 2)
}

// TestRefusals covers the reasons for which a worker does not carry out a start.
func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		result     Result
		superseded bool
	}{
		"no capacity":                   {Result{Refusal: ladderflow.RefusedNoCapacity}, false},
		"the run number is out of date": {Result{Refusal: ladderflow.RefusedOldRun}, false},
		"another reason":                {Result{Refusal: ladderflow.RefusedOther}, false},
		"not sent":                      {Result{Unsent: true}, false},
		"superseded by a newer leader":  {Result{Refusal: ladderflow.RefusedFenced}, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 3)
			h.submit("a", gangOf(3))
			starts := h.plan().Starts
			require.Len(t, starts, 3)
			h.advance(time.Millisecond)
			for _, s := range starts[1:] {
				h.planner.StartSettled(h.now, s.Worker.ID, s.Run, Result{})
			}
			h.planner.StartSettled(h.now, starts[0].Worker.ID, starts[0].Run, c.result)
			o := h.plan()
			require.Len(t, o.Stops, 2, "only the other members are stopped")
			require.Empty(t, o.Starts)
			require.Equal(t, c.superseded, h.planner.Superseded())
		})
	}
}

// TestWorkerCapacity checks that the starts on a worker do not exceed its capacity.
func TestWorkerCapacity(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("a", stepOf(20))
	h.submit("b", ladderflow.Step{Tasks: 20, Need: ladderflow.Size{Processor: 10, Memory: 3000}, BestEffort: true})
	used := map[string]ladderflow.Size{}
	for _, s := range h.startAll() {
		n := ladderflow.Size{Processor: 2000, Memory: 1000}
		if s.Run.Task.Job == "b" {
			n = ladderflow.Size{Memory: 3000}
		}
		used[s.Worker.ID] = used[s.Worker.ID].Plus(n)
	}
	for id, u := range used {
		require.True(t, u.Fits(testWorker(0).Capacity), "%s: %v", id, u)
	}
}

// TestPlacement checks on which workers the tasks of a step start.
func TestPlacement(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*ladderflow.Step)
		allows func(ladderflow.Worker) bool
		starts int
	}{
		"a label that some workers have":          {func(s *ladderflow.Step) { s.WorkerLabel = "r1" }, func(w ladderflow.Worker) bool { return w.Labels[1] == "r1" }, 6},
		"a label that no worker has":              {func(s *ladderflow.Step) { s.WorkerLabel = "x" }, nil, 0},
		"the rack of the data":                    {func(s *ladderflow.Step) { s.PreferredRack = "r1" }, func(w ladderflow.Worker) bool { return w.Labels[1] == "r1" }, 6},
		"at most one per worker":                  {func(s *ladderflow.Step) { s.MaxPerWorker = 1 }, func(ladderflow.Worker) bool { return true }, 6},
		"one per worker, more tasks than workers": {func(s *ladderflow.Step) { s.MaxPerWorker, s.Tasks = 1, 9 }, func(ladderflow.Worker) bool { return true }, 8},
		"a gang in a single rack":                 {func(s *ladderflow.Step) { s.Gang, s.PreferSameRack = true, true }, func(ladderflow.Worker) bool { return true }, 6},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 8)
			s := stepOf(6)
			c.change(&s)
			h.submit("a", s)
			starts := h.startAll()
			require.Len(t, starts, c.starts)
			perWorker, racks := map[string]int{}, map[string]bool{}
			for _, x := range starts {
				require.True(t, c.allows(x.Worker), x.Worker.ID)
				perWorker[x.Worker.ID]++
				racks[x.Worker.Labels[1]] = true
				require.True(t, s.MaxPerWorker == 0 || perWorker[x.Worker.ID] <= s.MaxPerWorker)
			}
			require.True(t, !s.PreferSameRack || len(racks) == 1)
		})
	}
}

// TestWorkerReplacedAtAddress checks that the runs of a worker are dropped at once when a different
// worker answers at its address.
func TestWorkerReplacedAtAddress(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("a", gangOf(5))
	starts := h.startAll()
	require.Len(t, starts, 5)
	replaced := starts[0].Worker.ID
	h.planner.WorkerReplaced(h.now, replaced)
	require.Empty(t, h.planner.workers[replaced].runs)
	for _, s := range h.plan().Stops {
		require.NotEqual(t, replaced, s.Worker.ID, "only the other members are stopped")
	}
}

// TestUnansweredStartLeavesJobQueued guards against a queue length that omits jobs whose start
// orders may never have reached a worker.
func TestUnansweredStartLeavesJobQueued(t *testing.T) {
	for name, c := range map[string]struct {
		then   func(h *harness, s StartOrder)
		queued int
	}{
		"nothing":  {func(*harness, StartOrder) {}, 1},
		"accepted": {func(h *harness, s StartOrder) { h.planner.StartSettled(h.now, s.Worker.ID, s.Run, Result{}) }, 0},
		"not answered": {func(h *harness, s StartOrder) {
			h.planner.StartSettled(h.now, s.Worker.ID, s.Run, Result{Unknown: true})
		}, 1},
		"not answered, runs": {func(h *harness, s StartOrder) {
			h.planner.StartSettled(h.now, s.Worker.ID, s.Run, Result{Unknown: true})
			h.poll(s.Worker.ID, ladderflow.StatusReport{Running: []ladderflow.ActiveRun{{Run: s.Run}}})
		}, 0},
		"not answered, failed": {func(h *harness, s StartOrder) {
			h.planner.StartSettled(h.now, s.Worker.ID, s.Run, Result{Unknown: true})
			h.endRun(s, ladderflow.EndFailed)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.advance(5 * time.Second) // Leases granted by an earlier leader have expired.
			h.pollAll(nil)
			h.submit("a", stepOf(1))
			s := h.plan().Starts[0]
			c.then(h, s)
			require.Equal(t, c.queued, h.planner.QueuedJobs(h.planner.jobs["a"].spec.Queue))
		})
	}
}

// TestRunThatEndedBehindALongListIsNotLost lets a task end while its worker has more ends than a status
// report lists. The task must not start again before its own end is listed.
func TestRunThatEndedBehindALongListIsNotLost(t *testing.T) {
	var others []ladderflow.EndedRun
	for i := range ladderflow.MaxListedEnds {
		others = append(others, ladderflow.EndedRun{
			Sequence: int64(i + 1), Run: ladderflow.Run{Task: ladderflow.Task{Job: "b", Index: i}, Number: 1}, Reason: ladderflow.EndDone,
		})
	}
	for name, takeover := range map[string]bool{"same leader": false, "next leader": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			a, b := testJob(h.now, "a", stepOf(1)), testJob(h.now, "b", stepOf(len(others)+1))
			h.planner.AddJob(h.now, a, false)
			s := h.startAll()[0]
			h.planner.AddJob(h.now, b, false)
			if takeover {
				h = h.nextLeader([]*ladderflow.Job{a, b}, nil, 2)
			}
			other := map[string]string{"w0": "w1", "w1": "w0"}[s.Worker.ID]
			startsOfA := func() bool {
				h.advance(idlePassInterval)
				return slices.ContainsFunc(h.plan().Starts, func(o StartOrder) bool { return o.Run.Task.Job == "a" })
			}
			h.poll(other, ladderflow.StatusReport{})
			h.poll(s.Worker.ID, ladderflow.StatusReport{Ended: others})
			require.False(t, startsOfA())
			h.storeAll()
			h.poll(s.Worker.ID, ladderflow.StatusReport{Ended: []ladderflow.EndedRun{
				{Sequence: int64(len(others) + 1), Run: s.Run, Reason: ladderflow.EndDone},
			}})
			require.False(t, startsOfA())
			h.storeAll()
			require.Equal(t, ladderflow.Done, h.planner.View(h.now, "a").State)
		})
	}
}
