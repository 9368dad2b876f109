package ladderjournal

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderflow"
	"lacewingladder/ladderplan"
	"lacewingladder/ladderstand"
	"lacewingladder/platform"
)

var errNoAnswer = errors.New("no answer")

// fakeStore is a store that can refuse transactions or leave them unanswered.
type fakeStore struct {
	store *ladderstand.Store
	// unanswered is the number of transactions to leave unanswered from now on. If
	// applyUnanswered is true, they take effect at once; otherwise they are appended to
	// delayed, from where a test can apply them later.
	unanswered      int
	applyUnanswered bool
	delayed         []platform.Txn
	// refuse makes Commit refuse all transactions.
	refuse bool
}

func newFakeStore() *fakeStore { return &fakeStore{store: ladderstand.NewStore(ladderclock.System{})} }

func (s *fakeStore) Get(_ context.Context, key string) (platform.Item, bool, error) {
	item, ok, _ := s.store.Get(key)
	return item, ok, nil
}

// Range returns pages of three items, so that a test with few items reads several pages.
func (s *fakeStore) Range(_ context.Context, prefix, after string) (platform.Page, error) {
	return s.store.Range(prefix, after, 3), nil
}

func (s *fakeStore) Commit(_ context.Context, t platform.Txn) (int64, []platform.Item, error) {
	if s.refuse {
		return 0, nil, platform.ErrRefused
	}
	if s.unanswered > 0 {
		s.unanswered--
		if s.applyUnanswered {
			s.store.Txn(t)
		} else {
			s.delayed = append(s.delayed, t)
		}
		return 0, nil, errNoAnswer
	}
	if len(t.Conditions)+len(t.Writes)+len(t.Deletes) > platform.MaxTxn {
		return 0, nil, errors.New("too many entries")
	}
	o := s.store.Txn(t)
	if !o.Committed {
		// The platform's store omits keys that do not exist, too.
		found := slices.DeleteFunc(o.Found, func(i platform.Item) bool { return i.ModRevision == 0 })
		return 0, found, platform.ErrConditionFailed
	}
	return o.Revision, nil, nil
}

// electLeader writes the leader's key and returns its revision.
func (s *fakeStore) electLeader() int64 {
	return s.store.Txn(platform.Txn{Writes: []platform.Write{{Key: LeaderKey, Value: []byte("e1")}}}).Revision
}

// commit stores records and returns the error of [ProgressWriter.Commit].
func commit(ctx context.Context, p *ProgressWriter, list []ladderplan.Record, size int) error {
	_, err := p.Commit(ctx, list, size)
	return err
}

// records returns one record, of a job in the given state.
func records(job string, state ladderflow.State) []ladderplan.Record {
	return []ladderplan.Record{{Job: job, State: state}}
}

// TestLateCommitUndoesNothing leaves a commit unanswered and then makes a newer one.
// The older commit must not overwrite the newer, even if it reaches the store later.
func TestLateCommitUndoesNothing(t *testing.T) {
	for name, applied := range map[string]bool{"it takes effect late": false, "it took effect at once": true} {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			s := newFakeStore()
			j := New(s)
			p := j.ProgressWriter(s.electLeader(), &Contents{})
			require.NoError(t, commit(ctx, p, records("a", ladderflow.Queued), MaxRecords))
			s.unanswered, s.applyUnanswered = 1, applied
			require.ErrorIs(t, commit(ctx, p, records("a", ladderflow.Running), MaxRecords), errNoAnswer)
			require.NoError(t, commit(ctx, p, records("a", ladderflow.Done), MaxRecords))
			for _, txn := range s.delayed {
				require.False(t, s.store.Txn(txn).Committed, "the delayed commit must fail")
			}
			c, err := j.Load(ctx)
			require.NoError(t, err)
			require.Equal(t, ladderflow.Done, c.Records[0].State)
			require.NoError(t, commit(ctx, p, records("b", ladderflow.Running), MaxRecords))
		})
	}
}

// TestCommitSentTwice sends each commit to the store twice, as happens when it takes two
// paths. The second copy fails because the first has changed the keys in its conditions;
// the commit must succeed nevertheless.
func TestCommitSentTwice(t *testing.T) {
	s := newFakeStore()
	p := New(&duplicatingStore{s}).ProgressWriter(s.electLeader(), &Contents{})
	require.NoError(t, commit(context.Background(), p, records("a", ladderflow.Running), MaxRecords))
	require.NoError(t, commit(context.Background(), p, records("a", ladderflow.Done), MaxRecords))
}

