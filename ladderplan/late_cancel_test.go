package ladderplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// TestCancellationMayComeBeforeTheJob tells a new leader of a cancellation before, after and around the
// reading of the store, and more than once. What it knows, stores, starts and stops must be the same.
func TestCancellationMayComeBeforeTheJob(t *testing.T) {
	running := RoundRecord{Steps: []StepRecord{{Tasks: []TaskRecord{{LastRun: 1}}}}}
	for name, c := range map[string]struct {
		record *Record
		state  ladderflow.State
	}{
		"nothing is stored of it": {state: ladderflow.Cancelled},
		"it has runs":             {record: &Record{Job: "a", State: ladderflow.Running, Rounds: []RoundRecord{running}}, state: ladderflow.Cancelled},
		"its first round is over": {
			record: &Record{Job: "a", State: ladderflow.Running, CompletedRounds: []int{0}}, state: ladderflow.Cancelled,
		},
		"it has succeeded": {record: &Record{Job: "a", State: ladderflow.Done}, state: ladderflow.Done},
		"it has failed":    {record: &Record{Job: "a", State: ladderflow.Failed}, state: ladderflow.Failed},
		"it was cancelled": {record: &Record{Job: "a", State: ladderflow.Cancelled}, state: ladderflow.Cancelled},
	} {
		for order, steps := range map[string]string{
			"after": "jrc", "before": "cjr", "between": "jcr", "always": "cjcrc", "the job twice": "cjrjc",
		} {
			t.Run(name+", told "+order, func(t *testing.T) {
				h := newHarness(t, 1).nextLeader(nil, nil, 1)
				j := testJob(h.now, "a", stepOf(2))
				for _, s := range steps {
					switch {
					case s == 'j':
						h.planner.AddJob(h.now, j, true)
					case s == 'c':
						h.planner.Cancel(h.now, "a")
					case c.record != nil:
						h.planner.Restore(h.now, *c.record)
					}
				}
				require.Empty(t, h.planner.cancellations)
				require.Equal(t, View{Known: true, State: c.state}, h.planner.View(h.now, "a"))
				var stored []Record
				if c.record == nil || !c.record.State.Final() {
					stored = []Record{{Job: "a", State: ladderflow.Cancelled}}
				}
				require.Equal(t, stored, h.planner.NextBatch().Records)
				require.Zero(t, h.planner.QueuedJobs(testQueue))
				h.stopsRun("a")
			})
		}
	}
}

// stopsRun lists a run of a job that has ended as under way on the first worker. It must be stopped at
// once, again while it runs on, and again if a stop is not answered, and nothing may start.
func (h *harness) stopsRun(id string) {
	run := ladderflow.Run{Task: ladderflow.Task{Job: id}, Number: 1}
	isStopped := func() {
		o := h.plan()
		require.Empty(h.t, o.Starts)
		require.Len(h.t, o.Stops, 1)
		require.Equal(h.t, run, o.Stops[0].Run)
	}
	for range 3 {
		h.poll("w0", ladderflow.StatusReport{Running: []ladderflow.ActiveRun{{Run: run}}})
		isStopped()
		h.advance(h.planner.options.StopTimeout)
	}
	h.planner.StopSettled(h.now, "w0", run, Result{Unknown: true})
	isStopped()
	h.poll("w0", ladderflow.StatusReport{})
	h.advance(10 * time.Second)
	h.poll("w0", ladderflow.StatusReport{})
	require.Empty(h.t, h.plan().Starts)
}

// TestCancellationAcceptedByAFormerLeader lets a leader accept a cancellation and end before its stop goes
// out. The next one, which finds the cancellation in the store and the run on a worker, must stop it with
// the first report, whether or not the former one stored the job's end.
func TestCancellationAcceptedByAFormerLeader(t *testing.T) {
	for name, ended := range map[string]bool{"its end is stored": true, "its end is not stored": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.submit("a", stepOf(1))
			j := h.planner.jobs["a"].spec
			require.Len(t, h.startAll(), 1)
			records := h.planner.NextBatch().Records
			if len(records) == 0 {
				records = []Record{h.planner.jobs["a"].record()}
			}
			h.planner.Cancel(h.now, "a")
			if ended {
				records = h.planner.NextBatch().Records
			}
			next := h.nextLeader([]*ladderflow.Job{j}, records, 1)
			next.planner.Cancel(next.now, "a")
			next.stopsRun("a")
		})
	}
}
