package ladderplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// TestOlderRunsCheckpointDoesNotReplaceANewerOne loses the first run of a task, lets the second one report
// a checkpoint, and then hears of the first one again. The third run must resume from the second one's.
func TestOlderRunsCheckpointDoesNotReplaceANewerOne(t *testing.T) {
	for name, step := range map[string]ladderflow.Step{"task": stepOf(1), "gang": gangOf(1)} {
		for how, c := range map[string]struct {
			report  func(s StartOrder) ladderflow.StatusReport
			another bool
		}{
			"it has ended late": {report: func(s StartOrder) ladderflow.StatusReport {
				return ladderflow.StatusReport{Ended: []ladderflow.EndedRun{{Sequence: 1, Run: s.Run, Reason: ladderflow.EndLeaseExpired, Checkpoint: "old"}}}
			}},
			"it is still running": {report: func(s StartOrder) ladderflow.StatusReport {
				return ladderflow.StatusReport{Running: []ladderflow.ActiveRun{{Run: s.Run, Percent: 9, Checkpoint: "old"}}}
			}},
			"the next leader hears that it has ended": {another: true, report: func(s StartOrder) ladderflow.StatusReport {
				return ladderflow.StatusReport{Ended: []ladderflow.EndedRun{{Sequence: 1, Run: s.Run, Reason: ladderflow.EndLeaseExpired, Checkpoint: "old"}}}
			}},
		} {
			t.Run(name+", "+how, func(t *testing.T) {
				h := newHarness(t, 2)
				step.Checkpointable, step.Estimate = true, time.Minute
				h.submit("a", step)
				one := h.startAll()[0]
				h.poll(one.Worker.ID, ladderflow.StatusReport{Running: []ladderflow.ActiveRun{{Run: one.Run, Percent: 1}}})
				h.poll(one.Worker.ID, ladderflow.StatusReport{})
				h.planner.PollFailed(one.Worker.ID, false)
				two := h.startAll()[0]
				require.Equal(t, 2, two.Run.Number)
				require.NotEqual(t, one.Worker.ID, two.Worker.ID)
				require.Empty(t, two.Checkpoint)
				h.poll(two.Worker.ID, ladderflow.StatusReport{
					Running: []ladderflow.ActiveRun{{Run: two.Run, Percent: 20, Checkpoint: "new"}},
				})
				h.ends[two.Worker.ID] = 7
				h.poll(two.Worker.ID, ladderflow.StatusReport{Ended: []ladderflow.EndedRun{{
					Sequence: 7, Run: two.Run, Reason: ladderflow.EndStopped, Checkpoint: "new",
				}}})
				if c.another {
					spec, records := h.planner.jobs["a"].spec, h.planner.NextBatch().Records
					require.Len(t, records, 1)
					h = h.nextLeader([]*ladderflow.Job{spec}, records, 2)
					h.poll(two.Worker.ID, ladderflow.StatusReport{})
				}
				h.poll(one.Worker.ID, c.report(one))
				h.poll(one.Worker.ID, ladderflow.StatusReport{Ended: []ladderflow.EndedRun{{
					Sequence: 2, Run: one.Run, Reason: ladderflow.EndStopped, Checkpoint: "old",
				}}})
				three := h.startSoon()
				require.Len(t, three, 1)
				require.Equal(t, 3, three[0].Run.Number)
				require.Equal(t, "new", three[0].Checkpoint)
			})
		}
	}
}

// TestCheckpointOfAHeldRunIsKept lets a worker list a run of a job that the leader does not know yet. When the
// job is known and the run is lost, the task must resume from the checkpoint that was listed.
func TestCheckpointOfAHeldRunIsKept(t *testing.T) {
	h := newHarness(t, 1).nextLeader(nil, nil, 1)
	run := ladderflow.Run{Task: ladderflow.Task{Job: "a"}, Number: 1}
	for _, c := range []string{"first", "second"} {
		h.poll("w0", ladderflow.StatusReport{Running: []ladderflow.ActiveRun{{Run: run, Checkpoint: c}}})
		h.advance(10 * time.Millisecond)
	}
	h.submit("a", stepOf(1))
	h.advance(10 * time.Millisecond)
	h.poll("w0", ladderflow.StatusReport{})
	starts := h.startSoon()
	require.Len(t, starts, 1)
	require.Equal(t, 2, starts[0].Run.Number)
	require.Equal(t, "second", starts[0].Checkpoint)
}

// TestCheckpointsStayWithTheirTask reports a checkpoint of each task of several rounds and steps. Each next run
// must carry that of its own task, and all members of a gang the same one of their gang.
func TestCheckpointsStayWithTheirTask(t *testing.T) {
	h := newHarness(t, 6)
	for _, id := range []string{"a", "b"} {
		j := testJob(h.now, id, stepOf(2), gangOf(2), stepOf(1))
		j.Rounds, j.Interval, j.FirstDue = 2, time.Millisecond, h.now
		h.planner.AddJob(h.now, j, false)
	}
	h.advance(time.Second)
	starts := h.startAllFor(time.Second)
	require.Len(t, starts, 20)
	ended := map[string][]ladderflow.EndedRun{}
	for _, s := range starts {
		ended[s.Worker.ID] = append(ended[s.Worker.ID], ladderflow.EndedRun{
			Sequence: int64(len(ended[s.Worker.ID]) + 1), Run: s.Run, Reason: ladderflow.EndStopped, Checkpoint: fmt.Sprint(s.Run.Task),
		})
	}
	for id, list := range ended {
		h.poll(id, ladderflow.StatusReport{Ended: list})
	}
	again := h.startAllFor(time.Second)
	require.Len(t, again, 20)
	gangs := map[ladderflow.StepRef]string{}
	for _, s := range again {
		task := s.Run.Task
		require.Equal(t, 2, s.Run.Number)
		if task.Step != 1 {
			require.Equal(t, fmt.Sprint(task), s.Checkpoint)
			continue
		}
		ref := ladderflow.StepRef{Job: task.Job, Round: task.Round, Step: task.Step}
		if known, ok := gangs[ref]; ok {
			require.Equal(t, known, s.Checkpoint, "the members of a gang must resume from the same checkpoint")
		}
		gangs[ref] = s.Checkpoint
		members := []string{}
		for i := range 2 {
			task.Index = i
			members = append(members, fmt.Sprint(task))
		}
		require.Contains(t, members, s.Checkpoint)
	}
}
