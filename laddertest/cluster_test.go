package laddertest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderstand"
)

// programs is the directory of the built programs.
var programs string

// TestMain builds the programs before the tests run.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "laddertest-")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", dir, "lacewingladder/cmd/lacewingladder", "lacewingladder/cmd/ladderstand")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	programs = dir
	status := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

// zone is an availability zone of the cluster.
type zone struct {
	name   string
	region string
}

// zones are the zones in ../examples/jadewing/fleet.yaml.
var zones = []zone{{"taoyuan-a", "tw-north"}, {"hsinchu-a", "tw-north"}, {"kaohsiung-a", "tw-south"}}

// process is a program that a test has started.
type process struct {
	name    string
	command *exec.Cmd
	address string
	// exited is closed once the process has ended.
	exited chan struct{}
}

// signal sends a signal to the process.
func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.command.Process.Signal(s))
}

// wait waits until the process ends by itself and returns its exit status.
func (p *process) wait(t *testing.T, limit time.Duration) int {
	t.Helper()
	select {
	case <-p.exited:
	case <-time.After(limit):
		require.FailNow(t, "process did not end", "%s within %v", p.name, limit)
	}
	return p.command.ProcessState.ExitCode()
}

// entryVM is the process of an entry VM, with its addresses and files.
type entryVM struct {
	*process
	zone      string
	callers   string
	operators string
	settings  string
	log       string
}

// cluster is a running deployment.
type cluster struct {
	t        *testing.T
	dir      string
	platform *process
	workers  []*process
	entryVMs []*entryVM
	client   *http.Client
	// network, if set, relays all messages between entry VMs and all calls to the platform.
	network *zoneNetwork
}

// startCluster starts a platform, six entry VMs and perRack workers in each of six
// racks, and waits until they serve.
func startCluster(t *testing.T, perRack int) *cluster {
	t.Helper()
	return startClusterOn(t, perRack, nil)
}

// startClusterOn is startCluster with a network that can isolate a zone.
func startClusterOn(t *testing.T, perRack int, network *zoneNetwork) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), network: network, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	t.Cleanup(c.client.CloseIdleConnections)
	c.platform = c.start("platform", "ladderstand", "platform")
	for _, z := range zones {
		for rack := 1; rack <= 2; rack++ {
			for i := 1; i <= perRack; i++ {
				name := fmt.Sprintf("%s-r%d-w%d", z.name, rack, i)
				c.workers = append(c.workers, c.start(name, "ladderstand", "worker", "-platform", c.platform.address,
					"-name", name, "-region", z.region, "-zone", z.name, "-rack", fmt.Sprintf("%s-r%d", z.name, rack)))
			}
		}
	}
	var names []string
	for _, z := range zones {
		names = append(names, z.name+"-e1", z.name+"-e2")
	}
	c.runCommand("keys", "-dir", filepath.Join(c.dir, "keys"), "-names", strings.Join(names, ","))
	for _, z := range zones {
		for i := 1; i <= 2; i++ {
			c.startEntryVM(z, fmt.Sprintf("%s-e%d", z.name, i))
		}
	}
	c.putConfig(configuration(perRack))
	c.awaitHomes(6)
	return c
}

// configuration returns ../examples/jadewing/fleet.yaml, changed to racks of perRack workers.
func configuration(perRack int) string {
	data, err := os.ReadFile("../examples/jadewing/fleet.yaml")
	if err != nil {
		panic(err)
	}
	return strings.ReplaceAll(string(data), "seats: 8", fmt.Sprintf("seats: %d", perRack))
}

// start starts a program and reads its address from the first line of its output.
func (c *cluster) start(name, program string, args ...string) *process {
	c.t.Helper()
	p := &process{name: name, command: exec.Command(filepath.Join(programs, program), args...), exited: make(chan struct{})}
	out, err := p.command.StdoutPipe()
	require.NoError(c.t, err)
	p.command.Stderr = os.Stderr
	c.launch(p)
	line, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(c.t, err, name)
	p.address = strings.TrimSpace(line)
	return p
}

// launch starts a process, which is killed at the end of the test.
func (c *cluster) launch(p *process) {
	c.t.Helper()
	require.NoError(c.t, p.command.Start())
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	c.t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.exited
	})
}

