package ladderserver

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"lacewingladder/ladderclaim"
	"lacewingladder/ladderconfig"
	"lacewingladder/ladderjob"
	"lacewingladder/laddermessage"
	"lacewingladder/laddermodel"
	"lacewingladder/ladderqueue"
	"lacewingladder/platform"
)

const (
	// leaderKey is the store key that holds the name of the queue's leader.
	leaderKey = "ladder/leader"
	// leaderLease is the length of the leader's lease in the store.
	// leaderRenewInterval is the time between its renewals.
	leaderLease         = 8 * time.Second
	leaderRenewInterval = 2 * time.Second
	// electionInterval is the time between reads of the leader's name by a VM that
	// is not the leader.
	electionInterval = 3 * time.Second
	// leaderInterval is the time between cycles of the leader's loop.
	leaderInterval = 100 * time.Millisecond
	// queueReadInterval is the time between reads of new jobs from the store if no
	// VM has announced any.
	queueReadInterval = 2 * time.Second
	// endsPollInterval is the time between polls of the entry VMs for ended tasks.
	endsPollInterval = 300 * time.Millisecond
	// sweepInterval is the time between searches for jobs to delete.
	// endedJobRetention is how long a job is kept after its end.
	sweepInterval     = 5 * time.Second
	endedJobRetention = time.Hour
)

// leader runs the queue of jobs while this VM is its leader, that is, while it
// holds the lease on leaderKey. On the other VMs it tracks who the leader is.
type leader struct {
	server *Server
	log    Log
	// wake has an element after an entry VM announced new jobs or cancellations.
	wake chan struct{}

	// mu guards the fields below, and leaseConfirmedAt of the term.
	mu sync.Mutex
	// knownLeader is the name of the leader, or empty if it is not known.
	knownLeader string
	queue       *ladderqueue.Queue
	// workers are the listed workers of all zones, by name.
	workers map[string]laddermodel.Worker
	// term is this VM's term as leader, or nil if it is not the leader.
	term *term
}

// term is the state of one leader term: the time from the election of this VM until
// it resigns or loses its lease.
type term struct {
	leaseID int64
	// keyRevision is the store revision at which this VM wrote leaderKey.
	keyRevision int64
	began       time.Time
	// leaseConfirmedAt is when the request for the lease or its last answered renewal
	// was sent. The lease is valid for leaderLease from then on.
	leaseConfirmedAt time.Time
	// readRevision is the store revision up to which the queue was read.
	readRevision       int64
	lastRead           time.Time
	lastEndsPoll       time.Time
	lastRenewalAttempt time.Time
	lastSweep          time.Time
	// nextEndsQuery holds, by entry VM, the query for the ends of tasks that were not
	// read from it yet.
	nextEndsQuery map[string]laddermessage.EndedTasksQuery
	// lastHeld is when each worker was last reported as held by an entry VM.
	lastHeld map[string]time.Time
	// lastTasksRead is when both the running and the ended tasks of each worker
	// were last read.
	lastTasksRead map[string]time.Time
}

func newLeader(s *Server) *leader {
	return &leader{
		server: s, log: s.logs.Component("queue"), wake: make(chan struct{}, 1),
		queue: ladderqueue.New(), workers: map[string]laddermodel.Worker{},
	}
}

// setWorkers replaces the list of workers with the platform's.
func (l *leader) setWorkers(workers []laddermodel.Worker) {
	largest := ladderconfig.LargestSize(workers)
	if len(workers) > 0 {
		l.server.jobs.largestWorker.Store(&largest)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.workers = make(map[string]laddermodel.Worker, len(workers))
	for _, w := range workers {
		l.workers[w.Name] = w
	}
}

// leaderName returns the name of the queue's leader, or an empty string if this VM
// does not know it.
func (l *leader) leaderName() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.knownLeader
}

// wakeUp makes the leader read new jobs from the store at once.
func (l *leader) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// jobStatus returns the state of a job. Only the leader knows it; on other VMs the
// result has Found set to false.
func (l *leader) jobStatus(id string) laddermessage.JobStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, ok := l.queue.View(id)
	if l.term == nil || !ok {
		return laddermessage.JobStatus{}
	}
	return laddermessage.JobStatus{
		Found: true, State: string(v.State), Reason: v.Reason, Running: v.Running, Ended: v.Ended,
	}
}

