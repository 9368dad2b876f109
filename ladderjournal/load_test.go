package ladderjournal

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderplan"
	"lacewingladder/platform"
)

// TestLoadFindsAll loads jobs with any ids, whose keys need many pages.
func TestLoadFindsAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		s := newFakeStore()
		j := New(s)
		ids := rapid.SliceOfNDistinct(rapid.StringMatching("[0-9a-fA-F]{16}"), 0, 40, rapid.ID[string]).Draw(t, "ids")
		p := j.ProgressWriter(s.electLeader(), &Contents{})
		for _, id := range ids {
			j.Accept(ctx, submissions(id))
			if rapid.Bool().Draw(t, "progress") {
				require.NoError(t, commit(ctx, p, []ladderplan.Record{{Job: id, State: ladderflow.Done}}, 1))
			}
		}
		before := s.store.Txn(platform.Txn{}).Revision
		c, err := j.Load(ctx)
		require.NoError(t, err)
		var got []string
		for _, x := range c.Jobs {
			got = append(got, x.ID)
		}
		require.ElementsMatch(t, ids, got)
		require.IsIncreasing(t, append([]string{""}, got...))
		require.GreaterOrEqual(t, c.Revision, before)
		for _, r := range c.Records {
			require.Contains(t, ids, r.Job)
		}
	})
}

// changingStore stores a job and a cancellation after each page that it returns, so that a load misses some of them.
type changingStore struct {
	*fakeStore
	mu    sync.Mutex
	count int
}

func (s *changingStore) Range(ctx context.Context, prefix, after string) (platform.Page, error) {
	page, err := s.fakeStore.Range(ctx, prefix, after)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	id := fmt.Sprintf("%016x", s.count*0x0123456789abcdf)
	j := New(s.fakeStore)
	j.Accept(ctx, submissions(id))
	_, cancelErr := j.Cancel(ctx, id)
	return page, errorOr(err, cancelErr)
}

func errorOr(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// TestWatchAfterLoadMissesNothing stores jobs and cancellations while a load reads. What the load misses must have
// changed after the revision that it states.
func TestWatchAfterLoadMissesNothing(t *testing.T) {
	ctx := context.Background()
	s := &changingStore{fakeStore: newFakeStore()}
	var ids []string
	for i := range 30 {
		ids = append(ids, fmt.Sprintf("%x%015x", i%16, i))
	}
	for _, id := range ids {
		New(s.fakeStore).Accept(ctx, submissions(id))
	}
	c, err := New(s).Load(ctx)
	require.NoError(t, err)
	known := map[string]bool{}
	for _, x := range c.Jobs {
		known[jobPrefix+x.ID] = true
	}
	for _, id := range c.Cancelled {
		known[cancelPrefix+id] = true
	}
	for _, item := range s.store.Range("ladder/in/", "", 1000).Items {
		if !known[item.Key] {
			require.Greater(t, item.ModRevision, c.Revision, item.Key)
		}
	}
}

// TestLoadReportsPage lets the store refuse one part of the keys.
func TestLoadReportsPage(t *testing.T) {
	ctx := context.Background()
	s := &refusingStore{fakeStore: newFakeStore(), refused: jobPrefix + "7"}
	for i := range 16 {
		New(s.fakeStore).Accept(ctx, submissions(fmt.Sprintf("%x%015x", i, i)))
	}
	_, err := New(s).Load(ctx)
	require.ErrorIs(t, err, platform.ErrRefused)
	require.ErrorContains(t, err, jobPrefix+"7")
}

type refusingStore struct {
	*fakeStore
	refused string
}

func (s *refusingStore) Range(ctx context.Context, prefix, after string) (platform.Page, error) {
	if strings.HasPrefix(prefix, s.refused) {
		return platform.Page{}, platform.ErrRefused
	}
	return s.fakeStore.Range(ctx, prefix, after)
}
