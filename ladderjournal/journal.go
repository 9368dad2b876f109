package ladderjournal

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"

	"lacewingladder/ladderaccess"
	"lacewingladder/ladderflow"
	"lacewingladder/platform"
)

// The keys in the store. The prefixes are followed by a job's id.
const (
	jobPrefix    = "ladder/in/job/"
	cancelPrefix = "ladder/in/cancel/"
	recordPrefix = "ladder/record/"
	rosterKey    = "ladder/roster"
	// recordOrderKey and rosterOrderKey order the writes of progress and of the roster.
	// Each write depends on the key's revision and changes it, so a transaction that is
	// delayed cannot overwrite the effect of a later one.
	recordOrderKey = "ladder/order"
	rosterOrderKey = "ladder/rosterorder"
	// LeaderKey names the VM that is the leader. The leader's writes depend on the
	// key's revision, which differs for each term.
	LeaderKey = "ladder/vm/leader"
)

// Store is the subset of the platform's store that a journal uses.
type Store interface {
	Get(ctx context.Context, key string) (platform.Item, bool, error)
	Range(ctx context.Context, prefix, after string) (platform.Page, error)
	Commit(ctx context.Context, t platform.Txn) (int64, []platform.Item, error)
}

// Journal reads and writes the scheduler's persistent state. Create one with [New].
type Journal struct {
	store Store
}

// New returns a journal that uses the given store.
func New(s Store) *Journal { return &Journal{store: s} }

// Outcome is the outcome of a submission or a cancellation.
type Outcome int

const (
	// Stored means that the store now holds the submission or cancellation.
	Stored Outcome = iota
	// AlreadyStored means that the store held the submission or cancellation before.
	AlreadyStored
	// CancelledFirst means that the store holds the submission, and that the job was canceled
	// before it was submitted.
	CancelledFirst
	// Rejected means that the store does not hold the submission or cancellation and will
	// not, unless it is tried again.
	Rejected
	// OutcomeUnknown means that the outcome is unknown: the write may have taken effect,
	// or may do so later.
	OutcomeUnknown
	// OtherTeam means that the store holds a job with this ID that the caller may not use. Nothing was
	// stored.
	OtherTeam
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{
		Stored: "stored", AlreadyStored: "known", CancelledFirst: "overtaken", Rejected: "rejected", OutcomeUnknown: "unsettled",
		OtherTeam: "foreign",
	}[o]
}

// Submission is a job to be stored, with the outcome that [Journal.Accept] fills in.
type Submission struct {
	Job *ladderflow.Job
	// Caller is who submits the job.
	Caller  ladderaccess.Caller
	Outcome Outcome
	Err     error
	// cancelRevision is the revision of the job's cancellation, or zero if none is known, and cancelled
	// whether it cancels the job.
	cancelRevision int64
	cancelled      bool
}

// MaxSubmissions is the maximum number of jobs in one call of [Journal.Accept]. Each
// job takes two conditions and one write of the transaction.
const MaxSubmissions = platform.MaxTxn / 3

// Accept stores jobs in one transaction and fills in the outcome of each. If some of
// them were stored or canceled before, it tries again without those that were stored. A job
// that was canceled first is stored as well, because [Journal.Lookup] shows only stored jobs.
func (j *Journal) Accept(ctx context.Context, submissions []*Submission) {
	pending := make([]*Submission, 0, len(submissions))
	txn := platform.Txn{}
	for _, s := range submissions {
		value, err := EncodeJob(s.Job)
		if err != nil {
			s.Outcome, s.Err = Rejected, err
			continue
		}
		pending = append(pending, s)
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: jobPrefix + s.Job.ID},
			platform.Condition{Key: cancelPrefix + s.Job.ID, ModRevision: s.cancelRevision})
		txn.Writes = append(txn.Writes, platform.Write{Key: jobPrefix + s.Job.ID, Value: value})
	}
	if len(pending) == 0 {
		return
	}
	revision, found, err := j.store.Commit(ctx, txn)
	if errors.Is(err, platform.ErrConditionFailed) {
		j.acceptRest(ctx, pending, found)
		return
	}
	for _, s := range pending {
		s.Outcome, s.Err = outcomeOf(err), err
		if err == nil {
			s.Job.Revision = revision
		}
		if err == nil && s.cancelled {
			s.Outcome = CancelledFirst
		}
	}
}

