package laddervm

import (
	"context"
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderintake"
	"lacewingladder/ladderjournal"
	"lacewingladder/ladderlog"
	"lacewingladder/laddermessage"
	"lacewingladder/ladderplan"
	"lacewingladder/platform"
)

const (
	// maxWorkerLease is how long a worker's lease lasts after each status poll, unless the
	// platform's bound is shorter. It is longer than a takeover takes (the leader's lease,
	// reading the store and one poll), and not much longer, so that the tasks of a worker that
	// is permanently lost start elsewhere soon.
	maxWorkerLease = 5 * time.Second
	// outageGrace is how long a leader whose lease may have expired continues while the store
	// serves none of its calls, neither directly nor through a peer: no other VM can have been
	// elected meanwhile. Its polls renew leases for that long in any case. The next leader waits
	// that much longer for workers that it cannot reach.
	outageGrace = 4 * time.Second
	// minPlanPause is the shortest pause between two plans, in which events gather, and
	// maxPlanPause the longest. Between them, the pause is planPauseFactor times the duration
	// of the last plan, so that planning for a large fleet does not use the leader's whole
	// processor.
	minPlanPause    = 2 * time.Millisecond
	maxPlanPause    = 80 * time.Millisecond
	planPauseFactor = 3
	// maxPlanInterval is how long the control goroutine waits for an event before it plans
	// anyway: some things become due without an event, such as expired leases and rounds.
	maxPlanInterval = 60 * time.Millisecond
	// loadRetryInterval is the time between attempts to read the store at a takeover.
	loadRetryInterval = 60 * time.Millisecond
	// catchUpInterval is the pause between watch calls for jobs and cancellations of which
	// the leader was not notified.
	catchUpInterval = 700 * time.Millisecond
	// inboxSize bounds the events that wait for the control goroutine.
	inboxSize = 4096
)

// term is the time during which this VM is the leader. The planner belongs to the control
// goroutine, which is the one of run; other goroutines use it through do and call.
type term struct {
	vm    *VM
	log   *ladderlog.Logger
	lease *lease
	// fence is the term's fencing token, the revision of the leader's key.
	fence int64
	// began is when the VM learned that it holds the leader's key.
	began time.Time
	// earlierLeaseEnd is when the leases of all earlier leaders have certainly ended.
	earlierLeaseEnd time.Time
	ctx             context.Context
	cancel          context.CancelFunc
	// inbox holds the functions that wait for the control goroutine.
	inbox   chan func()
	planner *ladderplan.Planner
	// intake decides which teams are limited, at intakeDue again. unsettled holds the jobs that VMs may have
	// stored.
	intake    *ladderintake.Limiter
	intakeDue time.Time
	unsettled ladderintake.Unsettled
	// workerLease is how long a worker's lease lasts after each poll. It is fixed for the
	// whole term, even if the settings change.
	workerLease time.Duration
	// planPause is the pause before the next plan.
	planPause time.Duration
	placement placementLog
	// control and runtimeLoad sum up, for the log, how late this leader itself is.
	control     controlLoad
	runtimeLoad *runtimeLoad
	// dialed and accepted are the numbers of connections with peers at the last summary of the load.
	dialed, accepted int64
	// lastConfidence is the confidence of the last plan.
	lastConfidence ladderplan.Confidence
	// loaded is true once the planner has the contents of the store.
	loaded bool
	// peersVersion is the version of the registry's peers that the planner has.
	peersVersion int64
	// outageSeenAt is when a round of queries began that showed that the store serves no VM, as a
	// time since boot.
	outageSeenAt atomic.Int64
	// pollers holds the poller of each worker, by the worker's id. pollsEnded is true once no more polls
	// are made, and polls counts those that are not answered yet.
	pollers    map[string]*poller
	pollsEnded bool
	polls      sync.WaitGroup
	// resigning is true once the leader resigns: nothing more is placed. resignBegan is set by the first call
	// that makes it resign.
	resigning   bool
	resignBegan atomic.Bool
	// ownOrders counts the orders that the leader itself sends and that are not answered yet.
	ownOrders orderCounts
	// delegates holds the delegates by incarnation. excludedUntil holds, by name, the time
	// until which a VM that failed as a delegate is not chosen again.
	delegates     map[string]*delegateClient
	excludedUntil map[string]time.Time
	// calls holds the calls to delegates that are in progress.
	calls *delegateCalls
	saver saver
	// orderSlots bounds the orders in flight, and orderLatency is their typical latency.
	orderSlots   chan struct{}
	orderLatency typicalLatency
	// recordWriter writes the progress of jobs, rosterWriter the roster, the set of workers on which a
	// leader may start tasks, and cordonWriter the cordons. Each is used by one goroutine at a time.
	recordWriter *ladderjournal.ProgressWriter
	rosterWriter *ladderjournal.ProgressWriter
	cordonWriter *ladderjournal.ProgressWriter
	// cordonsSavedAt is when cordons were last begun to be stored.
	cordonsSavedAt time.Time
	// wallClock is the filtered time of day. roster holds the workers that are in the stored roster
	// and in each one that may have been stored since.
	wallClock filteredClock
	roster    map[string]bool
	// earlier holds the terms of earlier leaders that may still act, until earlierEnded is true.
	earlier      []ladderjournal.Term
	earlierEnded bool
	// waves holds the numbers of the maintenance waves that this term has started.
	waves        map[int64]bool
	savingRoster bool
	// rosterSizes holds the largest capacity that the stored roster has of each worker in roster.
	rosterSizes map[string]ladderflow.Size
}

