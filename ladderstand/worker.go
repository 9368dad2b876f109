package ladderstand

import (
	"sort"
	"sync"
	"time"

	"lacewingladder/ladderclock"
	"lacewingladder/laddermodel"
)

// endedMemory is how long a worker remembers tasks that ended.
const endedMemory = time.Minute

// Spec is what a worker is.
type Spec struct {
	Name   string
	Region string
	Zone   string
	Rack   string
	Size   laddermodel.Size
	// Boot identifies the run of the worker's process.
	Boot uint64
	// Lag is how far reports are behind.
	Lag time.Duration
}

// Start is a start as a worker receives it.
type Start struct {
	Task   string
	Member string
	Class  string
	Kind   laddermodel.Kind
	Size   laddermodel.Size
	Lease  time.Duration
	Boot   uint64
	Epoch  uint64
	Until  time.Duration
	Body   []byte
}

// ClaimState is a worker's answer about its claim.
type ClaimState struct {
	Granted bool
	Holder  string
	Epoch   uint64
	Age     time.Duration
	Until   time.Duration
	Left    time.Duration
	Leaving bool
	Report  Snapshot
}

// Snapshot is a worker's report.
type Snapshot struct {
	Epoch uint64
	At    time.Duration
	// Version changes whenever a task begins or ends.
	Version uint64
	// Same is true when Running is left out, since the holder has this version.
	Same    bool
	Running []Start
	Ended   []EndedTask
}

// EndedTask is a task that ended.
type EndedTask struct {
	Task    string
	Kind    laddermodel.Kind
	At      time.Duration
	Failed  bool
	Stopped bool
	Body    []byte
}

// Worker is the state machine of a stand-in worker. It is safe for concurrent
// use.
type Worker struct {
	spec  Spec
	clock ladderclock.Clock
	born  time.Time

	mu        sync.Mutex
	holder    string
	epoch     uint64
	until     time.Duration
	released  bool
	leaving   bool
	version   uint64
	running   map[string]*task
	ended     map[string]EndedTask
	revoked   map[string]time.Duration
	used      laddermodel.Size
	snapshots []Snapshot
	records   []Record
	over      int
}

// task is a running task.
type task struct {
	start   Start
	expires time.Duration
	stop    chan struct{}
}

// NewWorker returns a worker whose boot time is the clock's present time.
func NewWorker(clock ladderclock.Clock, spec Spec) *Worker {
	return &Worker{
		spec: spec, clock: clock, born: clock.Now(),
		version: 1, running: map[string]*task{}, ended: map[string]EndedTask{}, revoked: map[string]time.Duration{},
	}
}

// Spec returns what the worker is.
func (w *Worker) Spec() Spec { return w.spec }

// age returns the worker's own clock: the time since its boot.
func (w *Worker) age() time.Duration { return w.clock.Now().Sub(w.born) }

// Claim grants, renews or refuses the claim on the worker.
func (w *Worker) Claim(holder string, lease, since time.Duration, version uint64) ClaimState {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.tick()
	free := w.holder == "" || w.released || now > w.until
	switch {
	case w.holder == holder && !w.released:
		w.until = now + lease
	case free:
		w.holder, w.released = holder, false
		w.epoch++
		w.until = now + lease
		w.record(Record{Event: EventClaim, Holder: holder, Epoch: w.epoch})
		w.snapshot(now)
	}
	if w.holder == holder {
		w.renewTasks(now)
	}
	return w.state(now, holder, since, version)
}

// Release gives the claim up when holder has it.
func (w *Worker) Release(holder string) ClaimState {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.tick()
	if w.holder == holder {
		w.released = true
	}
	s := w.state(now, holder, now, 0)
	s.Granted, s.Left = false, 0
	return s
}

