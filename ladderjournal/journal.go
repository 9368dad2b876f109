package ladderjournal

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"strings"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderplan"
	"lacewingladder/platform"
)

// The keys in the store.
const (
	jobPrefix    = "ladder/in/job/"
	cancelPrefix = "ladder/in/cancel/"
	recordPrefix = "ladder/record/"
	rosterKey    = "ladder/roster"
	// orderKey changes with each commit of the leader, so that one that takes effect
	// late can't undo a newer one.
	orderKey       = "ladder/order"
	rosterOrderKey = "ladder/rosterorder"
	// LeaderKey names the VM that leads; the leader's writes depend on it.
	LeaderKey = "ladder/vm/leader"
)

// Store is the part of the platform's store that is used.
type Store interface {
	Get(ctx context.Context, key string) (platform.Item, bool, error)
	Range(ctx context.Context, prefix, after string) (platform.Page, error)
	Commit(ctx context.Context, t platform.Txn) (int64, []platform.Item, error)
}

// Journal reads and writes what must last. Create one with [New].
type Journal struct {
	store Store
}

// New returns a journal in a store.
func New(s Store) *Journal { return &Journal{store: s} }

// Outcome is what became of a submission or a cancellation.
type Outcome int

const (
	// Stored means that the store holds it.
	Stored Outcome = iota
	// Known means that the store held it before.
	Known
	// Overtaken means that a cancellation came before its job.
	Overtaken
	// Rejected means that the store certainly does not hold it and never will.
	Rejected
	// Unsettled means that the store may hold it, or may come to hold it.
	Unsettled
)

// String returns an outcome in one word.
func (o Outcome) String() string {
	return [...]string{
		Stored: "stored", Known: "known", Overtaken: "overtaken", Rejected: "rejected", Unsettled: "unsettled",
	}[o]
}

// Submission is a job that is to be stored, with what became of it.
type Submission struct {
	Job      *ladderflow.Job
	Outcome  Outcome
	Revision int64
	Err      error
}

// MaxSubmissions is how many jobs fit into one transaction, each with two
// conditions and a write.
const MaxSubmissions = platform.MaxTxn / 3

// Accept stores jobs together, and fills in what became of each. Those that the
// store knew already are left out and the rest is tried again.
func (j *Journal) Accept(ctx context.Context, list []*Submission) {
	left := make([]*Submission, 0, len(list))
	txn := platform.Txn{}
	for _, s := range list {
		value, err := EncodeJob(s.Job)
		if err != nil {
			s.Outcome, s.Err = Rejected, err
			continue
		}
		left = append(left, s)
		txn.If = append(txn.If, platform.Condition{Key: jobPrefix + s.Job.ID}, platform.Condition{Key: cancelPrefix + s.Job.ID})
		txn.Writes = append(txn.Writes, platform.Write{Key: jobPrefix + s.Job.ID, Value: value})
	}
	if len(left) == 0 {
		return
	}
	revision, found, err := j.store.Commit(ctx, txn)
	if errors.Is(err, platform.ErrChanged) {
		j.acceptRest(ctx, left, found)
		return
	}
	for _, s := range left {
		s.Revision, s.Err = revision, err
		s.Outcome = outcome(err)
	}
}

// acceptRest settles the submissions that the store knows, and stores the others.
func (j *Journal) acceptRest(ctx context.Context, left []*Submission, found []platform.Item) {
	exists := map[string]int64{}
	for _, item := range found {
		if item.Changed != 0 && !item.Deleted {
			exists[item.Key] = item.Changed
		}
	}
	var rest []*Submission
	for _, s := range left {
		revision, known := exists[jobPrefix+s.Job.ID]
		_, cancelled := exists[cancelPrefix+s.Job.ID]
		switch {
		case known:
			s.Outcome, s.Revision, s.Err = Known, revision, nil
		case cancelled:
			s.Outcome, s.Err = Overtaken, nil
		default:
			rest = append(rest, s)
		}
	}
	if len(rest) == len(left) {
		for _, s := range rest {
			s.Outcome, s.Err = Rejected, fmt.Errorf("the store names no key that is in the way: %w", platform.ErrChanged)
		}
		return
	}
	if len(rest) > 0 {
		j.Accept(ctx, rest)
	}
}

