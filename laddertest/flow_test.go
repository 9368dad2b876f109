package laddertest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderflow"
	"lacewingladder/ladderjournal"
	"lacewingladder/ladderstand"
	"lacewingladder/platform"
)

// flow is a running deployment on a stand-in of the members' platform: the entry
// VMs are processes, the platform and the workers belong to the test.
type flow struct {
	t        *testing.T
	dir      string
	platform *ladderstand.Platform
	address  string
	advice   string
	runners  []*ladderstand.Runner
	vms      []*flowVM
	client   *http.Client
	jobs     atomic.Int64
	// share is the processor of the VMs that start next, of one core.
	share float64
	// takes is how long a run takes; nil means briefly.
	takes func(ladderflow.Run, string) (time.Duration, bool)
}

// flowVM is an entry VM's process.
type flowVM struct {
	*process
	callers  string
	ready    string
	settings string
	log      string
	metrics  string
}

const flowConfig = `{"version":%d,"routes":[
 {"name":"booths","host":"fit.example","prefix":"/fit/","kind":"unsafe","timeoutMs":3000,"goalMs":400,"priority":0,"service":"fitting","attempts":3,"stretchFactor":2,"advice":{"decideMs":2,"periodMs":0.1,"validMs":2000}},
 {"name":"regrades","host":"fit.example","prefix":"/regrade/","kind":"unsafe","timeoutMs":3000,"goalMs":1200,"priority":1,"service":"fitting","attempts":2,"stretchFactor":4}%s],
 "services":[{"name":"fitting","healthPath":"/health","maxConns":64,"proto":"h1","tls":false,"admissionCheck":false,"standby":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// startFlow starts a platform, workers and three entry VMs, and waits until they serve.
func startFlow(t *testing.T, workers int, takes func(ladderflow.Run, string) (time.Duration, bool)) *flow {
	t.Helper()
	f := &flow{t: t, share: 0.4, dir: t.TempDir(), client: &http.Client{Timeout: 5 * time.Second}, takes: takes}
	f.platform = ladderstand.NewPlatform(ladderclock.System{})
	f.address = f.serve(f.platform.Handler())
	f.advice = f.serve((&ladderstand.Advice{Takes: 2 * time.Millisecond, Valid: 2 * time.Second}).Handler())
	if takes == nil {
		takes = func(ladderflow.Run, string) (time.Duration, bool) { return 20 * time.Millisecond, false }
	}
	for i := range workers {
		spec := ladderflow.Worker{
			ID: fmt.Sprintf("w%d", i), Service: "fitting", Zone: zones[i%3].name, Labels: []string{"a", fmt.Sprintf("r%d", i/4)},
			Capacity: ladderflow.Size{Processor: 8000, Memory: 16000},
		}
		// The runner needs its own address for its entry, so the server comes first.
		late := &lateHandler{}
		spec.Address = netip.MustParseAddrPort(f.serve(late))
		r := ladderstand.NewRunner(ladderclock.System{}, spec, takes)
		late.handler.Store(ptr(r.Handler()))
		require.NoError(t, r.Register(f.platform.Store()))
		f.runners = append(f.runners, r)
	}
	f.configure(1, "")
	for i := range 3 {
		f.startVM(fmt.Sprintf("e%d", i))
	}
	f.awaitReady()
	return f
}

type lateHandler struct{ handler atomic.Pointer[http.Handler] }

func (l *lateHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	(*l.handler.Load()).ServeHTTP(w, r)
}

func ptr[T any](v T) *T { return &v }

func (f *flow) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	f.t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return strings.TrimPrefix(s.URL, "http://")
}

// configure writes a version of the operators' configuration.
func (f *flow) configure(version int, more string) {
	value := []byte(fmt.Sprintf(flowConfig, version, more))
	_, err := platform.ParseFleet(value)
	require.NoError(f.t, err)
	f.platform.Store().Txn(platform.Txn{Writes: []platform.Write{{Key: platform.FleetKey, Value: value}}})
}

// startVM starts an entry VM's process.
func (f *flow) startVM(name string) {
	f.t.Helper()
	peers, last := freePort(f.t, "udp"), freePort(f.t, "tcp")
	v := &flowVM{
		callers: freePort(f.t, "tcp"), ready: freePort(f.t, "tcp"), metrics: last,
		settings: filepath.Join(f.dir, name+".yaml"), log: filepath.Join(f.dir, name+".log"),
	}
	first := netip.MustParseAddrPort(peers).Port()
	text := fmt.Sprintf(`
