package ladderstand

import (
	"sort"
	"sync"
	"time"

	"lacewingladder/ladderclock"
	"lacewingladder/laddermodel"
)

// endedRetention is how long a worker keeps tasks that ended or were revoked.
const endedRetention = time.Minute

// Spec describes a worker.
type Spec struct {
	Name   string
	Region string
	Zone   string
	Rack   string
	Size   laddermodel.Size
	// Boot identifies the worker's incarnation: a restarted process has another number.
	Boot uint64
	// Lag is the minimum age of the state that a report shows.
	Lag time.Duration
}

// Start is a request to start a task. Boot, Epoch and Until are the grant, under which a
// holder of the worker may start tasks.
type Start struct {
	Task   string
	Member string
	Class  string
	Kind   laddermodel.Kind
	Size   laddermodel.Size
	// Lease is how long the task may run without a renewal. Each claim call of the
	// holder renews the leases of tasks of jobs. The lease of an urgent task is never
	// renewed.
	Lease time.Duration
	// Boot is the worker's incarnation for which the grant is valid.
	Boot uint64
	// Epoch is the epoch of the claim under which the grant was made.
	Epoch uint64
	// Until is when the grant expires, on the worker's own clock.
	Until time.Duration
	Body  []byte
}

// ClaimState is the response to a call about the claim on a worker.
type ClaimState struct {
	// Granted is true if the caller has the claim.
	Granted bool
	// Holder is the entry VM that holds the claim, or held it last.
	Holder string
	// Epoch is the number of claims that the worker has granted, not counting renewals.
	Epoch uint64
	// Uptime is the time on the worker's own clock, which starts when it boots.
	Uptime time.Duration
	// Until is when the claim expires, on the worker's own clock, and Remaining how long it
	// remains valid.
	Until     time.Duration
	Remaining time.Duration
	// Leaving is true if the worker refuses new tasks.
	Leaving bool
	// Report is set if the caller has the claim.
	Report Snapshot
}

// Snapshot is a report of the tasks on a worker at one time.
type Snapshot struct {
	// Epoch is the worker's epoch at the time of the report.
	Epoch uint64
	// At is the time of the report, on the worker's own clock.
	At time.Duration
	// Version changes whenever a task starts, ends or is throttled.
	Version uint64
	// Unchanged is true if Running is omitted because the holder already has this version.
	Unchanged bool
	Running   []Start
	// Ended holds the tasks of jobs that ended since the holder's last report.
	Ended []EndedTask
}

// EndedTask is a task that ended.
type EndedTask struct {
	Task string
	Kind laddermodel.Kind
	// At is when the task ended, on the worker's own clock.
	At     time.Duration
	Failed bool
	// Stopped is true if the task was revoked or its lease expired.
	Stopped bool
	// Body is the task's answer.
	Body []byte
}

// Worker is the state of a stand-in worker: the claim on it and its tasks. It does not
// run tasks: whoever starts a task calls [Worker.End] when the task ends by itself. It
// is safe for concurrent use.
type Worker struct {
	spec  Spec
	clock ladderclock.Clock
	// bootedAt is when the worker's own clock started. All times of type time.Duration
	// below are on that clock.
	bootedAt time.Time

	mu sync.Mutex
	// holder is the entry VM that holds the claim, or held it last.
	holder string
	// epoch is the number of claims that were granted, not counting renewals.
	epoch         uint64
	claimExpires  time.Duration
	claimReleased bool
	leaving       bool
	// version increases whenever a task starts, ends or is throttled.
	version uint64
	running map[string]*runningTask
	ended   map[string]EndedTask
	// revoked holds the times at which tasks were revoked.
	revoked map[string]time.Duration
	// used is the sum of the sizes of the running tasks.
	used laddermodel.Size
	// snapshots holds the newest snapshot that is at least as old as the lag of reports,
	// and those after it.
	snapshots []Snapshot
	records   []Record
	// overCount counts the starts after which the running tasks exceeded the worker's
	// size.
	overCount int
}

// runningTask is a task that has started and not ended.
type runningTask struct {
	start Start
	// expires is when the task's lease expires.
	expires time.Duration
	// stop is closed when the task must end early.
	stop chan struct{}
}

// NewWorker returns a worker that boots at the current time of the clock, without a
// claim and without tasks.
func NewWorker(clock ladderclock.Clock, spec Spec) *Worker {
	return &Worker{
		spec: spec, clock: clock, bootedAt: clock.Now(),
		version: 1, running: map[string]*runningTask{}, ended: map[string]EndedTask{}, revoked: map[string]time.Duration{},
	}
}

// Spec returns the description of the worker.
func (w *Worker) Spec() Spec { return w.spec }

// uptime returns the time on the worker's own clock, which is the time since its boot.
func (w *Worker) uptime() time.Duration { return w.clock.Now().Sub(w.bootedAt) }

