package ladderserver

import (
	"context"
	"crypto/rand"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"

	"lacewingladder/laddergate"
	"lacewingladder/ladderjob"
	"lacewingladder/laddermessage"
	"lacewingladder/laddermodel"
	"lacewingladder/platform"
)

const (
	// queuePrefix begins the store keys of jobs and of their cancellations.
	queuePrefix  = "ladder/queue/"
	jobPrefix    = queuePrefix + "j/"
	cancelPrefix = queuePrefix + "c/"
	// commitDelay is how long writes are collected for one transaction.
	commitDelay = 5 * time.Millisecond
	// maxCommitWrites bounds the number of writes in one transaction, which may have a condition as
	// well.
	maxCommitWrites = platform.MaxTxn - 1
	// maxSweep bounds the number of jobs, and of cancellations, that one transaction deletes. A job has
	// two keys.
	maxSweep = maxCommitWrites / 3
	// maxCommitAttempts is how often a transaction is sent if the store does not
	// answer.
	maxCommitAttempts = 3
	// maxPendingWrites bounds the number of writes that wait for a transaction.
	maxPendingWrites = 16_384
)

// jobs stores the jobs of callers in the platform's store. It implements
// laddergate.Jobs.
type jobs struct {
	server  *Server
	log     Log
	pending chan pendingWrite
	// ended is closed once no more transactions are sent.
	ended chan struct{}
	// largestWorker holds, for each resource, the largest amount on any listed worker.
	// It is nil until the platform's list names a worker.
	largestWorker atomic.Pointer[laddermodel.Size]
}

// pendingWrite is a write that waits to be committed. done receives the result.
type pendingWrite struct {
	put  platform.Write
	done chan error
}

func newJobs(s *Server) *jobs {
	return &jobs{server: s, log: s.logs.Component("jobs"), pending: make(chan pendingWrite, maxPendingWrites), ended: make(chan struct{})}
}

// Submit implements laddergate.Jobs.
func (j *jobs) Submit(ctx context.Context, job ladderjob.Job, key string) (string, error) {
	largest := j.largestWorker.Load()
	if largest == nil {
		return "", laddergate.ErrStoreUnreachable
	}
	if reason := ladderjob.CheckFeasible(job, j.server.config.current(), *largest); reason != "" {
		return "", &laddergate.ImpossibleJobError{Reason: reason}
	}
	job.ID = jobID(job, key)
	value, err := ladderjob.Encode(ladderjob.Record{Job: job, State: ladderjob.Queued})
	if err != nil {
		return "", err
	}
	put := platform.Write{Key: jobPrefix + job.ID, Value: value}
	if key != "" {
		err = j.create(ctx, put)
	} else {
		err = j.commit(ctx, put)
	}
	if err != nil {
		return "", err
	}
	j.log.Info("job accepted", "job", job.ID, "team", job.Team, "kind", job.Kind, "tasks", job.Tasks)
	j.notifyLeader(ctx)
	return job.ID, nil
}

// jobID returns a job's ID, which begins with the member's name. If the idempotency
// key is empty, the ID is unique. Otherwise it is derived from the key, so that a
// repeated submission gets the same ID.
func jobID(job ladderjob.Job, key string) string {
	if key == "" {
		return job.Member + "." + ulid.MustNew(ulid.Now(), rand.Reader).String()
	}
	var id ulid.ULID
	for i := range 2 {
		sum := xxhash.NewWithSeed(uint64(i))
		_, _ = sum.WriteString(key)
		copy(id[i*8:], sum.Sum(nil))
	}
	id[0] &= 0x7f
	return job.Member + "." + id.String()
}

// create writes a job unless the store has it already.
func (j *jobs) create(ctx context.Context, put platform.Write) error {
	for range maxCommitAttempts {
		_, _, err := j.server.store.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: put.Key}}, Writes: []platform.Write{put},
		})
		if err == nil {
			return nil
		}
		if hadNoEffect(err) {
			return errors.Join(laddergate.ErrStoreUnreachable, err)
		}
	}
	return laddergate.ErrUnconfirmed
}

// commit queues a write for the next transaction and waits until it is durable.
func (j *jobs) commit(ctx context.Context, put platform.Write) error {
	w := pendingWrite{put: put, done: make(chan error, 1)}
	select {
	case j.pending <- w:
	default:
		return laddergate.ErrStoreUnreachable
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return laddergate.ErrUnconfirmed
	case <-j.ended:
	}
	select {
	case err := <-w.done:
		return err // The last transaction contained the write.
	default:
		return laddergate.ErrStoreUnreachable
	}
}

