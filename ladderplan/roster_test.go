package ladderplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// TestDrainedWorkerDelaysNoNextLeader checks that a worker on which nothing can run is not in the roster, for
// whose workers the next leader waits.
func TestDrainedWorkerDelaysNoNextLeader(t *testing.T) {
	drain := func(h *harness) {
		w := testWorker(0)
		w.Draining, w.RemainingTime = true, 3*time.Second
		h.planner.SetWorkers(h.now, []ladderflow.Worker{w})
	}
	for name, c := range map[string]struct {
		play func(*harness)
		want bool
	}{
		"ready":                       {func(*harness) {}, true},
		"draining, empty":             {drain, false},
		"draining, a run under way":   {func(h *harness) { h.submit("a", stepOf(1)); h.startAll(); drain(h) }, true},
		"draining, a start under way": {func(h *harness) { h.submit("a", stepOf(1)); h.plan(); drain(h) }, true},
		"draining, an end not stored": {func(h *harness) {
			h.submit("a", stepOf(1))
			s := h.startAll()[0]
			drain(h)
			h.endRun(s, ladderflow.EndDone)
		}, true},
		"draining, the end stored": {func(h *harness) {
			h.submit("a", stepOf(1))
			s := h.startAll()[0]
			drain(h)
			h.endRun(s, ladderflow.EndDone)
			h.storeAll()
		}, false},
		"listed, never answered": {func(h *harness) {
			h.planner = newPlanner(h.now)
			h.listWorkers(1)
		}, false},
		"of an earlier leader, never answered": {func(h *harness) {
			h.planner = newPlanner(h.now)
			h.planner.AddEarlierWorker(testWorker(0))
			drain(h)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			c.play(h)
			require.Equal(t, c.want, h.planner.InRoster("w0"))
		})
	}
}

// TestRunsOfWorkerThatLeftStartElsewhereAtOnce deletes the entry of a worker that has a run.
func TestRunsOfWorkerThatLeftStartElsewhereAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		draining  bool
		storeAway bool
		starts    int
	}{
		"draining, so that it has left":             {draining: true, starts: 1},
		"not draining":                              {},
		"draining, the store was away in that time": {draining: true, storeAway: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.planner.SetStoreServing(h.now, true)
			h.submit("a", stepOf(1))
			lost := h.startAll()[0].Worker
			other := testWorker(0)
			if lost.ID == other.ID {
				other = testWorker(1)
			}
			lost.Draining, lost.RemainingTime = c.draining, 3*time.Second
			h.planner.SetWorkers(h.now, []ladderflow.Worker{lost, other})
			h.advance(time.Second)
			written := h.now
			if c.storeAway {
				h.planner.SetStoreServing(h.now, false)
				h.advance(time.Second)
				h.planner.SetStoreServing(h.now, true)
			}
			h.advance(time.Second)
			h.poll(other.ID, ladderflow.StatusReport{})
			h.planner.WorkerLeft(h.now, lost.ID, written)
			h.planner.SetWorkers(h.now, []ladderflow.Worker{other})
			h.planner.PollFailed(lost.ID, false)
			require.Len(t, h.startAll(), c.starts)
			require.Equal(t, c.starts == 0, h.planner.InRoster(lost.ID))
		})
	}
}
