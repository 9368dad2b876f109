package ladderserver

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/laddergate"
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