// Cancel stores a cancellation.
func (j *Journal) Cancel(ctx context.Context, id string) (Outcome, error) {
	_, _, err := j.store.Commit(ctx, platform.Txn{
		If:     []platform.Condition{{Key: cancelPrefix + id}},
		Writes: []platform.Write{{Key: cancelPrefix + id, Value: []byte{1}}},
	})
	if errors.Is(err, platform.ErrChanged) {
		return Known, nil
	}
	return outcome(err), err
}

func outcome(err error) Outcome {
	switch {
	case err == nil:
		return Stored
	case errors.Is(err, platform.ErrRefused), errors.Is(err, platform.ErrUnsent):
		return Rejected
	}
	return Unsettled
}

// Lookup reads a job's state from the store. It is false when no such job exists.
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
	if _, ok, err := j.store.Get(ctx, cancelPrefix+id); ok || err != nil {
		return ladderflow.Cancelled, ok, err
	}
	_, ok, err = j.store.Get(ctx, jobPrefix+id)
	return state, ok, err
}

// Exists reports whether the store holds a job.
func (j *Journal) Exists(ctx context.Context, id string) (bool, error) {
	_, ok, err := j.store.Get(ctx, jobPrefix+id)
	return ok, err
}

// ErrDeposed means that another VM leads, or nobody.
var ErrDeposed = errors.New("the store names another leader")

// Progress writes one leader's records, one transaction after the other. Create one
// with [Journal.Progress]. It is not safe for concurrent use.
type Progress struct {
	journal *Journal
	leader  int64
	// order and roster are the revisions of those keys, as far as known.
	order  int64
	roster int64
	// token and count make the mark of each write, which no other writer repeats.
	token string
	count int
}

// Progress returns the writer of the leader whose key is of the given revision,
// after it has read the store's contents.
func (j *Journal) Progress(leader int64, c *Contents) *Progress {
	return &Progress{journal: j, leader: leader, order: c.order, roster: c.roster, token: rand.Text()}
}

// Commit stores at most [MaxRecords] records.
func (p *Progress) Commit(ctx context.Context, records []ladderplan.Record) error {
	var writes []platform.Write
	for _, r := range records {
		value, err := EncodeRecord(r)
		if err != nil {
			return err
		}
		writes = append(writes, platform.Write{Key: recordPrefix + r.Job, Value: value})
	}
	return p.write(ctx, orderKey, &p.order, writes)
}

// SaveRoster stores the workers on which the leader may start tasks.
func (p *Progress) SaveRoster(ctx context.Context, list []ladderflow.Worker) error {
	value, err := encodeRoster(list)
	if err != nil {
		return err
	}
	return p.write(ctx, rosterOrderKey, &p.roster, []platform.Write{{Key: rosterKey, Value: value}})
}

// write makes writes together with a change of a key that puts them in order. When
// that key has changed, an earlier call of unknown fate has taken effect meanwhile:
// either this very one, by another way, or one that this one is to follow.
func (p *Progress) write(ctx context.Context, key string, order *int64, writes []platform.Write) error {
	p.count++
	mark := fmt.Sprintf("%s/%d", p.token, p.count)
	for range writeTries {
		revision, found, err := p.journal.store.Commit(ctx, platform.Txn{
			If:     []platform.Condition{{Key: LeaderKey, Changed: p.leader}, {Key: key, Changed: *order}},
			Writes: append([]platform.Write{{Key: key, Value: []byte(mark)}}, writes...),
		})
		if err == nil {
			*order = revision
			return nil
		}
		if !errors.Is(err, platform.ErrChanged) {
			return err
		}
		// The store may leave out a key that does not exist.
		now := map[string]platform.Item{}
		for _, item := range found {
			now[item.Key] = item
		}
		if now[LeaderKey].Changed != p.leader {
			return ErrDeposed
		}
		*order = now[key].Changed
		if string(now[key].Value) == mark {
			return nil
		}
	}
	return platform.ErrChanged
}

// writeTries is how often a write follows others that took effect late: there is
// at most one of each way.
const writeTries = 4

// MaxRecords is how many records fit into one transaction beside its order.
const MaxRecords = platform.MaxTxn - 3

