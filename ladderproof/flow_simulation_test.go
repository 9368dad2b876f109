package ladderproof

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderflow"
	"lacewingladder/ladderjournal"
	"lacewingladder/ladderlog"
	"lacewingladder/ladderplan"
	"lacewingladder/ladderstand"
	"lacewingladder/platform"
)

const (
	// flowWorkerLease is the lease that a worker gets with each poll.
	flowWorkerLease = 5 * time.Second
	// flowMaxWorkerLease is the longest lease that a worker grants.
	flowMaxWorkerLease = 10 * time.Second
	// A leader that lost an election does not notice it. For flowConfirmedTime it regards its
	// leadership as confirmed, then as probable until flowFormerLeaderTime has passed.
	flowConfirmedTime    = time.Second
	flowFormerLeaderTime = 3 * time.Second
	// flowMaxAttempts is how many runs of a task may fail.
	flowMaxAttempts = 2
	flowQueue       = "q"
	// flowCatchUpTime is how long a leader needs at most to learn of a stored job.
	flowCatchUpTime = time.Second
	// flowHeartbeat is the longest time after which the store lists a worker's new capacity, and
	// flowResizeAllowance the time after a shrinking in which leaders may order starts that exceed it.
	flowHeartbeat       = time.Second
	flowResizeAllowance = 3*time.Second + flowHeartbeat
)

var errNoAnswer = errors.New("no answer")

// flowStore is the platform's store with faults: replies may be lost, and transactions may
// be applied late.
type flowStore struct {
	store *ladderstand.Store
	// nextCommit is the outcome of the next commit: 0 means that it is applied and answered,
	// 1 that it is applied and its reply is lost, 2 that it is added to delayed and not
	// answered, and 3 that it is refused.
	nextCommit int
	// before is the number of commits before that one, which are applied and answered.
	before int
	// delayed holds the transactions that may still be applied, even more than once.
	delayed []platform.Txn
	// out reports whether the store takes nothing now.
	out func() bool
}

// Get implements ladderjournal.Store.
func (s *flowStore) Get(_ context.Context, key string) (platform.Item, bool, error) {
	item, ok, _ := s.store.Get(key)
	return item, ok, nil
}

// Range implements ladderjournal.Store.
func (s *flowStore) Range(_ context.Context, prefix, after string) (platform.Page, error) {
	return s.store.Range(prefix, after, 500), nil
}

// Commit implements ladderjournal.Store.
func (s *flowStore) Commit(_ context.Context, t platform.Txn) (int64, []platform.Item, error) {
	outcome := s.nextCommit
	if s.before > 0 {
		s.before--
		outcome = 0
	} else {
		s.nextCommit = 0
	}
	if s.out() {
		return 0, nil, platform.ErrRefused
	}
	switch outcome {
	case 1:
		s.store.Txn(t)
		return 0, nil, errNoAnswer
	case 2:
		s.delayed = append(s.delayed, t)
		return 0, nil, errNoAnswer
	case 3:
		return 0, nil, platform.ErrRefused
	}
	o := s.store.Txn(t)
	if !o.Committed {
		return 0, o.Found, platform.ErrConditionFailed
	}
	return o.Revision, nil, nil
}

// order is a start or a stop in transit to a worker. It stays in transit after its delivery, so
// it may arrive several times.
type order struct {
	from  *flowLeader
	start *ladderplan.StartOrder
	stop  *ladderplan.StopOrder
	// settled is true once the sender has received a reply or has given up, and delivered once the order
	// has arrived.
	settled   bool
	delivered bool
	// sent is when the leader ordered it.
	sent time.Time
}

// flowLeader is a VM that is the leader, or was it and may still act as one.
type flowLeader struct {
	fence    int64
	planner  *ladderplan.Planner
	progress *ladderjournal.ProgressWriter
	// actsUntil is when a former leader stops acting by its own clock. It is zero for the
	// current leader.
	actsUntil time.Time
	// confirmedUntil is when a former leader's confidence drops from confirmed to probable.
	confirmedUntil time.Time
	// cancelled holds the cancellations that the leader has received.
	cancelled map[string]bool
	// superseded is true once the store has rejected the leader's commit because there is a
	// newer leader.
	superseded bool
	// seen holds the runs that workers have confirmed to the leader, and crashes what it knows of
	// crashes under them.
	seen    map[seenRun]bool
	crashes map[ladderflow.Task]*leaderCrashes
}

