package ladderproof

import (
	"context"
	"errors"
	"fmt"
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
	flowHold = 5 * time.Second
	// flowLongest is to what a worker shortens a longer lease.
	flowLongest = 10 * time.Second
	// flowSure is for how long a leader that lost the lead without a word is sure that
	// it leads, and flowFormer for how long it may go on in an outage of the store.
	flowSure     = time.Second
	flowFormer   = 3 * time.Second
	flowAttempts = 2
	flowQueue    = "q"
)

var errNoAnswer = errors.New("no answer")

// flowStore is the platform's store, whose answers may be lost and whose
// transactions may take effect late.
type flowStore struct {
	store *ladderstand.Store
	// fate says what becomes of the next transaction: 0 it is answered, 1 its answer
	// is lost, 2 it takes effect late, 3 it is refused.
	fate int
	late []platform.Txn
}

func (s *flowStore) Get(_ context.Context, key string) (platform.Item, bool, error) {
	item, ok, _ := s.store.Get(key)
	return item, ok, nil
}

func (s *flowStore) Range(_ context.Context, prefix, after string) (platform.Page, error) {
	return s.store.Range(prefix, after, 500), nil
}

func (s *flowStore) Commit(_ context.Context, t platform.Txn) (int64, []platform.Item, error) {
	fate := s.fate
	s.fate = 0
	switch fate {
	case 1:
		s.store.Txn(t)
		return 0, nil, errNoAnswer
	case 2:
		s.late = append(s.late, t)
		return 0, nil, errNoAnswer
	case 3:
		return 0, nil, platform.ErrRefused
	}
	o := s.store.Txn(t)
	if !o.Done {
		return 0, o.Found, platform.ErrChanged
	}
	return o.Revision, nil, nil
}

// order is a start or a stop on its way to a worker.
type order struct {
	from  *flowLeader
	start *ladderplan.StartOrder
	stop  *ladderplan.StopOrder
	// settled is true once the sender has had an answer or has given up.
	settled bool
}

// flowLeader is a VM that leads, or believes that it does.
type flowLeader struct {
	fence    int64
	planner  *ladderplan.Planner
	progress *ladderjournal.Progress
	// until is when the VM stops ordering by its own clock; zero is never.
	until time.Time
	sure  time.Time
	// cancelled holds the cancellations that it has heard of.
	cancelled map[string]bool
	deposed   bool
}

// flowWorld plays leaders, workers and the store, with every message in its hands.
type flowWorld struct {
	t       *rapid.T
	now     time.Time
	clock   *ladderclock.Manual
	store   *flowStore
	journal *ladderjournal.Journal
	workers []*flowWorker
	leaders []*flowLeader
	orders  []*order
	charges []*flowCharge
	jobs    []*ladderflow.Job
	// done holds the tasks that ended well where that end was noted, and failed the
	// noted failures of each.
	done      map[ladderflow.Task]bool
	failed    map[ladderflow.Task]map[int]bool
	well      map[ladderflow.Task]bool
	cancelled map[string]bool
	steps     *int
	starts    *int
	trace     []string
}

// tracef adds a line to the trace that a failure prints.
func (w *flowWorld) tracef(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%v ", w.now.Sub(time.UnixMilli(1_000_000)))+fmt.Sprintf(format, args...))
}

// fail ends the test with what was traced of a job.
func (w *flowWorld) fail(job, format string, args ...any) {
	for _, line := range w.trace {
		if strings.Contains(line, job) || !strings.Contains(line, "{0") {
			w.t.Log(line)
		}
	}
	w.t.Fatalf(format, args...)
}

func newFlowWorld(t *rapid.T, steps, starts *int) *flowWorld {
	w := &flowWorld{
		t: t, now: time.UnixMilli(1_000_000), done: map[ladderflow.Task]bool{},
		failed: map[ladderflow.Task]map[int]bool{}, well: map[ladderflow.Task]bool{}, cancelled: map[string]bool{}, steps: steps, starts: starts,
	}
	w.clock = ladderclock.NewManual(w.now)
	w.store = &flowStore{store: ladderstand.NewStore(w.clock)}
	w.journal = ladderjournal.New(w.store)
	for i := range 3 {
		w.workers = append(w.workers, newFlowWorker(fmt.Sprintf("w%d", i), w.now))
	}
	w.elect()
	return w
}

func (w *flowWorld) fleet() *ladderflow.Fleet {
	return &ladderflow.Fleet{Version: 1, Queues: []ladderflow.Queue{{
		Name: flowQueue, Service: "s", Attempts: flowAttempts, Stretch: 2, Goal: time.Second,
	}}}
}

func (w *flowWorld) list() []ladderflow.Worker {
	var list []ladderflow.Worker
	for _, x := range w.workers {
		list = append(list, ladderflow.Worker{ID: x.id, Service: "s", Capacity: x.capacity, Born: x.born})
	}
	return list
}

