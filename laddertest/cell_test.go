package laddertest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// programs is the directory of the built programs.
var programs string

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

// zone is a zone of a test's cell.
type zone struct {
	name   string
	region string
}

// zones are those of the first deployment.
var zones = []zone{{"taoyuan-a", "tw-north"}, {"hsinchu-a", "tw-north"}, {"kaohsiung-a", "tw-south"}}

// process is a program that a test started.
type process struct {
	name    string
	command *exec.Cmd
	address string
	exited  chan struct{}
}

// signal sends a signal to the process.
func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.command.Process.Signal(s))
}

// wait waits for the process to end by itself and returns its exit status.
func (p *process) wait(t *testing.T, limit time.Duration) int {
	t.Helper()
	select {
	case <-p.exited:
	case <-time.After(limit):
		require.FailNow(t, "process did not end", "%s within %v", p.name, limit)
	}
	return p.command.ProcessState.ExitCode()
}

// entry is an entry VM's process with its addresses.
type entry struct {
	*process
	zone      string
	callers   string
	operators string
	settings  string
	log       string
}

// cell is a running deployment.
type cell struct {
	t        *testing.T
	dir      string
	platform *process
	workers  []*process
	entries  []*entry
	client   *http.Client
	// cut, if any, stands between the zones.
	cut *cut
}

// startCell starts a platform, six entry VMs and perRack workers in each of six
// racks, and waits until they serve.
func startCell(t *testing.T, perRack int) *cell {
	t.Helper()
	return startCutCell(t, perRack, nil)
}