// duplicatingStore commits each transaction twice and returns the second response.
type duplicatingStore struct{ *fakeStore }

func (d *duplicatingStore) Commit(ctx context.Context, t platform.Txn) (int64, []platform.Item, error) {
	_, _, _ = d.fakeStore.Commit(ctx, t)
	return d.fakeStore.Commit(ctx, t)
}

// TestSupersededLeaderWritesNothing checks that a leader's writes fail once its key is
// deleted, and after another leader is elected.
func TestSupersededLeaderWritesNothing(t *testing.T) {
	ctx := context.Background()
	s := newFakeStore()
	j := New(s)
	superseded := j.ProgressWriter(s.electLeader(), &Contents{})
	s.store.Txn(platform.Txn{Deletes: []string{LeaderKey}})
	require.ErrorIs(t, commit(ctx, superseded, records("a", ladderflow.Failed), MaxRecords), ErrSuperseded, "there is no leader")
	current := j.ProgressWriter(s.electLeader(), &Contents{})
	require.ErrorIs(t, commit(ctx, superseded, records("a", ladderflow.Failed), MaxRecords), ErrSuperseded)
	require.ErrorIs(t, superseded.SaveRoster(ctx, nil, nil), ErrSuperseded)
	require.ErrorIs(t, superseded.DeleteJobs(ctx, []string{"a"}), ErrSuperseded)
	require.NoError(t, commit(ctx, current, records("a", ladderflow.Done), MaxRecords))
	require.NoError(t, current.SaveRoster(ctx, []ladderflow.Worker{{ID: "w1"}}, nil))
}

// TestAccept checks the outcome of each of two jobs that are submitted together.
func TestAccept(t *testing.T) {
	ctx := context.Background()
	for name, c := range map[string]struct {
		prepare func(*fakeStore, *Journal)
		want    []Outcome
	}{
		"all new":            {func(*fakeStore, *Journal) {}, []Outcome{Stored, Stored}},
		"one already stored": {func(_ *fakeStore, j *Journal) { j.Accept(ctx, submissions("a")) }, []Outcome{AlreadyStored, Stored}},
		"one cancelled": {func(_ *fakeStore, j *Journal) {
			_, err := j.Cancel(ctx, "b")
			require.NoError(t, err)
		}, []Outcome{Stored, CancelledFirst}},
		"the store refuses":         {func(s *fakeStore, _ *Journal) { s.refuse = true }, []Outcome{Rejected, Rejected}},
		"the store does not answer": {func(s *fakeStore, _ *Journal) { s.unanswered = 1 }, []Outcome{OutcomeUnknown, OutcomeUnknown}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeStore()
			j := New(s)
			c.prepare(s, j)
			submitted := submissions("a", "b")
			j.Accept(ctx, submitted)
			for i, want := range c.want {
				require.Equal(t, want, submitted[i].Outcome, submitted[i].Job.ID)
			}
		})
	}
}

// submissions returns a submission for each id.
func submissions(ids ...string) []*Submission {
	var list []*Submission
	for _, id := range ids {
		list = append(list, &Submission{Job: fullJob(id)})
	}
	return list
}

// fullJob returns a job with all fields set.
func fullJob(id string) *ladderflow.Job {
	return &ladderflow.Job{
		ID: id, Queue: "booths", Service: "fitting", Payload: "cut", Rounds: 2, FirstDue: time.UnixMilli(5000),
		Interval: time.Second, Accepted: time.UnixMilli(4000),
		Rules: &ladderflow.Queue{
			Name: "booths", Service: "fitting", Priority: 2, MaxFailures: 3, ObjectiveFactor: 1.5, BaseObjective: 400 * time.Millisecond,
			Advice: &ladderflow.AdviceConfig{BaseTime: 12 * time.Millisecond, TimePerWorker: 170 * time.Microsecond, TicketLifetime: 2 * time.Second},
		},
		Steps: []ladderflow.Step{{
			Tasks: 3, Need: ladderflow.Size{Processor: 1500, Memory: 200, Accelerators: 1}, Estimate: time.Second,
			DependsOn: []int{0, 1}, Checkpointable: true, Gang: true, PreferSameRack: true, WorkerLabel: "b", PreferredRack: "r1", MaxPerWorker: 2,
			Speculative: true, LongRunning: true, Image: "i", LatencyTarget: 9 * time.Millisecond, BestEffort: true, MaxUnavailable: 1,
		}},
	}
}

