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

func TestLimited(t *testing.T) {
	var out bytes.Buffer
	clock := ladderclock.NewManual(time.UnixMilli(0))
	l := New(&out, "info").Limited("part", clock)
	for range maxWarn + 7 {
		l.Warn("store is gone")
	}
	l.Warn("something else")
	l.Debug("not asked for")
	require.Equal(t, maxWarn, strings.Count(out.String(), "store is gone"))
	require.Contains(t, out.String(), "something else")
	clock.Advance(lineTime)
	l.Warn("store is gone")
	require.Contains(t, out.String(), `of="store is gone" lines=7`)
	require.NotContains(t, out.String(), "not asked for")
}

// stuck is a reader that takes nothing until it is let go.
type stuck struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

func TestQueueNeverBlocks(t *testing.T) {
	s := &stuck{}
	s.mu.Lock()
	q := NewQueue(s)
	for range queueLines + 100 {
		_, err := q.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	s.mu.Unlock()
	require.Eventually(t, func() bool { return len(q.lines) == 0 }, time.Second, time.Millisecond)
	_, _ = q.Write([]byte("last\n"))
	q.Close()
	require.Contains(t, s.out.String(), "lines were dropped")
	require.True(t, strings.HasSuffix(s.out.String(), "last\n"))
}