// elect lets a new leader win, without a word to the one before, which goes on for
// as long as it may believe that it leads.
func (w *flowWorld) elect() {
	for _, l := range w.leaders {
		if l.until.IsZero() {
			l.until, l.sure = w.now.Add(flowFormer), w.now.Add(flowSure)
		}
	}
	o := w.store.store.Txn(platform.Txn{Writes: []platform.Write{{Key: ladderjournal.LeaderKey, Value: []byte("vm")}}})
	c, err := w.journal.Load(context.Background())
	if err != nil {
		w.t.Fatal(err)
	}
	l := &flowLeader{fence: o.Revision, cancelled: map[string]bool{}, progress: w.journal.Progress(o.Revision, c)}
	l.planner = ladderplan.New(ladderplan.Options{
		Fence: l.fence, Hold: flowHold, Longest: flowLongest, Elected: w.now, Former: flowFormer, StopTime: time.Second,
		Remembered: time.Hour, Remote: 2, Log: ladderlog.Discard().Part("plan"),
	})
	l.planner.SetFleet(w.fleet())
	for _, j := range c.Jobs {
		l.planner.AddJob(w.now, j, true)
	}
	for _, r := range c.Records {
		l.planner.Restore(w.now, r)
	}
	for _, id := range c.Cancelled {
		l.planner.Cancel(w.now, id)
		l.cancelled[id] = true
	}
	roster := map[string]bool{}
	for _, x := range w.list() {
		l.planner.Inherit(x)
		roster[x.ID] = true
	}
	l.planner.SetRoster(roster)
	l.planner.SetWorkers(w.now, w.list())
	w.leaders = append(w.leaders, l)
	w.tracef("elect %d, records %v", l.fence, c.Records)
	if len(w.leaders) > 3 {
		w.leaders = w.leaders[1:]
	}
}

// leader picks one of those that lead or believe to.
func (w *flowWorld) leader(t *rapid.T) *flowLeader {
	return rapid.SampledFrom(w.leaders).Draw(t, "leader")
}

func (l *flowLeader) right(now time.Time) ladderplan.Right {
	switch {
	case l.deposed || l.planner.Deposed() || !l.until.IsZero() && !now.Before(l.until):
		return ladderplan.NoRight
	case l.until.IsZero() || now.Before(l.sure):
		return ladderplan.Sure
	}
	return ladderplan.Likely
}

// crash begins a worker's new life under its id. What was on its way to the old life
// ends with it. A worker does not crash while a leader that lost the lead is sure of
// it: nothing could tell the new life that there is a newer one.
func (w *flowWorld) crash(x *flowWorker) {
	for _, l := range w.leaders {
		if !l.until.IsZero() && w.now.Before(l.sure) {
			return
		}
	}
	for i := 0; i < len(w.orders); {
		o := w.orders[i]
		if o.start != nil && o.start.Worker.ID == x.id || o.stop != nil && o.stop.Worker.ID == x.id {
			w.settle(o, ladderplan.Result{Unknown: true})
			w.orders = append(w.orders[:i], w.orders[i+1:]...)
			continue
		}
		i++
	}
	w.tracef("crash of %s", x.id)
	x.reborn(w.now)
}

func (w *flowWorld) worker(t *rapid.T) *flowWorker {
	return rapid.SampledFrom(w.workers).Draw(t, "worker")
}

func (w *flowWorld) find(id string) *flowWorker {
	for _, x := range w.workers {
		if x.id == id {
			return x
		}
	}
	return nil
}

// plan lets a leader decide. Its orders are put on their way.
func (w *flowWorld) plan(l *flowLeader) {
	o := l.planner.Plan(w.now, w.now, l.right(w.now))
	for i := range o.Starts {
		s := &o.Starts[i]
		if l.cancelled[s.Run.Task.Job] {
			w.t.Fatalf("task %v is ordered to start after its cancellation was heard", s.Run.Task)
		}
		w.orders = append(w.orders, &order{from: l, start: s})
	}
	for i := range o.Stops {
		w.orders = append(w.orders, &order{from: l, stop: &o.Stops[i]})
	}
}

// deliver lets an order take effect, with or without an answer.
func (w *flowWorld) deliver(o *order, answered bool) {
	var r ladderplan.Result
	switch {
	case o.start != nil:
		x := w.find(o.start.Worker.ID)
		began, refusal := x.start(w.now, o.from.fence, o.start.Run, w.size(o.start.Run.Task), o.start.Until)
		if began {
			*w.starts++
			w.checkStart(o.start.Run)
		}
		r.Refusal = refusal
		w.tracef("start %v by %d on %s: began %v, %q, answered %v", o.start.Run, o.from.fence, x.id, began, refusal, answered)
	default:
		r.Refusal = w.find(o.stop.Worker.ID).stop(w.now, o.from.fence, o.stop.Run)
		w.tracef("stop %v by %d on %s: %q, answered %v", o.stop.Run, o.from.fence, o.stop.Worker.ID, r.Refusal, answered)
	}
	if answered {
		w.settle(o, r)
	}
}

