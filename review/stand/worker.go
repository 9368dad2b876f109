package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"lacewingladder/platform"
)

// work is the content of a job's spec. It tells a worker what a task does.
type work struct {
	// Ms is how long a run works, in milliseconds.
	Ms int `json:"ms,omitempty"`
	// FailRuns holds the numbers of the runs of the task with index 0 that end as failed.
	FailRuns []int `json:"failRuns,omitempty"`
	// Lasts is true for tasks that run until they are stopped.
	Lasts bool `json:"lasts,omitempty"`
	// Advice is true if a start needs a ticket of the advice service.
	Advice bool `json:"advice,omitempty"`
	// CPU is what each task requests, in thousandths of a core.
	CPU int `json:"cpu,omitempty"`
}

// size is a worker's capacity, as its entry in the store states it.
type size struct {
	CPU   int `json:"cpu"`
	MemMb int `json:"memMb"`
	GPU   int `json:"gpu"`
}

// run is a run in progress.
type run struct {
	task    string
	number  int
	work    work
	started time.Time
}

// end is an end of a run that the worker lists.
type end struct {
	sequence int64
	task     string
	number   int
	how      string
}

const (
	// heartbeat is heartbeatMs of the settings.
	heartbeat = 1500 * time.Millisecond
	// maxHold is the bound maxHoldMs of the settings.
	maxHold = 10 * time.Second
	// startupTime is the time after which a task that lasts is at work.
	startupTime = 500 * time.Millisecond
	// maxListedEnds is the number of ends that one response lists.
	maxListedEnds = 500
	// checkInterval is how often a worker looks for runs that end.
	checkInterval = 10 * time.Millisecond
)

// worker is a stand-in for a worker, as PROTOCOL.md describes it under "Running tasks". Its fields below
// mu belong to one life and are lost in a crash.
type worker struct {
	world    *world
	id       string
	zone     string
	rack     string
	capacity size
	address  string

	mu      sync.Mutex
	server  *http.Server
	up      bool
	cut     bool
	born    time.Time
	fence   int64
	until   time.Duration
	runs    map[string]*run
	ends    []end
	lastEnd int64
	// refused holds, by task, the highest number of a run that was stopped or has ended.
	refused map[string]int
	// changed is closed and replaced when a run ends, and stop is closed at the end of the life.
	changed chan struct{}
	stop    chan struct{}
	seq     int
}

// addWorkers adds workers in racks of eight.
func (x *world) addWorkers(n int) error {
	zones := []string{"chuo", "asahi", "teine"}
	for i := range n {
		w := &worker{
			world: x, id: fmt.Sprintf("i-%010x", 0x7f3a91c000+i), zone: zones[i/8%3], rack: "r1-" + strconv.Itoa(i/8),
			capacity: size{CPU: 16000, MemMb: 65536}, address: "127.0.0.1:0",
		}
		if err := w.start(); err != nil {
			return err
		}
		x.workers = append(x.workers, w)
	}
	return nil
}

// clock returns the reading of the worker's own clock.
func (w *worker) clock() time.Duration { return time.Since(w.born) }

// start begins a life of the worker and writes its entry to the store.
func (w *worker) start() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.listen(); err != nil {
		return err
	}
	w.born, w.fence, w.until, w.ends, w.lastEnd = time.Now(), 0, 0, nil, 0
	w.runs, w.refused = map[string]*run{}, map[string]int{}
	w.changed, w.stop, w.up = make(chan struct{}), make(chan struct{}), true
	go w.live(w.stop)
	w.register()
	return nil
}

// listen serves the worker's interface at its address, or at a free one if it has none. The caller holds mu.
func (w *worker) listen() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.serveStart)
	mux.HandleFunc("POST /-/run-stop", w.serveStop)
	mux.HandleFunc("POST /-/hold", w.serveHold)
	mux.HandleFunc("POST /-/pace", w.servePace)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func(s *http.Server) { _ = s.Serve(listener) }(w.server)
	return nil
}

// register writes the worker's entry to the store. The caller holds mu.
func (w *worker) register() {
	w.seq++
	value, err := json.Marshal(map[string]any{
		"service": serviceName, "addr": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": w.capacity, "labels": []string{"a", w.rack}, "clockMs": w.clock().Milliseconds(), "seq": w.seq,
		"born": w.born.UnixMilli(),
	})
	if err != nil {
		panic(err) // The fields above can be encoded.
	}
	w.world.store.Txn(platform.Txn{Writes: []platform.Write{{Key: platform.WorkerPrefix + w.id, Value: value}}})
}

// crash ends the worker's process, with its runs, its connections and all that it knew.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.up = false
	close(w.stop)
	for _, r := range w.runs {
		w.world.note("worker %s crashed under %s run %d", w.id, r.task, r.number)
		w.world.runEnded(w, r, "crashed")
	}
	w.runs, w.ends = map[string]*run{}, nil
	_ = w.server.Close()
	w.wake()
}

// wake wakes the calls that wait for an end. The caller holds mu.
func (w *worker) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// live ends the runs whose time has come, until the life ends.
func (w *worker) live(stop chan struct{}) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		if w.up {
			w.advance()
		}
		w.mu.Unlock()
	}
}

