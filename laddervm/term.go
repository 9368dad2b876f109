package laddervm

import (
	"context"
	"errors"
	"time"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderjournal"
	"lacewingladder/ladderlog"
	"lacewingladder/laddermessage"
	"lacewingladder/ladderplan"
	"lacewingladder/platform"
)

const (
	// holdTime is how long a worker's lease lasts from each look. It outlasts a
	// takeover (the lease of the leader, the reading of the store and one look) and
	// frees the tasks of a worker that is gone for good as soon as that allows.
	maxWorkerLease = 5 * time.Second
	// outageTime is for how long a leader whose lease may have ended goes on while
	// the store answers neither it nor any peer: nobody can have won the lead since.
	// A next leader waits that long for workers that it can't reach.
	outageGrace = 4 * time.Second
	// planGap is the least time between two plans, in which events gather, and longGap
	// the most. Between them a plan is followed by planRest times its own time, so
	// that a large fleet does not take the leader's whole processor for planning.
	minPlanPause    = 2 * time.Millisecond
	maxPlanPause    = 80 * time.Millisecond
	planPauseFactor = 3
	// turnTime is the longest time between two plans: some things become due by
	// time alone, such as lapsed leases and rounds.
	maxPlanInterval = 60 * time.Millisecond
	// loadRetry is the time to the next try to read the store at a takeover.
	loadRetryInterval = 60 * time.Millisecond
	// catchUpTime is the time between looks at the store for jobs and cancellations
	// of which the leader was not told.
	catchUpInterval = 700 * time.Millisecond
	// inboxSize bounds the events that wait for the control goroutine.
	inboxSize = 4096
)

// term is the time during which this VM leads. The planner belongs to the goroutine
// of run; all else reaches it through do.
type term struct {
	vm      *VM
	log     *ladderlog.Logger
	lease   *lease
	fence   int64
	began   time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	inbox   chan func()
	planner *ladderplan.Planner
	// hold is how long a worker's lease lasts from each look. It stays as it is for the
	// whole term, also when the settings change.
	workerLease time.Duration
	// gap is the time to the next plan.
	planPause time.Duration
	// loaded is true once the planner knows what the store holds.
	loaded  bool
	pollers map[string]*poller
	// links lead to the delegates, by their lives, and spurned holds until when a VM is
	// none after it has failed as one.
	delegates     map[string]*delegateClient
	excludedUntil map[string]time.Time
	saver         saver
	// slots bounds the orders under way, and orders is the usual time of an answer.
	orderSlots   chan struct{}
	orderLatency typicalLatency
	// progress writes records, and rosterProgress the list of workers in use; each
	// is used by one goroutine at a time.
	progress       *ladderjournal.Progress
	rosterProgress *ladderjournal.Progress
	wallClock      filteredClock
	roster         map[string]bool
	// waves holds the numbers of the waves that this term carries out.
	waves map[int64]bool
	// rostering is true while the list of workers in use is being stored.
	savingRoster bool
}

func newTerm(ctx context.Context, v *VM, lease *lease, fence int64, began time.Time) *term {
	t := &term{
		vm: v, log: v.logs.Limited("term", v.clock), lease: lease, fence: fence, began: began,
		inbox: make(chan func(), inboxSize), orderSlots: make(chan struct{}, maxOrders),
		pollers: map[string]*poller{}, delegates: map[string]*delegateClient{}, excludedUntil: map[string]time.Time{}, roster: map[string]bool{}, waves: map[int64]bool{},
	}
	t.ctx, t.cancel = context.WithCancel(ctx)
	b := v.bounds.Load()
	t.workerLease = min(maxWorkerLease, b.LongestHold)
	t.planner = ladderplan.New(ladderplan.Options{
		Fence: fence, Hold: t.workerLease, Longest: b.LongestHold,
		Elected: began, Former: leaderLease + outageGrace,
		MaxUnanswered: maxOrders, StopTime: b.StopTime, Remembered: b.Remembered, Remote: b.Remote,
		Log: v.logs.Limited("plan", v.clock),
	})
	t.planner.SetFleet(v.fleet.Load())
	return t
}

// do runs a function on the control goroutine. It is dropped once the term is over.
func (t *term) do(f func()) {
	select {
	case t.inbox <- f:
	case <-t.ctx.Done():
	}
}

