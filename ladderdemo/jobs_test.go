package ladderdemo

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderlog"
)

// TestRunJobs plays the demo of the members' platform, with a VM that leaves half way.
func TestRunJobs(t *testing.T) {
	r, err := RunJobs(context.Background(), 60, ladderlog.Discard())
	require.NoError(t, err)
	require.Equal(t, r.Jobs, r.Done)
	require.Zero(t, r.Twice)
}
