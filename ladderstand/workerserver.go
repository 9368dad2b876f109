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

// maxBody is the maximum size of a request's body in bytes.
const maxBody = 8 << 20

// lateAnswerDelay is how long the switch late delays answers.
const lateAnswerDelay = 3 * time.Second

// WorkerServer serves a [Worker] over HTTP. It simulates the duration and the answers of the
// tasks that the worker accepts, and it simulates faults. It is safe for concurrent use.
type WorkerServer struct {
	worker *Worker
	faults Faults
	// lastAnswer is the answer of the last urgent task that ended. The switch swapped sends it
	// in place of the next task's answer.
	lastAnswer taskAnswer
}

// Faults holds the switches of the faults of a [WorkerServer].
type Faults struct {
	// FailTasks makes every task fail at once. Its switch is failing.
	FailTasks atomic.Bool
	// Unresponsive makes the worker leave calls about claims and tasks without a
	// response. Its switch is paused.
	Unresponsive atomic.Bool
	// UnresponsiveConnections does the same, but only on the connections with numbers up
	// to lastUnresponsiveConnection. Its switch is silent.
	UnresponsiveConnections atomic.Bool
	// TruncateAnswers cuts answers of urgent tasks to half their length. Its switch is cut.
	TruncateAnswers atomic.Bool
	// SwapAnswers replaces the answer of an urgent task by that of the previous one. Its
	// switch is swapped.
	SwapAnswers atomic.Bool
	// DelayAnswers delays answers of urgent tasks by lateAnswerDelay. Its switch is late.
	DelayAnswers atomic.Bool
	// lastUnresponsiveConnection is the number of the newest connection at the time when
	// any of these switches was last set.
	lastUnresponsiveConnection atomic.Int64
}

// taskAnswer is the answer of an urgent task.
type taskAnswer struct {
	mu   sync.Mutex
	task string
	body []byte
}

// NewWorkerServer returns a server of a worker, without faults.
func NewWorkerServer(w *Worker) *WorkerServer { return &WorkerServer{worker: w} }

// Worker returns the served worker.
func (s *WorkerServer) Worker() *Worker { return s.worker }

// Faults returns the server's faults.
func (s *WorkerServer) Faults() *Faults { return &s.faults }

