package ladderjournal

import (
	"context"
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

// Submission is a job that is to be stored, with what became of it.
type Submission struct {
	Job      *ladderflow.Job
	Outcome  Outcome
	Revision int64
	Err      error
}

// MaxSubmissions is how many jobs fit into one transaction, each with two conditions.
const MaxSubmissions = platform.MaxTxn / 2

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

// Commit stores a leader's records, at most [MaxRecords] at once, while the leader's
// key is as it was at the given revision.
func (j *Journal) Commit(ctx context.Context, leader int64, records []ladderplan.Record) error {
	txn := platform.Txn{If: []platform.Condition{{Key: LeaderKey, Changed: leader}}}
	for _, r := range records {
		value, err := EncodeRecord(r)
		if err != nil {
			return err
		}
		txn.Writes = append(txn.Writes, platform.Write{Key: recordPrefix + r.Job, Value: value})
	}
	_, _, err := j.store.Commit(ctx, txn)
	return err
}

// MaxRecords is how many records fit into one transaction beside its condition.
const MaxRecords = platform.MaxTxn - 1

// MaxForgotten is how many jobs' keys fit into one transaction.
const MaxForgotten = (platform.MaxTxn - 1) / 3

// Forget deletes all keys of jobs that ended long ago.
func (j *Journal) Forget(ctx context.Context, leader int64, ids []string) error {
	txn := platform.Txn{If: []platform.Condition{{Key: LeaderKey, Changed: leader}}}
	for _, id := range ids {
		txn.Deletes = append(txn.Deletes, jobPrefix+id, cancelPrefix+id, recordPrefix+id)
	}
	_, _, err := j.store.Commit(ctx, txn)
	return err
}

// SaveRoster stores the workers on which the leader may start tasks.
func (j *Journal) SaveRoster(ctx context.Context, leader int64, list []ladderflow.Worker) error {
	value, err := encodeRoster(list)
	if err != nil {
		return err
	}
	_, _, err = j.store.Commit(ctx, platform.Txn{
		If:     []platform.Condition{{Key: LeaderKey, Changed: leader}},
		Writes: []platform.Write{{Key: rosterKey, Value: value}},
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
}

// Load reads all that the store holds. Jobs are read before their progress, so that
// no progress lacks its job.
func (j *Journal) Load(ctx context.Context) (*Contents, error) {
	c := &Contents{}
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