// advance ends the runs that have finished, or all if the lease has expired. The caller holds mu.
func (w *worker) advance() {
	lapsed := w.clock() > w.until
	for _, r := range w.runs {
		switch {
		case lapsed:
			w.finish(r, "lapsed")
		case !r.work.Lasts && time.Since(r.started) >= time.Duration(r.work.Ms)*time.Millisecond:
			how := "done"
			if strings.HasSuffix(r.task, ".0") && slices.Contains(r.work.FailRuns, r.number) {
				how = "failed"
			}
			w.finish(r, how)
		}
	}
}

// finish ends a run. The caller holds mu.
func (w *worker) finish(r *run, how string) {
	delete(w.runs, r.task)
	w.lastEnd++
	w.refused[r.task] = max(w.refused[r.task], r.number)
	w.ends = append(w.ends, end{w.lastEnd, r.task, r.number, how})
	w.world.note("worker %s: %s run %d ended %s", w.id, r.task, r.number, how)
	w.world.runEnded(w, r, how)
	w.wake()
}

// order is the body of a call to a worker. Each call uses some of the fields.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	UntilMs  int64  `json:"untilMs"`
	Fence    int64  `json:"fence"`
	Observed int64  `json:"observed"`
	WaitMs   int64  `json:"waitMs"`
	Ticket   string `json:"ticket"`
}

// begin decodes a call and checks that it may be carried out. If so, it returns true and holds mu.
func (w *worker) begin(rw http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	w.advance()
	if o.Fence < w.fence {
		w.reply(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		w.mu.Unlock()
		return o, false
	}
	w.fence = o.Fence
	return o, true
}

// setCut cuts the worker off from the VMs and the store, or ends that. Its runs continue. While it is cut off,
// its connections are reset and refused.
func (w *worker) setCut(on bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = on
	w.world.note("worker %s is cut off: %v; runs: %d", w.id, on, len(w.runs))
	if on {
		return w.server.Close()
	}
	return w.listen()
}

// registerSoon writes the worker's entry within a heartbeat, unless it is cut off by then.
func (w *worker) registerSoon() {
	time.AfterFunc(time.Duration(rand.Int64N(int64(heartbeat))), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.up && !w.cut {
			w.register()
		}
	})
}

// reply sends a response. The caller holds mu.
func (w *worker) reply(rw http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"], body["born"] = w.clock().Milliseconds(), w.born.UnixMilli()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // The caller may have gone.
}

// extend extends the lease to a time on the worker's clock. The caller holds mu.
func (w *worker) extend(untilMs int64) {
	w.until = max(w.until, min(time.Duration(untilMs)*time.Millisecond, w.clock()+maxHold))
}

func (w *worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.begin(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if time.Duration(o.UntilMs)*time.Millisecond <= w.clock() {
		w.reply(rw, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	w.extend(o.UntilMs)
	if old, ok := w.runs[o.Task]; ok && old.number == o.Run {
		w.reply(rw, http.StatusOK, map[string]any{})
		return
	}
	if o.Run <= w.refused[o.Task] {
		w.reply(rw, http.StatusConflict, map[string]any{"reason": "old"})
		return
	}
	x := &run{task: o.Task, number: o.Run, started: time.Now()}
	if err := json.Unmarshal([]byte(o.Spec), &x.work); err != nil {
		w.reply(rw, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	if x.work.Advice && o.Ticket != ticketOf(stepOf(o.Task), w.id) {
		w.world.startRejected(w, x, o.Ticket)
		w.reply(rw, http.StatusConflict, map[string]any{"reason": "ticket"})
		return
	}
	w.runs[o.Task] = x
	w.world.note("worker %s starts %s run %d on an order with fence %d", w.id, o.Task, o.Run, o.Fence)
	w.world.runStarted(w, x)
	w.reply(rw, http.StatusOK, map[string]any{})
}

func (w *worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.begin(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.refused[o.Task] = max(w.refused[o.Task], o.Run)
	if x, ok := w.runs[o.Task]; ok && x.number == o.Run {
		w.finish(x, "stopped")
	}
	w.reply(rw, http.StatusOK, map[string]any{})
}

func (w *worker) servePace(rw http.ResponseWriter, r *http.Request) {
	if _, ok := w.begin(rw, r); ok {
		defer w.mu.Unlock()
		w.reply(rw, http.StatusOK, map[string]any{})
	}
}

func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.begin(rw, r)
	if !ok {
		return
	}
	born := w.born
	if o.UntilMs > 0 {
		w.extend(o.UntilMs)
	}
	for len(w.ends) > 0 && w.ends[0].sequence <= o.Observed {
		w.ends = w.ends[1:]
	}
	deadline := time.After(time.Duration(o.WaitMs) * time.Millisecond)
	for waiting := o.WaitMs > 0; waiting && len(w.ends) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
		if !w.up || w.cut || w.born != born {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
	defer w.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for _, x := range w.runs {
		running = append(running, []any{x.task, x.number, "", x.percent(), 0})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		finished = append(finished, []any{e.sequence, e.task, e.number, e.how, ""})
	}
	w.reply(rw, http.StatusOK, map[string]any{"running": running, "finished": finished})
}

// percent returns the progress of a run.
func (r *run) percent() int {
	switch {
	case !r.work.Lasts:
		return min(99, int(100*time.Since(r.started).Milliseconds()/int64(max(1, r.work.Ms))))
	case time.Since(r.started) < startupTime:
		return 0
	}
	return 100
}
