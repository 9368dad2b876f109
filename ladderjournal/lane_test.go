package ladderjournal

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderplan"
	"lacewingladder/platform"
)

// TestRecordsNeverGoBack stores records of a few jobs again and again, with transactions that are applied late or
// not answered. Once a Commit has succeeded, no late transaction may change what it has stored.
func TestRecordsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		s := newFakeStore()
		p := New(s).ProgressWriter(s.electLeader(), &Contents{})
		p.Sequential()
		for n := range rapid.IntRange(1, 12).Draw(t, "commits") {
			var list []ladderplan.Record
			for i := range 5 {
				if rapid.Bool().Draw(t, "changed") {
					list = append(list, ladderplan.Record{Job: fmt.Sprint(i), State: ladderflow.Running, CompletedRounds: []int{n}})
				}
			}
			s.unanswered = rapid.SampledFrom([]int{0, 0, 1, 2, 3}).Draw(t, "unanswered")
			s.applyUnanswered = rapid.Bool().Draw(t, "applied")
			missing, err := p.Commit(ctx, list, rapid.IntRange(1, 2).Draw(t, "size"))
			s.unanswered = 0
			require.Equal(t, err != nil && len(list) > 0, len(missing) > 0)
			stored := slices.DeleteFunc(list, func(r ladderplan.Record) bool {
				return slices.ContainsFunc(missing, func(m ladderplan.Record) bool { return m.Job == r.Job })
			})
			for range rapid.IntRange(0, 3).Draw(t, "late") {
				if len(s.delayed) > 0 {
					s.store.Txn(s.delayed[rapid.IntRange(0, len(s.delayed)-1).Draw(t, "which")])
				}
			}
			for _, want := range stored {
				item, ok, _ := s.store.Get(recordPrefix + want.Job)
				require.True(t, ok)
				got, err := DecodeRecord(want.Job, item.Value)
				require.NoError(t, err)
				require.Equal(t, want, got)
			}
		}
	})
}

// slowStore takes a while for each transaction, and counts those that are in flight.
type slowStore struct {
	*fakeStore
	mu      sync.Mutex
	flight  int
	highest int
}

func (s *slowStore) Commit(ctx context.Context, t platform.Txn) (int64, []platform.Item, error) {
	s.mu.Lock()
	s.flight++
	s.highest = max(s.highest, s.flight)
	s.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flight--
	return s.fakeStore.Commit(ctx, t)
}

// TestLargeBatchIsStoredSideBySide stores as many records as a large fleet changes while the store is slow.
func TestLargeBatchIsStoredSideBySide(t *testing.T) {
	ctx := context.Background()
	s := &slowStore{fakeStore: newFakeStore()}
	p := New(s).ProgressWriter(s.electLeader(), &Contents{})
	var list []ladderplan.Record
	for i := range 2*recordLanes*MaxRecords + 1 {
		list = append(list, ladderplan.Record{Job: fmt.Sprint(i), State: ladderflow.Done})
	}
	require.NoError(t, commit(ctx, p, list, MaxRecords))
	require.Greater(t, s.highest, 1)
	require.LessOrEqual(t, s.highest, recordLanes)
	c, err := New(s).Load(ctx)
	require.NoError(t, err)
	require.Len(t, c.Records, len(list))
	require.NoError(t, commit(ctx, p, list[:1], MaxRecords))
}

// TestLeaderFindsLanesOfEarlierOnes commits as a leader that does not know the keys of the lanes that an earlier one has
// changed.
func TestLeaderFindsLanesOfEarlierOnes(t *testing.T) {
	ctx := context.Background()
	s := newFakeStore()
	j := New(s)
	list := []ladderplan.Record{{Job: "a"}, {Job: "b"}, {Job: "c"}}
	require.NoError(t, commit(ctx, j.ProgressWriter(s.electLeader(), &Contents{}), list, 1))
	former := j.ProgressWriter(s.electLeader(), &Contents{})
	c, err := j.Load(ctx)
	require.NoError(t, err)
	next := j.ProgressWriter(s.electLeader(), c)
	next.Sequential()
	former.Sequential()
	require.NoError(t, commit(ctx, next, list, 1))
	require.ErrorIs(t, commit(ctx, former, list, 1), ErrSuperseded)
}
