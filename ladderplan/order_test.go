package ladderplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// TestStartWithoutAnswer covers the possible outcomes of a start without a reply.
func TestStartWithoutAnswer(t *testing.T) {
	begin := func(t *testing.T) (*bed, StartOrder) {
		b := newBed(t, 2)
		b.pass(5 * time.Second) // Leases of an earlier leader have run out.
		b.lookAll(nil)
		b.submit("a", tasks(1))
		s := b.plan().Starts[0]
		b.pass(200 * time.Millisecond)
		b.planner.Started(b.now, s.Worker.ID, s.Run, Result{Unknown: true})
		require.Equal(t, []string{s.Worker.ID}, b.plan().Looks, "it is looked for at once")
		b.pass(time.Millisecond)
		return b, s
	}
	t.Run("it runs", func(t *testing.T) {
		b, s := begin(t)
		b.look(s.Worker.ID, ladderflow.Look{Running: []ladderflow.LiveRun{{Run: s.Run}}})
		o := b.plan()
		require.Empty(t, o.Starts)
		require.Empty(t, o.Stops)
	})
	t.Run("it has ended already", func(t *testing.T) {
		b, s := begin(t)
		b.end(s, ladderflow.EndDone)
		b.save()
		require.Equal(t, ladderflow.Done, b.planner.View(b.now, "a").State)
	})
	t.Run("it may come late", func(t *testing.T) {
		b, s := begin(t)
		b.look(s.Worker.ID, ladderflow.Look{})
		o := b.plan()
		require.Equal(t, []StopOrder{{Worker: s.Worker, Run: s.Run}}, o.Stops, "the late start is barred")
		require.Empty(t, o.Starts)
		b.pass(180 * time.Millisecond)
		b.planner.Stopped(b.now, s.Worker.ID, s.Run, Result{Unknown: true})
		require.Len(t, b.plan().Stops, 1, "a stop without an answer is sent again at once")
		b.planner.Stopped(b.now, s.Worker.ID, s.Run, Result{})
		require.Empty(t, b.plan().Starts)
		require.Equal(t, 2000, 8000-b.planner.workers[s.Worker.ID].free.Processor, "its room is kept")
		b.pass(time.Millisecond)
		b.look(s.Worker.ID, ladderflow.Look{})
		o = b.plan()
		require.Len(t, o.Starts, 1)
		require.Equal(t, s.Run.Number+1, o.Starts[0].Run.Number)
	})
	t.Run("the worker goes silent", func(t *testing.T) {
		b, s := begin(t)
		b.planner.LookFailed(s.Worker.ID, false)
		for passed := time.Duration(0); passed < 6*time.Second; passed += time.Second {
			require.Empty(t, b.plan().Starts, "after %v", passed)
			b.pass(time.Second)
		}
		b.pass(time.Second)
		for id := range b.clock {
			if id != s.Worker.ID {
				b.look(id, ladderflow.Look{})
			}
		}
		require.Len(t, b.plan().Starts, 1)
	})
}

// TestStartsAreBounded checks that no more starts are ordered than may be unanswered, and that more
// are ordered as replies come in.
func TestStartsAreBounded(t *testing.T) {
	b := newBed(t, 4)
	b.planner.options.MaxUnanswered = 3
	b.submit("a", tasks(2))
	b.submit("gang", gangOf(4))
	b.pass(time.Millisecond)
	b.submit("b", tasks(2))
	first := b.plan().Starts
	require.Len(t, first, 6, "a gang starts as a whole")
	require.Empty(t, b.plan().Starts)
	for i, s := range first {
		r := Result{}
		if i%2 == 0 {
			r.Unknown = true
		}
		b.planner.Started(b.now, s.Worker.ID, s.Run, r)
		if i < 3 {
			require.Empty(t, b.plan().Starts, "%d are not answered yet", len(first)-i-1)
		}
	}
	require.Len(t, b.plan().Starts, 2)
}

func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		result  Result
		deposed bool
	}{
		"for want of room":     {Result{Refusal: ladderflow.RefusedRoom}, false},
		"an old run":           {Result{Refusal: ladderflow.RefusedOld}, false},
		"sick":                 {Result{Refusal: ladderflow.RefusedOther}, false},
		"not sent":             {Result{Unsent: true}, false},
		"another leader leads": {Result{Refusal: ladderflow.RefusedFence}, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, 3)
			b.submit("a", gangOf(3))
			starts := b.plan().Starts
			require.Len(t, starts, 3)
			b.pass(time.Millisecond)
			for _, s := range starts[1:] {
				b.planner.Started(b.now, s.Worker.ID, s.Run, Result{})
			}
			b.planner.Started(b.now, starts[0].Worker.ID, starts[0].Run, c.result)
			o := b.plan()
			require.Len(t, o.Stops, 2, "the rest of the gang is stopped")
			require.Empty(t, o.Starts)
			require.Equal(t, c.deposed, b.planner.Deposed())
		})
	}
}

// TestWorkerCapacity checks that the starts on a worker do not exceed its capacity.
func TestRoom(t *testing.T) {
	b := newBed(t, 2)
	b.submit("a", tasks(20))
	b.submit("b", ladderflow.Step{Tasks: 20, Need: ladderflow.Size{Processor: 10, Memory: 3000}, Filler: true})
	used := map[string]ladderflow.Size{}
	for _, s := range b.begin() {
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
		"a label that some have": {func(s *ladderflow.Step) { s.Label = "r1" }, func(w ladderflow.Worker) bool { return w.Labels[1] == "r1" }, 6},
		"a label that none has":  {func(s *ladderflow.Step) { s.Label = "x" }, nil, 0},
		"the rack of the data":   {func(s *ladderflow.Step) { s.Rack = "r1" }, func(w ladderflow.Worker) bool { return w.Labels[1] == "r1" }, 6},
		"at most one a worker":   {func(s *ladderflow.Step) { s.Spread = 1 }, func(ladderflow.Worker) bool { return true }, 6},
		"one a worker, too many": {func(s *ladderflow.Step) { s.Spread, s.Tasks = 1, 9 }, func(ladderflow.Worker) bool { return true }, 8},
		"a gang in one rack":     {func(s *ladderflow.Step) { s.Gang, s.OneRack = true, true }, func(ladderflow.Worker) bool { return true }, 6},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, 8)
			s := tasks(6)
			c.change(&s)
			b.submit("a", s)
			starts := b.begin()
			require.Len(t, starts, c.starts)
			on, racks := map[string]int{}, map[string]bool{}
			for _, x := range starts {
				require.True(t, c.allows(x.Worker), x.Worker.ID)
				on[x.Worker.ID]++
				racks[x.Worker.Labels[1]] = true
				require.True(t, s.Spread == 0 || on[x.Worker.ID] <= s.Spread)
			}
			require.True(t, !s.OneRack || len(racks) == 1)
		})
	}
}

// TestWorkerReplacedAtAddress checks that the runs of a worker are dropped at once when a different
// worker answers at its address.
func TestAnotherLifeAtTheAddress(t *testing.T) {
	b := newBed(t, 2)
	b.submit("a", gangOf(5))
	starts := b.begin()
	require.Len(t, starts, 5)
	gone := starts[0].Worker.ID
	b.planner.Gone(b.now, gone)
	require.Empty(t, b.planner.workers[gone].runs)
	for _, s := range b.plan().Stops {
		require.NotEqual(t, gone, s.Worker.ID, "the rest of the gang is stopped")
	}
}