// startEntryVM starts an entry VM's process on free ports and adds it to the platform's list
// of VMs.
func (c *cluster) startEntryVM(z zone, name string) *entryVM {
	c.t.Helper()
	callers, peers, operators := freePort(c.t, "tcp"), freePort(c.t, "udp"), freePort(c.t, "tcp")
	platform, advertise := c.platform.address, peers
	if c.network != nil {
		platform, advertise = c.network.relayPlatform(c, z.name), c.network.relayPeers(c, z.name, peers)
	}
	settings := fmt.Sprintf(`
name: %s
region: %s
zone: %s
listen: {callers: %q, peers: %q, operators: %q, advertise: %[9]q}
store: %[7]q
list: %[7]q
tls: {authority: %[8]s/authority.pem, certificate: %[8]s/%[1]s.pem, key: %[8]s/%[1]s-key.pem}
token: secret
`, name, z.region, z.name, callers, peers, operators, platform, filepath.Join(c.dir, "keys"), advertise)
	e := &entryVM{
		zone: z.name, callers: callers, operators: operators,
		settings: filepath.Join(c.dir, name+".yaml"), log: filepath.Join(c.dir, name+".log"),
	}
	require.NoError(c.t, os.WriteFile(e.settings, []byte(settings), 0o600))
	c.launchEntryVM(e, name)
	c.post("http://"+c.platform.address+"/vms", fmt.Sprintf(
		`{"name":%q,"role":"entry","region":%q,"zone":%q,"address":%q}`, name, z.region, z.name, advertise))
	c.entryVMs = append(c.entryVMs, e)
	return e
}

// launchEntryVM starts or restarts the process of an entry VM.
func (c *cluster) launchEntryVM(e *entryVM, name string) {
	c.t.Helper()
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(c.t, err)
	c.t.Cleanup(func() { _ = log.Close() })
	command := exec.Command(filepath.Join(programs, "lacewingladder"), "serve", "-settings", e.settings)
	command.Stderr = log
	e.process = &process{name: name, command: command, exited: make(chan struct{})}
	c.launch(e.process)
}

// freePort returns a loopback address with an unused port.
func freePort(t *testing.T, network string) string {
	t.Helper()
	address, err := ladderstand.FreePort(network)
	require.NoError(t, err)
	return address.String()
}

// runCommand runs a subcommand of lacewingladder and returns its output.
func (c *cluster) runCommand(args ...string) string {
	c.t.Helper()
	out, err := exec.Command(filepath.Join(programs, "lacewingladder"), args...).CombinedOutput()
	require.NoError(c.t, err, string(out))
	return string(out)
}

// post sends a POST request and expects status 200.
func (c *cluster) post(url, body string) {
	c.t.Helper()
	response, err := c.client.Post(url, "application/json", strings.NewReader(body))
	require.NoError(c.t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(c.t, http.StatusOK, response.StatusCode, url)
}

// setSwitch sets a switch of the platform or a worker, such as "down=true".
func (c *cluster) setSwitch(p *process, setting string) {
	c.t.Helper()
	c.post("http://"+p.address+"/switch?"+setting, "")
}

// putConfig applies a configuration with the subcommand apply and returns its output.
func (c *cluster) putConfig(document string) string {
	c.t.Helper()
	file := filepath.Join(c.dir, "fleet.yaml")
	require.NoError(c.t, os.WriteFile(file, []byte(document), 0o600))
	var out string
	require.Eventually(c.t, func() bool {
		command := exec.Command(filepath.Join(programs, "lacewingladder"), "apply",
			"-to", c.entryVMs[0].operators, "-token", "secret", "-file", file, "-by", "test")
		printed, err := command.CombinedOutput()
		out = string(printed)
		return err == nil
	}, 10*time.Second, 100*time.Millisecond)
	return out
}

// vmStatus holds the fields of an entry VM's status that the tests use.
type vmStatus struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Store   string `json:"store"`
	Leader  string `json:"leader"`
	Peers   []struct {
		Name    string `json:"name"`
		Version uint64 `json:"version"`
		Live    bool   `json:"live"`
	} `json:"peers"`
	Racks []struct {
		Name   string `json:"name"`
		Zone   string `json:"zone"`
		Holder string `json:"holder"`
		Home   bool   `json:"home"`
	} `json:"racks"`
}

// status queries an entry VM's status. It returns false if the VM does not answer.
func (c *cluster) status(e *entryVM) (st vmStatus, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.operators+"/v1/status", http.NoBody)
	require.NoError(c.t, err)
	request.Header.Set("Authorization", "Bearer secret")
	response, err := c.client.Do(request)
	if err != nil {
		return st, false
	}
	defer func() { _ = response.Body.Close() }()
	return st, json.NewDecoder(response.Body).Decode(&st) == nil
}

