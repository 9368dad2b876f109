package ladderlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclock"
)

// TestLimited checks that each message is limited on its own, that the number of dropped
// lines is logged in the next window, and that lines below the level are not written.
func TestLimited(t *testing.T) {
	var out bytes.Buffer
	clock := ladderclock.NewManual(time.UnixMilli(0))
	l := New(&out, "info").RateLimited("component", clock)
	for range maxWarnLines + 7 {
		l.Warn("store is unreachable")
	}
	l.Warn("something else")
	l.Debug("below the level")
	require.Equal(t, maxWarnLines, strings.Count(out.String(), "store is unreachable"))
	require.Contains(t, out.String(), "something else")
	clock.Advance(limitWindow)
	l.Warn("store is unreachable")
	require.Contains(t, out.String(), `of="store is unreachable" lines=7`)
	require.NotContains(t, out.String(), "below the level")
}

// blockableWriter is a writer whose Write blocks while the test holds mu.
type blockableWriter struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (w *blockableWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

// TestQueueNeverBlocks checks that a queue drops lines instead of blocking while its
// writer blocks, and that it reports this before the next lines.
func TestQueueNeverBlocks(t *testing.T) {
	w := &blockableWriter{}
	w.mu.Lock()
	q := NewAsyncWriter(w)
	for range queueCapacity + 100 {
		_, err := q.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	w.mu.Unlock()
	require.Eventually(t, func() bool { return len(q.lines) == 0 }, time.Second, time.Millisecond)
	_, _ = q.Write([]byte("last\n"))
	q.Close()
	require.Contains(t, w.out.String(), "lines were dropped")
	require.True(t, strings.HasSuffix(w.out.String(), "last\n"))
}
