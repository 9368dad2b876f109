package ladderclock_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclock"
)

// TestManualFiresTimers checks that a channel from After receives the time when the clock
// has advanced by its duration, not earlier, and at once if the duration is zero.
func TestManualFiresTimers(t *testing.T) {
	start := time.Unix(1000, 0)
	clock := ladderclock.NewManual(start)
	early, late := clock.After(time.Second), clock.After(3*time.Second)
	require.Len(t, clock.After(0), 1, "a duration of zero has passed at once")
	clock.Advance(2 * time.Second)
	require.Len(t, early, 1)
	require.Empty(t, late)
	clock.Advance(time.Second)
	require.Equal(t, start.Add(3*time.Second), <-late)
}