// renewTasks prolongs the leases of jobs' tasks. Urgent tasks keep the lease
// with which they began.
func (w *Worker) renewTasks(now time.Duration) {
	for _, t := range w.running {
		if t.start.Kind != laddermodel.Urgent {
			t.expires = now + t.start.Lease
		}
	}
}

func (w *Worker) state(now time.Duration, holder string, since time.Duration, version uint64) ClaimState {
	s := ClaimState{
		Granted: w.holder == holder && !w.released, Holder: w.holder, Epoch: w.epoch, Age: now,
		Until: w.until, Left: max(0, w.until-now), Leaving: w.leaving,
	}
	if s.Granted {
		s.Report = w.report(now, since, version)
	}
	return s
}

// report returns the newest snapshot that is as old as the worker's lag, without
// what the holder has already.
func (w *Worker) report(now, since time.Duration, version uint64) Snapshot {
	if w.spec.Lag == 0 {
		w.snapshots = nil
		w.snapshot(now)
	}
	var s Snapshot
	for _, old := range w.snapshots {
		if old.At <= now-w.spec.Lag {
			s = old
		}
	}
	if version != 0 && s.Version == version && s.Epoch == w.epoch {
		s.Same, s.Running = true, nil
	}
	for _, e := range w.ended {
		if e.Kind != laddermodel.Urgent && e.At > since && e.At <= s.At {
			s.Ended = append(s.Ended, e)
		}
	}
	sort.Slice(s.Ended, func(i, j int) bool { return s.Ended[i].Task < s.Ended[j].Task })
	return s
}

// snapshot remembers what runs now, for a later report.
func (w *Worker) snapshot(now time.Duration) {
	s := Snapshot{Epoch: w.epoch, At: now, Version: w.version}
	for _, t := range w.running {
		s.Running = append(s.Running, t.start)
	}
	sort.Slice(s.Running, func(i, j int) bool { return s.Running[i].Task < s.Running[j].Task })
	w.snapshots = append(w.snapshots, s)
	for len(w.snapshots) > 1 && w.snapshots[1].At <= now-w.spec.Lag {
		w.snapshots = w.snapshots[1:]
	}
}

// Refusal says why a worker did not accept a start. The empty refusal accepts.
type Refusal string

// The refusals of a start.
const (
	Accepted      Refusal = ""
	RefuseFenced  Refusal = "fenced"
	RefuseLeaving Refusal = "leaving"
	RefuseRevoked Refusal = "revoked"
	RefuseKnown   Refusal = "known"
)

// Start accepts a start that its grant covers. Stop is closed when the task must
// end early. Size is not checked: what does not fit is accepted and recorded.
func (w *Worker) Start(s Start) (stop <-chan struct{}, refused Refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.tick()
	if why := w.refuse(now, s); why != Accepted {
		w.record(fromStart(EventRefuse, s, string(why)))
		return nil, why
	}
	t := &task{start: s, expires: now + s.Lease, stop: make(chan struct{})}
	w.running[s.Task] = t
	w.version++
	w.used = w.used.Add(s.Size)
	r := fromStart(EventStart, s, "")
	r.Over = !w.used.Fits(w.spec.Size)
	if r.Over {
		w.over++
	}
	w.record(r)
	return t.stop, Accepted
}

func (w *Worker) refuse(now time.Duration, s Start) Refusal {
	_, runs := w.running[s.Task]
	_, ended := w.ended[s.Task]
	_, revoked := w.revoked[s.Task]
	switch {
	case revoked:
		return RefuseRevoked
	case runs || ended:
		return RefuseKnown
	case s.Boot != w.spec.Boot || s.Epoch != w.epoch || now > s.Until || w.released:
		return RefuseFenced
	case w.leaving:
		return RefuseLeaving
	}
	return Accepted
}

// End records that a task ended by itself. It is false when the task was stopped
// before.
func (w *Worker) End(name string, failed bool, body []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.tick()
	t, ok := w.running[name]
	if !ok {
		return false
	}
	w.finish(now, t, EndedTask{Failed: failed, Body: body})
	return true
}

