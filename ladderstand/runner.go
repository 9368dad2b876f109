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

// stopTime is how long a stopped run takes to end.
const stopTime = 5 * time.Millisecond

// Runner is a worker of the members' platform. It guards nothing: it runs what it is
// told to, under the highest fence that it has seen, until its lease lapses. It
// notes when its room was overrun, or a task ran twice at once. It is safe for
// concurrent use.
type Runner struct {
	clock ladderclock.Clock
	spec  ladderflow.Worker
	// Work returns how long a run takes, and whether it fails.
	work func(ladderflow.Run, string) (time.Duration, bool)

	mu    sync.Mutex
	life  life
	began time.Time
	// starts counts the runs that began, by task.
	starts map[ladderflow.Task]int
	wake   chan struct{}
	// silent makes the runner answer nothing.
	silent bool
}

// life is what a runner knows between two crashes.
type life struct {
	born    int64
	fence   int64
	until   time.Duration
	running map[ladderflow.Run]*underway
	ended   []ladderflow.EndedRun
	number  int64
	// barred holds the highest run of each task that was stopped or has ended.
	barred map[ladderflow.Task]int
}

type underway struct {
	began time.Time
	takes time.Duration
	timer *time.Timer
}

// NewRunner returns a worker that runs nothing.
func NewRunner(clock ladderclock.Clock, spec ladderflow.Worker, work func(ladderflow.Run, string) (time.Duration, bool)) *Runner {
	r := &Runner{clock: clock, spec: spec, work: work, starts: map[ladderflow.Task]int{}, wake: make(chan struct{})}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reborn()
	return r
}

func (r *Runner) reborn() {
	for _, u := range r.life.running {
		u.timer.Stop()
	}
	r.began = r.clock.Now()
	r.life = life{
		born: max(r.began.UnixMilli(), r.life.born+1), running: map[ladderflow.Run]*underway{},
		barred: map[ladderflow.Task]int{},
	}
	r.spec.Born = r.life.born
}

// Crash ends all that runs and begins a new life, which knows nothing.
func (r *Runner) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reborn()
}

// Silence makes the runner answer nothing, or answer again. What runs goes on.
func (r *Runner) Silence(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = on
}

// Starts returns how many runs of a task have begun here.
func (r *Runner) Starts(t ladderflow.Task) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[t]
}

// Running returns the runs that are under way.
func (r *Runner) Running() []ladderflow.Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []ladderflow.Run
	for name := range r.life.running {
		list = append(list, name)
	}
	return list
}

// Register writes the runner's entry into a store.
func (r *Runner) Register(s *Store) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	value, err := platform.FormatWorker(r.spec)
	if err != nil {
		return err
	}
	s.Txn(platform.Txn{Writes: []platform.Write{{Key: platform.WorkerPrefix + r.spec.ID, Value: value}}})
	return nil
}

func (r *Runner) now() time.Duration { return r.clock.Now().Sub(r.began) }

// end takes a run off the list of those under way. The lock is held.
func (r *Runner) end(name ladderflow.Run, how ladderflow.How) {
	u, ok := r.life.running[name]
	if !ok {
		return
	}
	u.timer.Stop()
	delete(r.life.running, name)
	r.life.number++
	r.life.barred[name.Task] = max(r.life.barred[name.Task], name.Number)
	r.life.ended = append(r.life.ended, ladderflow.EndedRun{Number: r.life.number, Run: name, How: how})
	close(r.wake)
	r.wake = make(chan struct{})
}

// lapse ends everything once the lease has run out. The lock is held.
func (r *Runner) lapse() {
	if r.now() <= r.life.until {
		return
	}
	for name := range r.life.running {
		r.end(name, ladderflow.EndLapsed)
	}
}