// Handler returns the HTTP interface of the worker.
func (s *WorkerServer) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /claim", s.claim)
	mux.HandleFunc("POST /tasks", s.start)
	mux.HandleFunc("GET /tasks", s.taskState)
	mux.HandleFunc("DELETE /tasks", s.revoke)
	mux.HandleFunc("POST /checkpoint", s.checkpoint)
	mux.HandleFunc("POST /throttle", s.throttle)
	mux.HandleFunc("GET /records", s.records)
	mux.HandleFunc("POST /switch", s.setSwitches)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		affected := r.URL.Path == "/claim" || r.URL.Path == "/tasks"
		if affected && (s.faults.Unresponsive.Load() || s.onUnresponsiveConnection(r)) {
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// onUnresponsiveConnection reports whether a request came over a connection on which
// the worker does not respond.
func (s *WorkerServer) onUnresponsiveConnection(r *http.Request) bool {
	number, ok := r.Context().Value(connectionNumberKey{}).(int64)
	return ok && s.faults.UnresponsiveConnections.Load() && number <= s.faults.lastUnresponsiveConnection.Load()
}

// claim serves POST /claim.
func (s *WorkerServer) claim(w http.ResponseWriter, r *http.Request) {
	var request ladderworker.ClaimRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var state ClaimState
	if request.Release {
		state = s.worker.Release(request.Holder)
	} else {
		state = s.worker.Claim(request.Holder, time.Duration(request.Lease), time.Duration(request.Since), request.Version)
	}
	writeJSON(w, s.claimReply(state))
}

// claimReply converts the state of a claim to its JSON form.
func (s *WorkerServer) claimReply(c ClaimState) ladderworker.ClaimReply {
	reply := ladderworker.ClaimReply{
		Granted: c.Granted, Holder: c.Holder, Epoch: c.Epoch, Boot: s.worker.spec.Boot, Age: int64(c.Uptime),
		Until: int64(c.Until), Left: int64(c.Remaining), Leaving: c.Leaving,
		Report: ladderworker.ReportReply{
			Epoch: c.Report.Epoch, At: int64(c.Report.At), Version: c.Report.Version, Same: c.Report.Unchanged,
		},
	}
	for _, t := range c.Report.Running {
		// The memory in use, Observed, is simulated as the memory that was requested.
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

// start serves POST /tasks. It responds to the start of an urgent task with status 102
// and then, when the task has ended, with its answer. If an urgent task is stopped, the
// final response is empty and names no task, so that the client does not accept it as
// an answer.
func (s *WorkerServer) start(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	task, err := parseStart(r.Header, body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	stop, refusal := s.worker.Start(task)
	if refusal != Accepted {
		w.Header().Set(ladderworker.HeaderRefusal, string(refusal))
		w.WriteHeader(http.StatusConflict)
		return
	}
	if task.Kind != laddermodel.Urgent {
		go s.runJobTask(task, stop)
		s.writeAnswer(w, task.Task, http.StatusAccepted, nil)
		return
	}
	w.WriteHeader(http.StatusProcessing)
	failed, answer, stopped := s.run(task, stop)
	if stopped || !s.worker.End(task.Task, failed, answer) {
		return
	}
	s.sendAnswer(w, task.Task, failed, answer)
}

// runJobTask runs a task of a job until it ends.
func (s *WorkerServer) runJobTask(task Start, stop <-chan struct{}) {
	failed, answer, stopped := s.run(task, stop)
	if !stopped {
		s.worker.End(task.Task, failed, answer)
	}
}

// run waits for the duration of the task, or until it is stopped, and returns the task's
// result.
func (s *WorkerServer) run(task Start, stop <-chan struct{}) (failed bool, answer []byte, stopped bool) {
	behavior := parseBehavior(task.Body)
	if s.faults.FailTasks.Load() {
		return true, nil, false
	}
	timer := time.NewTimer(behavior.duration)
	defer timer.Stop()
	var finished <-chan time.Time
	if !behavior.endless {
		finished = timer.C
	}
	select {
	case <-finished:
	case <-stop:
		return false, nil, true
	}
	return behavior.fail, append([]byte("answer to "), task.Body...), false
}

// sendAnswer sends the answer of an urgent task, with the faults whose switches are set.
func (s *WorkerServer) sendAnswer(w http.ResponseWriter, task string, failed bool, body []byte) {
	status := http.StatusOK
	if failed {
		status = http.StatusInternalServerError
	}
	s.lastAnswer.mu.Lock()
	previousTask, previousBody := s.lastAnswer.task, s.lastAnswer.body
	s.lastAnswer.task, s.lastAnswer.body = task, body
	s.lastAnswer.mu.Unlock()
	switch {
	case s.faults.SwapAnswers.Load() && previousTask != "":
		s.writeAnswer(w, previousTask, status, previousBody)
	case s.faults.TruncateAnswers.Load():
		w.Header().Set(ladderworker.HeaderTask, task)
		w.Header().Set(ladderworker.HeaderLength, strconv.Itoa(len(body)))
		w.WriteHeader(status)
		_, _ = w.Write(body[:len(body)/2])
	case s.faults.DelayAnswers.Load():
		time.Sleep(lateAnswerDelay)
		s.writeAnswer(w, task, status, body)
	default:
		s.writeAnswer(w, task, status, body)
	}
}

// writeAnswer writes an answer with the headers that identify it.
func (s *WorkerServer) writeAnswer(w http.ResponseWriter, task string, status int, body []byte) {
	w.Header().Set(ladderworker.HeaderTask, task)
	w.Header().Set(ladderworker.HeaderLength, strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// taskState serves GET /tasks.
func (s *WorkerServer) taskState(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, ladderworker.TaskStateReply{State: s.worker.State(r.URL.Query().Get("task"))})
}

// checkpoint serves POST /checkpoint.
func (s *WorkerServer) checkpoint(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, ladderworker.TaskStateReply{State: s.worker.Checkpoint(r.URL.Query().Get("task"))})
}

// throttle serves POST /throttle.
func (s *WorkerServer) throttle(w http.ResponseWriter, r *http.Request) {
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
	writeJSON(w, ladderworker.TaskStateReply{State: "running"})
}

// revoke serves DELETE /tasks.
func (s *WorkerServer) revoke(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	boot, err := strconv.ParseUint(query.Get("boot"), 10, 64)
	if err != nil {
		http.Error(w, "boot: "+err.Error(), http.StatusBadRequest)
		return
	}
	state, ended := s.worker.Revoke(query.Get("task"), boot)
	writeJSON(w, ladderworker.TaskStateReply{State: state, Failed: ended.Failed, Length: len(ended.Body), Body: ended.Body})
}

// records serves GET /records: one JSON object on each line.
func (s *WorkerServer) records(w http.ResponseWriter, _ *http.Request) {
	encoder := json.NewEncoder(w)
	for _, r := range s.worker.Records() {
		if encoder.Encode(toRecordJSON(r)) != nil {
			return
		}
	}
}

// setSwitches sets the switches in a query, such as POST /switch?failing=true&cut=false.
// The package comment lists them. After an unknown switch, the other switches of the
// query may or may not be set.
func (s *WorkerServer) setSwitches(w http.ResponseWriter, r *http.Request) {
	switches := map[string]*atomic.Bool{
		"failing": &s.faults.FailTasks, "paused": &s.faults.Unresponsive,
		"silent": &s.faults.UnresponsiveConnections, "cut": &s.faults.TruncateAnswers,
		"swapped": &s.faults.SwapAnswers, "late": &s.faults.DelayAnswers,
	}
	for name, values := range r.URL.Query() {
		on := values[0] == "true"
		switch fault, ok := switches[name]; {
		case name == "leaving":
			s.worker.SetLeaving(on)
		case ok:
			s.faults.lastUnresponsiveConnection.Store(openedConnections.Load())
			fault.Store(on)
		default:
			http.Error(w, fmt.Sprintf("switch %q is unknown", name), http.StatusBadRequest)
			return
		}
	}
}

// behavior is how a task is simulated. The first line of the task's body sets it, such as
// "run=50ms fail" or "endless".
type behavior struct {
	duration time.Duration
	fail     bool
	// endless makes the task run until it is stopped.
	endless bool
}

// parseBehavior reads a task's behavior from the first 200 bytes of its body. It ignores
// words that it does not know.
func parseBehavior(body []byte) behavior {
	line, _, _ := strings.Cut(string(body[:min(len(body), 200)]), "\n")
	var parsed behavior
	for _, word := range strings.Fields(line) {
		if text, ok := strings.CutPrefix(word, "run="); ok {
			if d, err := time.ParseDuration(text); err == nil {
				parsed.duration = d
			}
		}
		parsed.fail = parsed.fail || word == "fail"
		parsed.endless = parsed.endless || word == "endless"
	}
	return parsed
}

// parseStart reads a start from the headers of its request. It returns the first error
// that it finds.
func parseStart(h http.Header, body []byte) (Start, error) {
	s := Start{
		Task: h.Get(ladderworker.HeaderTask), Member: h.Get(ladderworker.HeaderMember),
		Class: h.Get(ladderworker.HeaderClass), Body: body,
	}
	var err error
	integer := func(name string) int64 {
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
		Slots: int(integer(ladderworker.HeaderSlots)), Millicores: int(integer(ladderworker.HeaderMillicores)),
		Memory: integer(ladderworker.HeaderMemory), Accelerators: int(integer(ladderworker.HeaderAccelerators)),
	}
	s.Boot, s.Epoch = uint64(integer(ladderworker.HeaderBoot)), uint64(integer(ladderworker.HeaderEpoch))
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

// writeJSON writes a response in JSON. It ignores errors, which mean that the caller
// closed the connection.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
