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
		"tasks with checkpoints":             {func(s *ladderflow.Step) { s.Checkpointable = true }, 1},
		"tasks without checkpoints":          {func(*ladderflow.Step) {}, 0},
		"a gang with checkpoints":            {func(s *ladderflow.Step) { s.Checkpointable, s.Gang = true, true }, 0},
		"long-running tasks":                 {func(s *ladderflow.Step) { s.Checkpointable, s.LongRunning = true, true }, 0},
		"large tasks, of which one suffices": {func(s *ladderflow.Step) { s.Checkpointable, s.Tasks, s.Need.Processor = true, 2, 4000 }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			urgent := h.planner.fleet.Queues[0]
			urgent.Name = "urgent"
			h.planner.fleet.Queues[0].Priority = 1
			h.planner.fleet.Queues = append(h.planner.fleet.Queues, urgent)
			s := stepOf(4)
			s.Estimate = time.Minute
			c.change(&s)
			h.submit("batch", s)
			batch := h.startAll()
			require.Len(t, batch, s.Tasks)
			j := testJob(h.now, "urgent", stepOf(1))
			j.Queue = "urgent"
			h.planner.AddJob(h.now, j, false)
			require.Empty(t, h.plan().Stops, "the urgent task waits for preemptDelay first")
			h.advance(preemptDelay)
			o := h.plan()
			require.Len(t, o.Stops, c.stops)
			if c.stops == 0 {
				return
			}
			require.Empty(t, o.Starts, "the capacity is not free before the run has ended")
			victim := batch[0]
			for _, x := range batch {
				if x.Run == o.Stops[0].Run {
					victim = x
				}
			}
			h.poll("w0", ladderflow.StatusReport{Running: h.otherRuns(victim), Ended: []ladderflow.EndedRun{{
				Sequence: 1, Run: victim.Run, Reason: ladderflow.EndStopped, Checkpoint: "half",
			}}})
			starts := h.startAll()
			require.Equal(t, "urgent", starts[0].Run.Task.Job)
			h.ends["w0"] = 1
			h.endRun(starts[0], ladderflow.EndDone)
			again := h.startAll()
			require.Len(t, again, 1)
			require.Equal(t, "half", again[0].Checkpoint)
		})
	}
}

// TestPreemptionIsBounded submits urgent tasks while a worker is full. A task that was preempted before
// is not preempted again, and an urgent task that is late anyway preempts none.
func TestPreemptionIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		preempted bool
		late      time.Duration
		stops     int
	}{
		"first time":        {stops: 1},
		"preempted before":  {preempted: true},
		"late in any event": {late: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			urgent := h.planner.fleet.Queues[0]
			urgent.Name = "urgent"
			h.planner.fleet.Queues[0].Priority = 1
			h.planner.fleet.Queues = append(h.planner.fleet.Queues, urgent)
			s := stepOf(4)
			s.Estimate, s.Checkpointable = time.Minute, true
			h.submit("batch", s)
			for _, x := range h.startAll() {
				h.planner.jobs["batch"].find(x.Run.Task).preempted = c.preempted
			}
			step := stepOf(1)
			step.Estimate = 10 * time.Second
			j := testJob(h.now.Add(-c.late), "urgent", step)
			j.Queue, j.Accepted = "urgent", h.now.Add(-c.late-time.Duration(boolToInt(c.late > 0))*2*time.Second)
			h.planner.AddJob(h.now, j, false)
			h.plan()
			h.advance(preemptDelay)
			require.Len(t, h.plan().Stops, c.stops)
		})
	}
}