// seenRun is a run on an incarnation of a worker.
type seenRun struct {
	worker      *flowWorker
	incarnation int64
	run         ladderflow.Run
}

// flowSimulation simulates leaders, workers and the store, and decides when each message
// arrives.
type flowSimulation struct {
	t           checker
	now         time.Time
	clock       *ladderclock.Manual
	store       *flowStore
	journal     *ladderjournal.Journal
	workers     []*flowWorker
	leaders     []*flowLeader
	orders      []*order
	assignments []*flowAssignment
	jobs        []*ladderflow.Job
	// acknowledgedDone holds the tasks with an acknowledged successful end, and
	// acknowledgedFailures the numbers of the acknowledged failed runs. A gang is recorded
	// under its first task in both, and in succeeded.
	acknowledgedDone     map[ladderflow.Task]bool
	acknowledgedFailures map[ladderflow.Task]map[int]bool
	// succeeded holds the tasks that ended successfully, acknowledged or not.
	succeeded map[ladderflow.Task]bool
	// failures holds the numbers of the failed runs of each task, acknowledged or not.
	failures  map[ladderflow.Task]map[int]bool
	cancelled map[string]bool
	// shown holds the jobs that a leader has shown as ended.
	shown map[string]shownEnd
	// crashers holds the tasks that crash their worker, and how long after their start. crashes
	// tells under which tasks workers have crashed, and unnoticed holds the crashes of which a
	// leader does not know yet.
	crashers  map[ladderflow.Task]time.Duration
	crashes   map[ladderflow.Task]*taskCrashes
	unnoticed []crash
	// storeOutUntil is until when the store takes nothing, and readsLateUntil until when no leader reads
	// jobs from it.
	storeOutUntil  time.Time
	readsLateUntil time.Time
	// gangs, if set, checks how long members of gangs wait, and quotas what teams run.
	gangs  *gangWatch
	quotas *quotaWatch
	// commits counts the batches that leaders have stored or tried to.
	commits int
	// cordons is set if leaders store cordons and their terms.
	cordons *cordonWatch
	// steps and starts count the checked actions and the started runs of all simulations.
	steps  *int
	starts *int
	trace  []string
}

// tracef adds a line to the trace, which is printed if a check fails.
func (sim *flowSimulation) tracef(format string, args ...any) {
	sim.trace = append(sim.trace, fmt.Sprintf("%v ", sim.now.Sub(time.UnixMilli(1_000_000)))+fmt.Sprintf(format, args...))
}

// fail prints the trace and ends the test. It leaves out the lines that name a run of
// another job: a run is printed with its job's ID first, which begins with 0.
func (sim *flowSimulation) fail(job, format string, args ...any) {
	for _, line := range sim.trace {
		if strings.Contains(line, job) || !strings.Contains(line, "{0") {
			sim.t.Log(line)
		}
	}
	sim.t.Fatalf(format, args...)
}

// drawFlowSimulation returns a simulation whose workers stop runs in a drawn time.
func drawFlowSimulation(t *rapid.T, steps, starts *int) *flowSimulation {
	stopTime := time.Duration(rapid.IntRange(0, 900).Draw(t, "stop ms")) * time.Millisecond
	return newFlowSimulation(t, stopTime, steps, starts)
}

func newFlowSimulation(t checker, stopTime time.Duration, steps, starts *int) *flowSimulation {
	sim := &flowSimulation{
		t: t, now: time.UnixMilli(1_000_000), acknowledgedDone: map[ladderflow.Task]bool{},
		acknowledgedFailures: map[ladderflow.Task]map[int]bool{}, succeeded: map[ladderflow.Task]bool{}, failures: map[ladderflow.Task]map[int]bool{}, cancelled: map[string]bool{},
		shown: map[string]shownEnd{}, crashers: map[ladderflow.Task]time.Duration{}, crashes: map[ladderflow.Task]*taskCrashes{}, steps: steps, starts: starts,
	}
	sim.clock = ladderclock.NewManual(sim.now)
	sim.store = &flowStore{store: ladderstand.NewStore(sim.clock), out: sim.storeOut}
	sim.journal = ladderjournal.New(sim.store)
	for i := range 3 {
		sim.workers = append(sim.workers, newFlowWorker(fmt.Sprintf("w%d", i), sim.now, stopTime))
	}
	sim.elect()
	return sim
}

