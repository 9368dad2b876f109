package ladderclock_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclock"
)

func TestManualRingsInTime(t *testing.T) {
	start := time.Unix(1000, 0)
	clock := ladderclock.NewManual(start)
	soon, late := clock.After(time.Second), clock.After(3*time.Second)
	require.Len(t, clock.After(0), 1, "no time at all has passed already")
	clock.Advance(2 * time.Second)
	require.Len(t, soon, 1)
	require.Empty(t, late)
	clock.Advance(time.Second)
	require.Equal(t, start.Add(3*time.Second), <-late)
}
