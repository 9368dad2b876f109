package ladderjournal

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderflow"
	"lacewingladder/ladderplan"
	"lacewingladder/ladderstand"
	"lacewingladder/platform"
)

var errSilent = errors.New("no answer")

// shelf is a store whose next transaction may get no answer, and then takes effect
// at once, later or never.
type shelf struct {
	store *ladderstand.Store
	// silent counts the transactions that get no answer, done says whether they take
	// effect at once.
	silent int
	done   bool
	late   []platform.Txn
	refuse bool
}

func newShelf() *shelf { return &shelf{store: ladderstand.NewStore(ladderclock.System{})} }

func (s *shelf) Get(_ context.Context, key string) (platform.Item, bool, error) {
	item, ok, _ := s.store.Get(key)
	return item, ok, nil
}

func (s *shelf) Range(_ context.Context, prefix, after string) (platform.Page, error) {
	return s.store.Range(prefix, after, 3), nil
}

func (s *shelf) Commit(_ context.Context, t platform.Txn) (int64, []platform.Item, error) {
	if s.refuse {
		return 0, nil, platform.ErrRefused
	}
	if s.silent > 0 {
		s.silent--
		if s.done {
			s.store.Txn(t)
		} else {
			s.late = append(s.late, t)
		}
		return 0, nil, errSilent
	}
	if len(t.If)+len(t.Writes)+len(t.Deletes) > platform.MaxTxn {
		return 0, nil, errors.New("too many entries")
	}
	o := s.store.Txn(t)
	if !o.Done {
		// Like the platform's store, leave out what does not exist.
		found := slices.DeleteFunc(o.Found, func(i platform.Item) bool { return i.Changed == 0 })
		return 0, found, platform.ErrChanged
	}
	return o.Revision, nil, nil
}

// lead writes the leader's key and returns its revision.
func (s *shelf) lead() int64 {
	return s.store.Txn(platform.Txn{Writes: []platform.Write{{Key: LeaderKey, Value: []byte("e1")}}}).Revision
}

func record(job string, state ladderflow.State) []ladderplan.Record {
	return []ladderplan.Record{{Job: job, State: state}}
}

// TestLateCommitUndoesNothing lets a commit without an answer take effect after a
// newer one: the newer must stand.
func TestLateCommitUndoesNothing(t *testing.T) {
	for name, done := range map[string]bool{"it takes effect late": false, "it took effect at once": true} {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			s := newShelf()
			j := New(s)
			p := j.Progress(s.lead(), &Contents{})
			require.NoError(t, p.Commit(ctx, record("a", ladderflow.Queued)))
			s.silent, s.done = 1, done
			require.ErrorIs(t, p.Commit(ctx, record("a", ladderflow.Running)), errSilent)
			require.NoError(t, p.Commit(ctx, record("a", ladderflow.Done)))
			for _, txn := range s.late {
				require.False(t, s.store.Txn(txn).Done, "the late commit")
			}
			c, err := j.Load(ctx)
			require.NoError(t, err)
			require.Equal(t, ladderflow.Done, c.Records[0].State)
			require.NoError(t, p.Commit(ctx, record("b", ladderflow.Running)))
		})
	}
}

// TestCommitSentTwice sends one commit by two ways, of which one answers that a
// condition does not hold, since the other was quicker.
func TestCommitSentTwice(t *testing.T) {
	s := newShelf()
	p := New(&twice{s}).Progress(s.lead(), &Contents{})
	require.NoError(t, p.Commit(context.Background(), record("a", ladderflow.Running)))
	require.NoError(t, p.Commit(context.Background(), record("a", ladderflow.Done)))
}

type twice struct{ *shelf }

func (w *twice) Commit(ctx context.Context, t platform.Txn) (int64, []platform.Item, error) {
	_, _, _ = w.shelf.Commit(ctx, t)
	return w.shelf.Commit(ctx, t)
}

// TestDeposedLeaderWritesNothing lets a leader write after another has won.
func TestDeposedLeaderWritesNothing(t *testing.T) {
	ctx := context.Background()
	s := newShelf()
	j := New(s)
	old := j.Progress(s.lead(), &Contents{})
	s.store.Txn(platform.Txn{Deletes: []string{LeaderKey}})
	require.ErrorIs(t, old.Commit(ctx, record("a", ladderflow.Failed)), ErrDeposed, "nobody leads")
	fresh := j.Progress(s.lead(), &Contents{})
	require.ErrorIs(t, old.Commit(ctx, record("a", ladderflow.Failed)), ErrDeposed)
	require.ErrorIs(t, old.SaveRoster(ctx, nil), ErrDeposed)
	require.ErrorIs(t, old.Forget(ctx, []string{"a"}), ErrDeposed)
	require.NoError(t, fresh.Commit(ctx, record("a", ladderflow.Done)))
	require.NoError(t, fresh.SaveRoster(ctx, []ladderflow.Worker{{ID: "w1"}}))
}