// Claim grants or renews the claim of holder on the worker for the duration lease. It
// refuses while another holder's claim is valid. An expired claim can be renewed, and
// keeps its epoch, until another holder claims the worker. The report in the response
// omits what the holder already has: tasks that ended at or before the time since, and
// the running tasks if version is still the newest.
func (w *Worker) Claim(holder string, lease, since time.Duration, version uint64) ClaimState {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	available := w.holder == "" || w.claimReleased || now > w.claimExpires
	switch {
	case w.holder == holder && !w.claimReleased:
		w.claimExpires = now + lease
	case available:
		w.holder, w.claimReleased = holder, false
		w.epoch++
		w.claimExpires = now + lease
		w.addRecord(Record{Event: EventClaim, Holder: holder, Epoch: w.epoch})
		w.takeSnapshot(now)
	}
	if w.holder == holder {
		w.renewTasks(now)
	}
	return w.claimState(now, holder, since, version)
}

// Release gives up the claim if holder has it.
func (w *Worker) Release(holder string) ClaimState {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	if w.holder == holder {
		w.claimReleased = true
	}
	s := w.claimState(now, holder, now, 0)
	s.Granted, s.Remaining = false, 0
	return s
}

// renewTasks renews the leases of the tasks of jobs. The leases of urgent tasks are
// never renewed. The caller must hold w.mu.
func (w *Worker) renewTasks(now time.Duration) {
	for _, t := range w.running {
		if t.start.Kind != laddermodel.Urgent {
			t.expires = now + t.start.Lease
		}
	}
}

// claimState returns the response to a call about the claim. The caller must hold w.mu.
func (w *Worker) claimState(now time.Duration, holder string, since time.Duration, version uint64) ClaimState {
	s := ClaimState{
		Granted: w.holder == holder && !w.claimReleased, Holder: w.holder, Epoch: w.epoch, Uptime: now,
		Until: w.claimExpires, Remaining: max(0, w.claimExpires-now), Leaving: w.leaving,
	}
	if s.Granted {
		s.Report = w.report(now, since, version)
	}
	return s
}

// report returns the newest snapshot that is at least as old as the worker's lag,
// without what the holder already has. The caller must hold w.mu.
func (w *Worker) report(now, since time.Duration, version uint64) Snapshot {
	if w.spec.Lag == 0 {
		w.snapshots = nil
		w.takeSnapshot(now)
	}
	var s Snapshot
	for _, candidate := range w.snapshots {
		if candidate.At <= now-w.spec.Lag {
			s = candidate
		}
	}
	if version != 0 && s.Version == version && s.Epoch == w.epoch {
		s.Unchanged, s.Running = true, nil
	}
	for _, e := range w.ended {
		if e.Kind != laddermodel.Urgent && e.At > since && e.At <= s.At {
			s.Ended = append(s.Ended, e)
		}
	}
	sort.Slice(s.Ended, func(i, j int) bool { return s.Ended[i].Task < s.Ended[j].Task })
	return s
}

// takeSnapshot adds a snapshot of the running tasks, and drops the snapshots that no
// report will need. The caller must hold w.mu.
func (w *Worker) takeSnapshot(now time.Duration) {
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

// Refusal is the reason why a worker refused a start, or empty if it accepted it.
type Refusal string

// The refusals of a start.
const (
	// Accepted means that the start was accepted.
	Accepted Refusal = ""
	// RefuseFenced means that the grant is of another incarnation or claim, that it has
	// expired, or that the claim was released.
	RefuseFenced Refusal = "fenced"
	// RefuseLeaving means that the worker refuses new tasks because it is about to leave.
	RefuseLeaving Refusal = "leaving"
	// RefuseRevoked means that the task was revoked.
	RefuseRevoked Refusal = "revoked"
	// RefuseDuplicate means that the task is running or has ended.
	RefuseDuplicate Refusal = "known"
)

// Start accepts a start whose grant is valid. The channel stop is closed when the task
// must end early. Start does not check the size: it accepts, records and counts a start
// after which the running tasks exceed the worker's size.
func (w *Worker) Start(s Start) (stop <-chan struct{}, refusal Refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	if reason := w.checkStart(now, s); reason != Accepted {
		w.addRecord(taskRecord(EventRefuse, s, string(reason)))
		return nil, reason
	}
	t := &runningTask{start: s, expires: now + s.Lease, stop: make(chan struct{})}
	w.running[s.Task] = t
	w.version++
	w.used = w.used.Add(s.Size)
	r := taskRecord(EventStart, s, "")
	r.OverCapacity = !w.used.Fits(w.spec.Size)
	if r.OverCapacity {
		w.overCount++
	}
	w.addRecord(r)
	return t.stop, Accepted
}

// checkStart returns why a start must be refused. The caller must hold w.mu.
func (w *Worker) checkStart(now time.Duration, s Start) Refusal {
	_, running := w.running[s.Task]
	_, ended := w.ended[s.Task]
	_, revoked := w.revoked[s.Task]
	switch {
	case revoked:
		return RefuseRevoked
	case running || ended:
		return RefuseDuplicate
	case s.Boot != w.spec.Boot || s.Epoch != w.epoch || now > s.Until || w.claimReleased:
		return RefuseFenced
	case w.leaving:
		return RefuseLeaving
	}
	return Accepted
}

// End records that a task ended by itself. It returns false if the task does not run,
// such as after it was stopped.
func (w *Worker) End(id string, failed bool, body []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	t, ok := w.running[id]
	if !ok {
		return false
	}
	w.endTask(now, t, EndedTask{Failed: failed, Body: body})
	return true
}

// Revoke stops a task if it is running, and makes the worker refuse later starts of it.
// It returns the state "ended", with the task's result, "stopped", or "never" if the
// worker does not know the task. Boot is the incarnation to which the task was sent, or
// zero if the caller does not know it. If it is another incarnation, the state is
// "restarted" and the task may have run there.
func (w *Worker) Revoke(id string, boot uint64) (string, EndedTask) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	if boot != 0 && boot != w.spec.Boot {
		return "restarted", EndedTask{}
	}
	if e, ok := w.ended[id]; ok {
		if e.Stopped {
			return "stopped", e
		}
		return "ended", e
	}
	w.revoked[id] = now
	t, ok := w.running[id]
	if !ok {
		w.addRecord(Record{Event: EventRevoke, Task: id})
		return "never", EndedTask{}
	}
	w.endTask(now, t, EndedTask{Stopped: true})
	return "stopped", EndedTask{}
}

