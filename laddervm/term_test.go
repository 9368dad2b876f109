package laddervm

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclock"
)

// TestJobsAreReadAgainAfterEarlierLeases checks that no watch call waits before the leader has read the
// jobs at a time after the leases of earlier leaders have ended.
func TestJobsAreReadAgainAfterEarlierLeases(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	tm := &term{vm: &VM{clock: ladderclock.System{}}, ctx: context.Background(), inbox: make(chan func(), inboxSize), earlierLeaseEnd: now.Add(leaderLease)}
	f := tm.jobFollower()
	require.Equal(t, leaderLease, f.watchWait(now))
	f.complete(now)
	require.Equal(t, time.Millisecond, f.watchWait(tm.earlierLeaseEnd.Add(-time.Millisecond)))
	f.complete(tm.earlierLeaseEnd)
	later := tm.earlierLeaseEnd.Add(time.Millisecond)
	require.Zero(t, f.watchWait(later))
	f.complete(later)
	require.Equal(t, watchWait, f.watchWait(later))
}