// TestLoad writes jobs, a cancellation, progress and a roster and reads them back, over
// several pages. It also covers an undecodable value, Lookup and DeleteJobs.
func TestLoad(t *testing.T) {
	ctx := context.Background()
	s := newFakeStore()
	j := New(s)
	var ids []string
	for i := range 7 {
		ids = append(ids, fmt.Sprintf("%016x", i))
	}
	accepted := submissions(ids...)
	j.Accept(ctx, accepted)
	_, err := j.Cancel(ctx, ids[2])
	require.NoError(t, err)
	p := j.ProgressWriter(s.electLeader(), &Contents{})
	r := ladderplan.Record{
		Job: ids[1], State: ladderflow.Running, CompletedRounds: []int{0},
		Rounds: []ladderplan.RoundRecord{{Index: 1, Steps: []ladderplan.StepRecord{
			{Done: true, Failed: []int{2}, Checkpoint: "s"},
			{Tasks: []ladderplan.TaskRecord{{
				Index: 4, Done: true, LastRun: 3, LastClosedRun: 2, Failed: []int{2}, Checkpoint: "x", Crashes: 2, Suspicions: 1,
			}}},
		}}},
	}
	require.NoError(t, commit(ctx, p, []ladderplan.Record{r}, MaxRecords))
	worker := ladderflow.Worker{ID: "w", Service: "fitting", Zone: "z", Labels: []string{"a", "r1"}, Address: netip.MustParseAddrPort("10.0.0.1:80")}
	terms := []Term{{VM: "e1", Incarnation: "e1/2", Address: netip.MustParseAddrPort("10.0.0.2:7720"), Fence: 9}, {}}
	require.NoError(t, p.SaveRoster(ctx, []ladderflow.Worker{worker}, terms))
	s.store.Txn(platform.Txn{Writes: []platform.Write{{Key: recordPrefix + "bad", Value: []byte{0xff}}}})

	c, err := j.Load(ctx)
	require.NoError(t, err)
	require.Len(t, c.Jobs, 7)
	want := fullJob(ids[0])
	stored, _, _ := s.store.Get(jobPrefix + ids[0])
	want.Revision = stored.ModRevision
	require.Equal(t, want, c.Jobs[0])
	require.Equal(t, want.Revision, accepted[0].Job.Revision)
	require.Equal(t, []string{ids[2]}, c.Cancelled)
	require.Equal(t, []ladderplan.Record{r}, c.Records)
	require.Equal(t, "w", c.Roster[0].ID)
	require.Equal(t, terms, c.Terms)
	require.Len(t, c.DecodeErrors, 1)

	for id, want := range map[string]ladderflow.State{ids[0]: ladderflow.Queued, ids[1]: ladderflow.Running, ids[2]: ladderflow.Cancelled} {
		state, ok, err := j.Lookup(ctx, id)
		require.NoError(t, err)
		require.True(t, ok)
		require.Equal(t, want, state)
	}
	_, ok, err := j.Lookup(ctx, "none")
	require.NoError(t, err)
	require.False(t, ok)
	require.NoError(t, p.DeleteJobs(ctx, ids))
	c, err = j.Load(ctx)
	require.NoError(t, err)
	require.Empty(t, c.Jobs)
}

// TestFullBatches makes the largest calls that the package allows; each must fit into
// one transaction of the store.
func TestFullBatches(t *testing.T) {
	ctx := context.Background()
	s := newFakeStore()
	j := New(s)
	p := j.ProgressWriter(s.electLeader(), &Contents{})
	require.NoError(t, commit(ctx, p, make([]ladderplan.Record, MaxRecords), MaxRecords))
	require.NoError(t, p.DeleteJobs(ctx, make([]string, MaxDeletedJobs)))
	var ids []string
	for i := range MaxSubmissions {
		ids = append(ids, fmt.Sprint(i))
	}
	submitted := submissions(ids...)
	j.Accept(ctx, submitted)
	for _, x := range submitted {
		require.Equal(t, Stored, x.Outcome, x.Err)
	}
}

