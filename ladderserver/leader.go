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
	// leaderKey names the leader of the queue in the store.
	leaderKey = "ladder/leader"
	// leaderLease is the length of the leader's lease, and leaderAlive the time
	// between its renewals.
	leaderLease         = 8 * time.Second
	leaderRenewInterval = 2 * time.Second
	// electTime is the time between looks at who leads.
	electionInterval = 3 * time.Second
	// turnTime is the time between turns of the leader's loop.
	leaderInterval = 100 * time.Millisecond
	// syncTime is the time between looks at the store for new jobs, when nobody
	// told of any.
	queueReadInterval = 2 * time.Second
	// endsTime is the time between questions for ended tasks.
	endsPollInterval = 300 * time.Millisecond
	// sweepTime is the time between looks for jobs to forget, and jobMemory how
	// long they are remembered after their end.
	sweepInterval     = 5 * time.Second
	endedJobRetention = time.Hour
)

// leader leads the queue while this VM holds the lease for it.
type leader struct {
	server *Server
	log    Log
	wake   chan struct{}

	mu          sync.Mutex
	knownLeader string
	queue       *ladderqueue.Queue
	workers     map[string]laddermodel.Worker
	// term is this VM's term as leader, or nil.
	term *term
}

// term is the time during which a VM leads the queue.
type term struct {
	leaseID int64
	// created is the revision at which the leader's key was made.
	keyRevision int64
	began       time.Time
	// proof is the sending time of the last renewal that was answered.
	lastProof time.Time
	// revision is up to where the store's queue was read.
	readRevision int64
	lastRead     time.Time
	lastEndsPoll time.Time
	lastRenewal  time.Time
	lastSweep    time.Time
	// ends is up to where each VM's ends were read.
	endsRead map[string]laddermessage.Ends
	// heard is when each worker was last held by a VM that answered.
	lastHeld map[string]time.Time
	// counted is when what runs, and then what ended, was last read of each worker.
	lastCounted map[string]time.Time
}

func newLeader(s *Server) *leader {
	return &leader{
		server: s, log: s.logs.Part("queue"), wake: make(chan struct{}, 1),
		queue: ladderqueue.New(), workers: map[string]laddermodel.Worker{},
	}
}

// setWorkers takes over the platform's list of workers.
func (l *leader) setWorkers(workers []laddermodel.Worker) {
	largest := ladderconfig.Largest(workers)
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

// leaderName returns the name of the leader, as far as this VM knows.
func (l *leader) leaderName() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.knownLeader
}

// wakeUp makes the leader look for new jobs at once.
func (l *leader) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// jobStatus returns what this VM knows of a job, which is something only as leader.
func (l *leader) jobStatus(id string) laddermessage.Seen {
	l.mu.Lock()
	defer l.mu.Unlock()
	v, ok := l.queue.View(id)
	if l.term == nil || !ok {
		return laddermessage.Seen{}
	}
	return laddermessage.Seen{
		Known: true, State: string(v.State), Reason: v.Reason, Running: v.Running, Ended: v.Ended,
	}
}

// loop leads the queue whenever this VM can, until ctx ends.
func (l *leader) loop(ctx context.Context) {
	tick := time.NewTicker(leaderInterval)
	defer tick.Stop()
	var elect time.Time
	noticed := false
	for {
		select {
		case <-ctx.Done():
			l.resign(context.WithoutCancel(ctx))
			return
		case <-l.wake:
			noticed = true
		case <-tick.C:
		}
		now := l.server.clock.Now()
		t := l.current()
		switch {
		case t != nil:
			l.runTerm(ctx, now, t, noticed)
			noticed = false
		case !now.Before(elect):
			elect = now.Add(electionInterval)
			l.elect(ctx)
		}
	}
}

func (l *leader) current() *term {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}

// elect finds out who leads, and takes the lead when nobody does.
func (l *leader) elect(ctx context.Context) {
	e, ok, err := l.server.store.client.Get(ctx, leaderKey)
	l.server.storeReachable.Store(err == nil)
	if err != nil {
		return
	}
	if ok {
		l.setKnownLeader(string(e.Value))
		return
	}
	if l.server.config.current() == nil || l.server.draining.Load() {
		return
	}
	now := l.server.clock.Now()
	lease, _, err := l.server.store.client.Grant(ctx, leaderLease)
	if err != nil {
		return
	}
	done, revision, err := l.server.store.Commit(ctx, platform.Txn{
		If:     []platform.Condition{{Key: leaderKey}},
		Writes: []platform.Write{{Key: leaderKey, Value: []byte(l.server.settings.Name), Lease: lease}},
	})
	if err != nil || !done {
		return
	}
	l.log.Info("leads the queue", "revision", revision)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.knownLeader = l.server.settings.Name
	l.queue = ladderqueue.New()
	l.term = &term{
		leaseID: lease, keyRevision: revision, began: now, lastProof: now, lastRenewal: now,
		endsRead: map[string]laddermessage.Ends{}, lastHeld: map[string]time.Time{},
		lastCounted: map[string]time.Time{},
	}
}