func TestAccept(t *testing.T) {
	ctx := context.Background()
	for name, c := range map[string]struct {
		prepare func(*shelf, *Journal)
		want    []Outcome
	}{
		"all new":   {func(*shelf, *Journal) {}, []Outcome{Stored, Stored}},
		"one known": {func(_ *shelf, j *Journal) { j.Accept(ctx, submissions("a")) }, []Outcome{Known, Stored}},
		"one cancelled": {func(_ *shelf, j *Journal) {
			_, err := j.Cancel(ctx, "b")
			require.NoError(t, err)
		}, []Outcome{Stored, Overtaken}},
		"the store refuses":         {func(s *shelf, _ *Journal) { s.refuse = true }, []Outcome{Rejected, Rejected}},
		"the store does not answer": {func(s *shelf, _ *Journal) { s.silent = 1 }, []Outcome{Unsettled, Unsettled}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newShelf()
			j := New(s)
			c.prepare(s, j)
			list := submissions("a", "b")
			j.Accept(ctx, list)
			for i, want := range c.want {
				require.Equal(t, want, list[i].Outcome, list[i].Job.ID)
			}
		})
	}
}

func submissions(ids ...string) []*Submission {
	var list []*Submission
	for _, id := range ids {
		list = append(list, &Submission{Job: wholeJob(id)})
	}
	return list
}

func wholeJob(id string) *ladderflow.Job {
	return &ladderflow.Job{
		ID: id, Queue: "booths", Service: "fitting", Payload: "cut", Rounds: 2, First: time.UnixMilli(5000),
		Every: time.Second, Accepted: time.UnixMilli(4000),
		Steps: []ladderflow.Step{{
			Tasks: 3, Need: ladderflow.Size{Processor: 1500, Memory: 200, Accelerators: 1}, Estimate: time.Second,
			After: []int{0, 1}, Checkpoints: true, Gang: true, OneRack: true, Label: "b", Rack: "r1", Spread: 2,
			Copies: true, Lasting: true, Image: "i", Target: 9 * time.Millisecond, Filler: true, MayMiss: 1,
		}},
	}
}

// TestLoad reads back all that was written, over several pages.
func TestLoad(t *testing.T) {
	ctx := context.Background()
	s := newShelf()
	j := New(s)
	var ids []string
	for i := range 7 {
		ids = append(ids, fmt.Sprintf("%016x", i))
	}
	j.Accept(ctx, submissions(ids...))
	_, err := j.Cancel(ctx, ids[2])
	require.NoError(t, err)
	p := j.Progress(s.lead(), &Contents{})
	r := ladderplan.Record{
		Job: ids[1], State: ladderflow.Running, Closed: []int{0},
		Rounds: []ladderplan.RoundRecord{{Index: 1, Steps: []ladderplan.StepRecord{
			{Done: true, Failed: []int{2}, Saved: "s"},
			{Tasks: []ladderplan.TaskRecord{{Index: 4, Done: true, Number: 3, Closed: 2, Failed: []int{2}, Saved: "x"}}},
		}}},
	}
	require.NoError(t, p.Commit(ctx, []ladderplan.Record{r}))
	worker := ladderflow.Worker{ID: "w", Service: "fitting", Zone: "z", Labels: []string{"a", "r1"}, Address: netip.MustParseAddrPort("10.0.0.1:80")}
	require.NoError(t, p.SaveRoster(ctx, []ladderflow.Worker{worker}))
	s.store.Txn(platform.Txn{Writes: []platform.Write{{Key: recordPrefix + "bad", Value: []byte{0xff}}}})

	c, err := j.Load(ctx)
	require.NoError(t, err)
	require.Len(t, c.Jobs, 7)
	require.Equal(t, wholeJob(ids[0]), c.Jobs[0])
	require.Equal(t, []string{ids[2]}, c.Cancelled)
	require.Equal(t, []ladderplan.Record{r}, c.Records)
	require.Equal(t, "w", c.Roster[0].ID)
	require.Len(t, c.Faults, 1)

	for id, want := range map[string]ladderflow.State{ids[0]: ladderflow.Queued, ids[1]: ladderflow.Running, ids[2]: ladderflow.Cancelled} {
		state, ok, err := j.Lookup(ctx, id)
		require.NoError(t, err)
		require.True(t, ok)
		require.Equal(t, want, state)
	}
	_, ok, err := j.Lookup(ctx, "none")
	require.NoError(t, err)
	require.False(t, ok)
	require.NoError(t, p.Forget(ctx, ids))
	c, err = j.Load(ctx)
	require.NoError(t, err)
	require.Empty(t, c.Jobs)
}

// TestFullBatches writes as much at once as the package allows.
func TestFullBatches(t *testing.T) {
	ctx := context.Background()
	s := newShelf()
	j := New(s)
	p := j.Progress(s.lead(), &Contents{})
	require.NoError(t, p.Commit(ctx, make([]ladderplan.Record, MaxRecords)))
	require.NoError(t, p.Forget(ctx, make([]string, MaxForgotten)))
	var ids []string
	for i := range MaxSubmissions {
		ids = append(ids, fmt.Sprint(i))
	}
	list := submissions(ids...)
	j.Accept(ctx, list)
	for _, x := range list {
		require.Equal(t, Stored, x.Outcome, x.Err)
	}
}

// TestMarksAreNotShared lets two writers believe that they hold the same lead: the
// second must not take the first one's write for its own.
func TestMarksAreNotShared(t *testing.T) {
	ctx := context.Background()
	s := newShelf()
	j := New(s)
	leader := s.lead()
	a, b := j.Progress(leader, &Contents{}), j.Progress(leader, &Contents{})
	require.NoError(t, a.Commit(ctx, record("a", ladderflow.Done)))
	require.NoError(t, b.Commit(ctx, record("b", ladderflow.Done)))
	c, err := j.Load(ctx)
	require.NoError(t, err)
	require.Len(t, c.Records, 2)
}
