package ladderplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// TestPreempt submits an urgent task while the worker is full. Only runs with checkpoints may be
// preempted, and they resume from their checkpoint.
func TestPreempt(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*ladderflow.Step)
		stops  int
	}{
		"tasks that save their work":   {func(s *ladderflow.Step) { s.Checkpoints = true }, 1},
		"tasks that do not":            {func(*ladderflow.Step) {}, 0},
		"a gang that saves its work":   {func(s *ladderflow.Step) { s.Checkpoints, s.Gang = true, true }, 0},
		"lasting tasks":                {func(s *ladderflow.Step) { s.Checkpoints, s.Lasting = true, true }, 0},
		"large tasks, of which one is": {func(s *ladderflow.Step) { s.Checkpoints, s.Tasks, s.Need.Processor = true, 2, 4000 }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, 1)
			urgent := b.planner.fleet.Queues[0]
			urgent.Name = "urgent"
			b.planner.fleet.Queues[0].Priority = 1
			b.planner.fleet.Queues = append(b.planner.fleet.Queues, urgent)
			s := tasks(4)
			s.Estimate = time.Minute
			c.change(&s)
			b.submit("batch", s)
			batch := b.begin()
			require.Len(t, batch, s.Tasks)
			j := testJob(b.now, "urgent", tasks(1))
			j.Queue = "urgent"
			b.planner.AddJob(b.now, j, false)
			require.Empty(t, b.plan().Stops, "it waits a little first")
			b.pass(preemptAfter)
			o := b.plan()
			require.Len(t, o.Stops, c.stops)
			if c.stops == 0 {
				return
			}
			require.Empty(t, o.Starts, "the room comes back first")
			victim := batch[0]
			for _, x := range batch {
				if x.Run == o.Stops[0].Run {
					victim = x
				}
			}
			b.look("w0", ladderflow.Look{Running: b.rest(victim), Ended: []ladderflow.EndedRun{{
				Number: 1, Run: victim.Run, How: ladderflow.EndStopped, Saved: "half",
			}}})
			starts := b.begin()
			require.Equal(t, "urgent", starts[0].Run.Task.Job)
			b.ends["w0"] = 1
			b.end(starts[0], ladderflow.EndDone)
			again := b.begin()
			require.Len(t, again, 1)
			require.Equal(t, "half", again[0].Saved)
		})
	}
}
