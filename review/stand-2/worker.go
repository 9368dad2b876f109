package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// workerSpec describes a worker of the stand-in. It is passed to the worker's process as JSON.
type workerSpec struct {
	ID       string   `json:"id"`
	Listen   string   `json:"listen"`
	Platform string   `json:"platform"`
	Service  string   `json:"service"`
	Zone     string   `json:"zone"`
	Labels   []string `json:"labels"`
	CPU      int      `json:"cpu"`
	MemMb    int      `json:"memMb"`
}

// The times of a worker, as the settings of the deployment state them.
const (
	heartbeat = 1500 * time.Millisecond
	maxHold   = 10 * time.Second
	// stopTime is how long a run takes to stop, which is less than stopTimeoutMs.
	stopTime = 50 * time.Millisecond
	// checkpointEach is the work after which a checkpoint is made.
	checkpointEach = time.Second
	maxListed      = 500
)

// runName is a run of a task.
type runName struct {
	Task string
	Run  int
}

// running is a run in progress.
type running struct {
	spec      string
	startedAt time.Time
	length    time.Duration
	lasting   bool
	saves     bool
	fails     bool
	stopping  bool
	// base is the work done by earlier runs.
	base  time.Duration
	timer *time.Timer
}

func (x *running) work(now time.Time) time.Duration { return x.base + now.Sub(x.startedAt) }

func (x *running) saved(now time.Time) string {
	if !x.saves {
		return ""
	}
	return strconv.FormatInt(int64(x.work(now)/checkpointEach), 10)
}

// ended is a run that has ended.
type ended struct {
	seq   int64
	name  runName
	how   string
	saved string
}

// worker is one life of a worker: the process.
type worker struct {
	spec workerSpec
	born time.Time

	mu      sync.Mutex
	fence   int64
	until   time.Duration
	runs    map[runName]*running
	ended   []ended
	lastEnd int64
	// closed holds, by task, the highest run that has ended or was stopped here.
	closed  map[string]int
	changed chan struct{}
}