// call runs a function on the control goroutine and waits for it.
func (t *term) call(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	select {
	case t.inbox <- func() { f(); close(done) }:
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

// right says what the VM may order as the leader. The fences of the workers guard what
// is decided here by a clock.
func (t *term) confidence() ladderplan.Right {
	left := t.lease.remaining()
	switch {
	case t.ctx.Err() != nil:
		return ladderplan.NoRight
	case left > 0:
		return ladderplan.Sure
	case left > -outageGrace && t.vm.storeCarrier.unavailable():
		return ladderplan.Likely
	}
	return ladderplan.NoRight
}

// rightLeft returns for how long the VM may certainly still order as the leader, or, while
// the store is out, as far as can be told.
func (t *term) authorityRemaining() time.Duration {
	switch t.confidence() {
	case ladderplan.Sure:
		return t.lease.remaining()
	case ladderplan.Likely:
		return t.lease.remaining() + outageGrace
	case ladderplan.NoRight:
	}
	return 0
}

// run is the control goroutine.
func (t *term) run() {
	go t.load()
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
		if t.planner.Deposed() {
			t.vm.leadership.endTerm(t, "a worker obeys a newer leader")
			return
		}
	}
}

// drain runs the events that wait, and those that come within a short time.
func (t *term) gatherEvents() {
	gap := t.vm.clock.After(t.planPause)
	for {
		select {
		case f := <-t.inbox:
			f()
		case <-gap:
			return
		case <-t.ctx.Done():
			return
		}
	}
}

// plan lets the planner decide and sends out what it orders.
func (t *term) plan() {
	if !t.loaded {
		return
	}
	now := t.vm.clock.Now()
	t.planner.SetVMs(t.vmNames())
	o := t.planner.Plan(now, t.wallClock.now(now), t.confidence())
	t.vm.stats.planTime.UpdateDuration(now)
	t.planPause = min(max(minPlanPause, planPauseFactor*t.vm.clock.Now().Sub(now)), maxPlanPause)
	t.sendOrders(o)
	t.save()
}

// vmNames returns the names of all VMs that can ask for advice.
func (t *term) vmNames() []string {
	names := []string{t.vm.settings.Name}
	for _, p := range t.vm.registry.others() {
		names = append(names, p.name)
	}
	return names
}

// load reads the store, and then follows it.
func (t *term) load() {
	var c *ladderjournal.Contents
	var list []ladderflow.Worker
	for c == nil {
		var err error
		if c, err = t.vm.journal.Load(t.ctx); err == nil {
			list, err = t.readWorkers()
		}
		if err == nil {
			break
		}
		c = nil
		t.log.Warn("store can not be read", "err", err)
		select {
		case <-t.ctx.Done():
			return
		case <-t.vm.clock.After(loadRetryInterval):
		}
	}
	for _, fault := range c.Faults {
		t.log.Error("stored value is passed over", "err", fault)
	}
	t.do(func() { t.applyContents(c, list) })
	go follow(t.ctx, t.vm, platform.WorkerPrefix, t.workerFollower())
	go follow(t.ctx, t.vm, ladderjournal.WatchPrefix, follower{
		reset:  func(items []platform.Item, _ int64) { t.applyChanges(items) },
		change: t.applyChanges, pause: catchUpInterval,
	})
}

// takeOver gives the planner what the store holds.
func (t *term) applyContents(c *ladderjournal.Contents, list []ladderflow.Worker) {
	now := t.vm.clock.Now()
	t.progress = t.vm.journal.Progress(t.fence, c)
	t.rosterProgress = t.vm.journal.Progress(t.fence, c)
	for _, j := range c.Jobs {
		t.planner.AddJob(now, j, true)
	}
	for _, r := range c.Records {
		t.planner.Restore(now, r)
	}
	for _, id := range c.Cancelled {
		t.planner.Cancel(now, id)
	}
	for _, w := range c.Roster {
		t.planner.Inherit(w)
		t.roster[w.ID] = true
	}
	t.planner.SetRoster(t.roster)
	t.loaded = true
	t.setWorkers(list)
	t.startWaves()
	t.log.Info("store is read", "jobs", len(c.Jobs), "records", len(c.Records), "cancelled", len(c.Cancelled),
		"roster", len(c.Roster), "workers", len(list), "took", now.Sub(t.began).Round(time.Millisecond))
}

// takeChanges gives the planner jobs and cancellations of which it may not know.
func (t *term) applyChanges(items []platform.Item) {
	c := ladderjournal.Changes(items)
	for _, fault := range c.Faults {
		t.log.Error("stored value is passed over", "err", fault)
	}
	t.do(func() {
		now := t.vm.clock.Now()
		for _, j := range c.Jobs {
			t.planner.AddJob(now, j, false)
		}
		for _, id := range c.Cancelled {
			t.planner.Cancel(now, id)
		}
	})
}

// answer answers a peer's message as the leader.
func (t *term) answer(ctx context.Context, m laddermessage.Message) (laddermessage.Message, error) {
	switch m := m.(type) {
	case laddermessage.Accepted:
		job, err := ladderjournal.DecodeJob(m.Job, m.Body)
		if err != nil {
			return nil, err
		}
		t.do(func() { t.planner.AddJob(t.vm.clock.Now(), job, false) })
		return laddermessage.Done{}, nil
	case laddermessage.Cancelled:
		return t.query(ctx, func() laddermessage.Message {
			t.planner.Cancel(t.vm.clock.Now(), m.Job)
			return t.state(m.Job)
		}), nil
	case laddermessage.StateOf:
		return t.query(ctx, func() laddermessage.Message { return t.state(m.Job) }), nil
	case laddermessage.Count:
		return t.query(ctx, func() laddermessage.Message {
			return laddermessage.Counted{Pending: t.planner.Pending(m.Queue)}
		}), nil
	case laddermessage.Tell:
		return t.query(ctx, func() laddermessage.Message { return t.answerOperator(m) }), nil
	}
	return nil, errors.New("the message is not for a leader")
}

// ask computes an answer on the control goroutine.
func (t *term) query(ctx context.Context, f func() laddermessage.Message) laddermessage.Message {
	var m laddermessage.Message = laddermessage.NotLeading{}
	t.call(ctx, func() {
		if t.loaded {
			m = f()
		}
	})
	return m
}

func (t *term) state(id string) laddermessage.Message {
	v := t.planner.View(t.vm.clock.Now(), id)
	return laddermessage.StateIs{Known: v.Known, State: string(v.State)}
}