// acceptRest handles a transaction whose conditions failed, as the found items show. It fills
// in the outcome of the submissions that were stored before, and stores the others.
func (j *Journal) acceptRest(ctx context.Context, pending []*Submission, found []platform.Item) {
	items := itemsOf(found)
	var rest []*Submission
	changed := false
	for _, s := range pending {
		if item, ok := items[jobPrefix+s.Job.ID]; ok {
			s.Outcome, s.Err = AlreadyStored, nil
			if s.Caller.KeysRequired {
				s.Outcome, s.Err = storedOutcome(s.Caller, s.Job.ID, item)
			}
			changed = true
			continue
		}
		item := items[cancelPrefix+s.Job.ID]
		changed = changed || item.ModRevision != s.cancelRevision
		s.cancelRevision, s.cancelled = item.ModRevision, cancels(item, s.Job)
		rest = append(rest, s)
	}
	if !changed {
		for _, s := range rest {
			s.Outcome, s.Err = Rejected, fmt.Errorf("the transaction failed although its conditions hold: %w", platform.ErrConditionFailed)
		}
		return
	}
	if len(rest) > 0 {
		j.Accept(ctx, rest)
	}
}

// Cancel stores the cancellation of a job. The job itself need not be stored yet.
func (j *Journal) Cancel(ctx context.Context, id string) (Outcome, error) {
	_, found, err := j.store.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: cancelPrefix + id}},
		Writes:     []platform.Write{{Key: cancelPrefix + id, Value: []byte{anyTeam}}},
	})
	if !errors.Is(err, platform.ErrConditionFailed) {
		return outcomeOf(err), err
	}
	if item, ok := itemsOf(found)[cancelPrefix+id]; ok && !bytes.Equal(item.Value, []byte{anyTeam}) {
		// It was stored while there were teams, and may have no effect on the job.
		outcome, _, err := j.CancelFor(ctx, id, ladderaccess.Caller{})
		return outcome, err
	}
	return AlreadyStored, nil
}

// outcomeOf returns the outcome of a transaction that returned err.
func outcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return Stored
	case errors.Is(err, platform.ErrRefused), errors.Is(err, platform.ErrUnsent):
		return Rejected
	}
	return OutcomeUnknown
}

// Lookup reads a job's state from the store. It returns false if there is no such job.
func (j *Journal) Lookup(ctx context.Context, id string) (ladderflow.State, bool, error) {
	item, ok, err := j.store.Get(ctx, recordPrefix+id)
	if err != nil {
		return "", false, err
	}
	state := ladderflow.Queued
	if ok {
		r, err := DecodeRecord(id, item.Value)
		if err != nil {
			return "", false, err
		}
		if r.State.Final() {
			return r.State, true, nil
		}
		state = ladderflow.Running
	}
	cancellation, cancelled, err := j.store.Get(ctx, cancelPrefix+id)
	if err != nil {
		return "", false, err
	}
	// The store may hold the cancellation of a job that was never submitted, or that is another team's.
	job, ok, err := j.store.Get(ctx, jobPrefix+id)
	if cancelled && ok && cancelsStored(id, cancellation, job) {
		state = ladderflow.Cancelled
	}
	return state, ok, err
}

// Exists reports whether the store holds the job with the given id.
func (j *Journal) Exists(ctx context.Context, id string) (bool, error) {
	_, ok, err := j.store.Get(ctx, jobPrefix+id)
	return ok, err
}

// ErrSuperseded means that another VM has become the leader, or that there is no leader.
var ErrSuperseded = errors.New("the store names another leader")

// ProgressWriter writes the progress of jobs and the roster during one leader's term, one
// call after the other. Create one with [Journal.ProgressWriter]. It is not safe
// for concurrent use.
type ProgressWriter struct {
	journal *Journal
	// leaderRevision is the revision of LeaderKey in this term.
	leaderRevision int64
	// rosterOrder and cordonOrder are the last known revisions of rosterOrderKey and cordonOrderKey.
	rosterOrder int64
	cordonOrder int64
	// lanes order the writes of progress that are made side by side.
	lanes [recordLanes]lane
	// sequential is true if they are made one after the other.
	sequential bool
	// token is unique to this writer, and count is the number of its writes. Together
	// they identify each write.
	token string
	count atomic.Int64
}

// ProgressWriter returns a writer for a leader's term. LeaderRevision is the revision of
// [LeaderKey] that the leader wrote, and c is what it then loaded from the store.
func (j *Journal) ProgressWriter(leaderRevision int64, c *Contents) *ProgressWriter {
	p := &ProgressWriter{
		journal: j, leaderRevision: leaderRevision, rosterOrder: c.rosterOrder, cordonOrder: c.cordonOrder, token: rand.Text(),
	}
	p.lanes[0].order = c.recordOrder
	return p
}

