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

// flowCluster is a deployment on the platform of package platform. The entry VMs are
// processes. The platform, the workers and the advice service run inside the test.
type flowCluster struct {
	t        *testing.T
	dir      string
	platform *ladderstand.Platform
	// address and advice are the addresses of the platform and of the advice service.
	address string
	advice  string
	workers []*ladderstand.PlatformWorker
	vms     []*flowVM
	client  *http.Client
	// jobs counts the jobs, for their IDs.
	jobs atomic.Int64
	// cpuShare is the share of a core that each VM started from now on gets.
	cpuShare float64
	// teams are the teams of the configuration, or nil, and key is the key of the caller, if any.
	teams *flowTeams
	key   string
	// runTime returns how long a run takes and whether it fails. If it is nil, all runs succeed
	// after 20 ms.
	runTime func(ladderflow.Run, string) (time.Duration, bool)
}

// flowVM is the process of an entry VM, with its addresses and files.
type flowVM struct {
	*process
	callers  string
	ready    string
	settings string
	log      string
	metrics  string
}

// flowConfig is the format string of the operators' configuration. Its arguments are the version
// and the JSON of further queues.
const flowConfig = `{"version":%d,"routes":[
 {"name":"booths","host":"fit.example","prefix":"/fit/","kind":"unsafe","timeoutMs":3000,"goalMs":400,"priority":0,"service":"fitting","attempts":3,"stretchFactor":2,"advice":{"decideMs":2,"periodMs":0.1,"validMs":2000}},
 {"name":"regrades","host":"fit.example","prefix":"/regrade/","kind":"unsafe","timeoutMs":3000,"goalMs":1200,"priority":1,"service":"fitting","attempts":2,"stretchFactor":4}%s],
 "services":[{"name":"fitting","healthPath":"/health","maxConns":64,"proto":"h1","tls":false,"admissionCheck":false,"standby":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// startFlow starts a platform, workers and three entry VMs, and waits until the VMs are ready.
// The function runTime is described at flowCluster.
func startFlow(t *testing.T, workers int, runTime func(ladderflow.Run, string) (time.Duration, bool)) *flowCluster {
	t.Helper()
	f := newFlow(t, workers, runTime)
	f.startVMs(3)
	return f
}

// startVMs starts entry VMs and waits until they are ready.
func (f *flowCluster) startVMs(n int) {
	f.t.Helper()
	for i := range n {
		f.startVM(fmt.Sprintf("e%d", i))
	}
	f.awaitReady()
}

// newFlow starts a platform and workers, without entry VMs.
func newFlow(t *testing.T, workers int, runTime func(ladderflow.Run, string) (time.Duration, bool)) *flowCluster {
	t.Helper()
	f := &flowCluster{t: t, cpuShare: 0.4, dir: t.TempDir(), client: &http.Client{Timeout: 5 * time.Second}, runTime: runTime}
	f.platform = ladderstand.NewPlatform(ladderclock.System{})
	f.address = f.serve(f.platform.Handler())
	f.advice = f.serve((&ladderstand.Advice{ResponseTime: 2 * time.Millisecond, TicketTTL: 2 * time.Second}).Handler())
	if f.runTime == nil {
		f.runTime = func(ladderflow.Run, string) (time.Duration, bool) { return 20 * time.Millisecond, false }
	}
	f.addWorkers(workers)
	f.configure(1, "")
	return f
}

// addWorkers starts workers and lists them in the store.
func (f *flowCluster) addWorkers(n int) {
	f.t.Helper()
	for i := len(f.workers); n > 0; i, n = i+1, n-1 {
		spec := ladderflow.Worker{
			ID: fmt.Sprintf("w%d", i), Service: "fitting", Zone: zones[i%3].name, Labels: []string{"a", fmt.Sprintf("r%d", i/4)},
			Capacity: ladderflow.Size{Processor: 8000, Memory: 16000},
		}
		// The worker's entry in the store contains its address, so its server starts first.
		deferred := &deferredHandler{}
		spec.Address = netip.MustParseAddrPort(f.serve(deferred))
		worker := ladderstand.NewPlatformWorker(ladderclock.System{}, spec, f.runTime)
		deferred.handler.Store(ptr(worker.Handler()))
		require.NoError(f.t, worker.Register(f.platform.Store()))
		if f.teams != nil {
			worker.SetTeams(f.teams.runs)
		}
		f.workers = append(f.workers, worker)
	}
}

// deferredHandler passes requests to a handler that is set after the server has started.
type deferredHandler struct{ handler atomic.Pointer[http.Handler] }

func (d *deferredHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	(*d.handler.Load()).ServeHTTP(w, r)
}

func ptr[T any](v T) *T { return &v }

// serve starts an HTTP server and returns its address.
func (f *flowCluster) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	f.t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return strings.TrimPrefix(s.URL, "http://")
}

// configure stores a version of the operators' configuration. The parameter more holds the
// JSON of further queues.
func (f *flowCluster) configure(version int, more string) {
	f.storeFleet([]byte(fmt.Sprintf(flowConfig, version, more)))
}

// startVM starts an entry VM's process on free ports.
func (f *flowCluster) startVM(name string) {
	f.t.Helper()
	peers, metrics := freePort(f.t, "udp"), freePort(f.t, "tcp")
	v := &flowVM{
		callers: freePort(f.t, "tcp"), ready: freePort(f.t, "tcp"), metrics: metrics,
		settings: filepath.Join(f.dir, name+".yaml"), log: filepath.Join(f.dir, name+".log"),
	}
	peerPort := netip.MustParseAddrPort(peers).Port()
	// The settings contain an unknown key, which the VM must ignore.
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
`, name, v.callers, v.ready, peerPort, peerPort, f.advice, f.address, f.cpuShare)
	require.NoError(f.t, os.WriteFile(v.settings, []byte(text), 0o600))
	f.vms = append(f.vms, v)
	f.launch(v, name)
}