// commitLoop collects queued writes into transactions until ctx ends. The writes that are still
// queued then are not sent.
func (j *jobs) commitLoop(ctx context.Context) {
	defer close(j.ended)
	for {
		var first pendingWrite
		select {
		case <-ctx.Done():
			return
		case first = <-j.pending:
		}
		time.Sleep(commitDelay)
		group := []pendingWrite{first}
		for len(group) < maxCommitWrites && len(j.pending) > 0 {
			group = append(group, <-j.pending)
		}
		err := j.commitGroup(ctx, group)
		for _, w := range group {
			w.done <- err
		}
	}
}

// commitGroup commits a group of writes in one transaction.
func (j *jobs) commitGroup(ctx context.Context, group []pendingWrite) error {
	var t platform.Txn
	for _, w := range group {
		t.Writes = append(t.Writes, w.put)
	}
	for range maxCommitAttempts {
		_, _, err := j.server.store.Commit(ctx, t)
		if err == nil {
			return nil
		}
		if hadNoEffect(err) {
			return errors.Join(laddergate.ErrStoreUnreachable, err)
		}
	}
	return laddergate.ErrUnconfirmed
}

// View implements laddergate.Jobs.
func (j *jobs) View(ctx context.Context, id string) (ladderjob.View, error) {
	item, ok, err := j.server.store.client.Get(ctx, jobPrefix+id)
	if err != nil {
		return ladderjob.View{}, errors.Join(laddergate.ErrStoreUnreachable, err)
	}
	if !ok {
		return ladderjob.View{}, laddergate.ErrJobNotFound
	}
	r, err := ladderjob.Decode(item.Value)
	if err != nil {
		return ladderjob.View{}, err
	}
	return jobView(&r, j.queryLeader(ctx, id)), nil
}

// jobView returns what callers see of a job: its record, and what the leader knows beyond that. An end
// that the store does not hold is not shown.
func jobView(r *ladderjob.Record, status laddermessage.JobStatus) ladderjob.View {
	v := ladderjob.View{Job: r.Job, State: r.State, Reason: r.Reason}
	switch {
	case r.State.Final():
	case !status.Found:
		v.Reason = "the queue has no leader that can be reached"
	default:
		v.State, v.Reason, v.Running, v.Ended = ladderjob.State(status.State), status.Reason, status.Running, status.Ended
		if v.State.Final() {
			v.State, v.Reason = ladderjob.Running, ""
		}
	}
	return v
}

// queryLeader returns what the queue's leader knows about a job.
func (j *jobs) queryLeader(ctx context.Context, id string) laddermessage.JobStatus {
	name := j.server.leader.leaderName()
	if name == j.server.settings.Name {
		return j.server.leader.jobStatus(id)
	}
	callCtx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	answer, err := j.server.peers.call(callCtx, name, laddermessage.JobStatusQuery{Job: id})
	if status, ok := answer.(laddermessage.JobStatus); ok && err == nil {
		return status
	}
	return laddermessage.JobStatus{}
}

// Cancel implements laddergate.Jobs. The job's ID names its member, so a
// cancellation needs no read of the store, even when many arrive at once.
func (j *jobs) Cancel(ctx context.Context, member, id string) error {
	owner, _, ok := strings.Cut(id, ".")
	if !ok || owner != member {
		return laddergate.ErrJobNotFound
	}
	if err := j.commit(ctx, platform.Write{Key: cancelPrefix + id, Value: []byte(member)}); err != nil {
		return err
	}
	j.notifyLeader(ctx)
	return nil
}

// notifyLeader makes the queue's leader read new jobs and cancellations at once.
func (j *jobs) notifyLeader(ctx context.Context) {
	name := j.server.leader.leaderName()
	if name == j.server.settings.Name {
		j.server.leader.wakeUp()
		return
	}
	detached := context.WithoutCancel(ctx)
	j.server.background.Go(func() {
		callCtx, cancel := context.WithTimeout(detached, peerQueryTimeout)
		defer cancel()
		_, _ = j.server.peers.call(callCtx, name, laddermessage.JobsChanged{})
	})
}
