package ladderstand

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderflow"
	"lacewingladder/platform"
)

const (
	// stopDuration is the time that a stopped run takes to end.
	stopDuration = 5 * time.Millisecond
	// maxLease is the longest lease that the worker grants. A longer one is shortened.
	maxLease = 10 * time.Second
)

// PlatformWorker is a worker that the client in package platform calls. It simulates runs
// of tasks. It refuses orders under a lower fencing token than the highest that it has
// seen, and ends all runs when its lease expires. It checks neither its capacity nor
// tickets, and counts the runs of each task, so that a test can find a task that ran
// twice. It is safe for concurrent use.
type PlatformWorker struct {
	clock ladderclock.Clock
	spec  ladderflow.Worker
	// workload returns how long a run with a payload takes, and whether it fails.
	workload func(ladderflow.Run, string) (time.Duration, bool)

	mu      sync.Mutex
	current incarnation
	// startedAt is when the current incarnation started. The worker's own clock counts
	// from it.
	startedAt time.Time
	// starts counts the runs of each task that were started in any incarnation.
	starts map[ladderflow.Task]int
	// done counts the runs of each task that have succeeded. It leaves out those whose end was lost
	// in a crash before a poll acknowledged it.
	done map[ladderflow.Task]int
	// runEnded is closed and replaced when a run ends.
	runEnded chan struct{}
	// unresponsive makes the worker leave calls without a response.
	unresponsive bool
	// down is true from a crash to the start of the next incarnation. If silent is true, calls wait
	// meanwhile, and restarted is closed when they may go on.
	down      bool
	silent    bool
	restarted chan struct{}
	// connections holds, by the caller's address, the incarnation that has carried out a call on a
	// connection. A connection does not outlive the incarnation.
	connections map[string]int64
	crashes     CrashSpec
	// gangs, if set, knows which tasks work only together, and teams counts what teams run.
	gangs *Gangs
	teams *Teams
	// latency, if set, returns how long the worker takes to carry out a start.
	latency func(task string) time.Duration
}

// incarnation is the state that a worker loses when it crashes.
type incarnation struct {
	// number identifies the incarnation. It is the start in milliseconds since 1970, or
	// one more than the previous number if that is not higher.
	number int64
	// fence is the highest fencing token that the worker has seen.
	fence int64
	// until is when the lease expires, on the worker's own clock.
	until   time.Duration
	running map[ladderflow.Run]*activeRun
	// ended holds the ended runs that no poll has acknowledged, in the order of their
	// sequence numbers.
	ended []ladderflow.EndedRun
	// lastEnd is the sequence number of the newest end.
	lastEnd int64
	// refusedUpTo holds, for each task, the highest number of a run that was stopped or
	// has ended. Starts of runs up to it are refused.
	refusedUpTo map[ladderflow.Task]int
}

// activeRun is a run that has not ended.
type activeRun struct {
	startedAt time.Time
	duration  time.Duration
	timer     *time.Timer
}

// NewPlatformWorker returns a worker without runs. Workload returns how long a run with a
// payload takes, and whether it fails.
func NewPlatformWorker(
	clock ladderclock.Clock, spec ladderflow.Worker,
	workload func(ladderflow.Run, string) (time.Duration, bool),
) *PlatformWorker {
	p := &PlatformWorker{
		clock: clock, spec: spec, workload: workload, starts: map[ladderflow.Task]int{},
		done: map[ladderflow.Task]int{}, runEnded: make(chan struct{}), connections: map[string]int64{},
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.restart()
	return p
}

// SetUnresponsive makes the worker leave calls without a response, or respond again. Its runs
// continue.
func (p *PlatformWorker) SetUnresponsive(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unresponsive = on
}

// SetCapacity changes the capacity that the worker's entry in the store states. The runs continue.
func (p *PlatformWorker) SetCapacity(s *Store, c ladderflow.Size) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spec.Capacity = c
	return p.register(s)
}

// Starts returns how many runs of a task were started in any incarnation.
func (p *PlatformWorker) Starts(task ladderflow.Task) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts[task]
}

// Done returns how many runs of a task have succeeded, without those whose end was lost in a crash
// before a poll acknowledged it.
func (p *PlatformWorker) Done(task ladderflow.Task) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done[task]
}

// Running returns the runs that have not ended, in no particular order.
func (p *PlatformWorker) Running() []ladderflow.Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLease()
	var list []ladderflow.Run
	for run := range p.current.running {
		list = append(list, run)
	}
	return list
}

// Register writes the worker's entry to a store, under [platform.WorkerPrefix].
func (p *PlatformWorker) Register(s *Store) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.register(s)
}