// loop runs this VM's terms as leader, and takes part in elections between them,
// until ctx ends.
func (l *leader) loop(ctx context.Context) {
	tick := time.NewTicker(leaderInterval)
	defer tick.Stop()
	var nextElection time.Time
	woken := false
	for {
		select {
		case <-ctx.Done():
			l.resign(context.WithoutCancel(ctx))
			return
		case <-l.wake:
			woken = true
		case <-tick.C:
		}
		now := l.server.clock.Now()
		t := l.currentTerm()
		switch {
		case t != nil:
			l.runTerm(ctx, now, t, woken)
			woken = false
		case !now.Before(nextElection):
			nextElection = now.Add(electionInterval)
			l.elect(ctx)
		}
	}
}

// currentTerm returns this VM's term, or nil if it is not the leader.
func (l *leader) currentTerm() *term {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}

// elect reads the name of the leader from the store. If there is none, this VM tries
// to become leader, unless it drains or has no configuration yet.
func (l *leader) elect(ctx context.Context) {
	item, ok, err := l.server.store.client.Get(ctx, leaderKey)
	l.server.storeReachable.Store(err == nil)
	if err != nil {
		return
	}
	if ok {
		l.setKnownLeader(string(item.Value))
		return
	}
	if l.server.config.current() == nil || l.server.draining.Load() {
		return
	}
	now := l.server.clock.Now()
	lease, _, err := l.server.store.client.GrantLease(ctx, leaderLease)
	if err != nil {
		return
	}
	done, revision, err := l.server.store.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: leaderKey}},
		Writes:     []platform.Write{{Key: leaderKey, Value: []byte(l.server.settings.Name), Lease: lease}},
	})
	if err != nil || !done {
		return
	}
	l.log.Info("became leader of the queue", "revision", revision)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.knownLeader = l.server.settings.Name
	l.queue = ladderqueue.New()
	l.term = &term{
		leaseID: lease, keyRevision: revision, began: now, leaseConfirmedAt: now, lastRenewalAttempt: now,
		nextEndsQuery: map[string]laddermessage.EndedTasksQuery{}, lastHeld: map[string]time.Time{},
		lastTasksRead: map[string]time.Time{},
	}
}

// setKnownLeader records the name of the leader that was read from the store.
func (l *leader) setKnownLeader(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.knownLeader = name
}

// termValid reports whether the term's lease is certain to be valid now. The margin
// allows for clocks that differ in rate.
func (l *leader) termValid(t *term) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	margin := leaderLease * ladderclaim.DriftPerMille / 1000
	return l.term == t && l.server.clock.Now().Before(t.leaseConfirmedAt.Add(leaderLease-margin))
}

// endTerm ends the term. It discards the queue; the next leader reads it from the
// store.
func (l *leader) endTerm(t *term, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == t {
		l.term, l.knownLeader = nil, ""
		l.queue = ladderqueue.New()
		l.log.Warn("leader term ended", "why", reason)
	}
}

// resign ends the term and deletes leaderKey, so that another VM can become leader
// at once.
func (l *leader) resign(ctx context.Context) {
	t := l.currentTerm()
	if t == nil {
		return
	}
	l.endTerm(t, "the VM is leaving")
	_, _, _ = l.server.store.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{t.stillHeld()},
		Deletes:    []string{leaderKey},
	})
}

// stillHeld returns the condition that leaderKey is still the one that this VM
// wrote. It guards the leader's writes against a newer leader.
func (t *term) stillHeld() platform.Condition {
	return platform.Condition{Key: leaderKey, ModRevision: t.keyRevision}
}