// Revoke makes sure that a task does not run any more. It returns never, stopped
// or ended, and for the last what the task came to. When the task was sent to
// another run of the worker's process it returns restarted: the task may have run
// there. Boot is zero when the sender does not know it.
func (w *Worker) Revoke(name string, boot uint64) (string, EndedTask) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.tick()
	if boot != 0 && boot != w.spec.Boot {
		return "restarted", EndedTask{}
	}
	if e, ok := w.ended[name]; ok {
		if e.Stopped {
			return "stopped", e
		}
		return "ended", e
	}
	w.revoked[name] = now
	t, ok := w.running[name]
	if !ok {
		w.record(Record{Event: EventRevoke, Task: name})
		return "never", EndedTask{}
	}
	w.finish(now, t, EndedTask{Stopped: true})
	return "stopped", EndedTask{}
}

// Checkpoint records that a task's work was saved and returns the task's state.
func (w *Worker) Checkpoint(name string) string {
	state := w.Look(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	if t, ok := w.running[name]; ok {
		w.record(fromStart(EventCheckpoint, t.start, ""))
	}
	return state
}

// Throttle lowers a running task to fewer millicores. It is false when the task
// does not run, or has no more than that.
func (w *Worker) Throttle(name string, millicores int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tick()
	t, ok := w.running[name]
	if !ok || millicores <= 0 || millicores >= t.start.Size.Millicores {
		return false
	}
	w.used.Millicores -= t.start.Size.Millicores - millicores
	t.start.Size.Millicores = millicores
	w.version++
	w.record(fromStart(EventThrottle, t.start, ""))
	return true
}

// Look returns never, running, stopped or ended.
func (w *Worker) Look(name string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tick()
	if _, ok := w.running[name]; ok {
		return "running"
	}
	e, ok := w.ended[name]
	switch {
	case !ok:
		return "never"
	case e.Stopped:
		return "stopped"
	}
	return "ended"
}

// SetLeaving makes the worker refuse new work, or accept it again.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if leaving && !w.leaving {
		w.record(Record{Event: EventLeave})
	}
	w.leaving = leaving
}

// Over returns how many starts went beyond the worker's size.
func (w *Worker) Over() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.over
}

// Records returns what the worker was given, in order.
func (w *Worker) Records() []Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tick()
	return append([]Record(nil), w.records...)
}

// tick stops tasks whose leases lapsed and forgets old ones. It returns the
// worker's time.
func (w *Worker) tick() time.Duration {
	now := w.age()
	for _, t := range w.running {
		if now > t.expires {
			w.finish(now, t, EndedTask{Stopped: true})
		}
	}
	for name, e := range w.ended {
		if now-e.At > endedMemory {
			delete(w.ended, name)
		}
	}
	for name, at := range w.revoked {
		if now-at > endedMemory {
			delete(w.revoked, name)
		}
	}
	if w.spec.Lag > 0 {
		w.snapshot(now)
	}
	return now
}

func (w *Worker) finish(now time.Duration, t *task, e EndedTask) {
	name := t.start.Task
	delete(w.running, name)
	w.version++
	w.used = w.used.Sub(t.start.Size)
	e.Task, e.Kind, e.At = name, t.start.Kind, now
	w.ended[name] = e
	event := EventEnd
	if e.Stopped {
		event = EventStop
		close(t.stop)
	}
	r := fromStart(event, t.start, "")
	r.Failed = e.Failed
	w.record(r)
}

func (w *Worker) record(r Record) {
	r.At, r.Worker = w.clock.Now(), w.spec.Name
	w.records = append(w.records, r)
}

func fromStart(e Event, s Start, why string) Record {
	return Record{
		Event: e, Task: s.Task, Member: s.Member, Class: s.Class, Kind: s.Kind, Size: s.Size,
		Epoch: s.Epoch, Reason: why,
	}
}