// startCutCell is startCell with a cut between the zones that can be opened.
func startCutCell(t *testing.T, perRack int, between *cut) *cell {
	t.Helper()
	c := &cell{t: t, dir: t.TempDir(), cut: between, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
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
	c.run("keys", "-dir", filepath.Join(c.dir, "keys"), "-names", strings.Join(names, ","))
	for _, z := range zones {
		for i := 1; i <= 2; i++ {
			c.startEntry(z, fmt.Sprintf("%s-e%d", z.name, i))
		}
	}
	c.putConfig(configuration(perRack))
	c.awaitHomes(6)
	return c
}

// configuration returns the first deployment's configuration for racks of a
// given number of workers.
func configuration(perRack int) string {
	data, err := os.ReadFile("../examples/jadewing/fleet.yaml")
	if err != nil {
		panic(err)
	}
	return strings.ReplaceAll(string(data), "seats: 8", fmt.Sprintf("seats: %d", perRack))
}

// start starts a program that prints its address on its first line.
func (c *cell) start(name, program string, args ...string) *process {
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

// launch starts a process and ends it with the test.
func (c *cell) launch(p *process) {
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

// startEntry starts an entry VM's process on free ports and lists it.
func (c *cell) startEntry(z zone, name string) *entry {
	c.t.Helper()
	callers, peers, operators := freePort(c.t, "tcp"), freePort(c.t, "udp"), freePort(c.t, "tcp")
	platform, advertise := c.platform.address, peers
	if c.cut != nil {
		platform, advertise = c.cut.platformFor(c, z.name), c.cut.peersFor(c, z.name, peers)
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
	e := &entry{
		zone: z.name, callers: callers, operators: operators,
		settings: filepath.Join(c.dir, name+".yaml"), log: filepath.Join(c.dir, name+".log"),
	}
	require.NoError(c.t, os.WriteFile(e.settings, []byte(settings), 0o600))
	c.launchEntry(e, name)
	c.post("http://"+c.platform.address+"/vms", fmt.Sprintf(
		`{"name":%q,"role":"entry","region":%q,"zone":%q,"address":%q}`, name, z.region, z.name, advertise))
	c.entries = append(c.entries, e)
	return e
}

// launchEntry starts, or starts again, the process of an entry VM.
func (c *cell) launchEntry(e *entry, name string) {
	c.t.Helper()
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(c.t, err)
	c.t.Cleanup(func() { _ = log.Close() })
	command := exec.Command(filepath.Join(programs, "lacewingladder"), "serve", "-settings", e.settings)
	command.Stderr = log
	e.process = &process{name: name, command: command, exited: make(chan struct{})}
	c.launch(e.process)
}

// lastPort is the last port that was given out. Ports are taken from below those that the
// system gives to outgoing connections: one that was free a moment ago could otherwise be
// such a connection's by the time its process opens it.
var lastPort atomic.Int32

const (
	firstPort = 20_000
	portSpan  = 10_000
)

// freePort returns an address that nobody uses.
func freePort(t *testing.T, network string) string {
	t.Helper()
	for range portSpan {
		port := firstPort + (int(lastPort.Add(1))+17*os.Getpid())%portSpan
		address := fmt.Sprintf("127.0.0.1:%d", port)
		var open io.Closer
		var err error
		if network == "udp" {
			open, err = net.ListenPacket("udp", address)
		} else {
			open, err = net.Listen("tcp", address)
		}
		if err == nil {
			_ = open.Close()
			return address
		}
	}
	t.Fatal("no port is free")
	return ""
}

// run runs a subcommand to its end and returns what it printed.
func (c *cell) run(args ...string) string {
	c.t.Helper()
	out, err := exec.Command(filepath.Join(programs, "lacewingladder"), args...).CombinedOutput()
	require.NoError(c.t, err, string(out))
	return string(out)
}

// post sends a body and expects success.
func (c *cell) post(url, body string) {
	c.t.Helper()
	response, err := c.client.Post(url, "application/json", strings.NewReader(body))
	require.NoError(c.t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(c.t, http.StatusOK, response.StatusCode, url)
}

// flip sets a switch of a stand-in.
func (c *cell) flip(p *process, setting string) {
	c.t.Helper()
	c.post("http://"+p.address+"/switch?"+setting, "")
}

// putConfig applies a configuration through the command line.
func (c *cell) putConfig(document string) string {
	c.t.Helper()
	file := filepath.Join(c.dir, "fleet.yaml")
	require.NoError(c.t, os.WriteFile(file, []byte(document), 0o600))
	var out string
	require.Eventually(c.t, func() bool {
		command := exec.Command(filepath.Join(programs, "lacewingladder"), "apply",
			"-to", c.entries[0].operators, "-token", "secret", "-file", file, "-by", "test")
		printed, err := command.CombinedOutput()
		out = string(printed)
		return err == nil
	}, 10*time.Second, 100*time.Millisecond)
	return out
}

// statusOf is what tests read of an entry VM's status.
type statusOf struct {
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

// status reads an entry VM's status; ok is false when it does not answer.
func (c *cell) status(e *entry) (st statusOf, ok bool) {
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

// awaitHomes waits until every entry VM sees homes racks with a home, and until
// keys that are minted from then on are known to be new.
func (c *cell) awaitHomes(homes int) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		for _, e := range c.entries {
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

// answer is a caller's view of one exchange.
type answer struct {
	status     int
	outcome    string
	request    string
	body       string
	retryAfter string
}

// ask is one request of a caller.
type ask struct {
	member   string
	class    string
	key      string
	deadline string
	body     string
}

// send sends a request to an entry VM. An error is a broken exchange.
func (c *cell) send(e *entry, a ask) (answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+"/v1/requests", strings.NewReader(a.body))
	if err != nil {
		return answer{}, err
	}
	request.Header.Set("Ladder-Member", a.member)
	request.Header.Set("Ladder-Class", a.class)
	if a.key != "" {
		request.Header.Set("Idempotency-Key", a.key)
	}
	if a.deadline != "" {
		request.Header.Set("Ladder-Deadline", a.deadline)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, outcome: response.Header.Get("Ladder-Outcome"),
		request: response.Header.Get("Ladder-Request"), body: string(body),
		retryAfter: response.Header.Get("Retry-After"),
	}, err
}

// mint asks an entry VM for a key.
func (c *cell) mint(e *entry, member string) string {
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

// jobOf is what tests read of a job.
type jobOf struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	Reason  string `json:"reason"`
	Running int    `json:"running"`
	Ended   int    `json:"ended"`
}

// submit hands a job in.
func (c *cell) submit(e *entry, member, document string) jobOf {
	c.t.Helper()
	status, body := c.jobCall(e, http.MethodPost, "/v1/jobs", member, document)
	require.Equal(c.t, http.StatusAccepted, status, body)
	var j jobOf
	require.NoError(c.t, json.Unmarshal([]byte(body), &j))
	return j
}

// job looks at a job.
func (c *cell) job(e *entry, member, id string) jobOf {
	c.t.Helper()
	var j jobOf
	status, body := c.jobCall(e, http.MethodGet, "/v1/jobs/"+id, member, "")
	if status == http.StatusOK {
		require.NoError(c.t, json.Unmarshal([]byte(body), &j))
	}
	return j
}

// awaitJob waits until a job is in a state.
func (c *cell) awaitJob(e *entry, member, id, state string, limit time.Duration) jobOf {
	c.t.Helper()
	var j jobOf
	require.Eventually(c.t, func() bool {
		j = c.job(e, member, id)
		return j.State == state
	}, limit, 100*time.Millisecond, "job %s is not %s", id, state)
	return j
}

func (c *cell) jobCall(e *entry, method, path, member, document string) (int, string) {
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