// register is Register for callers that hold p.mu.
func (p *PlatformWorker) register(s *Store) error {
	value, err := platform.FormatWorker(p.spec)
	if err != nil {
		return err
	}
	s.Txn(platform.Txn{Writes: []platform.Write{{Key: platform.WorkerPrefix + p.spec.ID, Value: value}}})
	return nil
}

// now returns the time on the worker's own clock.
func (p *PlatformWorker) now() time.Duration { return p.clock.Now().Sub(p.startedAt) }

// endRun moves a run, if it is still active, to the ended runs. The caller must hold p.mu.
func (p *PlatformWorker) endRun(run ladderflow.Run, reason ladderflow.EndReason) {
	active, ok := p.current.running[run]
	if !ok {
		return
	}
	active.timer.Stop()
	delete(p.current.running, run)
	p.teams.end(p, run)
	if p.gangs.has(run) {
		reason = p.gangs.end(run, reason, active.startedAt, p.clock.Now())
	}
	if reason == ladderflow.EndDone {
		p.done[run.Task]++
	}
	p.current.lastEnd++
	p.current.refusedUpTo[run.Task] = max(p.current.refusedUpTo[run.Task], run.Number)
	p.current.ended = append(p.current.ended, ladderflow.EndedRun{Sequence: p.current.lastEnd, Run: run, Reason: reason})
	close(p.runEnded)
	p.runEnded = make(chan struct{})
}

// expireLease ends all runs if the lease has expired. The caller must hold p.mu.
func (p *PlatformWorker) expireLease() {
	if p.now() <= p.current.until {
		return
	}
	for run := range p.current.running {
		p.endRun(run, ladderflow.EndLeaseExpired)
	}
}

// extendLease extends the lease, but not beyond maxLease from now. The caller must hold p.mu.
func (p *PlatformWorker) extendLease(until time.Duration) {
	p.current.until = max(p.current.until, min(until, p.now()+maxLease))
	p.teams.extendLease(p, p.startedAt.Add(p.current.until))
}

// Handler returns the HTTP interface of the worker. POST /-/pace, which limits the speed
// of a run, has no effect.
func (p *PlatformWorker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", p.orderHandler(p.start))
	mux.HandleFunc("POST /-/run-stop", p.orderHandler(p.stop))
	mux.HandleFunc("POST /-/pace", p.orderHandler(func(order) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /-/hold", p.poll)
	return mux
}

// order is the body of any call to a worker. Each call uses some of the fields.
type order struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	Payload string `json:"spec"`
	// Until is when the lease expires, in milliseconds on the worker's own clock.
	Until int64 `json:"untilMs"`
	Fence int64 `json:"fence"`
	// Acknowledged is the highest sequence number of an end that the caller has received.
	Acknowledged int64 `json:"observed"`
	// Wait is how long a poll waits for a run to end, in milliseconds.
	Wait int64 `json:"waitMs"`
}

// readOrder decodes the body of a call. If the call does not reach the worker that the
// caller expects, or cannot be decoded, readOrder responds and returns false. An
// unresponsive worker waits until the caller closes the connection, and one that is down closes it, at
// once or, if it is silent, once the next incarnation has started.
func (p *PlatformWorker) readOrder(w http.ResponseWriter, request *http.Request) (order, bool) {
	var o order
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBody))
	if err != nil {
		return o, false
	}
	p.awaitRestart()
	p.checkConnection(request)
	p.mu.Lock()
	unresponsive, id := p.unresponsive, p.spec.ID
	p.mu.Unlock()
	if unresponsive {
		<-request.Context().Done()
		return o, false
	}
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if err := json.Unmarshal(body, &o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return o, false
	}
	return o, true
}