// runTerm does what is due in one cycle of a term: it renews the lease, reads the
// queue, polls for ended tasks, saves records, deletes old jobs and starts tasks.
func (l *leader) runTerm(ctx context.Context, now time.Time, t *term, woken bool) {
	if now.Sub(t.lastRenewalAttempt) >= leaderRenewInterval {
		t.lastRenewalAttempt = now
		if !l.renew(ctx, now, t) {
			return
		}
	}
	if woken || now.Sub(t.lastRead) >= queueReadInterval {
		t.lastRead = now
		l.readQueue(ctx, t)
	}
	if now.Sub(t.lastEndsPoll) >= endsPollInterval && l.tasksMayRun() {
		t.lastEndsPoll = now
		l.pollEnds(ctx, t)
	}
	l.saveRecords(ctx, t)
	if now.Sub(t.lastSweep) >= sweepInterval {
		t.lastSweep = now
		l.deleteEndedJobs(ctx, now, t)
	}
	if l.termValid(t) {
		l.startTasks(ctx, t)
	}
}

// renew renews the leader's lease. It returns false if the lease has expired, which
// ends the term.
func (l *leader) renew(ctx context.Context, now time.Time, t *term) bool {
	err := l.server.store.client.RenewLease(ctx, t.leaseID)
	expired := errors.Is(err, platform.ErrNoLease)
	l.server.storeReachable.Store(err == nil || expired)
	if expired {
		l.endTerm(t, "the lease expired")
		return false
	}
	if err == nil {
		l.mu.Lock()
		t.leaseConfirmedAt = now
		l.mu.Unlock()
	}
	return true
}

// tasksMayRun reports whether any task of the queue runs or may be running.
func (l *leader) tasksMayRun() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Running() > 0 || l.queue.Unconfirmed() > 0
}

// readQueue reads new jobs and cancellations from the store and revokes the running
// tasks of canceled jobs.
func (l *leader) readQueue(ctx context.Context, t *term) {
	items, revision, err := l.server.store.List(ctx, queuePrefix, t.readRevision+1)
	if err != nil {
		return
	}
	t.readRevision = revision
	var toStop []ladderqueue.RunningTask
	l.mu.Lock()
	for _, item := range items {
		if id, ok := strings.CutPrefix(item.Key, cancelPrefix); ok {
			toStop = append(toStop, l.queue.Cancel(id)...)
			continue
		}
		r, err := ladderjob.Decode(item.Value)
		if err != nil {
			l.log.Warn("invalid job record ignored", "key", item.Key, "err", err)
			continue
		}
		l.queue.Add(r)
	}
	l.mu.Unlock()
	l.revokeTasks(ctx, toStop)
}

// saveRecords writes changed job records to the store, as many as fit into one
// transaction. If the store refuses the write, another VM has become leader, and the
// term ends.
func (l *leader) saveRecords(ctx context.Context, t *term) {
	l.mu.Lock()
	records := l.queue.Unsaved(maxCommitWrites)
	l.mu.Unlock()
	if len(records) == 0 {
		return
	}
	txn := platform.Txn{Conditions: []platform.Condition{t.stillHeld()}}
	for _, r := range records {
		value, err := ladderjob.Encode(r)
		if err != nil {
			continue
		}
		txn.Writes = append(txn.Writes, platform.Write{Key: jobPrefix + r.Job.ID, Value: value})
	}
	done, _, err := l.server.store.Commit(ctx, txn)
	if err != nil {
		return
	}
	if !done {
		l.endTerm(t, "another VM became leader")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		l.queue.Saved(r)
	}
}

// deleteEndedJobs deletes the records of jobs that ended more than
// endedJobRetention ago.
func (l *leader) deleteEndedJobs(ctx context.Context, now time.Time, t *term) {
	l.mu.Lock()
	jobs, cancellations := l.queue.RemoveEnded(now, endedJobRetention, maxSweep)
	l.mu.Unlock()
	if len(jobs)+len(cancellations) == 0 {
		return
	}
	txn := platform.Txn{Conditions: []platform.Condition{t.stillHeld()}}
	for _, id := range jobs {
		txn.Deletes = append(txn.Deletes, jobPrefix+id, cancelPrefix+id)
	}
	for _, id := range cancellations {
		txn.Deletes = append(txn.Deletes, cancelPrefix+id)
	}
	_, _, _ = l.server.store.Commit(ctx, txn)
}
