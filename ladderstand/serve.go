package ladderstand

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lacewingladder/laddermodel"
	"lacewingladder/ladderworker"
)

// maxBody bounds a task's body in bytes.
const maxBody = 8 << 20

// lateTime is by how much a worker with the late switch holds its answers back.
const lateTime = 3 * time.Second

// Server offers a [Worker] over HTTP, with switches for its faults.
type Server struct {
	worker *Worker
	flags  Flags
	// last is the newest answer, for the swapped switch.
	last lastAnswer
}

// Flags are the faults of a served worker.
type Flags struct {
	// Failing makes every task fail at once.
	Failing atomic.Bool
	// Paused makes the worker answer nothing.
	Paused atomic.Bool
	// Silent makes the worker answer nothing on connections that are open.
	Silent atomic.Bool
	// Cut, Swapped and Late spoil answers: half of it, another task's, or
	// seconds after its time.
	Cut     atomic.Bool
	Swapped atomic.Bool
	Late    atomic.Bool
	// opened counts connections, to tell old from new ones.
	silentBefore atomic.Int64
}

type lastAnswer struct {
	mu   sync.Mutex
	task string
	body []byte
}

// NewServer returns a server of a worker without faults.
func NewServer(w *Worker) *Server { return &Server{worker: w} }

// Worker returns the served worker.
func (s *Server) Worker() *Worker { return s.worker }

// Flags returns the server's faults.
func (s *Server) Flags() *Flags { return &s.flags }