// baseFleet returns a configuration with one queue and no teams.
func (sim *flowSimulation) baseFleet() *ladderflow.FleetConfig {
	return &ladderflow.FleetConfig{Version: 1, Queues: []ladderflow.Queue{{
		Name: flowQueue, Service: "s", MaxFailures: flowMaxAttempts, ObjectiveFactor: 2, BaseObjective: time.Second,
	}}}
}

// listedWorkers returns the workers as the platform's store lists them.
func (sim *flowSimulation) listedWorkers() []ladderflow.Worker {
	var list []ladderflow.Worker
	for _, w := range sim.workers {
		list = append(list, ladderflow.Worker{ID: w.id, Service: "s", Capacity: w.listed, Incarnation: w.incarnation})
	}
	return list
}

// elect makes a new leader and restores its state from the store. The previous leader is
// not informed and acts for up to flowFormerLeaderTime longer. At most three leaders are
// kept. There is no election while the store takes nothing.
func (sim *flowSimulation) elect() {
	if sim.storeOut() {
		return
	}
	for _, l := range sim.leaders {
		if l.actsUntil.IsZero() {
			l.actsUntil, l.confirmedUntil = sim.now.Add(flowFormerLeaderTime), sim.now.Add(flowConfirmedTime)
		}
	}
	o := sim.store.store.Txn(platform.Txn{Writes: []platform.Write{{Key: ladderjournal.LeaderKey, Value: []byte("vm")}}})
	c, err := sim.journal.Load(context.Background())
	if err != nil {
		sim.t.Fatal(err)
	}
	l := &flowLeader{
		fence: o.Revision, cancelled: map[string]bool{}, progress: sim.journal.ProgressWriter(o.Revision, c),
		seen: map[seenRun]bool{}, crashes: map[ladderflow.Task]*leaderCrashes{},
	}
	l.progress.Sequential()
	sim.restoreCrashes(l)
	options := ladderplan.Options{
		Fence: l.fence, LeaseDuration: flowWorkerLease, MaxLeaseDuration: flowMaxWorkerLease, ElectedAt: sim.now, EarlierLeaderTimeout: flowFormerLeaderTime,
		EarlierLeaseEnd: sim.now.Add(flowConfirmedTime), StopTimeout: time.Second,
		JobRetention: time.Hour, RemoteFactor: 2, Log: ladderlog.Discard().Component("plan"),
	}
	if sim.gangs != nil {
		setGangTimeout(&options)
	}
	l.planner = ladderplan.New(options)
	l.planner.SetFleet(sim.firstFleet(l))
	for _, j := range c.Jobs {
		l.planner.AddJob(sim.now, j, true)
	}
	for _, r := range c.Records {
		l.planner.Restore(sim.now, r)
	}
	for _, id := range c.Cancelled {
		l.planner.Cancel(sim.now, id)
		l.cancelled[id] = true
	}
	roster := map[string]bool{}
	for _, w := range sim.listedWorkers() {
		l.planner.AddEarlierWorker(sim.storedWorker(w))
		roster[w.ID] = true
	}
	sim.restoreCordons(l, c)
	l.planner.SetRoster(roster)
	l.planner.SetWorkers(sim.now, sim.listedWorkers())
	sim.leaders = append(sim.leaders, l)
	sim.tracef("leader %d elected, records %v", l.fence, c.Records)
	if len(sim.leaders) > 3 {
		sim.leaders = sim.leaders[1:]
	}
}

// newest returns the current leader.
func (sim *flowSimulation) newest() *flowLeader { return sim.leaders[len(sim.leaders)-1] }

// leader draws the current leader or a former one.
func (sim *flowSimulation) leader(t *rapid.T) *flowLeader {
	return rapid.SampledFrom(sim.leaders).Draw(t, "leader")
}

