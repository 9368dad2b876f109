package ladderjournal

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
	"lacewingladder/platform"
)

// TestCancelledIDThatNobodySubmittedIsNotShown guards against a job that is shown although nobody
// submitted it, and against a cancellation that is lost because it came first.
func TestCancelledIDThatNobodySubmittedIsNotShown(t *testing.T) {
	ctx := context.Background()
	submit := func(t *testing.T, j *Journal, want Outcome) {
		submitted := submissions("a")
		j.Accept(ctx, submitted)
		require.Equal(t, want, submitted[0].Outcome, submitted[0].Err)
	}
	cancel := func(t *testing.T, j *Journal, want Outcome) {
		outcome, err := j.Cancel(ctx, "a")
		require.NoError(t, err)
		require.Equal(t, want, outcome)
	}
	for name, c := range map[string]struct {
		steps func(*testing.T, *Journal)
		known bool
		state ladderflow.State
	}{
		"cancelled alone": {func(t *testing.T, j *Journal) {
			cancel(t, j, Stored)
			cancel(t, j, AlreadyStored)
		}, false, ""},
		"cancelled, then submitted": {func(t *testing.T, j *Journal) {
			cancel(t, j, Stored)
			submit(t, j, CancelledFirst)
			submit(t, j, AlreadyStored)
		}, true, ladderflow.Cancelled},
		"submitted, then cancelled": {func(t *testing.T, j *Journal) {
			submit(t, j, Stored)
			cancel(t, j, Stored)
			submit(t, j, AlreadyStored)
		}, true, ladderflow.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			j := New(newFakeStore())
			c.steps(t, j)
			state, ok, err := j.Lookup(ctx, "a")
			require.NoError(t, err)
			require.Equal(t, c.known, ok)
			if ok {
				require.Equal(t, c.state, state)
			}
		})
	}
}

// TestFullBatchOfCancelledJobsIsStored submits the largest batch of jobs of which all were canceled first.
func TestFullBatchOfCancelledJobsIsStored(t *testing.T) {
	ctx := context.Background()
	j := New(newFakeStore())
	var ids []string
	for i := range MaxSubmissions {
		ids = append(ids, fmt.Sprint(i))
		_, err := j.Cancel(ctx, ids[i])
		require.NoError(t, err)
	}
	submitted := submissions(ids...)
	j.Accept(ctx, submitted)
	c, err := j.Load(ctx)
	require.NoError(t, err)
	require.Len(t, c.Jobs, MaxSubmissions)
	require.Len(t, c.Cancelled, MaxSubmissions)
	for _, s := range submitted {
		require.Equal(t, CancelledFirst, s.Outcome, s.Err)
	}
}

// TestCancellationIsDeletedOnlyWithoutItsJob guards against cancellations that stay in the store for good, and
// against the deletion of one whose job was submitted meanwhile.
func TestCancellationIsDeletedOnlyWithoutItsJob(t *testing.T) {
	ctx := context.Background()
	s := newFakeStore()
	j := New(s)
	p := j.ProgressWriter(s.electLeader(), &Contents{})
	var ids []string
	for i := range MaxDeletedCancellations {
		ids = append(ids, fmt.Sprint(i))
		_, err := j.Cancel(ctx, ids[i])
		require.NoError(t, err)
	}
	late := submissions(ids[3])
	j.Accept(ctx, late)
	require.Equal(t, CancelledFirst, late[0].Outcome)

	deleted, err := p.DeleteCancellations(ctx, ids)
	require.NoError(t, err)
	require.Len(t, deleted, len(ids)-1)
	require.NotContains(t, deleted, ids[3])
	c, err := j.Load(ctx)
	require.NoError(t, err)
	require.Equal(t, []string{ids[3]}, c.Cancelled)
	later := submissions(ids[4])
	j.Accept(ctx, later)
	require.Equal(t, Stored, later[0].Outcome, "its cancellation has expired")

	deleted, err = p.DeleteCancellations(ctx, []string{ids[3]})
	require.NoError(t, err)
	require.Empty(t, deleted)
	s.store.Txn(platform.Txn{Deletes: []string{LeaderKey}})
	_, err = p.DeleteCancellations(ctx, ids[:1])
	require.ErrorIs(t, err, ErrSuperseded)
}