// event prints what has happened, for the record.
func (w *worker) event(format string, args ...any) {
	_, _ = fmt.Fprintf(os.Stdout, "%s worker %s %s\n", time.Now().Format("15:04:05.000"), w.spec.ID, fmt.Sprintf(format, args...))
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

// runWorker serves a worker until the process is killed.
func runWorker(text string) error {
	w := &worker{born: time.Now(), runs: map[runName]*running{}, closed: map[string]int{}, changed: make(chan struct{})}
	if err := json.Unmarshal([]byte(text), &w.spec); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", w.spec.Listen)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.order(w.start))
	mux.HandleFunc("POST /-/run-stop", w.order(w.stop))
	mux.HandleFunc("POST /-/pace", w.order(func(orderBody) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /-/hold", w.hold)
	go w.beat()
	go w.watchLease()
	w.event("is up at %s", w.spec.Listen)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	return server.Serve(listener)
}

// beat keeps the worker's entry in the store.
func (w *worker) beat() {
	client := &http.Client{Timeout: time.Second}
	lease, seq := int64(0), 0
	for ; ; time.Sleep(heartbeat) {
		seq++
		if lease != 0 && post(client, w.spec.Platform, "/-/kv-keep/"+strconv.FormatInt(lease, 10), nil, nil) != nil {
			lease = 0
		}
		if lease == 0 {
			var reply struct {
				Lease int64 `json:"lease"`
			}
			if post(client, w.spec.Platform, "/-/kv-lease", map[string]any{"ttlMs": 3 * heartbeat.Milliseconds()}, &reply) != nil {
				continue
			}
			lease = reply.Lease
		}
		entry, err := json.Marshal(map[string]any{
			"service": w.spec.Service, "addr": w.spec.Listen, "zone": w.spec.Zone, "version": "1", "slots": 8, "state": "ready",
			"coldLeftMs": 0, "seq": seq, "born": w.born.UnixMilli(), "labels": w.spec.Labels,
			"capacity": map[string]int{"cpu": w.spec.CPU, "memMb": w.spec.MemMb, "gpu": 0},
		})
		if err != nil {
			panic(err) // The entry has only strings and numbers.
		}
		if post(client, w.spec.Platform, "/-/kv-txn", map[string]any{
			"expect": []any{}, "deletes": []any{},
			"writes": []any{map[string]any{"key": "servers/" + w.spec.ID, "value": entry, "lease": lease}},
		}, nil) != nil {
			lease = 0
		}
	}
}

// post makes a call to the store and decodes the response.
func post(c *http.Client, to, path string, body, reply any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	response, err := c.Post("http://"+to+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return err
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("%s: status %d", path, response.StatusCode)
	case reply == nil:
		return nil
	}
	return json.Unmarshal(text, reply)
}

// watchLease ends all runs when the lease expires.
func (w *worker) watchLease() {
	for ; ; time.Sleep(10 * time.Millisecond) {
		w.mu.Lock()
		w.expire()
		w.mu.Unlock()
	}
}

// expire ends all runs if the lease has expired. The caller holds the lock.
func (w *worker) expire() {
	if w.clock() <= w.until {
		return
	}
	for name := range w.runs {
		w.end(name, "lapsed")
	}
}

// end ends a run. The caller holds the lock.
func (w *worker) end(name runName, how string) {
	x, ok := w.runs[name]
	if !ok {
		return
	}
	x.timer.Stop()
	delete(w.runs, name)
	w.lastEnd++
	w.closed[name.Task] = max(w.closed[name.Task], name.Run)
	w.ended = append(w.ended, ended{w.lastEnd, name, how, x.saved(time.Now())})
	w.event("end %s run %d: %s", name.Task, name.Run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// orderBody is the body of any call to a worker.
type orderBody struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"untilMs"`
	Fence        int64  `json:"fence"`
	Checkpointed string `json:"checkpointed"`
	Observed     int64  `json:"observed"`
	WaitMs       int64  `json:"waitMs"`
}

// read decodes the body of a call that is meant for this worker.
func (w *worker) read(out http.ResponseWriter, r *http.Request) (orderBody, bool) {
	var o orderBody
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.spec.ID {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	return o, true
}

// reply writes a response with the worker's clock.
func (w *worker) reply(out http.ResponseWriter, status int, reason string) {
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	body := map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	_ = json.NewEncoder(out).Encode(body)
}

// order returns the handler of an order, which a worker refuses under an outdated fencing token.
func (w *worker) order(handle func(orderBody) (int, string)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		o, ok := w.read(out, r)
		if !ok {
			return
		}
		w.mu.Lock()
		w.expire()
		status, reason := http.StatusConflict, "fence"
		if o.Fence >= w.fence {
			w.fence = o.Fence
			status, reason = handle(o)
		}
		w.mu.Unlock()
		w.reply(out, status, reason)
	}
}

// extend extends the lease, to maxHold from now at most. The caller holds the lock.
func (w *worker) extend(untilMs int64) {
	w.until = max(w.until, min(time.Duration(untilMs)*time.Millisecond, w.clock()+maxHold))
}

// start starts a run. The caller holds the lock.
func (w *worker) start(o orderBody) (int, string) {
	name := runName{o.Task, o.Run}
	if time.Duration(o.UntilMs)*time.Millisecond <= w.clock() {
		return http.StatusConflict, "late"
	}
	w.extend(o.UntilMs)
	if _, ok := w.runs[name]; ok {
		return http.StatusOK, ""
	}
	if o.Run <= w.closed[o.Task] {
		return http.StatusConflict, "old"
	}
	x := &running{spec: o.Spec, startedAt: time.Now(), length: 100 * time.Millisecond}
	for _, word := range strings.Fields(o.Spec) {
		key, value, _ := strings.Cut(word, "=")
		switch key {
		case "run":
			x.length, _ = time.ParseDuration(value)
		case "lasts":
			x.lasting = true
		case "saves":
			x.saves = true
		case "fails":
			x.fails = true
		}
	}
	if n, err := strconv.Atoi(o.Checkpointed); err == nil {
		x.base = time.Duration(n) * checkpointEach
	}
	w.runs[name] = x
	w.event("start %s run %d fence %d checkpointed %q", o.Task, o.Run, o.Fence, o.Checkpointed)
	how := "done"
	if x.fails {
		how = "failed"
	}
	length := x.length - x.base
	if x.lasting {
		length = 365 * 24 * time.Hour
	}
	x.timer = time.AfterFunc(length, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.expire()
		if w.runs[name] == x {
			w.end(name, how)
		}
	})
	return http.StatusOK, ""
}

// stop stops a run, or prevents its start. The caller holds the lock.
func (w *worker) stop(o orderBody) (int, string) {
	name := runName{o.Task, o.Run}
	w.closed[o.Task] = max(w.closed[o.Task], o.Run)
	if x, ok := w.runs[name]; ok && !x.stopping {
		x.stopping = true
		x.timer.Stop()
		w.event("stop %s run %d", o.Task, o.Run)
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.expire()
			if w.runs[name] == x {
				w.end(name, "stopped")
			}
		})
	}
	return http.StatusOK, ""
}

// hold serves a status poll.
func (w *worker) hold(out http.ResponseWriter, r *http.Request) {
	o, ok := w.read(out, r)
	if !ok {
		return
	}
	timeout := time.After(min(time.Duration(o.WaitMs)*time.Millisecond, 2*time.Second))
	for waiting := o.WaitMs > 0; ; {
		w.mu.Lock()
		w.expire()
		if o.Fence < w.fence {
			w.mu.Unlock()
			w.reply(out, http.StatusConflict, "fence")
			return
		}
		w.fence = o.Fence
		if o.UntilMs > 0 {
			w.extend(o.UntilMs)
			o.UntilMs = 0
		}
		for len(w.ended) > 0 && w.ended[0].seq <= o.Observed {
			w.ended = w.ended[1:]
		}
		if len(w.ended) > 0 || !waiting {
			body := w.status()
			w.mu.Unlock()
			out.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(out).Encode(body)
			return
		}
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// status returns the response to a status poll. The caller holds the lock.
func (w *worker) status() any {
	now := time.Now()
	list, finished := [][]any{}, [][]any{}
	for name, x := range w.runs {
		percent := 100
		if !x.lasting {
			percent = min(99, int(100*x.work(now)/max(x.length, 1)))
		}
		list = append(list, []any{name.Task, name.Run, x.saved(now), percent, 0})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListed)] {
		finished = append(finished, []any{e.seq, e.name.Task, e.name.Run, e.how, e.saved})
	}
	return map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "running": list, "finished": finished}
}