// settle gives a sender the answer to its order, once.
func (w *flowWorld) settle(o *order, r ladderplan.Result) {
	if o.settled {
		return
	}
	o.settled = true
	if o.start != nil {
		o.from.planner.Started(w.now, o.start.Worker.ID, o.start.Run, r)
	} else {
		o.from.planner.Stopped(w.now, o.stop.Worker.ID, o.stop.Run, r)
	}
}

func (w *flowWorld) size(t ladderflow.Task) ladderflow.Size {
	for _, j := range w.jobs {
		if j.ID == t.Job {
			return j.Steps[t.Step].Need
		}
	}
	return ladderflow.Size{}
}

func (w *flowWorld) gang(t ladderflow.Task) bool {
	for _, j := range w.jobs {
		if j.ID == t.Job {
			return j.Steps[t.Step].Gang
		}
	}
	return false
}

// checkStart holds a start against what was noted before.
func (w *flowWorld) checkStart(r ladderflow.Run) {
	key := r.Task
	if w.gang(key) {
		key.Index = 0
	}
	if w.done[key] {
		w.fail(r.Task.Job, "task %v started again after its end was noted", r.Task)
	}
	if len(w.failed[key]) >= flowAttempts {
		w.fail(r.Task.Job, "task %v started after %d noted failures", r.Task, len(w.failed[key]))
	}
}

// look lets a worker answer a look of a leader.
func (w *flowWorld) look(l *flowLeader, x *flowWorker) {
	next, ok := l.planner.Look(w.now, x.id)
	if !ok {
		return
	}
	w.noteUpTo(x, l.fence, next.Noted)
	account, ok := x.look(w.now, l.fence, next.Noted, next.Until)
	if !ok {
		l.planner.LookFailed(x.id, true)
		return
	}
	w.tracef("look at %s by %d: until %v, running %v, ended %v", x.id, l.fence, next.Until, account.Running, account.Ended)
	l.planner.Looked(w.now, x.id, w.now, account)
}

// noteUpTo takes in that a look tells a worker which ends are noted, if the worker obeys.
func (w *flowWorld) noteUpTo(x *flowWorker, fence, noted int64) {
	for _, e := range x.ended {
		if fence >= x.fence && e.Number <= noted {
			w.tracef("noted at %s by %d: %v", x.id, fence, e)
			w.note(e)
		}
	}
}

func (w *flowWorld) note(e ladderflow.EndedRun) {
	key := e.Run.Task
	if w.gang(key) {
		key.Index = 0
	}
	switch e.How {
	case ladderflow.EndDone:
		w.done[key] = true
	case ladderflow.EndFailed:
		if w.failed[key] == nil {
			w.failed[key] = map[int]bool{}
		}
		w.failed[key][e.Run.Number] = true
	default: // Other ends say nothing of the task's own work.
	}
}

// commit lets a leader store what has changed.
func (w *flowWorld) commit(l *flowLeader, fate int) {
	b := l.planner.Unsaved()
	if b.Empty() {
		return
	}
	var err error
	if len(b.Records) > 0 {
		w.store.fate = fate
		err = l.progress.Commit(context.Background(), b.Records[:min(len(b.Records), ladderjournal.MaxRecords)])
		w.store.fate = 0
	}
	switch {
	case errors.Is(err, ladderjournal.ErrDeposed):
		l.deposed = true
		l.planner.NotSaved(b)
	case err != nil || len(b.Records) > ladderjournal.MaxRecords:
		l.planner.NotSaved(b)
	default:
		l.planner.Saved(b)
	}
}

// check holds the workers against what must hold at all times.
func (w *flowWorld) check() {
	*w.steps++
	on := map[ladderflow.Task]string{}
	for _, x := range w.workers {
		x.lapse(w.now)
		if err := x.room(); err != nil {
			w.fail("", "%v", err)
		}
		for r := range x.running {
			if other, ok := on[r.Task]; ok {
				w.fail(r.Task.Job, "task %v runs on %s and %s", r.Task, other, x.id)
			}
			on[r.Task] = x.id
		}
	}
	for _, l := range w.leaders {
		for _, j := range w.jobs {
			if v := l.planner.View(w.now, j.ID); v.State == ladderflow.Done && len(w.open(j)) > 0 {
				w.fail(j.ID, "job %s is shown as done, and %v has not ended so", j.ID, w.open(j)[0])
			}
		}
	}
}

// open returns the tasks of a job that have not ended well anywhere.
func (w *flowWorld) open(j *ladderflow.Job) []ladderflow.Task {
	var list []ladderflow.Task
	for s := range j.Steps {
		for i := range j.Steps[s].Tasks {
			t := ladderflow.Task{Job: j.ID, Step: s, Index: i}
			if !w.endedWell(t) {
				list = append(list, t)
			}
		}
	}
	return list
}

// endedWell reports whether a task has ended well on some worker, whether or not that
// end was noted since.
func (w *flowWorld) endedWell(t ladderflow.Task) bool {
	if w.gang(t) {
		t.Index = 0
	}
	return w.well[t]
}
