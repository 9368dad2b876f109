package ladderdemo

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"lacewingladder/ladderlog"
)

// TestRunJobs checks that all jobs of the demo end, and that no task starts twice,
// although an entry VM stops while jobs are running. It also checks that no goroutine
// is left, such as one that waits forever for a response.
func TestRunJobs(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	defer http.DefaultClient.CloseIdleConnections()
	r, err := RunJobs(context.Background(), 60, ladderlog.Discard())
	require.NoError(t, err)
	require.Equal(t, r.Jobs, r.Done)
	require.Zero(t, r.StartedTwice)
}
