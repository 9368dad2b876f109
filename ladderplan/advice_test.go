package ladderplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestShortQueriesLeaveRoomForLongOnes sends more short queries than the VMs can answer. A long one
// must be sent nevertheless.
func TestShortQueriesLeaveRoomForLongOnes(t *testing.T) {
	h := newHarness(t, 1)
	h.planner.SetVMs([]string{"a", "b", "c", "d", "e", "f"})
	sent := 0
	for range 600 {
		for range 20 {
			h.planner.pickVM(h.now, 20*time.Millisecond)
		}
		if _, ok := h.planner.pickVM(h.now, 2*longQueryCost); ok {
			sent++
		}
		h.advance(10 * time.Millisecond)
	}
	require.Greater(t, sent, 20)
}
