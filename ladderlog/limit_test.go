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

// TestRateLimited checks that each message is limited on its own, that the number of dropped
// lines is logged in the next window, and that lines below the level are not written.
func TestRateLimited(t *testing.T) {
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

// TestAsyncWriterNeverBlocks checks that an AsyncWriter drops lines instead of blocking
// while the writer behind it blocks, and that it reports the drop before later lines.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	w := &blockableWriter{}
	w.mu.Lock()
	a := NewAsyncWriter(w)
	for range asyncBufferLines + 100 {
		_, err := a.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	w.mu.Unlock()
	require.Eventually(t, func() bool { return len(a.lines) == 0 }, time.Second, time.Millisecond)
	_, _ = a.Write([]byte("last\n"))
	a.Close()
	require.Contains(t, w.out.String(), "lines were dropped")
	require.True(t, strings.HasSuffix(w.out.String(), "last\n"))
}