// write commits writes in one transaction that also changes orderKey, whose last known
// revision is *order. If the key has a different revision, a call whose outcome was
// unknown has taken effect. That is either another copy of this write, sent on another
// path, so that the write is complete, or an earlier write, after which this one is tried
// again.
func (p *ProgressWriter) write(ctx context.Context, orderKey string, order *int64, writes []platform.Write) error {
	writeID := fmt.Sprintf("%s/%d", p.token, p.count.Add(1))
	for range writeAttempts {
		revision, found, err := p.journal.store.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: LeaderKey, ModRevision: p.leaderRevision}, {Key: orderKey, ModRevision: *order}},
			Writes:     append([]platform.Write{{Key: orderKey, Value: []byte(writeID)}}, writes...),
		})
		if err == nil {
			*order = revision
			return nil
		}
		if !errors.Is(err, platform.ErrConditionFailed) {
			return err
		}
		// The store may omit a key that does not exist; its revision then reads as zero.
		current := map[string]platform.Item{}
		for _, item := range found {
			current[item.Key] = item
		}
		if current[LeaderKey].ModRevision != p.leaderRevision {
			return ErrSuperseded
		}
		*order = current[orderKey].ModRevision
		if string(current[orderKey].Value) == writeID {
			return nil
		}
	}
	return platform.ErrConditionFailed
}

// writeAttempts is the maximum number of attempts of one write. A write is tried again
// after each earlier write that took effect late, of which there is at most one for each
// path to the store.
const writeAttempts = 4

// MaxRecords is the maximum number of records in one transaction of [ProgressWriter.Commit].
// The transaction also holds two conditions and the write of the order key.
const MaxRecords = platform.MaxTxn - 3

// MaxDeletedJobs is the maximum number of jobs in one call of
// [ProgressWriter.DeleteJobs]. The transaction holds three deletions for each job, and one
// condition.
const MaxDeletedJobs = (platform.MaxTxn - 1) / 3

// DeleteJobs deletes all keys of up to [MaxDeletedJobs] jobs that ended long ago. It
// returns [ErrSuperseded] if the leader's term is over.
func (p *ProgressWriter) DeleteJobs(ctx context.Context, ids []string) error {
	txn := platform.Txn{Conditions: []platform.Condition{{Key: LeaderKey, ModRevision: p.leaderRevision}}}
	for _, id := range ids {
		txn.Deletes = append(txn.Deletes, jobPrefix+id, cancelPrefix+id, recordPrefix+id)
	}
	_, _, err := p.journal.store.Commit(ctx, txn)
	if errors.Is(err, platform.ErrConditionFailed) {
		return ErrSuperseded
	}
	return err
}

// MaxDeletedCancellations is the maximum number of cancellations in one call of
// [ProgressWriter.DeleteCancellations]. The transaction holds a condition and a deletion for
// each, and one more condition.
const MaxDeletedCancellations = (platform.MaxTxn - 1) / 2

// DeleteCancellations deletes up to [MaxDeletedCancellations] cancellations of jobs that the
// store does not hold. It returns the ids of those that it deleted: it keeps the cancellation
// of a job that has been stored. It returns [ErrSuperseded] if the leader's term is over.
func (p *ProgressWriter) DeleteCancellations(ctx context.Context, ids []string) ([]string, error) {
	for len(ids) > 0 {
		txn := platform.Txn{Conditions: []platform.Condition{{Key: LeaderKey, ModRevision: p.leaderRevision}}}
		for _, id := range ids {
			txn.Conditions = append(txn.Conditions, platform.Condition{Key: jobPrefix + id})
			txn.Deletes = append(txn.Deletes, cancelPrefix+id)
		}
		_, found, err := p.journal.store.Commit(ctx, txn)
		if err == nil {
			return ids, nil
		}
		if !errors.Is(err, platform.ErrConditionFailed) {
			return nil, err
		}
		revisions := revisionsOf(found)
		if revisions[LeaderKey] != p.leaderRevision {
			return nil, ErrSuperseded
		}
		withoutJob := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return revisions[jobPrefix+id] != 0 })
		if len(withoutJob) == len(ids) {
			return nil, err // None of the jobs exists any more; the caller tries again.
		}
		ids = withoutJob
	}
	return nil, nil
}

// revisionsOf returns the revisions of the items that exist, by key.
func revisionsOf(items []platform.Item) map[string]int64 {
	revisions := map[string]int64{}
	for key, item := range itemsOf(items) {
		revisions[key] = item.ModRevision
	}
	return revisions
}

// itemsOf returns the items that exist, by key.
func itemsOf(items []platform.Item) map[string]platform.Item {
	byKey := make(map[string]platform.Item, len(items))
	for _, item := range items {
		if !item.Deleted && item.ModRevision != 0 {
			byKey[item.Key] = item
		}
	}
	return byKey
}

// SaveStatus writes a status value that operators read, unless the key holds that value
// already. LeaderRevision is the revision of [LeaderKey] in the current term.
func (j *Journal) SaveStatus(ctx context.Context, leaderRevision int64, key string, value []byte) error {
	item, _, err := j.store.Get(ctx, key)
	if err != nil || bytes.Equal(item.Value, value) {
		return err
	}
	_, _, err = j.store.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: LeaderKey, ModRevision: leaderRevision}, {Key: key, ModRevision: item.ModRevision}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	})
	return err
}
