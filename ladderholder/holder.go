package ladderholder

import (
	"sync"
	"time"

	"lacewingladder/ladderadmission"
	"lacewingladder/ladderclaim"
	"lacewingladder/ladderconfig"
	"lacewingladder/ladderhealth"
	"lacewingladder/ladderledger"
	"lacewingladder/laddermodel"
	"lacewingladder/ladderplacement"
)

const (
	// noCapacityRetry is the Retry-After if no worker has free capacity.
	noCapacityRetry = 250 * time.Millisecond
	// noClaimRetry is the Retry-After if this VM holds no worker that may run the
	// task.
	noClaimRetry = time.Second
	// maxFinishedRecords bounds the remembered ends of jobs' tasks.
	maxFinishedRecords = 50_000
	// leavingRetention is how long a worker is treated as leaving after the last
	// report that it is. Afterwards a new worker of the same name gets tasks
	// unless it reports itself that it is leaving.
	leavingRetention = 15 * time.Second
)

// Log receives a line for each decision.
type Log interface {
	// Info logs a message with pairs of keys and values.
	Info(msg any, keyvals ...any)
}

// Holder places tasks on the workers of one entry VM. Create one with [New].
type Holder struct {
	name string
	log  Log

	mu         sync.Mutex
	claims     *ladderclaim.Book
	ledger     ladderledger.Ledger
	detector   ladderhealth.Detector
	waitQueue  ladderadmission.WaitQueue
	urgentLoad ladderadmission.UrgentLoad
	policies   map[string]ladderplacement.Policy // by name
	seed       uint64
	drained    map[string]bool // workers that the configuration drains
	// leaving holds the time at which workers last reported to this VM that they
	// are leaving. peerLeaving holds the time at which a peer last passed on such
	// a report.
	leaving     map[string]time.Time
	peerLeaving map[string]time.Time
	// victims delivers the batch tasks to preempt. preempting holds those whose
	// preemption has not been carried out yet.
	victims    chan Victim
	preempting map[string]bool
	// finished holds the ends of jobs' tasks in the order of their sequence
	// numbers. The last number that was assigned is lastSeq.
	finished []FinishedTask
	// candidateBuffer is reused by each decision to avoid allocations.
	candidateBuffer []ladderplacement.Candidate
	lastSeq         uint64
	// stopping is true once this VM accepts no new work.
	stopping bool
}

// New returns a holder for the entry VM of the given name and incarnation, with
// claims of the given lease. Placement policies draw their random choices from
// seed.
func New(name, incarnation string, lease time.Duration, seed uint64, log Log) *Holder {
	return &Holder{
		name:        name,
		log:         log,
		claims:      ladderclaim.NewBook(name+"#"+incarnation, lease),
		policies:    map[string]ladderplacement.Policy{},
		seed:        seed,
		drained:     map[string]bool{},
		leaving:     map[string]time.Time{},
		peerLeaving: map[string]time.Time{},

		victims: make(chan Victim, maxQueuedVictims), preempting: map[string]bool{},
	}
}

// SetConfig applies the parts of a configuration that concern a holder.
func (h *Holder) SetConfig(c *ladderconfig.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.claims.SetSeats(c.SeatsByRack())
	h.claims.SetLease(c.Limits.ClaimLease)
	h.drained = c.Drained
}

// SetWorkers replaces the workers that this VM may hold, which are those of its
// zone.
func (h *Holder) SetWorkers(now time.Time, workers []laddermodel.Worker) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range workers {
		h.ledger.SetWorker(w)
	}
	h.claims.SetWorkers(now, workers)
}

// SetPeerLeaving records workers that reported to a peer that they are leaving.
// The platform's list of workers shows this only later.
func (h *Holder) SetPeerLeaving(now time.Time, names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range names {
		h.peerLeaving[n] = now
	}
}

// RefuseNewWork makes the holder refuse all new work, in preparation for a
// shutdown.
func (h *Holder) RefuseNewWork() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopping = true
}

// Reserve reserves capacity for a task. It returns a [*NoCapacityError] if that
// is not possible now.
func (h *Holder) Reserve(now time.Time, request CapacityRequest) (laddermodel.Reservation, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reserve(now, request)
}

