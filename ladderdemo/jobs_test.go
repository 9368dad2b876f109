package ladderdemo

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"lacewingladder/ladderlog"
)

// TestRunJobs plays the demo of the members' platform, with a VM that leaves half way.
// Nothing of it is left over in the end: no goroutine waits for an answer for ever.
func TestRunJobs(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	defer http.DefaultClient.CloseIdleConnections()
	r, err := RunJobs(context.Background(), 60, ladderlog.Discard())
	require.NoError(t, err)
	require.Equal(t, r.Jobs, r.Done)
	require.Zero(t, r.Twice)
}