// Handler returns the server's HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /claim", s.claim)
	mux.HandleFunc("POST /tasks", s.start)
	mux.HandleFunc("GET /tasks", s.look)
	mux.HandleFunc("DELETE /tasks", s.revoke)
	mux.HandleFunc("POST /checkpoint", s.checkpoint)
	mux.HandleFunc("POST /throttle", s.throttle)
	mux.HandleFunc("GET /records", s.records)
	mux.HandleFunc("POST /switch", s.set)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faulty := r.URL.Path == "/claim" || r.URL.Path == "/tasks"
		if faulty && (s.flags.Paused.Load() || s.silenced(r)) {
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// silenced reports whether the request came over a connection that went silent.
func (s *Server) silenced(r *http.Request) bool {
	number, ok := r.Context().Value(connectionNumberKey{}).(int64)
	return ok && s.flags.Silent.Load() && number <= s.flags.silentBefore.Load()
}

func (s *Server) claim(w http.ResponseWriter, r *http.Request) {
	var q ladderworker.ClaimQuery
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var state ClaimState
	if q.Release {
		state = s.worker.Release(q.Holder)
	} else {
		state = s.worker.Claim(q.Holder, time.Duration(q.Lease), time.Duration(q.Since), q.Version)
	}
	writeJSON(w, s.fromState(state))
}

func (s *Server) fromState(c ClaimState) ladderworker.ClaimReply {
	reply := ladderworker.ClaimReply{
		Granted: c.Granted, Holder: c.Holder, Epoch: c.Epoch, Boot: s.worker.spec.Boot, Age: int64(c.Age),
		Until: int64(c.Until), Left: int64(c.Left), Leaving: c.Leaving,
		Report: ladderworker.ReportReply{
			Epoch: c.Report.Epoch, At: int64(c.Report.At), Version: c.Report.Version, Same: c.Report.Same,
		},
	}
	for _, t := range c.Report.Running {
		reply.Report.Running = append(reply.Report.Running, ladderworker.RunningReply{
			Task: t.Task, Kind: t.Kind.String(), Slots: t.Size.Slots, Millicores: t.Size.Millicores,
			Memory: t.Size.Memory, Accelerators: t.Size.Accelerators, Observed: t.Size.Memory,
		})
	}
	for _, e := range c.Report.Ended {
		reply.Report.Ended = append(reply.Report.Ended, ladderworker.EndedReply{
			Task: e.Task, Failed: e.Failed, Stopped: e.Stopped,
		})
	}
	return reply
}

func (s *Server) start(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	task, err := parseStart(r.Header, body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	stop, refused := s.worker.Start(task)
	if refused != Accepted {
		w.Header().Set(ladderworker.HeaderRefusal, string(refused))
		w.WriteHeader(http.StatusConflict)
		return
	}
	if task.Kind != laddermodel.Urgent {
		go s.runJob(task, stop)
		s.answer(w, task.Task, http.StatusAccepted, nil)
		return
	}
	w.WriteHeader(http.StatusProcessing)
	failed, answer, stopped := s.run(task, stop)
	if stopped || !s.worker.End(task.Task, failed, answer) {
		return
	}
	s.reply(w, task.Task, failed, answer)
}

// runJob runs a task of a job to its end.
func (s *Server) runJob(t Start, stop <-chan struct{}) {
	failed, answer, stopped := s.run(t, stop)
	if !stopped {
		s.worker.End(t.Task, failed, answer)
	}
}

// run spends the task's run time and makes its answer.
func (s *Server) run(t Start, stop <-chan struct{}) (failed bool, answer []byte, stopped bool) {
	wish := parseWish(t.Body)
	if s.flags.Failing.Load() {
		return true, nil, false
	}
	timer := time.NewTimer(wish.run)
	defer timer.Stop()
	var forever <-chan time.Time
	if !wish.endless {
		forever = timer.C
	}
	select {
	case <-forever:
	case <-stop:
		return false, nil, true
	}
	return wish.fail, append([]byte("answer to "), t.Body...), false
}

// reply sends a task's answer, spoiled as the switches say.
func (s *Server) reply(w http.ResponseWriter, task string, failed bool, body []byte) {
	status := http.StatusOK
	if failed {
		status = http.StatusInternalServerError
	}
	s.last.mu.Lock()
	otherTask, otherBody := s.last.task, s.last.body
	s.last.task, s.last.body = task, body
	s.last.mu.Unlock()
	switch {
	case s.flags.Swapped.Load() && otherTask != "":
		s.answer(w, otherTask, status, otherBody)
	case s.flags.Cut.Load():
		w.Header().Set(ladderworker.HeaderTask, task)
		w.Header().Set(ladderworker.HeaderLength, strconv.Itoa(len(body)))
		w.WriteHeader(status)
		_, _ = w.Write(body[:len(body)/2])
	case s.flags.Late.Load():
		time.Sleep(lateTime)
		s.answer(w, task, status, body)
	default:
		s.answer(w, task, status, body)
	}
}

func (s *Server) answer(w http.ResponseWriter, task string, status int, body []byte) {
	w.Header().Set(ladderworker.HeaderTask, task)
	w.Header().Set(ladderworker.HeaderLength, strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *Server) look(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, ladderworker.RevokeReply{State: s.worker.Look(r.URL.Query().Get("task"))})
}

func (s *Server) checkpoint(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, ladderworker.RevokeReply{State: s.worker.Checkpoint(r.URL.Query().Get("task"))})
}

func (s *Server) throttle(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	millicores, err := strconv.Atoi(query.Get("millicores"))
	if err != nil {
		http.Error(w, "millicores: "+err.Error(), http.StatusBadRequest)
		return
	}
	if !s.worker.Throttle(query.Get("task"), millicores) {
		http.Error(w, "the task can not be throttled", http.StatusConflict)
		return
	}
	writeJSON(w, ladderworker.RevokeReply{State: "running"})
}

func (s *Server) revoke(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	boot, err := strconv.ParseUint(query.Get("boot"), 10, 64)
	if err != nil {
		http.Error(w, "boot: "+err.Error(), http.StatusBadRequest)
		return
	}
	state, e := s.worker.Revoke(query.Get("task"), boot)
	writeJSON(w, ladderworker.RevokeReply{State: state, Failed: e.Failed, Length: len(e.Body), Body: e.Body})
}

func (s *Server) records(w http.ResponseWriter, _ *http.Request) {
	encoder := json.NewEncoder(w)
	for _, r := range s.worker.Records() {
		if encoder.Encode(toRecordJSON(r)) != nil {
			return
		}
	}
}

// set turns switches on and off: POST /switch?failing=true&cut=false.
func (s *Server) set(w http.ResponseWriter, r *http.Request) {
	flags := map[string]*atomic.Bool{
		"failing": &s.flags.Failing, "paused": &s.flags.Paused, "silent": &s.flags.Silent,
		"cut": &s.flags.Cut, "swapped": &s.flags.Swapped, "late": &s.flags.Late,
	}
	for name, values := range r.URL.Query() {
		on := values[0] == "true"
		switch flag, ok := flags[name]; {
		case name == "leaving":
			s.worker.SetLeaving(on)
		case ok:
			s.flags.silentBefore.Store(openedConnections.Load())
			flag.Store(on)
		default:
			http.Error(w, fmt.Sprintf("switch %q is unknown", name), http.StatusBadRequest)
			return
		}
	}
}

// wish is what a task's body asks of the stand-in: "run=50ms fail endless".
type wish struct {
	run     time.Duration
	fail    bool
	endless bool
}

func parseWish(body []byte) wish {
	line, _, _ := strings.Cut(string(body[:min(len(body), 200)]), "\n")
	var w wish
	for _, word := range strings.Fields(line) {
		if text, ok := strings.CutPrefix(word, "run="); ok {
			if d, err := time.ParseDuration(text); err == nil {
				w.run = d
			}
		}
		w.fail = w.fail || word == "fail"
		w.endless = w.endless || word == "endless"
	}
	return w
}

// parseStart reads a start from its headers.
func parseStart(h http.Header, body []byte) (Start, error) {
	s := Start{
		Task: h.Get(ladderworker.HeaderTask), Member: h.Get(ladderworker.HeaderMember),
		Class: h.Get(ladderworker.HeaderClass), Body: body,
	}
	var err error
	number := func(name string) int64 {
		n, e := strconv.ParseInt(h.Get(name), 10, 64)
		if e != nil && err == nil {
			err = fmt.Errorf("header %s: %w", name, e)
		}
		return n
	}
	duration := func(name string) time.Duration {
		d, e := time.ParseDuration(h.Get(name))
		if e != nil && err == nil {
			err = fmt.Errorf("header %s: %w", name, e)
		}
		return d
	}
	s.Size = laddermodel.Size{
		Slots: int(number(ladderworker.HeaderSlots)), Millicores: int(number(ladderworker.HeaderMillicores)),
		Memory: number(ladderworker.HeaderMemory), Accelerators: int(number(ladderworker.HeaderAccelerators)),
	}
	s.Boot, s.Epoch = uint64(number(ladderworker.HeaderBoot)), uint64(number(ladderworker.HeaderEpoch))
	s.Lease, s.Until = duration(ladderworker.HeaderLease), duration(ladderworker.HeaderUntil)
	kind, e := laddermodel.ParseKind(h.Get(ladderworker.HeaderKind))
	if e != nil && err == nil {
		err = e
	}
	s.Kind = kind
	if s.Task == "" && err == nil {
		err = fmt.Errorf("header %s is missing", ladderworker.HeaderTask)
	}
	return s, err
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
