package ladderplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// resize lists the first n workers with another capacity.
func (h *harness) resize(n int, c ladderflow.Size) {
	list := make([]ladderflow.Worker, n)
	for i := range list {
		list[i] = testWorker(i)
		list[i].Capacity = c
	}
	h.planner.SetWorkers(h.now, list)
}

// TestNoStartBesideRunsOverCapacity shrinks the memory of a worker below what its runs use. No task
// may start there, even one that needs no memory.
func TestNoStartBesideRunsOverCapacity(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("a", stepOf(3))
	starts := h.startAll()
	require.Len(t, starts, 3)
	h.resize(1, ladderflow.Size{Processor: 8000, Memory: 2000})
	step := stepOf(1)
	step.Need = ladderflow.Size{Processor: 1000}
	h.submit("b", step)
	require.Empty(t, h.startAll())
	h.endRun(starts[0], ladderflow.EndDone)
	require.Len(t, h.startAll(), 1)
}

// TestShrunkWorkerCountsAllRuns shrinks a worker below what its runs use and lets it grow again. What
// is being stopped must count until its end is listed.
func TestShrunkWorkerCountsAllRuns(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("a", stepOf(4))
	starts := h.startAll()
	require.Len(t, starts, 4)
	h.submit("b", stepOf(4))
	h.resize(1, ladderflow.Size{Processor: 4000, Memory: 8000})
	h.endRun(starts[0], ladderflow.EndDone)
	require.Empty(t, h.startAll())
	h.planner.Cancel(h.now, "a")
	require.Empty(t, h.startAll(), "the runs that are being stopped count")
	h.endRun(starts[1], ladderflow.EndStopped)
	require.Empty(t, h.startAll())
	h.endRun(starts[2], ladderflow.EndStopped)
	require.Len(t, h.startAll(), 1)
	h.resize(1, testWorker(0).Capacity)
	require.Len(t, h.startAll(), 2)
}

// TestJobWaitsForShrunkWorkers submits jobs that fit on no worker while all are shrunk.
func TestJobWaitsForShrunkWorkers(t *testing.T) {
	for name, step := range map[string]ladderflow.Step{"task": stepOf(1), "gang": gangOf(2)} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.resize(2, ladderflow.Size{Processor: 1000, Memory: 1000})
			h.submit("a", step)
			for range 20 {
				require.Empty(t, h.startAll())
				h.advance(100 * time.Millisecond)
				h.pollAll(nil)
			}
			require.Equal(t, ladderflow.Queued, h.planner.View(h.now, "a").State)
			h.resize(2, testWorker(0).Capacity)
			require.Len(t, h.startAll(), step.Tasks)
		})
	}
}

// TestOutageHidesShrinking takes the store away after a worker has shrunk and grown. It may shrink
// again unseen, so tasks may use only the least capacity until the list is current again.
func TestOutageHidesShrinking(t *testing.T) {
	h := newHarness(t, 1)
	h.planner.SetStoreServing(h.now, true)
	h.resize(1, ladderflow.Size{Processor: 4000, Memory: 8000})
	h.resize(1, testWorker(0).Capacity)
	h.planner.SetStoreServing(h.now, false)
	h.submit("a", stepOf(4))
	starts := h.startAll()
	require.Len(t, starts, 2)
	h.planner.SetStoreServing(h.now, true)
	require.Empty(t, h.startAll())
	h.advance(listSettleTime)
	h.pollAll(map[string][]ladderflow.ActiveRun{"w0": {{Run: starts[0].Run, Percent: 50}, {Run: starts[1].Run, Percent: 50}}})
	require.Len(t, h.startAll(), 2)
}