// awaitHomes waits until every entry VM reports that the given number of racks have a home.
// The home of a rack is the VM that keeps the records of the idempotency keys assigned to the
// rack. Until the horizon of repeats has passed, a new home answers a key with unknown unless
// the key was minted more than 2*ladderkey.MaxClockSkew after the VM became the home, because
// older keys may have run before. awaitHomes therefore also waits for that time.
func (c *cluster) awaitHomes(homes int) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		for _, e := range c.entryVMs {
			st, ok := c.status(e)
			n := 0
			for _, r := range st.Racks {
				if r.Home {
					n++
				}
			}
			if !ok || n != homes {
				return false
			}
		}
		return true
	}, 20*time.Second, 100*time.Millisecond)
	time.Sleep(2200 * time.Millisecond)
}

// callerResponse is the response to a caller's request.
type callerResponse struct {
	status     int
	outcome    string
	request    string
	body       string
	retryAfter string
}

// callerRequest is a request of a caller.
type callerRequest struct {
	member   string
	class    string
	key      string
	deadline string
	body     string
}

// send sends a request to an entry VM. It returns an error if no complete response arrives.
func (c *cluster) send(e *entryVM, q callerRequest) (callerResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+"/v1/requests", strings.NewReader(q.body))
	if err != nil {
		return callerResponse{}, err
	}
	request.Header.Set("Ladder-Member", q.member)
	request.Header.Set("Ladder-Class", q.class)
	if q.key != "" {
		request.Header.Set("Idempotency-Key", q.key)
	}
	if q.deadline != "" {
		request.Header.Set("Ladder-Deadline", q.deadline)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return callerResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return callerResponse{
		status: response.StatusCode, outcome: response.Header.Get("Ladder-Outcome"),
		request: response.Header.Get("Ladder-Request"), body: string(body),
		retryAfter: response.Header.Get("Retry-After"),
	}, err
}

// mint requests an idempotency key from an entry VM.
func (c *cluster) mint(e *entryVM, member string) string {
	c.t.Helper()
	request, err := http.NewRequestWithContext(c.t.Context(), http.MethodPost, "http://"+e.callers+"/v1/keys", http.NoBody)
	require.NoError(c.t, err)
	request.Header.Set("Ladder-Member", member)
	response, err := c.client.Do(request)
	require.NoError(c.t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	require.Equal(c.t, http.StatusOK, response.StatusCode, string(body))
	return strings.TrimSpace(string(body))
}

// jobStatus holds the fields of a job's status that the tests use.
type jobStatus struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	Reason  string `json:"reason"`
	Running int    `json:"running"`
	Ended   int    `json:"ended"`
}

// submit submits a job.
func (c *cluster) submit(e *entryVM, member, document string) jobStatus {
	c.t.Helper()
	status, body := c.jobCall(e, http.MethodPost, "/v1/jobs", member, document)
	require.Equal(c.t, http.StatusAccepted, status, body)
	var j jobStatus
	require.NoError(c.t, json.Unmarshal([]byte(body), &j))
	return j
}

// job queries a job's status. The result is empty if the VM does not return one.
func (c *cluster) job(e *entryVM, member, id string) jobStatus {
	c.t.Helper()
	var j jobStatus
	status, body := c.jobCall(e, http.MethodGet, "/v1/jobs/"+id, member, "")
	if status == http.StatusOK {
		require.NoError(c.t, json.Unmarshal([]byte(body), &j))
	}
	return j
}

// awaitJob waits until a job is in a state.
func (c *cluster) awaitJob(e *entryVM, member, id, state string, limit time.Duration) jobStatus {
	c.t.Helper()
	var j jobStatus
	require.Eventually(c.t, func() bool {
		j = c.job(e, member, id)
		return j.State == state
	}, limit, 100*time.Millisecond, "job %s is not %s", id, state)
	return j
}

// jobCall makes a request about jobs and returns the status code and the body.
func (c *cluster) jobCall(e *entryVM, method, path, member, document string) (int, string) {
	c.t.Helper()
	request, err := http.NewRequestWithContext(c.t.Context(), method, "http://"+e.callers+path, bytes.NewReader([]byte(document)))
	require.NoError(c.t, err)
	request.Header.Set("Ladder-Member", member)
	response, err := c.client.Do(request)
	require.NoError(c.t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	return response.StatusCode, string(body)
}
