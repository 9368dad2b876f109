package ladderplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// TestLeaderInDoubtRestartsNoTaskOfSilentWorker lets the lease of a worker expire, which another leader may have renewed.
func TestLeaderInDoubtRestartsNoTaskOfSilentWorker(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("a", stepOf(1))
	s := h.startAll()[0]
	h.planner.PollFailed(s.Worker.ID, false)
	pollOther := func() {
		for id := range h.clock {
			if id != s.Worker.ID {
				h.poll(id, ladderflow.StatusReport{})
			}
		}
	}
	for range 30 {
		h.advance(500 * time.Millisecond)
		pollOther()
		require.Empty(t, h.planner.Plan(h.now, h.now, LeadershipProbable).Starts)
		require.Empty(t, h.planner.Plan(h.now, h.now, LeadershipNone).Starts)
	}
	h.advance(idlePassInterval)
	pollOther()
	require.Len(t, h.plan().Starts, 1, "no other leader has been elected meanwhile")
}

// TestLeaderInDoubtStartsNoTaskOfEarlierLeader lets the time pass in which earlier leaders may have granted leases.
func TestLeaderInDoubtStartsNoTaskOfEarlierLeader(t *testing.T) {
	h := newHarness(t, 2)
	next := h.nextLeader([]*ladderflow.Job{testJob(h.now, "a", stepOf(1))}, nil, 2)
	next.poll("w0", ladderflow.StatusReport{})
	next.plan()
	for range 30 {
		next.advance(500 * time.Millisecond)
		next.poll("w0", ladderflow.StatusReport{})
		require.Empty(t, next.planner.Plan(next.now, next.now, LeadershipProbable).Starts)
	}
	next.advance(idlePassInterval)
	require.Len(t, next.plan().Starts, 1)
}