// Checkpoint records that the work of a running task was saved, and returns the state
// of the task as [Worker.State] does.
func (w *Worker) Checkpoint(id string) string {
	state := w.State(id)
	w.mu.Lock()
	defer w.mu.Unlock()
	if t, ok := w.running[id]; ok {
		w.addRecord(taskRecord(EventCheckpoint, t.start, ""))
	}
	return state
}

// Throttle reduces a running task to fewer millicores. It returns false if the task does
// not run, if millicores is not positive, or if the task has no more than that.
func (w *Worker) Throttle(id string, millicores int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	t, ok := w.running[id]
	if !ok || millicores <= 0 || millicores >= t.start.Size.Millicores {
		return false
	}
	w.used.Millicores -= t.start.Size.Millicores - millicores
	t.start.Size.Millicores = millicores
	w.version++
	w.addRecord(taskRecord(EventThrottle, t.start, ""))
	return true
}

// State returns the state of a task: "running", "stopped", "ended", or "never" if the
// worker does not know the task.
func (w *Worker) State(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if _, ok := w.running[id]; ok {
		return "running"
	}
	e, ok := w.ended[id]
	switch {
	case !ok:
		return "never"
	case e.Stopped:
		return "stopped"
	}
	return "ended"
}

// SetLeaving makes the worker refuse new tasks, or accept them again.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if leaving && !w.leaving {
		w.addRecord(Record{Event: EventLeave})
	}
	w.leaving = leaving
}

// OverCapacity returns after how many starts the running tasks exceeded the worker's size.
func (w *Worker) OverCapacity() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.overCount
}

// Records returns the worker's events in the order in which they happened.
func (w *Worker) Records() []Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return append([]Record(nil), w.records...)
}

// advance applies the passage of time: it stops tasks whose leases expired, and drops
// ended and revoked tasks after endedRetention. It returns the time on the worker's own
// clock. The caller must hold w.mu.
func (w *Worker) advance() time.Duration {
	now := w.uptime()
	for _, t := range w.running {
		if now > t.expires {
			w.endTask(now, t, EndedTask{Stopped: true})
		}
	}
	for id, e := range w.ended {
		if now-e.At > endedRetention {
			delete(w.ended, id)
		}
	}
	for id, at := range w.revoked {
		if now-at > endedRetention {
			delete(w.revoked, id)
		}
	}
	if w.spec.Lag > 0 {
		w.takeSnapshot(now)
	}
	return now
}

// endTask moves a task from the running to the ended tasks. The caller must hold w.mu.
func (w *Worker) endTask(now time.Duration, t *runningTask, e EndedTask) {
	id := t.start.Task
	delete(w.running, id)
	w.version++
	w.used = w.used.Sub(t.start.Size)
	e.Task, e.Kind, e.At = id, t.start.Kind, now
	w.ended[id] = e
	event := EventEnd
	if e.Stopped {
		event = EventStop
		close(t.stop)
	}
	r := taskRecord(event, t.start, "")
	r.Failed = e.Failed
	w.addRecord(r)
}

// addRecord adds an event at the current time. The caller must hold w.mu.
func (w *Worker) addRecord(r Record) {
	r.At, r.Worker = w.clock.Now(), w.spec.Name
	w.records = append(w.records, r)
}

// taskRecord returns a record of an event of a task.
func taskRecord(e Event, s Start, reason string) Record {
	return Record{
		Event: e, Task: s.Task, Member: s.Member, Class: s.Class, Kind: s.Kind, Size: s.Size,
		Epoch: s.Epoch, Reason: reason,
	}
}
