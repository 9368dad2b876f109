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