// launch starts or restarts an entry VM's process.
func (f *flowCluster) launch(v *flowVM, name string) {
	f.t.Helper()
	log, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = log.Close() })
	port := netip.MustParseAddrPort(v.metrics).Port()
	command := exec.Command(filepath.Join(programs, "lacewingladder"), "entry", "-level", "debug", "-metrics", fmt.Sprint(port))
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+v.settings)
	command.Stdout, command.Stderr = log, log
	v.process = &process{name: name, command: command, exited: make(chan struct{})}
	(&cluster{t: f.t}).launch(v.process)
}

// awaitReady waits until all VMs are ready and there is a leader.
func (f *flowCluster) awaitReady() {
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
func (f *flowCluster) leader() *flowVM {
	item, ok, _ := f.platform.Store().Get(ladderjournal.LeaderKey)
	if !ok {
		return nil
	}
	for _, v := range f.vms {
		// The stored value contains the VM's name and a slash. The name alone could also
		// occur in a hash within the value.
		if bytes.Contains(item.Value, []byte(v.name+"/")) {
			return v
		}
	}
	return nil
}

// call makes a caller's request. It returns status 0 and the error if there is no response.
func (f *flowCluster) call(v *flowVM, method, path, body string) (int, string, http.Header) {
	f.t.Helper()
	return f.callAs(v, f.key, method, path, body)
}

// callAs makes a caller's request with a key, if it is not empty.
func (f *flowCluster) callAs(v *flowVM, key, method, path, body string) (int, string, http.Header) {
	f.t.Helper()
	r, err := http.NewRequest(method, "http://"+v.callers+path, strings.NewReader(body))
	require.NoError(f.t, err)
	r.Host = "fit.example"
	r.Header.Set("Deadline-Ms", "3000")
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := f.client.Do(r)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	return response.StatusCode, string(data), response.Header
}

// submit submits a job and returns its path.
func (f *flowCluster) submit(v *flowVM, prefix, steps string) string {
	f.t.Helper()
	path := fmt.Sprintf("%s%016x", prefix, f.jobs.Add(1))
	status, body, _ := f.call(v, http.MethodPost, path, `{"spec":"cut","steps":`+steps+`}`)
	require.Equal(f.t, http.StatusOK, status, body)
	return path
}

// state queries a VM for a job's state. It returns "gone" if the VM does not know the job, and
// an empty string if the VM does not answer with a state.
func (f *flowCluster) state(v *flowVM, path string) string {
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

// await waits until every running VM reports a job in the given state.
func (f *flowCluster) await(path, state string, limit time.Duration) {
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

// starts returns how many runs of a task have begun on all workers.
func (f *flowCluster) starts(path string, step, index int) int {
	id := path[strings.LastIndex(path, "/")+1:]
	n := 0
	for _, worker := range f.workers {
		n += worker.Starts(ladderflow.Task{Job: id, Step: step, Index: index})
	}
	return n
}

// Steps of jobs. gangThenTasks has a gang, followed by a step of two tasks.
const (
	twoTasks      = `[{"count":2,"cpu":1000,"memMb":100,"estimateMs":20}]`
	gangThenTasks = `[{"count":3,"cpu":4000,"memMb":100,"estimateMs":20,"gang":true},{"count":2,"cpu":1000,"memMb":10,"estimateMs":20,"after":[0]}]`
	longTasks     = `[{"count":4,"cpu":1000,"memMb":100,"estimateMs":1500}]`
)

// setSwitch sets a switch of the platform, such as "down=true".
func (f *flowCluster) setSwitch(setting string) {
	f.t.Helper()
	response, err := f.client.Post("http://"+f.address+"/switch?"+setting, "", nil)
	require.NoError(f.t, err)
	_ = response.Body.Close()
	require.Equal(f.t, http.StatusOK, response.StatusCode)
}

// awaitStatus waits until every VM answers a GET request with the given status.
func (f *flowCluster) awaitStatus(path string, want int) {
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