func newTerm(ctx context.Context, v *VM, lease *lease, fence int64, began time.Time) *term {
	t := &term{
		vm: v, log: v.logs.RateLimited("term", v.clock), lease: lease, fence: fence, began: began,
		inbox: make(chan func(), inboxSize), orderSlots: make(chan struct{}, ladderplan.MaxOrders),
		pollers: map[string]*poller{}, delegates: map[string]*delegateClient{}, excludedUntil: map[string]time.Time{},
		roster: map[string]bool{}, rosterSizes: map[string]ladderflow.Size{}, waves: map[int64]bool{}, runtimeLoad: newRuntimeLoad(),
		intake: ladderintake.NewLimiter(),
	}
	t.ctx, t.cancel = context.WithCancel(ctx)
	t.outageSeenAt.Store(math.MinInt64 / 2)
	b := v.bounds.Load()
	t.workerLease = min(maxWorkerLease, b.MaxWorkerLease)
	t.calls = newDelegateCalls(v.clock, t.workerLease)
	// The store no longer renews an earlier leader's lease once that leader's key is deleted, which was
	// before this term's key was written. That leader may regard its lease as valid for its full length.
	t.earlierLeaseEnd = v.clock.Now().Add(lease.duration())
	t.planner = ladderplan.New(ladderplan.Options{
		Fence: fence, LeaseDuration: t.workerLease, MaxLeaseDuration: b.MaxWorkerLease,
		ElectedAt: began, EarlierLeaderTimeout: leaderLease + outageGrace, EarlierLeaseEnd: t.earlierLeaseEnd,
		MaxUnansweredStarts: ladderplan.MaxOrders, StopTimeout: b.StopTimeout, GangTimeout: b.GangTimeout, JobRetention: b.JobRetention,
		RemoteFactor: b.RemoteFactor, Log: v.logs.RateLimited("plan", v.clock),
	})
	t.planner.SetFleet(v.fleet.Load())
	return t
}

// do queues a function for the control goroutine. The function is dropped if the term ends
// first.
func (t *term) do(f func()) {
	select {
	case t.inbox <- t.timed(f):
	case <-t.ctx.Done():
	}
}

// timed returns a function that calls f and records, for the log, how long it was queued and took.
func (t *term) timed(f func()) func() {
	queued := t.vm.clock.Now()
	return func() {
		began := t.vm.clock.Now()
		f()
		t.control.handled(began.Sub(queued), t.vm.clock.Now().Sub(began))
	}
}

// call runs a function on the control goroutine and waits for it. It returns false if the
// term or ctx ends first.
func (t *term) call(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	select {
	case t.inbox <- t.timed(func() { f(); close(done) }):
	case <-t.ctx.Done():
		return false
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-t.ctx.Done():
	case <-ctx.Done():
	}
	return false
}

// confidence returns how certainly this VM is still the leader, which limits the orders that
// it may send. It relies on a clock. If the clock is wrong, workers still reject orders with an
// outdated fencing token.
func (t *term) confidence() ladderplan.Confidence {
	remaining := t.lease.remaining()
	switch {
	case t.ctx.Err() != nil:
		return ladderplan.LeadershipNone
	case remaining > 0:
		return ladderplan.LeadershipConfirmed
	case remaining > -outageGrace && t.vm.storeCarrier.unavailable():
		return ladderplan.LeadershipProbable
	}
	return ladderplan.LeadershipNone
}

// authorityRemaining returns for how much longer the VM may send orders as the leader. While
// the store is unavailable, that includes outageGrace, in which its leadership is only
// probable.
func (t *term) authorityRemaining() time.Duration {
	switch t.confidence() {
	case ladderplan.LeadershipConfirmed:
		return t.lease.remaining()
	case ladderplan.LeadershipProbable:
		return t.lease.remaining() + outageGrace
	case ladderplan.LeadershipNone:
	}
	return 0
}