func (l *leader) setKnownLeader(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.knownLeader = name
}

// termValid reports whether the term still stands at this moment.
func (l *leader) termValid(t *term) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	margin := leaderLease * ladderclaim.DriftPerMille / 1000
	return l.term == t && l.server.clock.Now().Before(t.lastProof.Add(leaderLease-margin))
}

// endTerm ends the term.
func (l *leader) endTerm(t *term, why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == t {
		l.term, l.knownLeader = nil, ""
		l.queue = ladderqueue.New()
		l.log.Warn("leads no more", "why", why)
	}
}

// resign lets another VM lead at once.
func (l *leader) resign(ctx context.Context) {
	t := l.current()
	if t == nil {
		return
	}
	l.endTerm(t, "the VM is leaving")
	_, _, _ = l.server.store.Commit(ctx, platform.Txn{
		If:      []platform.Condition{t.stillHeld()},
		Deletes: []string{leaderKey},
	})
}

// stillHeld is the condition that the term still stands in the store.
func (t *term) stillHeld() platform.Condition {
	return platform.Condition{Key: leaderKey, Changed: t.keyRevision}
}

// runTerm does what is due in a term.
func (l *leader) runTerm(ctx context.Context, now time.Time, t *term, noticed bool) {
	if now.Sub(t.lastRenewal) >= leaderRenewInterval {
		t.lastRenewal = now
		if !l.renew(ctx, now, t) {
			return
		}
	}
	if noticed || now.Sub(t.lastRead) >= queueReadInterval {
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

// renew prolongs the leader's lease. It returns false when the term has ended.
func (l *leader) renew(ctx context.Context, now time.Time, t *term) bool {
	err := l.server.store.client.Renew(ctx, t.leaseID)
	lapsed := errors.Is(err, platform.ErrNoLease)
	l.server.storeReachable.Store(err == nil || lapsed)
	if lapsed {
		l.endTerm(t, "the lease lapsed")
		return false
	}
	if err == nil {
		l.mu.Lock()
		t.lastProof = now
		l.mu.Unlock()
	}
	return true
}

// tasksMayRun reports whether tasks run or may run.
func (l *leader) tasksMayRun() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Running() > 0 || l.queue.Uncertain() > 0
}

// readQueue takes in new jobs and cancellations from the store.
func (l *leader) readQueue(ctx context.Context, t *term) {
	entries, revision, err := l.server.store.List(ctx, queuePrefix, t.readRevision+1)
	if err != nil {
		return
	}
	t.readRevision = revision
	var stops []ladderqueue.Stop
	l.mu.Lock()
	for _, e := range entries {
		if id, ok := strings.CutPrefix(e.Key, cancelPrefix); ok {
			stops = append(stops, l.queue.Cancel(id)...)
			continue
		}
		r, err := ladderjob.Decode(e.Value)
		if err != nil {
			l.log.Warn("job passed over", "key", e.Key, "err", err)
			continue
		}
		l.queue.Add(r)
	}
	l.mu.Unlock()
	l.revokeTasks(ctx, stops)
}

// saveRecords makes changed records durable, as many as fit into one transaction.
func (l *leader) saveRecords(ctx context.Context, t *term) {
	l.mu.Lock()
	records := l.queue.Unsaved(maxCommitWrites)
	l.mu.Unlock()
	if len(records) == 0 {
		return
	}
	txn := platform.Txn{If: []platform.Condition{t.stillHeld()}}
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
		l.endTerm(t, "another VM leads")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		l.queue.Saved(r)
	}
}

// deleteEndedJobs deletes the records of jobs that ended long ago.
func (l *leader) deleteEndedJobs(ctx context.Context, now time.Time, t *term) {
	l.mu.Lock()
	jobs, cancellations := l.queue.Sweep(now, endedJobRetention, maxCommitWrites/2)
	l.mu.Unlock()
	if len(jobs)+len(cancellations) == 0 {
		return
	}
	txn := platform.Txn{If: []platform.Condition{t.stillHeld()}}
	for _, id := range jobs {
		txn.Deletes = append(txn.Deletes, jobPrefix+id, cancelPrefix+id)
	}
	for _, id := range cancellations {
		txn.Deletes = append(txn.Deletes, cancelPrefix+id)
	}
	_, _, _ = l.server.store.Commit(ctx, txn)
}