// MaxForgotten is how many jobs' keys fit into one transaction.
const MaxForgotten = (platform.MaxTxn - 1) / 3

// Forget deletes all keys of jobs that ended long ago.
func (p *Progress) Forget(ctx context.Context, ids []string) error {
	txn := platform.Txn{If: []platform.Condition{{Key: LeaderKey, Changed: p.leader}}}
	for _, id := range ids {
		txn.Deletes = append(txn.Deletes, jobPrefix+id, cancelPrefix+id, recordPrefix+id)
	}
	_, _, err := p.journal.store.Commit(ctx, txn)
	if errors.Is(err, platform.ErrChanged) {
		return ErrDeposed
	}
	return err
}

// Report writes what others read of the leader's work, unless it stands there.
func (j *Journal) Report(ctx context.Context, leader int64, key string, value []byte) error {
	item, _, err := j.store.Get(ctx, key)
	if err != nil || bytes.Equal(item.Value, value) {
		return err
	}
	_, _, err = j.store.Commit(ctx, platform.Txn{
		If:     []platform.Condition{{Key: LeaderKey, Changed: leader}, {Key: key, Changed: item.Changed}},
		Writes: []platform.Write{{Key: key, Value: value}},
	})
	return err
}

// Contents is all that the store holds.
type Contents struct {
	Jobs      []*ladderflow.Job
	Cancelled []string
	Records   []ladderplan.Record
	Roster    []ladderflow.Worker
	// Revision is from where on changes of jobs and cancellations must be read.
	Revision int64
	// Faults are values that can't be read; they are left alone.
	Faults []error
	order  int64
	roster int64
}

// Load reads all that the store holds. Jobs are read before their progress, so that
// no progress lacks its job.
func (j *Journal) Load(ctx context.Context) (*Contents, error) {
	c := &Contents{}
	for key, revision := range map[string]*int64{orderKey: &c.order, rosterOrderKey: &c.roster} {
		item, _, err := j.store.Get(ctx, key)
		if err != nil {
			return nil, err
		}
		*revision = item.Changed
	}
	roster, ok, err := j.store.Get(ctx, rosterKey)
	if err != nil {
		return nil, err
	}
	if ok {
		if c.Roster, err = decodeRoster(roster.Value); err != nil {
			c.Faults = append(c.Faults, err)
		}
	}
	for _, prefix := range []string{jobPrefix, cancelPrefix, recordPrefix} {
		revision, err := j.read(ctx, prefix, func(item platform.Item) { c.add(item) })
		if err != nil {
			return nil, err
		}
		if prefix == jobPrefix {
			c.Revision = revision
		}
	}
	return c, nil
}

// Changes turns changed items below [WatchPrefix] into contents.
func Changes(items []platform.Item) *Contents {
	c := &Contents{}
	for _, item := range items {
		if !item.Deleted {
			c.add(item)
		}
	}
	return c
}

// WatchPrefix is where new jobs and cancellations appear.
const WatchPrefix = "ladder/in/"

func (c *Contents) add(item platform.Item) {
	switch {
	case strings.HasPrefix(item.Key, jobPrefix):
		job, err := DecodeJob(item.Key[len(jobPrefix):], item.Value)
		if err != nil {
			c.Faults = append(c.Faults, err)
			return
		}
		c.Jobs = append(c.Jobs, job)
	case strings.HasPrefix(item.Key, cancelPrefix):
		c.Cancelled = append(c.Cancelled, item.Key[len(cancelPrefix):])
	case strings.HasPrefix(item.Key, recordPrefix):
		r, err := DecodeRecord(item.Key[len(recordPrefix):], item.Value)
		if err != nil {
			c.Faults = append(c.Faults, err)
			return
		}
		c.Records = append(c.Records, r)
	}
}

// read reads all pages of a prefix and returns the revision of the first.
func (j *Journal) read(ctx context.Context, prefix string, each func(platform.Item)) (int64, error) {
	after, first := "", int64(0)
	for {
		page, err := j.store.Range(ctx, prefix, after)
		if err != nil {
			return 0, err
		}
		if first == 0 {
			first = page.Revision
		}
		for _, item := range page.Items {
			each(item)
			after = item.Key
		}
		if !page.More || len(page.Items) == 0 {
			return first, nil
		}
	}
}