// run is the control goroutine.
func (t *term) run() {
	go t.load()
	go t.followOutage()
	timer := time.NewTimer(maxPlanInterval)
	defer timer.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case f := <-t.inbox:
			f()
		case <-timer.C:
		}
		t.gatherEvents()
		t.plan()
		timer.Reset(maxPlanInterval)
		if t.planner.Superseded() {
			t.vm.leadership.endTerm(t, "a worker has seen a newer leader")
			return
		}
	}
}

// gatherEvents handles the events that are queued and those that arrive within planPause.
func (t *term) gatherEvents() {
	pause := t.vm.clock.After(t.planPause)
	for {
		select {
		case f := <-t.inbox:
			f()
		case <-pause:
			return
		case <-t.ctx.Done():
			return
		}
	}
}

// plan runs the planner, sends its orders and returns them. A leader that resigns places nothing: the end of
// its term would cut orders off.
func (t *term) plan() ladderplan.Orders {
	if !t.loaded {
		return ladderplan.Orders{}
	}
	now := t.vm.clock.Now()
	if v := t.vm.registry.version(); v != t.peersVersion {
		t.peersVersion = v
		t.planner.SetVMs(t.vmNames())
	}
	t.planner.SetSenders(1 + len(t.delegates))
	t.planner.SetStoreServing(now, !t.vm.storeCarrier.unavailable())
	t.checkEarlierTerms(now)
	confidence := t.confidence()
	if confidence != t.lastConfidence {
		t.log.Info("confidence in the leadership changed", "fence", t.fence, "from", t.lastConfidence, "to", confidence,
			"lease", t.lease.remaining().Round(time.Millisecond))
		t.lastConfidence = confidence
	}
	if t.resigning {
		confidence = ladderplan.LeadershipNone
	}
	o := t.planner.Plan(now, t.wallClock.now(now), confidence)
	t.vm.stats.planTime.UpdateDuration(now)
	took := t.vm.clock.Now().Sub(now)
	t.planPause = min(max(minPlanPause, planPauseFactor*took), maxPlanPause)
	t.placement.planned(took, o)
	if o.AtStartLimit {
		t.vm.stats.plansAtLimit.Inc()
	}
	t.sendOrders(o)
	t.logPlacement(now)
	t.save()
	t.saveCordons(now)
	return o
}

// vmNames returns the names of all VMs that can request advice and are not about to stop.
func (t *term) vmNames() []string {
	names := []string{t.vm.settings.Name}
	for _, p := range t.vm.registry.others() {
		if !p.leaving {
			names = append(names, p.name)
		}
	}
	return names
}

// load reads the store, retrying until it succeeds, and then follows the changes.
func (t *term) load() {
	var c *ladderjournal.Contents
	var workers []ladderflow.Worker
	for c == nil {
		var err error
		if c, workers, err = t.readAll(); err == nil {
			break
		}
		c = nil
		t.log.Warn("reading the store failed; retrying", "err", err)
		select {
		case <-t.ctx.Done():
			return
		case <-t.vm.clock.After(loadRetryInterval):
		}
	}
	for _, err := range c.DecodeErrors {
		t.log.Error("stored value cannot be decoded; ignored", "err", err)
	}
	rosterWriter := t.vm.journal.ProgressWriter(t.fence, c)
	if !t.saveTerms(rosterWriter, c.Terms) {
		return
	}
	t.do(func() { t.applyContents(c, workers, rosterWriter) })
	go follow(t.ctx, t.vm, platform.WorkerPrefix, t.workerFollower())
	jobs := t.jobFollower()
	jobs.from = c.Revision
	go follow(t.ctx, t.vm, ladderjournal.WatchPrefix, jobs)
}

// readAll reads the scheduler's state and the list of workers at the same time.
func (t *term) readAll() (*ladderjournal.Contents, []ladderflow.Worker, error) {
	var workers []ladderflow.Worker
	var err error
	var wait sync.WaitGroup
	wait.Go(func() { workers, err = t.readWorkers() })
	c, loadErr := t.vm.journal.Load(t.ctx)
	wait.Wait()
	return c, workers, errors.Join(loadErr, err)
}

// jobFollower returns a follower that adds the jobs and cancellations of which no message tells. It
// soon reads again after the leases of earlier leaders have ended: until it has, each new job may be
// one that an earlier leader has started.
func (t *term) jobFollower() follower {
	var readAt time.Time
	return follower{
		reset:  func(items []platform.Item, _ int64) { t.applyChanges(items) },
		change: t.applyChanges,
		complete: func(at time.Time) {
			readAt = at
			t.do(func() { t.planner.SetJobsReadAt(at) })
		},
		wait: func(now time.Time) time.Duration {
			if readAt.After(t.earlierLeaseEnd) {
				return watchWait
			}
			return max(0, min(watchWait, t.earlierLeaseEnd.Sub(now)))
		},
		pause: catchUpInterval,
	}
}