// Handler returns the runner's HTTP interface.
func (r *Runner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", r.serve(r.start))
	mux.HandleFunc("POST /-/run-stop", r.serve(r.stop))
	mux.HandleFunc("POST /-/pace", r.serve(func(order) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /-/hold", r.hold)
	return mux
}

// order is the body of each call to a worker.
type order struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	Payload string `json:"spec"`
	Until   int64  `json:"untilMs"`
	Fence   int64  `json:"fence"`
	Noted   int64  `json:"observed"`
	Wait    int64  `json:"waitMs"`
}

// read decodes a call for this life of the runner. It is false when it was answered.
func (r *Runner) read(w http.ResponseWriter, q *http.Request) (order, bool) {
	r.mu.Lock()
	silent, id := r.silent, r.spec.ID
	r.mu.Unlock()
	var o order
	if silent {
		// The body is read so that the server notices when the caller leaves.
		_, _ = io.Copy(io.Discard, q.Body)
		<-q.Context().Done()
		return o, false
	}
	if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if err := json.NewDecoder(io.LimitReader(q.Body, maxBody)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return o, false
	}
	return o, true
}

// serve serves an order about one run.
func (r *Runner) serve(carryOut func(order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		o, ok := r.read(w, q)
		if !ok {
			return
		}
		r.mu.Lock()
		r.lapse()
		status, why := http.StatusConflict, "fence"
		if o.Fence >= r.life.fence {
			r.life.fence = o.Fence
			status, why = carryOut(o)
		}
		clock := r.now().Milliseconds()
		r.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		// A caller that has left can't be told anything more.
		_ = json.NewEncoder(w).Encode(struct {
			Clock  int64  `json:"clockMs"`
			Reason string `json:"reason,omitempty"`
		}{clock, why})
	}
}

func (r *Runner) start(o order) (int, string) {
	t, err := platform.ParseTask(o.Task)
	if err != nil {
		return http.StatusBadRequest, err.Error()
	}
	name := ladderflow.Run{Task: t, Number: o.Run}
	until := time.Duration(o.Until) * time.Millisecond
	r.life.until = max(r.life.until, until)
	if _, ok := r.life.running[name]; ok {
		return http.StatusOK, ""
	}
	switch {
	case o.Run <= r.life.barred[t]:
		return http.StatusConflict, "old"
	case until <= r.now():
		return http.StatusConflict, "late"
	}
	takes, fails := r.work(name, o.Payload)
	how := ladderflow.EndDone
	if fails {
		how = ladderflow.EndFailed
	}
	u := &underway{began: r.clock.Now(), takes: takes}
	u.timer = time.AfterFunc(takes, func() { r.later(name, how) })
	r.life.running[name] = u
	r.starts[t]++
	return http.StatusOK, ""
}

func (r *Runner) later(name ladderflow.Run, how ladderflow.How) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lapse()
	r.end(name, how)
}

func (r *Runner) stop(o order) (int, string) {
	t, err := platform.ParseTask(o.Task)
	if err != nil {
		return http.StatusBadRequest, err.Error()
	}
	r.life.barred[t] = max(r.life.barred[t], o.Run)
	name := ladderflow.Run{Task: t, Number: o.Run}
	if u, ok := r.life.running[name]; ok {
		u.timer.Stop()
		time.AfterFunc(stopTime, func() { r.later(name, ladderflow.EndStopped) })
	}
	return http.StatusOK, ""
}

// hold serves a look, which waits for an end where it is asked to.
func (r *Runner) hold(w http.ResponseWriter, q *http.Request) {
	o, ok := r.read(w, q)
	if !ok {
		return
	}
	end := time.After(time.Duration(o.Wait) * time.Millisecond)
	for {
		r.mu.Lock()
		r.lapse()
		if o.Fence < r.life.fence {
			r.mu.Unlock()
			w.WriteHeader(http.StatusConflict)
			writeJSON(w, map[string]any{"reason": "fence"})
			return
		}
		r.life.fence = o.Fence
		r.life.until = max(r.life.until, time.Duration(o.Until)*time.Millisecond)
		first := sort.Search(len(r.life.ended), func(i int) bool { return r.life.ended[i].Number > o.Noted })
		r.life.ended = r.life.ended[first:]
		reply, wake := r.account(), r.wake
		some := len(r.life.ended) > 0
		r.mu.Unlock()
		if some || o.Wait == 0 {
			writeJSON(w, reply)
			return
		}
		select {
		case <-wake:
		case <-end:
			o.Wait = 0
		case <-q.Context().Done():
			return
		}
	}
}

// account returns the answer to a look. The lock is held.
func (r *Runner) account() any {
	running, ended := [][]any{}, [][]any{}
	for name, u := range r.life.running {
		percent := min(99, int(100*r.clock.Now().Sub(u.began)/max(u.takes, 1)))
		running = append(running, []any{platform.FormatTask(name.Task), name.Number, "", percent, 0})
	}
	sort.Slice(running, func(i, j int) bool {
		return strings.Compare(running[i][0].(string), running[j][0].(string)) < 0
	})
	for _, e := range r.life.ended {
		ended = append(ended, []any{e.Number, platform.FormatTask(e.Run.Task), e.Run.Number, e.How, e.Saved})
	}
	return struct {
		Clock   int64   `json:"clockMs"`
		Born    int64   `json:"born"`
		Running [][]any `json:"running"`
		Ended   [][]any `json:"finished"`
	}{r.now().Milliseconds(), r.life.born, running, ended}
}