// orderHandler returns a handler of orders about one run. It refuses orders under an
// outdated fencing token.
func (p *PlatformWorker) orderHandler(handle func(order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		o, ok := p.readOrder(w, request)
		if !ok {
			return
		}
		p.delayStart(request, o)
		p.mu.Lock()
		if p.down {
			p.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		p.expireLease()
		status, reason := http.StatusConflict, "fence"
		if o.Fence >= p.current.fence {
			p.current.fence = o.Fence
			status, reason = handle(o)
		}
		now := p.now().Milliseconds()
		p.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		// An error means that the caller closed the connection, so it cannot be reported.
		_ = json.NewEncoder(w).Encode(struct {
			Clock  int64  `json:"clockMs"`
			Reason string `json:"reason,omitempty"`
		}{now, reason})
	}
}

// start starts a run, unless it is already active. The caller must hold p.mu.
func (p *PlatformWorker) start(o order) (int, string) {
	task, err := platform.ParseTask(o.Task)
	if err != nil {
		return http.StatusBadRequest, err.Error()
	}
	run := ladderflow.Run{Task: task, Number: o.Run}
	until := time.Duration(o.Until) * time.Millisecond
	p.extendLease(until)
	if _, ok := p.current.running[run]; ok {
		return http.StatusOK, ""
	}
	switch {
	case o.Run <= p.current.refusedUpTo[task]:
		return http.StatusConflict, "old"
	case until <= p.now():
		return http.StatusConflict, "late"
	}
	duration, fails := p.workload(run, o.Payload)
	reason := ladderflow.EndDone
	if fails {
		reason = ladderflow.EndFailed
	}
	active := &activeRun{startedAt: p.clock.Now(), duration: duration}
	p.current.running[run] = active
	p.starts[task]++
	p.teams.start(p, run, p.startedAt.Add(p.current.until))
	if p.gangs.has(run) {
		active.timer = time.AfterFunc(p.gangs.timeout, func() { p.giveUpGang(run, active) })
		p.gangs.join(p, run, duration, fails)
	} else {
		active.timer = time.AfterFunc(duration, func() { p.finishRun(run, reason) })
	}
	p.scheduleCrash(run, active)
	return http.StatusOK, ""
}

// finishRun ends a run once its duration, or stopDuration after a stop, has passed. If
// the lease has expired, the run ends for that reason instead.
func (p *PlatformWorker) finishRun(run ladderflow.Run, reason ladderflow.EndReason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLease()
	p.endRun(run, reason)
}

// stop stops a run after stopDuration, or prevents its start. The caller must hold p.mu.
func (p *PlatformWorker) stop(o order) (int, string) {
	task, err := platform.ParseTask(o.Task)
	if err != nil {
		return http.StatusBadRequest, err.Error()
	}
	p.current.refusedUpTo[task] = max(p.current.refusedUpTo[task], o.Run)
	run := ladderflow.Run{Task: task, Number: o.Run}
	if active, ok := p.current.running[run]; ok {
		active.timer.Stop()
		time.AfterFunc(stopDuration, func() { p.finishRun(run, ladderflow.EndStopped) })
	}
	return http.StatusOK, ""
}

// poll serves a status poll, which also renews the lease. It responds once there is an
// ended run that is not acknowledged, or when the wait of the order has passed.
func (p *PlatformWorker) poll(w http.ResponseWriter, request *http.Request) {
	o, ok := p.readOrder(w, request)
	if !ok {
		return
	}
	timeout := time.After(time.Duration(o.Wait) * time.Millisecond)
	var polled int64
	for {
		p.mu.Lock()
		if p.down || polled != 0 && polled != p.current.number {
			p.mu.Unlock()
			p.awaitRestart()
			panic(http.ErrAbortHandler)
		}
		polled = p.current.number
		p.expireLease()
		if o.Fence < p.current.fence {
			p.mu.Unlock()
			w.WriteHeader(http.StatusConflict)
			writeJSON(w, map[string]any{"reason": "fence"})
			return
		}
		p.current.fence = o.Fence
		p.extendLease(time.Duration(o.Until) * time.Millisecond)
		firstKept := sort.Search(len(p.current.ended), func(i int) bool { return p.current.ended[i].Sequence > o.Acknowledged })
		p.current.ended = p.current.ended[firstKept:]
		reply, runEnded := p.status(), p.runEnded
		hasEnded := len(p.current.ended) > 0
		p.mu.Unlock()
		if hasEnded || o.Wait == 0 {
			writeJSON(w, reply)
			return
		}
		select {
		case <-runEnded:
		case <-timeout:
			o.Wait = 0
		case <-request.Context().Done():
			return
		}
	}
}

// status returns the response to a status poll. The caller must hold p.mu.
func (p *PlatformWorker) status() any {
	// A row of running holds the task, the run, its checkpoint, the percentage done, and
	// the tail latency or processor use. A row of ended holds the sequence number, the
	// task, the run, the reason why it ended, and its checkpoint.
	running, ended := [][]any{}, [][]any{}
	for run, active := range p.current.running {
		percent := min(99, int(100*p.clock.Now().Sub(active.startedAt)/max(active.duration, 1)))
		running = append(running, []any{platform.FormatTask(run.Task), run.Number, "", percent, 0})
	}
	sort.Slice(running, func(i, j int) bool {
		return strings.Compare(running[i][0].(string), running[j][0].(string)) < 0
	})
	for _, e := range p.current.ended {
		ended = append(ended, []any{e.Sequence, platform.FormatTask(e.Run.Task), e.Run.Number, e.Reason, e.Checkpoint})
	}
	return struct {
		Clock   int64   `json:"clockMs"`
		Born    int64   `json:"born"`
		Running [][]any `json:"running"`
		Ended   [][]any `json:"finished"`
	}{p.now().Milliseconds(), p.current.number, running, ended}
}
