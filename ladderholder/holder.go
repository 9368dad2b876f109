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
	// roomPause is the Retry-After when no worker has room.
	roomPause = 250 * time.Millisecond
	// claimPause is the Retry-After when no worker is held yet.
	claimPause = time.Second
	// maxFinished bounds the remembered ends of jobs' tasks.
	maxFinished = 50_000
	// leavingMemory is how long a worker counts as leaving after it was last said
	// to be. The next one of its name is then taken for what it says itself.
	leavingMemory = 15 * time.Second
)

// Log takes a line for each decision.
type Log interface {
	// Info writes a message with pairs of keys and values.
	Info(msg any, keyvals ...any)
}

// Holder places tasks on the workers of one entry VM. Create one with [New].
type Holder struct {
	name string
	log  Log

	mu       sync.Mutex
	claims   *ladderclaim.Book
	ledger   ladderledger.Ledger
	judge    ladderhealth.Detector
	line     ladderadmission.WaitQueue
	load     ladderadmission.UrgentLoad
	policies map[string]ladderplacement.Policy
	seed     uint64
	drained  map[string]bool
	// leaving holds the workers that said so to this VM, and told those that said
	// so to a peer, with the time.
	leaving map[string]time.Time
	told    map[string]time.Time
	// victims and preempted are the batch tasks that make room.
	victims   chan Victim
	preempted map[string]bool
	finished  []Finished
	// usable is the space of candidates, kept between decisions.
	usable []ladderplacement.Candidate
	seq    uint64
	// stopping is true once this VM takes no new work.
	stopping bool
}

// New returns a holder for the entry VM name in the given incarnation. Policies
// draw their random choices from seed.
func New(name, incarnation string, lease time.Duration, seed uint64, log Log) *Holder {
	return &Holder{
		name:     name,
		log:      log,
		claims:   ladderclaim.NewBook(name+"#"+incarnation, lease),
		policies: map[string]ladderplacement.Policy{},
		seed:     seed,
		drained:  map[string]bool{},
		leaving:  map[string]time.Time{},
		told:     map[string]time.Time{},

		victims: make(chan Victim, maxVictims), preempted: map[string]bool{},
	}
}

// SetConfig takes over the parts of a configuration that a holder needs.
func (h *Holder) SetConfig(c *ladderconfig.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.claims.SetSeats(c.Seats())
	h.claims.SetLease(c.Limits.Lease)
	h.drained = c.Drained
}

// SetWorkers replaces the workers that this VM may hold: those of its zone.
func (h *Holder) SetWorkers(now time.Time, workers []laddermodel.Worker) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range workers {
		h.ledger.Update(w)
	}
	h.claims.SetWorkers(now, workers)
}

// SetLeaving records workers that a peer found leaving before the platform's list
// said so.
func (h *Holder) SetLeaving(now time.Time, names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range names {
		h.told[n] = now
	}
}

// Stop makes the holder refuse all new work, ahead of a shutdown.
func (h *Holder) Stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopping = true
}

// Reserve sets room aside for a task and returns where to start it.
func (h *Holder) Reserve(now time.Time, a Ask) (laddermodel.Reservation, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reserve(now, a)
}

func (h *Holder) reserve(now time.Time, a Ask) (laddermodel.Reservation, error) {
	if h.stopping {
		return laddermodel.Reservation{}, &NoRoom{Reason: "the entry VM is leaving", RetryAfter: roomPause}
	}
	candidates, held := h.candidates(now, a)
	if held == 0 {
		return laddermodel.Reservation{}, &NoRoom{Reason: "no worker is held here", RetryAfter: claimPause}
	}
	if a.Kind != laddermodel.Urgent && h.short(now, a, candidates) {
		return laddermodel.Reservation{}, &NoRoom{Reason: "the rest is kept for urgent work", RetryAfter: roomPause}
	}
	i := h.policy(a.Policy).Pick(a.Size, candidates)
	if i < 0 {
		return laddermodel.Reservation{}, &NoRoom{Reason: "no worker has room", RetryAfter: roomPause}
	}
	w := candidates[i].Worker
	grant, ok := h.claims.Grant(now, w.Name)
	if !ok || !h.ledger.Reserve(w.Name, ladderledger.Item{
		Task: a.Task, Kind: a.Kind, Size: a.Size, Until: grant.Until,
	}) {
		return laddermodel.Reservation{}, &NoRoom{Reason: "the task has room already", RetryAfter: roomPause}
	}
	h.judge.Started(now, w.Name)
	h.settleLoad(now)
	h.log.Info("room set aside", "task", a.Task, "worker", w.Name, "epoch", grant.Epoch, "policy", a.Policy)
	return laddermodel.Reservation{Task: a.Task, Worker: *w, Grant: grant, Holder: h.name}, nil
}

// candidates returns the workers that may take the task, and how many are held.
// The slice is valid until the next call.
func (h *Holder) candidates(now time.Time, a Ask) (usable []ladderplacement.Candidate, held int) {
	usable = h.usable[:0]
	for x := range h.claims.Held(now) {
		w := x.Worker
		if !x.Opened || (a.Rack != "" && w.Rack != a.Rack) {
			continue
		}
		held++
		if w.Name == a.Avoid || h.closed(now, x) || !h.judge.Allows(now, w.Name) {
			continue
		}
		usable = append(usable, ladderplacement.Candidate{Worker: w, Free: h.ledger.Free(w.Name)})
	}
	h.usable = usable
	return usable, held
}

// closed reports whether a worker takes no new work.
func (h *Holder) closed(now time.Time, x ladderclaim.Held) bool {
	name := x.Worker.Name
	return x.Leaving || x.Worker.Leaving || h.drained[name] || recent(now, h.leaving, name) || recent(now, h.told, name)
}

// recent reports whether a worker was said to be leaving of late.
func recent(now time.Time, said map[string]time.Time, worker string) bool {
	at, ok := said[worker]
	return ok && now.Sub(at) < leavingMemory
}

// short reports whether a batch task would take slots that urgent work needs.
func (h *Holder) short(now time.Time, a Ask, candidates []ladderplacement.Candidate) bool {
	free := 0
	for _, c := range candidates {
		free += max(0, c.Free.Slots)
	}
	return free-a.Size.Slots < h.load.Headroom(now)
}

func (h *Holder) policy(name string) ladderplacement.Policy {
	if p, ok := h.policies[name]; ok {
		return p
	}
	p, err := ladderplacement.Named(name, h.seed)
	if err != nil {
		p = ladderplacement.Spread{}
	}
	h.policies[name] = p
	return p
}

// Release gives a task's room back and lets waiting work use it.
func (h *Holder) Release(now time.Time, e End) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e.Leaving {
		h.leaving[e.Worker] = now
	}
	if e.Fenced {
		h.claims.Lapse(now, e.Worker)
	}
	if !h.ledger.Release(e.Worker, e.Task) {
		return
	}
	h.ended(now, e)
	h.settleLoad(now)
	h.line.RecordDeparture(now)
	h.line.Serve(now)
}

// ended tells the judge how a task ended.
func (h *Holder) ended(now time.Time, e End) {
	if !e.Ran {
		h.judge.EndedWithoutResult(e.Worker)
		return
	}
	if h.judge.Ended(now, e.Worker, e.Source, e.Failed) {
		h.log.Info("worker's standing changed", "worker", e.Worker, "suspect", h.judge.Suspect(e.Worker))
	}
}

func (h *Holder) settleLoad(now time.Time) {
	h.load.SetRunning(now, h.ledger.Running(laddermodel.Urgent))
}
