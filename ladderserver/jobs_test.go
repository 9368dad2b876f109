package ladderserver

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/laddergate"
	"lacewingladder/ladderjob"
	"lacewingladder/laddermessage"
	"lacewingladder/platform"
)

// TestCommitAfterTheEnd checks that a write which is queued when the commit loop ends, or after
// that, is reported as not stored instead of keeping its caller until the deadline.
func TestCommitAfterTheEnd(t *testing.T) {
	for name, endFirst := range map[string]bool{"queued before the end": false, "queued after the end": true} {
		t.Run(name, func(t *testing.T) {
			j := &jobs{pending: make(chan pendingWrite, 1), ended: make(chan struct{})}
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			errs := make(chan error, 1)
			if endFirst {
				j.commitLoop(ctx)
			}
			go func() { errs <- j.commit(context.Background(), platform.Write{Key: "k"}) }()
			if !endFirst {
				require.Eventually(t, func() bool { return len(j.pending) == 1 }, time.Second, time.Millisecond)
				close(j.ended)
			}
			select {
			case err := <-errs:
				require.ErrorIs(t, err, laddergate.ErrStoreUnreachable)
			case <-time.After(time.Second):
				t.Fatal("the write has no result")
			}
		})
	}
}

// TestEndIsShownOnceStored checks that a job which the leader knows to have ended is shown as running
// while the store does not hold the end: the next leader may not know it.
func TestEndIsShownOnceStored(t *testing.T) {
	for name, c := range map[string]struct {
		stored, known, shown ladderjob.State
	}{
		"done, not stored":      {ladderjob.Running, ladderjob.Done, ladderjob.Running},
		"failed, not stored":    {ladderjob.Queued, ladderjob.Failed, ladderjob.Running},
		"cancelled, not stored": {ladderjob.Running, ladderjob.Cancelled, ladderjob.Running},
		"done and stored":       {ladderjob.Done, ladderjob.Done, ladderjob.Done},
		"running, not stored":   {ladderjob.Queued, ladderjob.Running, ladderjob.Running},
	} {
		t.Run(name, func(t *testing.T) {
			r := ladderjob.Record{State: c.stored}
			status := laddermessage.JobStatus{Found: true, State: string(c.known), Reason: "why", Ended: 2}
			v := jobView(&r, status)
			require.Equal(t, c.shown, v.State)
			if c.known.Final() {
				require.Empty(t, v.Reason)
			}
		})
	}
	v := jobView(&ladderjob.Record{State: ladderjob.Queued}, laddermessage.JobStatus{})
	require.Equal(t, ladderjob.Queued, v.State)
	require.NotEmpty(t, v.Reason)
}