// confidence returns how certain the VM is that it is the leader.
func (l *flowLeader) confidence(now time.Time) ladderplan.Confidence {
	switch {
	case l.superseded || l.planner.Superseded() || !l.actsUntil.IsZero() && !now.Before(l.actsUntil):
		return ladderplan.LeadershipNone
	case l.actsUntil.IsZero() || now.Before(l.confirmedUntil):
		return ladderplan.LeadershipConfirmed
	}
	return ladderplan.LeadershipProbable
}

// crash restarts a worker under the same ID, at any time. Orders in transit stay so, and may arrive at
// the new incarnation, which knows no fencing token.
func (sim *flowSimulation) crash(w *flowWorker) {
	sim.tracef("worker %s restarted, running %v", w.id, w.running)
	sim.recordCrash(w)
	w.restart(sim.now)
}

// reaches reports whether a call that is meant for an incarnation of a worker reaches it. Connections
// are bound to an incarnation, and zero stands for any.
func (w *flowWorker) reaches(incarnation int64) bool {
	return incarnation == 0 || incarnation == w.incarnation
}

// plan lets a leader plan and puts its orders in transit.
func (sim *flowSimulation) plan(l *flowLeader) {
	sim.noticeCrashes()
	l.planner.SetStoreServing(sim.now, !sim.storeOut())
	sim.gangs.planned(l, sim.now)
	o := l.planner.Plan(sim.now, sim.now, l.confidence(sim.now))
	sim.checkPlan(l, o.Starts)
	for i := range o.Starts {
		s := &o.Starts[i]
		sim.assignment(l, sim.workerByID(s.Worker.ID)).guard.StartSent()
		sim.checkStartAfterCrashes(l, s.Run.Task)
		if l.cancelled[s.Run.Task.Job] {
			sim.t.Fatalf("start of task %v ordered after its leader received the cancellation", s.Run.Task)
		}
		sim.orders = append(sim.orders, &order{from: l, start: s, sent: sim.now})
	}
	for i := range o.Stops {
		sim.orders = append(sim.orders, &order{from: l, stop: &o.Stops[i], sent: sim.now})
	}
}

// deliver applies an order at the worker, and returns the reply to the sender if answered.
func (sim *flowSimulation) deliver(o *order, answered bool) {
	var r ladderplan.Result
	defer func() { o.delivered = true }()
	switch {
	case o.start != nil:
		w := sim.workerByID(o.start.Worker.ID)
		if !w.reaches(o.start.Incarnation) {
			sim.tracef("start %v by leader %d on %s: the worker has restarted", o.start.Run, o.from.fence, w.id)
			sim.settle(o, ladderplan.Result{Unsent: !o.delivered, Unknown: o.delivered})
			return
		}
		began, refusal := w.start(sim.now, o.from.fence, o.start.Run, sim.size(o.start.Run.Task), o.start.LeaseUntil)
		if began {
			*sim.starts++
			sim.checkStart(o.start.Run)
			sim.checkCapacity(o)
			sim.checkQuota(o)
			sim.checkStartAfterShown(o)
		}
		r.Refusal, r.Clock = refusal, w.clock(sim.now)
		sim.tracef("start %v by leader %d on %s: began %v, %q, answered %v", o.start.Run, o.from.fence, w.id, began, refusal, answered)
	default:
		r.Refusal = sim.workerByID(o.stop.Worker.ID).stop(sim.now, o.from.fence, o.stop.Run)
		sim.tracef("stop %v by leader %d on %s: %q, answered %v", o.stop.Run, o.from.fence, o.stop.Worker.ID, r.Refusal, answered)
	}
	if answered {
		sim.settle(o, r)
	}
}

// settle passes the result of an order to its sender. Later results are ignored.
func (sim *flowSimulation) settle(o *order, r ladderplan.Result) {
	if o.settled {
		return
	}
	o.settled = true
	if o.start != nil {
		if r == (ladderplan.Result{Clock: r.Clock}) {
			w := sim.workerByID(o.start.Worker.ID)
			o.from.seen[seenRun{w, w.incarnation, o.start.Run}] = true
		}
		o.from.planner.StartSettled(sim.now, o.start.Worker.ID, o.start.Run, r)
		sim.assignment(o.from, sim.workerByID(o.start.Worker.ID)).startSettled(sim.now, r)
	} else {
		o.from.planner.StopSettled(sim.now, o.stop.Worker.ID, o.stop.Run, r)
	}
}