// TestWriteIDsAreNotShared gives two writers the same leader term. The second must not
// mistake the first one's write for its own, which would lose its record.
func TestWriteIDsAreNotShared(t *testing.T) {
	ctx := context.Background()
	s := newFakeStore()
	j := New(s)
	leader := s.electLeader()
	a, b := j.ProgressWriter(leader, &Contents{}), j.ProgressWriter(leader, &Contents{})
	require.NoError(t, commit(ctx, a, records("a", ladderflow.Done), MaxRecords))
	require.NoError(t, commit(ctx, b, records("b", ladderflow.Done), MaxRecords))
	c, err := j.Load(ctx)
	require.NoError(t, err)
	require.Len(t, c.Records, 2)
}

// TestDecodeRecordWithoutCrashes decodes a record from before the crashes of workers were counted.
func TestDecodeRecordWithoutCrashes(t *testing.T) {
	task := []any{4, true, 3, 2, []int{2}, "x"}
	data, err := cbor.Marshal([]any{"running", []any{[]any{1, []any{[]any{false, []any{task}, nil, ""}}}}, nil})
	require.NoError(t, err)
	r, err := DecodeRecord("j", data)
	require.NoError(t, err)
	require.Equal(t, ladderplan.Record{Job: "j", State: ladderflow.Running, Rounds: []ladderplan.RoundRecord{{
		Index: 1, Steps: []ladderplan.StepRecord{{Tasks: []ladderplan.TaskRecord{
			{Index: 4, Done: true, LastRun: 3, LastClosedRun: 2, Failed: []int{2}, Checkpoint: "x"},
		}}},
	}}}, r)
}

// TestDecodeJobWithoutRules decodes a job from before its queue's rules were stored with it.
func TestDecodeJobWithoutRules(t *testing.T) {
	data, err := cbor.Marshal([]any{"booths", "fitting", "cut", []any{}, 2, 5000, 1000, 4000})
	require.NoError(t, err)
	j, err := DecodeJob("j", data)
	require.NoError(t, err)
	want := fullJob("j")
	want.Rules, want.Steps = nil, nil
	require.Equal(t, want, j)
}

// TestStoredJobKeepsTeam checks that a job's team is stored with it, and that the stored form of a job without a
// team is the one that earlier builds read.
func TestStoredJobKeepsTeam(t *testing.T) {
	for name, first := range map[string]byte{"tailors": 0x8a, "": cborArrayOfNine} {
		j := fullJob("j")
		j.Team = name
		data, err := EncodeJob(j)
		require.NoError(t, err)
		require.Equal(t, first, data[0], "an array of as many elements as the form has fields")
		got, err := DecodeJob("j", data)
		require.NoError(t, err)
		require.Equal(t, j, got)
	}
}

// TestTermsOfEarlierBuildsAreUnknown reads a store in which no leader has stored its term, and one with an
// undecodable value. The leaders before are then not known.
func TestTermsOfEarlierBuildsAreUnknown(t *testing.T) {
	ctx := context.Background()
	s := newFakeStore()
	c, err := New(s).Load(ctx)
	require.NoError(t, err)
	require.Empty(t, c.Terms, "nobody has stored a roster, so that nobody has started a task")
	roster, err := encodeRoster([]ladderflow.Worker{{ID: "w", Address: netip.MustParseAddrPort("10.0.0.1:80")}})
	require.NoError(t, err)
	s.store.Txn(platform.Txn{Writes: []platform.Write{{Key: rosterKey, Value: roster}}})
	c, err = New(s).Load(ctx)
	require.NoError(t, err)
	require.Equal(t, []Term{{}}, c.Terms)
	s.store.Txn(platform.Txn{Writes: []platform.Write{{Key: termsKey, Value: []byte{0xff}}}})
	c, err = New(s).Load(ctx)
	require.NoError(t, err)
	require.Equal(t, []Term{{}}, c.Terms)
	require.Len(t, c.DecodeErrors, 1)
	p := New(s).ProgressWriter(s.electLeader(), c)
	require.NoError(t, p.SaveTerms(ctx, []Term{{VM: "e1", Fence: 3}}))
	c, err = New(s).Load(ctx)
	require.NoError(t, err)
	require.Equal(t, []Term{{VM: "e1", Fence: 3}}, c.Terms)
}
