package ladderplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderlog"
)

// TestQueueLengthIgnoresEndedJobs checks that jobs which have begun or ended cost a query for the length of
// their queue nothing. Callers send it often, and a leader keeps ended jobs for minutes.
func TestQueueLengthIgnoresEndedJobs(t *testing.T) {
	h := newHarness(t, 1)
	for i := range 8 {
		h.submit(fmt.Sprintf("job%d", i), stepOf(1))
	}
	h.planner.Cancel(h.now, "job7")
	h.planner.jobs["job6"].begun = true
	queue := h.planner.jobs["job0"].spec.Queue
	require.Equal(t, 6, h.planner.QueuedJobs(queue))
	require.Len(t, h.planner.queuedJobs[queue], 6)
	require.Zero(t, h.planner.QueuedJobs("another"))

	for i := range 6 {
		h.planner.Cancel(h.now, fmt.Sprintf("job%d", i))
	}
	h.advance(pruneInterval)
	h.planner.prune(h.now)
	require.Empty(t, h.planner.queuedJobs, "nobody has asked for the length")
}

// BenchmarkQueuedJobs reads the length of a queue of which 100 jobs wait and 6,000 have ended.
func BenchmarkQueuedJobs(b *testing.B) {
	now := time.UnixMilli(1_000_000)
	p := New(Options{Log: ladderlog.Discard().Component("plan"), JobRetention: time.Minute})
	for i := range 6100 {
		id := fmt.Sprintf("%016x", i)
		p.AddJob(now, &ladderflow.Job{ID: id, Queue: "q", Steps: []ladderflow.Step{{Tasks: 4}}}, false)
		if i >= 100 {
			p.Cancel(now, id)
		}
	}
	for b.Loop() {
		p.QueuedJobs("q")
	}
}