nodeName: %q
ip: "127.0.0.1"
zone: "taoyuan-a"
region: "tw-north"
zones: {taoyuan-a: "tw-north"}
listen: {front: %q, ready: %q}
portRange: [%d, %d]
bounds: {stableMs: 3000, graceS: 6, maxHoldMs: 10000, stopTimeoutMs: 900, gangTimeoutMs: 3000, status_s: 120, remoteFactor: 2}
advice: %q
platform: {addr: %q, writesPerS: 400, readsPerS: 2000, minTtlMs: 1000}
limits: {memoryMb: 284, cpuShare: %v, cores: 1}
unknown: {stays: unread}
`, name, v.callers, v.ready, first, first, f.advice, f.address, f.share)
	require.NoError(f.t, os.WriteFile(v.settings, []byte(text), 0o600))
	f.vms = append(f.vms, v)
	f.launch(v, name)
}

// launch starts, or starts again, an entry VM's process.
func (f *flow) launch(v *flowVM, name string) {
	f.t.Helper()
	log, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = log.Close() })
	port := netip.MustParseAddrPort(v.metrics).Port()
	command := exec.Command(filepath.Join(programs, "lacewingladder"), "entry", "-level", "debug", "-metrics", fmt.Sprint(port))
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+v.settings)
	command.Stdout, command.Stderr = log, log
	v.process = &process{name: name, command: command, exited: make(chan struct{})}
	(&cell{t: f.t}).launch(v.process)
}

func (f *flow) awaitReady() {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		for _, v := range f.vms {
			r, err := f.client.Get("http://" + v.ready + "/-/ready")
			if err != nil {
				return false
			}
			_ = r.Body.Close()
			if r.StatusCode != http.StatusOK {
				return false
			}
		}
		return f.leader() != nil
	}, 10*time.Second, 20*time.Millisecond, "the VMs are not ready")
}

// leader returns the VM that the store names as the leader, or nil.
func (f *flow) leader() *flowVM {
	item, ok, _ := f.platform.Store().Get(ladderjournal.LeaderKey)
	if !ok {
		return nil
	}
	for _, v := range f.vms {
		if bytes.Contains(item.Value, []byte(v.name)) {
			return v
		}
	}
	return nil
}

// call makes a caller's request.
func (f *flow) call(v *flowVM, method, path, body string) (int, string, http.Header) {
	f.t.Helper()
	r, err := http.NewRequest(method, "http://"+v.callers+path, strings.NewReader(body))
	require.NoError(f.t, err)
	r.Host = "fit.example"
	r.Header.Set("Deadline-Ms", "3000")
	response, err := f.client.Do(r)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	return response.StatusCode, string(data), response.Header
}

// submit hands in a job and returns its path.
func (f *flow) submit(v *flowVM, prefix, steps string) string {
	f.t.Helper()
	path := fmt.Sprintf("%s%016x", prefix, f.jobs.Add(1))
	status, body, _ := f.call(v, http.MethodPost, path, `{"spec":"cut","steps":`+steps+`}`)
	require.Equal(f.t, http.StatusOK, status, body)
	return path
}

// state asks a VM for a job's state, which is empty where it is not told.
func (f *flow) state(v *flowVM, path string) string {
	status, body, _ := f.call(v, http.MethodGet, path, "")
	if status == http.StatusGone {
		return "gone"
	}
	var s struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(body), &s) != nil {
		return ""
	}
	return s.State
}

// await waits until a job is in a state at every VM that runs.
func (f *flow) await(path, state string, limit time.Duration) {
	f.t.Helper()
	last := ""
	require.Eventually(f.t, func() bool {
		for _, v := range f.vms {
			select {
			case <-v.exited:
				continue
			default:
			}
			if last = f.state(v, path); last != state {
				return false
			}
		}
		return true
	}, limit, 15*time.Millisecond, "job %s is %q, not %q", path, last, state)
}

// starts returns how often a task of a job has begun on any worker.
func (f *flow) starts(path string, step, index int) int {
	id := path[strings.LastIndex(path, "/")+1:]
	n := 0
	for _, r := range f.runners {
		n += r.Starts(ladderflow.Task{Job: id, Step: step, Index: index})
	}
	return n
}

const (
	twoTasks  = `[{"count":2,"cpu":1000,"memMb":100,"estimateMs":20}]`
	gangThen  = `[{"count":3,"cpu":4000,"memMb":100,"estimateMs":20,"gang":true},{"count":2,"cpu":1000,"memMb":10,"estimateMs":20,"after":[0]}]`
	longTasks = `[{"count":4,"cpu":1000,"memMb":100,"estimateMs":1500}]`
)

func TestFlowServesJobs(t *testing.T) {
	f := startFlow(t, 6, nil)
	for name, c := range map[string]struct{ prefix, steps string }{
		"two tasks with advice":    {"/fit/", twoTasks},
		"two tasks without advice": {"/regrade/", twoTasks},
		"a gang, then tasks":       {"/regrade/", gangThen},
		"a gang with advice":       {"/fit/", gangThen},
	} {
		t.Run(name, func(t *testing.T) {
			f.t = t
			path := f.submit(f.vms[0], c.prefix, c.steps)
			f.await(path, "done", 5*time.Second)
			require.Equal(t, 1, f.starts(path, 0, 0))
			status, _, _ := f.call(f.vms[1], http.MethodPost, path, `{"spec":"cut","steps":`+c.steps+`}`)
			require.Equal(t, http.StatusOK, status, "a repetition is the same job")
			require.Equal(t, "done", f.state(f.vms[2], path))
			require.Equal(t, 1, f.starts(path, 0, 0))
		})
	}
}

func TestFlowAnswersBadInput(t *testing.T) {
	f := startFlow(t, 1, nil)
	for name, c := range map[string]struct {
		method, path, body string
		status             int
		says               string
	}{
		"malformed body":       {"POST", "/fit/00000000000000aa", `{"spec":`, 400, "body"},
		"no such queue":        {"POST", "/none/00000000000000aa", `{}`, 404, "no queue"},
		"bad id":               {"POST", "/fit/short", `{}`, 400, "16 hexadecimal"},
		"no steps":             {"POST", "/fit/00000000000000aa", `{"spec":"x"}`, 400, "no steps"},
		"a later step":         {"POST", "/fit/00000000000000aa", `{"steps":[{"count":1,"after":[0]}]}`, 400, "not an earlier step"},
		"negative size":        {"POST", "/fit/00000000000000aa", `{"steps":[{"count":1,"cpu":-1}]}`, 400, "negative"},
		"no tasks":             {"POST", "/fit/00000000000000aa", `{"steps":[{"count":0}]}`, 400, "at least one"},
		"a payload too large":  {"POST", "/fit/00000000000000aa", `{"spec":"` + strings.Repeat("x", 4001) + `","steps":[{"count":1}]}`, 400, "4000"},
		"a body too large":     {"POST", "/fit/00000000000000aa", `{"spec":"` + strings.Repeat("x", 300_000) + `"}`, 413, "larger"},
		"an unknown job":       {"GET", "/fit/00000000000000ab", "", 410, "no such job"},
		"cancel of no job":     {"DELETE", "/fit/00000000000000ac", "", 410, "no such job"},
		"a method of no use":   {"PUT", "/fit/00000000000000aa", "{}", 405, "POST"},
		"the length of nobody": {"GET", "/none/", "", 404, "no queue"},
	} {
		t.Run(name, func(t *testing.T) {
			f.t = t
			status, body, _ := f.call(f.vms[0], c.method, c.path, c.body)
			require.Equal(t, c.status, status, body)
			require.Contains(t, body, c.says)
		})
	}
}

func TestFlowCancels(t *testing.T) {
	f := startFlow(t, 1, func(ladderflow.Run, string) (time.Duration, bool) { return time.Minute, false })
	path := f.submit(f.vms[0], "/regrade/", longTasks)
	f.await(path, "running", 3*time.Second)
	status, _, _ := f.call(f.vms[1], http.MethodDelete, path, "")
	require.Equal(t, http.StatusOK, status)
	f.await(path, "cancelled", 3*time.Second)
	require.Eventually(t, func() bool { return len(f.runners[0].Running()) == 0 }, 2*time.Second, 5*time.Millisecond)

	// A cancellation that overtakes its job wins.
	late := "/regrade/00000000000000ff"
	status, _, _ = f.call(f.vms[0], http.MethodDelete, late, "")
	require.Equal(t, http.StatusGone, status)
	status, body, _ := f.call(f.vms[2], http.MethodPost, late, `{"spec":"cut","steps":`+twoTasks+`}`)
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, "cancelled")
	time.Sleep(300 * time.Millisecond)
	require.Zero(t, f.starts(late, 0, 0))
}

// TestFlowLeaderKilled kills the leader while tasks run: they go on, are started no
// second time, and new jobs are served by the next leader.
func TestFlowLeaderKilled(t *testing.T) {
	f := startFlow(t, 3, func(ladderflow.Run, string) (time.Duration, bool) {
		return 1500 * time.Millisecond, false
	})
	var paths []string
	for range 4 {
		paths = append(paths, f.submit(f.vms[0], "/regrade/", longTasks))
	}
	f.await(paths[3], "running", 3*time.Second)
	old := f.leader()
	old.signal(t, syscall.SIGKILL)
	<-old.exited
	killed := time.Now()
	var other *flowVM
	for _, v := range f.vms {
		if v != old {
			other = v
		}
	}
	path := f.submit(other, "/regrade/", twoTasks)
	require.Eventually(t, func() bool { return f.starts(path, 0, 0) > 0 }, 5*time.Second, 5*time.Millisecond)
	require.Less(t, time.Since(killed), 3*time.Second, "the first start by the new leader")
	for _, p := range append(paths, path) {
		f.await(p, "done", 8*time.Second)
		for i := range 2 {
			require.Equal(t, 1, f.starts(p, 0, i), "task %d of %s", i, p)
		}
	}
}

// TestFlowAllKilled kills every VM: what was accepted is known and done after they
// return, and nothing that runs is started again.
// TestFlowLeaderRestarts kills the leader's process and starts it again before its lease has
// run out: its next life gives the lead free.
func TestFlowLeaderRestarts(t *testing.T) {
	f := startFlow(t, 3, nil)
	old := f.leader()
	before, _, _ := f.platform.Store().Get(ladderjournal.LeaderKey)
	old.signal(t, syscall.SIGKILL)
	<-old.exited
	f.launch(old, old.name)
	require.Eventually(t, func() bool {
		log, err := os.ReadFile(old.log)
		now, ok, _ := f.platform.Store().Get(ladderjournal.LeaderKey)
		return err == nil && bytes.Contains(log, []byte("an earlier life of this VM led")) && ok && now.Changed > before.Changed
	}, 3*time.Second, 10*time.Millisecond)
	f.await(f.submit(old, "/fit/", twoTasks), "done", 5*time.Second)
}

func TestFlowAllKilled(t *testing.T) {
	f := startFlow(t, 3, func(ladderflow.Run, string) (time.Duration, bool) { return 2 * time.Second, false })
	running := f.submit(f.vms[0], "/regrade/", longTasks)
	f.await(running, "running", 3*time.Second)
	waiting := f.submit(f.vms[1], "/regrade/", longTasks)
	for _, v := range f.vms {
		v.signal(t, syscall.SIGKILL)
		<-v.exited
	}
	for _, v := range f.vms {
		f.launch(v, v.name)
	}
	f.awaitReady()
	for _, p := range []string{running, waiting} {
		f.await(p, "done", 12*time.Second)
		require.Equal(t, 1, f.starts(p, 0, 0))
	}
}

// TestFlowStoreOut takes the store away: new jobs are refused at once and say when to
// come back, and what runs goes on.
// TestFlowGoneWorkerHoldsNothingUp loses a worker for good, and all VMs some time later. The
// next leader does not wait for what could run on a worker that was long gone.
func TestFlowGoneWorkerHoldsNothingUp(t *testing.T) {
	f := startFlow(t, 3, func(ladderflow.Run, string) (time.Duration, bool) { return 1500 * time.Millisecond, false })
	f.await(f.submit(f.vms[0], "/regrade/", twoTasks), "done", 5*time.Second)
	f.runners[2].Silence(true)
	f.platform.Store().Txn(platform.Txn{Deletes: []string{platform.WorkerPrefix + "w2"}})
	require.Eventually(t, func() bool {
		item, ok, _ := f.platform.Store().Get("ladder/roster")
		return ok && !bytes.Contains(item.Value, []byte("w2"))
	}, 5*time.Second, 20*time.Millisecond, "the roster still names the worker")
	path := f.submit(f.vms[0], "/regrade/", `[{"count":4,"cpu":8000,"memMb":100,"estimateMs":1500}]`)
	f.await(path, "running", 3*time.Second)
	for _, v := range f.vms {
		v.signal(t, syscall.SIGKILL)
		<-v.exited
	}
	for _, v := range f.vms {
		f.launch(v, v.name)
	}
	f.awaitReady()
	f.await(path, "done", 6*time.Second)
	for i := range 4 {
		require.Equal(t, 1, f.starts(path, 0, i))
	}
}

func TestFlowStoreOut(t *testing.T) {
	f := startFlow(t, 3, func(ladderflow.Run, string) (time.Duration, bool) { return time.Second, false })
	path := f.submit(f.vms[0], "/regrade/", longTasks)
	f.await(path, "running", 3*time.Second)
	f.flip("down=true")
	began := time.Now()
	status, _, header := f.call(f.vms[1], http.MethodPost, "/fit/00000000000000aa", `{"spec":"cut","steps":`+twoTasks+`}`)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "1", header.Get("Retry-After"))
	require.Less(t, time.Since(began), time.Second)
	time.Sleep(4 * time.Second)
	f.flip("down=false")
	f.await(path, "done", 6*time.Second)
	require.Equal(t, 1, f.starts(path, 0, 0))
	f.await(f.submit(f.vms[2], "/fit/", twoTasks), "done", 5*time.Second)
	require.Equal(t, "gone", f.state(f.vms[0], "/fit/00000000000000aa"))
}

// TestFlowStoreSilent lets the store answer nothing: once that is noticed, new jobs
// are refused at once, as never run, and served as soon as it answers again.
func TestFlowStoreSilent(t *testing.T) {
	f := startFlow(t, 1, nil)
	f.flip("mute=true")
	time.Sleep(1200 * time.Millisecond)
	for i := range 3 {
		began := time.Now()
		status, body, header := f.call(f.vms[i], http.MethodPost, fmt.Sprintf("/fit/%016x", f.jobs.Add(1)), `{"spec":"cut","steps":`+twoTasks+`}`)
		require.Equal(t, http.StatusServiceUnavailable, status, body)
		require.Equal(t, "1", header.Get("Retry-After"))
		require.Less(t, time.Since(began), 100*time.Millisecond)
	}
	f.flip("mute=false")
	require.Eventually(t, func() bool {
		status, _, _ := f.call(f.vms[0], http.MethodPost, fmt.Sprintf("/fit/%016x", f.jobs.Add(1)), `{"spec":"cut","steps":`+twoTasks+`}`)
		return status == http.StatusOK
	}, 1500*time.Millisecond, 20*time.Millisecond)
}

func (f *flow) flip(setting string) {
	f.t.Helper()
	response, err := f.client.Post("http://"+f.address+"/switch?"+setting, "", nil)
	require.NoError(f.t, err)
	_ = response.Body.Close()
	require.Equal(f.t, http.StatusOK, response.StatusCode)
}

// TestFlowLeaves stops the leader while callers call: each request that it read is
// answered, and the next leader goes on at once.
func TestFlowLeaves(t *testing.T) {
	f := startFlow(t, 3, nil)
	old := f.leader()
	old.signal(t, syscall.SIGTERM)
	for range 20 {
		status, body, _ := f.call(old, http.MethodPost, fmt.Sprintf("/fit/%016x", f.jobs.Add(1)), `{"spec":"cut","steps":`+twoTasks+`}`)
		require.Equal(t, http.StatusOK, status, body)
		time.Sleep(50 * time.Millisecond)
	}
	response, err := f.client.Get("http://" + old.ready + "/-/ready")
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Zero(t, old.wait(t, 6*time.Second))
	for n := int64(1); n <= f.jobs.Load(); n++ {
		f.await(fmt.Sprintf("/fit/%016x", n), "done", 5*time.Second)
	}
}

// TestFlowStrongestLeads adds a much stronger VM to three that serve: the lead goes to it
// while jobs run, and each of these runs once.
func TestFlowStrongestLeads(t *testing.T) {
	f := startFlow(t, 3, nil)
	path := f.submit(f.vms[0], "/regrade/", longTasks)
	f.share = 0.8
	f.startVM("strong")
	f.awaitReady()
	require.Eventually(t, func() bool {
		l := f.leader()
		return l != nil && l.name == "strong"
	}, 10*time.Second, 50*time.Millisecond, "the strong VM does not lead")
	f.await(path, "done", 8*time.Second)
	f.await(f.submit(f.vms[1], "/fit/", gangThen), "done", 5*time.Second)
	for i := range 4 {
		require.Equal(t, 1, f.starts(path, 0, i))
	}
}

// TestFlowDelegates serves a fleet that is too large for the leader alone. A VM that holds
// workers is killed while their tasks run: what runs goes on, and nothing begins twice.
func TestFlowDelegates(t *testing.T) {
	f := startFlow(t, 120, func(r ladderflow.Run, _ string) (time.Duration, bool) {
		if strings.HasSuffix(r.Task.Job, "01") {
			return 4 * time.Second, false
		}
		return 20 * time.Millisecond, false
	})
	path := f.submit(f.vms[0], "/regrade/", `[{"count":200,"cpu":4000,"memMb":100,"estimateMs":1500}]`)
	for range 10 {
		f.await(f.submit(f.vms[1], "/fit/", gangThen), "done", 5*time.Second)
	}
	leader := f.leader()
	log, err := os.ReadFile(leader.log)
	require.NoError(t, err)
	var delegate *flowVM
	for _, v := range f.vms {
		if v != leader && strings.Contains(string(log), "by="+v.name+" ") {
			delegate = v
		}
	}
	require.NotNil(t, delegate, "no other VM has carried out an order")
	require.Equal(t, "running", f.state(leader, path))
	delegate.signal(t, syscall.SIGKILL)
	more := f.submit(leader, "/regrade/", `[{"count":100,"cpu":1000,"memMb":100,"estimateMs":100}]`)
	f.await(path, "done", 15*time.Second)
	f.await(more, "done", 15*time.Second)
	for i := range 200 {
		require.Equal(t, 1, f.starts(path, 0, i))
	}
}

// TestFlowExplains asks any VM why a job waits, and for the fleet's state.
func TestFlowExplains(t *testing.T) {
	f := startFlow(t, 1, func(ladderflow.Run, string) (time.Duration, bool) { return time.Minute, false })
	running := f.submit(f.vms[0], "/regrade/", `[{"count":1,"cpu":8000,"memMb":100,"estimateMs":20}]`)
	f.await(running, "running", 3*time.Second)
	waiting := f.submit(f.vms[0], "/regrade/", twoTasks)
	f.await(waiting, "queued", 3*time.Second)
	tell := func(args ...string) string {
		out, err := exec.Command(filepath.Join(programs, "lacewingladder"), args...).CombinedOutput()
		require.NoError(t, err, string(out))
		return string(out)
	}
	for _, v := range f.vms {
		require.Contains(t, tell("explain", "-to", v.metrics, waiting[len("/regrade/"):]), "1 workers with tickets have no room")
		require.Contains(t, tell("explain", "-to", v.metrics, running[len("/regrade/"):]), "task 0 run 1 on w0: running")
		require.Contains(t, tell("top", "-to", v.metrics), "ready")
	}
	require.True(t, json.Valid([]byte(tell("top", "-json", "-to", f.vms[0].metrics))))
}

// TestFlowConfiguration changes the queues: each VM serves and drops them in time.
func TestFlowConfiguration(t *testing.T) {
	f := startFlow(t, 1, nil)
	f.configure(4, `,{"name":"late","host":"fit.example","prefix":"/late/","service":"fitting","attempts":1,"stretchFactor":2}`)
	f.awaitStatus("/late/", http.StatusOK)
	f.configure(3, "")
	time.Sleep(200 * time.Millisecond)
	f.awaitStatus("/late/", http.StatusOK)
	f.flip("forget=true")
	f.configure(9, "")
	f.awaitStatus("/late/", http.StatusNotFound)
}

// TestFlowDeafWatches makes the store drop its history while the watches that wait hear
// nothing of it, on connections that live: a configuration is in force in time all the same.
func TestFlowDeafWatches(t *testing.T) {
	f := startFlow(t, 1, nil)
	f.flip("deaf=true")
	time.Sleep(300 * time.Millisecond)
	f.flip("deaf=false")
	f.configure(4, `,{"name":"late","host":"fit.example","prefix":"/late/","service":"fitting","attempts":1,"stretchFactor":2}`)
	f.flip("forget=true")
	f.awaitStatus("/late/", http.StatusOK)
}

// TestFlowSettingsChange changes the settings file with a signal, without one, and into what
// can't be read: the VM says so and serves on.
func TestFlowSettingsChange(t *testing.T) {
	f := startFlow(t, 1, nil)
	v := f.vms[0]
	says := func(text string, times int) {
		t.Helper()
		require.Eventually(t, func() bool {
			log, err := os.ReadFile(v.log)
			return err == nil && strings.Count(string(log), text) == times
		}, 5*time.Second, 20*time.Millisecond, text)
	}
	v.signal(t, syscall.SIGHUP)
	says("settings are read again", 1)
	data, err := os.ReadFile(v.settings)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(v.settings, bytes.Replace(data, []byte("graceS: 6"), []byte("graceS: 5"), 1), 0o600))
	says("settings are read again", 2)
	require.NoError(t, os.WriteFile(v.settings, []byte("ip: nowhere"), 0o600))
	says("settings can not be read", 1)
	f.await(f.submit(v, "/fit/", twoTasks), "done", 5*time.Second)
}

// TestFlowMetrics reads what an operator is told to watch.
func TestFlowMetrics(t *testing.T) {
	f := startFlow(t, 2, nil)
	f.await(f.submit(f.vms[0], "/fit/", gangThen), "done", 5*time.Second)
	path := f.submit(f.vms[0], "/fit/", longTasks)
	status, _, _ := f.call(f.vms[0], http.MethodDelete, path, "")
	require.Equal(t, http.StatusOK, status)
	text := ""
	for _, v := range f.vms {
		response, err := f.client.Get("http://" + v.metrics + "/metrics")
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		_ = response.Body.Close()
		text += string(body)
		require.Contains(t, string(body), "ladder_configuration_version 1\n")
	}
	for _, name := range []string{
		"ladder_jobs_accepted_total", "ladder_accept_seconds_bucket", "ladder_commit_seconds_bucket", "ladder_advice_seconds_bucket",
		"ladder_wait_seconds_bucket", "ladder_start_seconds_bucket", "ladder_end_noted_seconds_bucket", "ladder_cancel_seconds_bucket",
		"ladder_configuration_age_seconds ", "ladder_fence ", "ladder_leads 1", "ladder_peers 2", "ladder_store_silent 0",
		`ladder_workers_held{by="e`, `ladder_queue_jobs{queue="booths",state="waiting"} 0`,
		`ladder_store_calls_total{kind="commit",result="served"}`,
	} {
		require.Contains(t, text, name)
	}
}

func (f *flow) awaitStatus(path string, want int) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		for _, v := range f.vms {
			if status, _, _ := f.call(v, http.MethodGet, path, ""); status != want {
				return false
			}
		}
		return true
	}, 2500*time.Millisecond, 10*time.Millisecond)
}