// size returns the resource demand of a task.
func (sim *flowSimulation) size(t ladderflow.Task) ladderflow.Size {
	for _, j := range sim.jobs {
		if j.ID == t.Job {
			return j.Steps[t.Step].Need
		}
	}
	return ladderflow.Size{}
}

// gang reports whether a task belongs to a gang.
func (sim *flowSimulation) gang(t ladderflow.Task) bool {
	for _, j := range sim.jobs {
		if j.ID == t.Job {
			return j.Steps[t.Step].Gang
		}
	}
	return false
}

// poll lets a leader poll a worker and receive its status report.
func (sim *flowSimulation) poll(l *flowLeader, w *flowWorker) {
	next, ok := l.planner.NextPoll(sim.now, w.id)
	if !ok {
		return
	}
	if !w.reaches(next.Incarnation) {
		sim.tracef("poll of %s by leader %d: the worker has restarted", w.id, l.fence)
		l.planner.PollFailed(w.id, false)
		return
	}
	sim.acknowledgeUpTo(w, l.fence, next.Acknowledged)
	status, ok := w.status(sim.now, l.fence, next.Acknowledged, next.LeaseUntil)
	if !ok {
		l.planner.PollFailed(w.id, true)
		return
	}
	sim.gangs.polled(l, w, sim.now)
	sim.tracef("poll of %s by leader %d: until %v, running %v, ended %v", w.id, l.fence, next.LeaseUntil, status.Running, status.Ended)
	sim.receive(l, w, sim.now, status)
}

// receive passes a status report to a leader. It was requested at sent.
func (sim *flowSimulation) receive(l *flowLeader, w *flowWorker, sent time.Time, status ladderflow.StatusReport) {
	for _, r := range status.Running {
		l.seen[seenRun{w, status.Incarnation, r.Run}] = true
	}
	l.planner.RecordReport(sim.now, w.id, sent, status)
}

// acknowledgeUpTo records the ends that a poll acknowledges, if the worker accepts the
// poll's fencing token.
func (sim *flowSimulation) acknowledgeUpTo(w *flowWorker, fence, acknowledged int64) {
	for _, e := range w.ended {
		if fence >= w.fence && e.Sequence <= acknowledged {
			sim.tracef("acknowledged to %s by leader %d: %v", w.id, fence, e)
			sim.acknowledge(e)
		}
	}
}

// acknowledge records an acknowledged end for the checks.
func (sim *flowSimulation) acknowledge(e ladderflow.EndedRun) {
	key := e.Run.Task
	if sim.gang(key) {
		key.Index = 0
	}
	switch e.Reason {
	case ladderflow.EndDone:
		sim.acknowledgedDone[key] = true
	case ladderflow.EndFailed:
		if sim.acknowledgedFailures[key] == nil {
			sim.acknowledgedFailures[key] = map[int]bool{}
		}
		sim.acknowledgedFailures[key][e.Run.Number] = true
	default: // Other ends are neither a success nor a failure of the task.
	}
}

// commit lets a leader store its changed records. The parameter outcome is a value of
// flowStore.nextCommit.
func (sim *flowSimulation) commit(l *flowLeader, outcome int) {
	sim.noticeCrashes()
	b := l.planner.NextBatch()
	if b.Empty() {
		return
	}
	var missing []ladderplan.Record
	var err error
	if len(b.Records) > 0 {
		// Each record has a transaction of its own, and the outcome is that of one of them.
		slices.SortFunc(b.Records, func(a, b ladderplan.Record) int { return strings.Compare(a.Job, b.Job) })
		sim.commits++
		sim.store.nextCommit, sim.store.before = outcome, sim.commits%len(b.Records)
		missing, err = l.progress.Commit(context.Background(), b.Records, 1)
		sim.store.nextCommit, sim.store.before = 0, 0
	}
	switch {
	case errors.Is(err, ladderjournal.ErrSuperseded):
		l.superseded = true
		l.planner.BatchNotStored(b, missing)
	case err != nil:
		l.planner.BatchNotStored(b, missing)
	default:
		l.planner.BatchStored(b)
		sim.storeCrashes(l)
	}
}
