package ladderjournal

import (
	"context"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"lacewingladder/ladderaccess"
	"lacewingladder/ladderflow"
	"lacewingladder/platform"
)

// anyTeam is the stored value of a cancellation that cancels a job of any team. Earlier builds store no other.
const anyTeam = 1

// cancelAttempts is the maximum number of attempts to store a cancellation whose conditions fail because another
// caller cancels or submits the job at the same moment.
const cancelAttempts = 4

// encodeCancellation returns the stored form of a cancellation.
func encodeCancellation(c ladderflow.Cancellation) ([]byte, error) {
	if len(c.Teams) == 0 {
		return []byte{anyTeam}, nil
	}
	return cbor.Marshal(c.Teams)
}

// decodeCancellation decodes the stored form of a cancellation.
func decodeCancellation(id string, value []byte) (ladderflow.Cancellation, error) {
	c := ladderflow.Cancellation{Job: id}
	if len(value) == 1 && value[0] == anyTeam {
		return c, nil
	}
	if err := decoder.Unmarshal(value, &c.Teams); err != nil {
		return c, fmt.Errorf("cancellation of job %s: %w", id, err)
	}
	if len(c.Teams) == 0 {
		return c, fmt.Errorf("cancellation of job %s: it names no team", id)
	}
	return c, nil
}

// cancels reports whether a stored cancellation, or none, cancels a job. One that can't be decoded does not.
func cancels(item platform.Item, job *ladderflow.Job) bool {
	if item.ModRevision == 0 {
		return false
	}
	c, err := decodeCancellation(job.ID, item.Value)
	return err == nil && c.Cancels(job)
}

// cancelsStored reports whether a stored cancellation cancels a stored job.
func cancelsStored(id string, cancellation, job platform.Item) bool {
	c, err := decodeCancellation(id, cancellation.Value)
	switch {
	case err != nil:
		return false
	case len(c.Teams) == 0:
		return true
	}
	j, err := DecodeJob(id, job.Value)
	return err == nil && c.Cancels(j)
}

// storedOutcome returns the outcome of a submission or a cancellation of a job that the store holds. A job that
// can't be decoded may be the caller's, so that the outcome is unknown.
func storedOutcome(caller ladderaccess.Caller, id string, item platform.Item) (Outcome, error) {
	job, err := DecodeJob(id, item.Value)
	if err != nil {
		return OutcomeUnknown, err
	}
	if !caller.MayUse(job.Team, job.Queue) {
		return OtherTeam, nil
	}
	return AlreadyStored, nil
}

// Owner reads the team and the queue of a job. It returns false if there is no such job.
func (j *Journal) Owner(ctx context.Context, id string) (team, queue string, ok bool, err error) {
	item, ok, err := j.store.Get(ctx, jobPrefix+id)
	if err != nil || !ok {
		return "", "", false, err
	}
	job, err := DecodeJob(id, item.Value)
	if err != nil {
		return "", "", false, err
	}
	return job.Team, job.Queue, true, nil
}

// CancelFor stores the cancellation of a job by the given caller. It returns [OtherTeam] and stores nothing
// if the store holds the job and the caller may not use it. If the job is not stored yet, the cancellation names
// the caller's team, and has no effect on a job of another team that is stored later. The second result is
// true if the store holds the job.
func (j *Journal) CancelFor(ctx context.Context, id string, caller ladderaccess.Caller) (Outcome, bool, error) {
	// The job is read first, since most that are canceled exist.
	job, _, err := j.store.Get(ctx, jobPrefix+id)
	if err != nil {
		return outcomeOf(err), false, err
	}
	cancellation := platform.Item{}
	for range cancelAttempts {
		next, outcome, err := nextCancellation(id, caller, job, cancellation)
		if outcome != Stored {
			return outcome, job.ModRevision != 0, err
		}
		value, err := encodeCancellation(next)
		if err != nil {
			return Rejected, false, err
		}
		_, found, err := j.store.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{
				{Key: jobPrefix + id, ModRevision: job.ModRevision}, {Key: cancelPrefix + id, ModRevision: cancellation.ModRevision},
			},
			Writes: []platform.Write{{Key: cancelPrefix + id, Value: value}},
		})
		if !errors.Is(err, platform.ErrConditionFailed) {
			return outcomeOf(err), job.ModRevision != 0, err
		}
		items := itemsOf(found)
		job, cancellation = items[jobPrefix+id], items[cancelPrefix+id]
	}
	return Rejected, false, fmt.Errorf("job %s is submitted or canceled by others: %w", id, platform.ErrConditionFailed)
}

// nextCancellation returns what a caller's cancellation makes of the stored one. If there is nothing to store, the
// outcome is another than [Stored].
func nextCancellation(
	id string, caller ladderaccess.Caller, job, stored platform.Item,
) (next ladderflow.Cancellation, outcome Outcome, err error) {
	if job.ModRevision != 0 {
		if outcome, err := storedOutcome(caller, id, job); outcome != AlreadyStored {
			return next, outcome, err
		}
		if stored.ModRevision != 0 && cancelsStored(id, stored, job) {
			return next, AlreadyStored, nil
		}
		return ladderflow.Cancellation{Job: id}, Stored, nil
	}
	next = ladderflow.Cancellation{Job: id}
	if caller.KeysRequired {
		next.Teams = []string{caller.JobTeam()}
	}
	if stored.ModRevision == 0 {
		return next, Stored, nil
	}
	// A cancellation that can't be decoded cancels nothing, and is replaced.
	if c, err := decodeCancellation(id, stored.Value); err == nil {
		union := c.Union(next)
		if len(union.Teams) == len(c.Teams) {
			return next, AlreadyStored, nil
		}
		next = union
	}
	return next, Stored, nil
}
