package ladderplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// TestDelegateRenewsLeaseOfWorkerThatAnswersAgain has a delegate lose a poll of its worker and renew the worker's
// lease seconds later. The report of that is lost.
func TestDelegateRenewsLeaseOfWorkerThatAnswersAgain(t *testing.T) {
	const delegation = 1200 * time.Millisecond
	h := newHarness(t, 2)
	h.submit("a", stepOf(1))
	s := h.startAll()[0]
	h.planner.DelegateLease(h.now, s.Worker.ID, delegation)
	h.planner.PollFailed(s.Worker.ID, false)
	h.advance(4 * time.Second)
	// The delegate may renew leases once more: the worker answers it now.
	h.planner.DelegateLease(h.now, s.Worker.ID, delegation)
	renewedUntil := h.now.Add(delegation + h.planner.options.LeaseDuration)
	for h.now.Before(renewedUntil) {
		require.Empty(t, h.plan().Starts, "the run goes on for %v", renewedUntil.Sub(h.now))
		h.advance(100 * time.Millisecond)
		for id := range h.clock {
			if id != s.Worker.ID {
				h.poll(id, ladderflow.StatusReport{})
			}
		}
	}
}

// TestCutWorkersAreNoCrashes cuts the worker of a task off until its lease has expired and its entry is gone. It then
// comes back with the life that it had.
func TestCutWorkersAreNoCrashes(t *testing.T) {
	h := newHarness(t, 4)
	h.planner.SetStoreServing(h.now, true)
	h.submit("a", stepOf(1))
	for i := range maxCrashes {
		starts := h.startSoon()
		require.Len(t, starts, 1, "cut %d", i)
		require.Empty(t, h.startAllFor(500*time.Millisecond))
		lost := starts[0].Worker.ID
		var list []ladderflow.Worker
		for k := range 4 {
			if w := testWorker(k); w.ID != lost {
				list = append(list, w)
			}
		}
		h.planner.SetWorkers(h.now, list)
		h.planner.PollFailed(lost, false)
		h.advance(12 * time.Second)
		h.plan()
		h.listWorkers(4)
		h.storeAll()
		h.poll(lost, ladderflow.StatusReport{Ended: []ladderflow.EndedRun{{Sequence: int64(i + 1), Run: starts[0].Run, Reason: ladderflow.EndReason("lapsed")}}})
		h.pollAll(nil)
	}
	h.storeAll()
	require.Equal(t, ladderflow.Running, h.planner.View(h.now, "a").State, "no worker has crashed")
}
