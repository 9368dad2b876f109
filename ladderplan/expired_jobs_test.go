package ladderplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderlog"
)

// TestExpiredJobsInOrderOfTheirEnds checks which ended jobs are to be deleted, and that a batch which was
// not stored deletes none.
func TestExpiredJobsInOrderOfTheirEnds(t *testing.T) {
	const retention = time.Minute
	now := time.UnixMilli(1_000_000)
	p := New(Options{Log: ladderlog.Discard().Component("plan"), JobRetention: retention})
	for i := range 5 {
		p.AddJob(now, &ladderflow.Job{ID: fmt.Sprintf("job%d", i), Queue: "q", Steps: []ladderflow.Step{{Tasks: 1}}}, false)
	}
	end := func(id string) {
		p.Cancel(now, id)
		p.BatchStored(p.NextBatch())
	}
	end("job3")
	end("job1")
	now = now.Add(time.Second)
	end("job4")
	p.Restore(now, Record{Job: "job0", State: ladderflow.Done})
	p.Restore(now, Record{Job: "job0", State: ladderflow.Done})

	firstExpires := now.Add(retention * 5 / 4)
	require.Empty(t, p.ExpiredJobs(firstExpires.Add(-time.Second), 10))
	require.Equal(t, []string{"job3", "job1"}, p.ExpiredJobs(firstExpires, 10))
	last := firstExpires.Add(time.Second)
	require.Equal(t, []string{"job3", "job1", "job4"}, p.ExpiredJobs(last, 3))

	b := p.NextBatch()
	b.JobsToDelete = []string{"job3", "job1"}
	p.BatchNotStored(b, b.Records)
	require.Equal(t, []string{"job3", "job1", "job4", "job0"}, p.ExpiredJobs(last, 10))
	p.BatchStored(b)
	require.Equal(t, []string{"job4", "job0"}, p.ExpiredJobs(last, 10))
	require.Len(t, p.endedJobs, 2)
	require.Len(t, p.jobs, 3)
}

// BenchmarkExpiredJobs looks for jobs to delete among 6,000 that have ended lately.
func BenchmarkExpiredJobs(b *testing.B) {
	now := time.UnixMilli(1_000_000)
	p := New(Options{Log: ladderlog.Discard().Component("plan"), JobRetention: time.Minute})
	for i := range 6000 {
		id := fmt.Sprintf("%016x", i)
		p.AddJob(now, &ladderflow.Job{ID: id, Queue: "q", Steps: []ladderflow.Step{{Tasks: 4}}}, false)
		p.Cancel(now, id)
	}
	p.BatchStored(p.NextBatch())
	for b.Loop() {
		p.ExpiredJobs(now, 30)
	}
}

// TestCancellationIsKeptUntilTheStoreHasDeletedIt guards against a job that starts because its cancellation, which
// the store still holds, was forgotten before the job arrived.
func TestCancellationIsKeptUntilTheStoreHasDeletedIt(t *testing.T) {
	const retention = time.Minute
	now := time.UnixMilli(1_000_000)
	p := New(Options{Log: ladderlog.Discard().Component("plan"), JobRetention: retention})
	for _, id := range []string{"a", "b", "c"} {
		p.Cancel(now, id)
	}
	require.Empty(t, p.ExpiredCancellations(now.Add(retention), 9))
	now = now.Add(2 * retention)
	p.Cancel(now, "d")
	p.prune(now)
	require.ElementsMatch(t, []string{"a", "b", "c"}, p.ExpiredCancellations(now, 9))
	require.Len(t, p.ExpiredCancellations(now, 2), 2)

	b := p.NextBatch()
	require.True(t, b.Empty())
	b.CancellationsToDelete = []string{"a", "b"}
	require.False(t, b.Empty())
	p.BatchNotStored(b, b.Records)
	require.Len(t, p.ExpiredCancellations(now, 9), 3)
	p.BatchStored(b)
	require.Equal(t, []string{"c"}, p.ExpiredCancellations(now, 9))
	for id, want := range map[string]ladderflow.State{"a": ladderflow.Queued, "c": ladderflow.Cancelled, "d": ladderflow.Cancelled} {
		p.AddJob(now, &ladderflow.Job{ID: id, Queue: "q", Steps: []ladderflow.Step{{Tasks: 1}}}, false)
		require.Equal(t, View{Known: true, State: want}, p.View(now, id))
	}
}
