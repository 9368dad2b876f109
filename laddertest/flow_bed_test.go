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
		// The name of a VM's life begins with its own; its name alone may stand in a hash.
		if bytes.Contains(item.Value, []byte(v.name+"/")) {
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

func (f *flow) flip(setting string) {
	f.t.Helper()
	response, err := f.client.Post("http://"+f.address+"/switch?"+setting, "", nil)
	require.NoError(f.t, err)
	_ = response.Body.Close()
	require.Equal(f.t, http.StatusOK, response.StatusCode)
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