// applyContents passes the contents of the store to the planner.
func (t *term) applyContents(c *ladderjournal.Contents, workers []ladderflow.Worker, rosterWriter *ladderjournal.ProgressWriter) {
	if t.resigning {
		return
	}
	now := t.vm.clock.Now()
	t.recordWriter, t.rosterWriter, t.earlier = t.vm.journal.ProgressWriter(t.fence, c), rosterWriter, c.Terms
	for _, j := range c.Jobs {
		t.planner.AddJob(now, j, true)
	}
	for _, r := range c.Records {
		t.planner.Restore(now, r)
	}
	for _, id := range c.Cancelled {
		t.planner.Cancel(now, id)
	}
	for _, x := range c.TeamCancellations {
		t.planner.CancelFor(now, x)
	}
	for _, w := range c.Roster {
		t.planner.AddEarlierWorker(w)
		t.roster[w.ID], t.rosterSizes[w.ID] = true, w.Capacity
	}
	for _, x := range c.Cordons {
		t.planner.AddCordon(x)
	}
	t.cordonWriter = t.vm.journal.ProgressWriter(t.fence, c)
	t.planner.SetRoster(t.roster)
	t.loaded = true
	t.setWorkers(workers)
	t.startWaves()
	t.log.Info("contents of the store applied", "jobs", len(c.Jobs), "records", len(c.Records), "cancelled", len(c.Cancelled),
		"roster", len(c.Roster), "workers", len(workers), "took", now.Sub(t.began).Round(time.Millisecond))
}

// applyChanges passes changed jobs and cancellations to the planner, which may know them
// already.
func (t *term) applyChanges(items []platform.Item) {
	c := ladderjournal.DecodeChanges(items)
	for _, err := range c.DecodeErrors {
		t.log.Error("stored value cannot be decoded; ignored", "err", err)
	}
	t.do(func() {
		now := t.vm.clock.Now()
		for _, j := range c.Jobs {
			t.planner.AddJob(now, j, false)
		}
		for _, id := range c.Cancelled {
			t.planner.Cancel(now, id)
		}
		for _, x := range c.TeamCancellations {
			t.planner.CancelFor(now, x)
		}
	})
}

// handleMessage handles a peer's message to the leader.
func (t *term) handleMessage(ctx context.Context, m laddermessage.Message) (laddermessage.Message, error) {
	switch m := m.(type) {
	case laddermessage.JobAccepted:
		job, err := ladderjournal.DecodeJob(m.Job, m.Body)
		if err != nil {
			return nil, err
		}
		job.Revision = m.Revision
		t.do(func() { t.planner.AddJob(t.vm.clock.Now(), job, false) })
		return laddermessage.Ack{}, nil
	case laddermessage.JobCancelled:
		// The store holds the cancellation, so it takes effect even if nobody waits for the reply, or the
		// store is not read yet.
		t.do(func() { t.planner.Cancel(t.vm.clock.Now(), m.Job) })
		return t.query(ctx, func() laddermessage.Message { return t.jobState(m.Job) }), nil
	case laddermessage.JobStateQuery:
		return t.query(ctx, func() laddermessage.Message { return t.jobState(m.Job) }), nil
	case laddermessage.QueueLengthQuery:
		return t.query(ctx, func() laddermessage.Message {
			return laddermessage.QueueLength{Pending: t.planner.QueuedJobs(m.Queue)}
		}), nil
	case laddermessage.IntakeReport:
		return t.query(ctx, func() laddermessage.Message { return t.intakeLimits(m) }), nil
	case laddermessage.IntakeQuery:
		return t.query(ctx, func() laddermessage.Message { return t.intakeTurn(m) }), nil
	case laddermessage.OperatorQuery:
		return t.query(ctx, func() laddermessage.Message { return t.answerOperator(m) }), nil
	}
	return nil, errors.New("the message is not for a leader")
}

// query computes a reply on the control goroutine. The reply is NotLeader if the term or
// ctx has ended or the store is not read yet.
func (t *term) query(ctx context.Context, f func() laddermessage.Message) laddermessage.Message {
	var m laddermessage.Message = laddermessage.NotLeader{}
	t.call(ctx, func() {
		if t.loaded {
			m = f()
		}
	})
	return m
}

// jobState returns the reply to a query for a job's state.
func (t *term) jobState(id string) laddermessage.Message {
	v := t.planner.View(t.vm.clock.Now(), id)
	m := laddermessage.JobState{Found: v.Known, State: string(v.State)}
	if team, queue := t.planner.Owner(id); team != "" {
		m.Team, m.Queue = team, queue
	}
	return m
}