// reserve implements [Holder.Reserve]. The caller must hold the lock.
func (h *Holder) reserve(now time.Time, request CapacityRequest) (laddermodel.Reservation, error) {
	if h.stopping {
		return laddermodel.Reservation{}, &NoCapacityError{Reason: "the entry VM is leaving", RetryAfter: noCapacityRetry}
	}
	candidates, held := h.candidates(now, request)
	if held == 0 {
		return laddermodel.Reservation{}, &NoCapacityError{Reason: "no worker is held here", RetryAfter: noClaimRetry}
	}
	if request.Kind != laddermodel.Urgent && h.wouldUseHeadroom(now, request, candidates) {
		return laddermodel.Reservation{}, &NoCapacityError{Reason: "the rest is kept for urgent work", RetryAfter: noCapacityRetry}
	}
	i := h.policy(request.Policy).Pick(request.Size, candidates)
	if i < 0 {
		return laddermodel.Reservation{}, &NoCapacityError{Reason: "no worker has room", RetryAfter: noCapacityRetry}
	}
	w := candidates[i].Worker
	grant, ok := h.claims.Grant(now, w.Name)
	if !ok || !h.ledger.Reserve(w.Name, ladderledger.Item{
		Task: request.Task, Kind: request.Kind, Size: request.Size, Until: grant.Until,
	}) {
		return laddermodel.Reservation{}, &NoCapacityError{Reason: "the task has room already", RetryAfter: noCapacityRetry}
	}
	h.detector.Started(now, w.Name)
	h.updateUrgentLoad(now)
	h.log.Info("capacity reserved", "task", request.Task, "worker", w.Name, "epoch", grant.Epoch, "policy", request.Policy)
	return laddermodel.Reservation{Task: request.Task, Worker: *w, Grant: grant, Holder: h.name}, nil
}

// candidates returns the held workers on which the task may be placed, and the
// number of held workers, including those that accept no new work now. Both are
// limited to the rack that the request names, if any. A worker that has not
// reported its running tasks yet counts as not held. The slice is valid until
// the next call.
func (h *Holder) candidates(now time.Time, request CapacityRequest) (usable []ladderplacement.Candidate, held int) {
	usable = h.candidateBuffer[:0]
	for claimed := range h.claims.Held(now) {
		w := claimed.Worker
		if !claimed.HasReport || (request.Rack != "" && w.Rack != request.Rack) {
			continue
		}
		held++
		if w.Name == request.ExcludedWorker || h.refusesNewWork(now, claimed) || !h.detector.Allows(now, w.Name) {
			continue
		}
		usable = append(usable, ladderplacement.Candidate{Worker: w, Free: h.ledger.Free(w.Name)})
	}
	h.candidateBuffer = usable
	return usable, held
}

// refusesNewWork reports whether a worker must get no new tasks, because it is
// leaving or drained.
func (h *Holder) refusesNewWork(now time.Time, claimed ladderclaim.HeldWorker) bool {
	name := claimed.Worker.Name
	return claimed.Leaving || claimed.Worker.Leaving || h.drained[name] ||
		reportedRecently(now, h.leaving, name) || reportedRecently(now, h.peerLeaving, name)
}

// reportedRecently reports whether a worker was reported to be leaving within
// the retention time.
func reportedRecently(now time.Time, reports map[string]time.Time, worker string) bool {
	at, ok := reports[worker]
	return ok && now.Sub(at) < leavingRetention
}

// wouldUseHeadroom reports whether a task that is not urgent would take slots that
// are kept free for urgent tasks.
func (h *Holder) wouldUseHeadroom(now time.Time, request CapacityRequest, candidates []ladderplacement.Candidate) bool {
	free := 0
	for _, c := range candidates {
		free += max(0, c.Free.Slots)
	}
	return free-request.Size.Slots < h.urgentLoad.Headroom(now)
}

// policy returns the policy of the given name and creates it if necessary. An
// unknown name gets the Spread policy.
func (h *Holder) policy(name string) ladderplacement.Policy {
	if p, ok := h.policies[name]; ok {
		return p
	}
	p, err := ladderplacement.NewPolicy(name, h.seed)
	if err != nil {
		p = ladderplacement.Spread{}
	}
	h.policies[name] = p
	return p
}

// Release releases the capacity of a task and lets waiting tasks reserve it.
func (h *Holder) Release(now time.Time, e TaskEnd) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e.Leaving {
		h.leaving[e.Worker] = now
	}
	if e.Fenced {
		h.claims.Invalidate(now, e.Worker)
	}
	if !h.ledger.Release(e.Worker, e.Task) {
		return
	}
	h.recordResult(now, e)
	h.updateUrgentLoad(now)
	h.waitQueue.RecordDeparture(now)
	h.waitQueue.Serve(now)
}

// recordResult records the result of a task for the detection of failing
// workers.
func (h *Holder) recordResult(now time.Time, e TaskEnd) {
	if !e.Ran {
		h.detector.EndedWithoutResult(e.Worker)
		return
	}
	if h.detector.Ended(now, e.Worker, e.Source, e.Failed) {
		h.log.Info("worker suspicion changed", "worker", e.Worker, "suspect", h.detector.Suspect(e.Worker))
	}
}

// updateUrgentLoad records the present number of urgent tasks.
func (h *Holder) updateUrgentLoad(now time.Time) {
	h.urgentLoad.SetRunning(now, h.ledger.Count(laddermodel.Urgent))
}
