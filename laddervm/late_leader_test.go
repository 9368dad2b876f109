package laddervm

import (
	"bufio"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderlog"
	"lacewingladder/ladderstand"
	"lacewingladder/platform"
)

// leaderProcess is the environment variable that makes the test program run a leader.
const leaderProcess = "LADDER_TEST_LEADER"

// busyTurn is for how long each goroutine of a busy leader uses the processor at a time.
const busyTurn = 5 * time.Millisecond

func TestMain(m *testing.M) {
	for variable, run := range map[string]func(io.Reader, io.Writer) error{leaderProcess: runLeader, peerProcess: servePeer} {
		if os.Getenv(variable) == "" {
			continue
		}
		if err := run(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// runLeader writes the entry of a VM and reads those of its delegates, which end with an empty line. It
// then leads, and reads how many goroutines shall use the processor, until the input ends.
func runLeader(in io.Reader, out io.Writer) error {
	address, err := ladderstand.FreePort("udp")
	if err != nil {
		return err
	}
	v, err := New(Options{Logs: ladderlog.New(out, "info"), Settings: &platform.Settings{
		Name: "e1", Address: address.Addr(), FirstPort: address.Port(), LastPort: address.Port(),
		Bounds: platform.Bounds{MaxWorkerLease: 10 * time.Second},
	}})
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(out, base64.StdEncoding.EncodeToString(v.registry.entry())); err != nil {
		return err
	}
	lines := bufio.NewScanner(in)
	for lines.Scan() && lines.Text() != "" {
		if err := addPeer(v, lines.Text()); err != nil {
			return err
		}
	}
	t := newTerm(context.Background(), v, &lease{vm: v, until: v.boot.SinceBoot() + time.Hour}, 5, time.Now())
	go func() {
		for f := range t.inbox {
			f()
		}
	}()
	t.do(func() {
		for _, p := range v.registry.registered() {
			t.delegates[p.incarnation] = newDelegateClient(t, p)
		}
	})
	for lines.Scan() {
		n, err := strconv.Atoi(lines.Text())
		if err != nil {
			return err
		}
		for range n {
			go useProcessor()
		}
	}
	return lines.Err()
}

// useProcessor uses the processor for busyTurn at a time, in turn with all other goroutines.
func useProcessor() {
	for {
		for began := time.Now(); time.Since(began) < busyTurn; {
		}
		runtime.Gosched()
	}
}

// addPeer adds the VM with the given entry to the peers of v.
func addPeer(v *VM, entry string) error {
	value, err := base64.StdEncoding.DecodeString(entry)
	if err != nil {
		return err
	}
	p, err := parseEntry(value)
	if err != nil {
		return err
	}
	v.registry.mu.Lock()
	defer v.registry.mu.Unlock()
	v.registry.apply(platform.Item{Key: entryPrefix + p.name, Value: value, ModRevision: 1}, time.Now())
	return nil
}

// testLeader is a process that leads.
type testLeader struct {
	process *os.Process
	input   io.Writer

	mu   sync.Mutex
	logs []string
}

// failures returns the log lines that say that a delegate has failed.
func (l *testLeader) failures() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for _, line := range l.logs {
		if strings.Contains(line, "delegate failed") {
			found = append(found, line)
		}
	}
	return found
}

func (l *testLeader) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	require.NoError(t, l.process.Signal(s))
}

// startLeader starts a process with one processor that leads, and returns it with its two delegates once
// it polls them.
func startLeader(t *testing.T) (*testLeader, []*VM) {
	t.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), leaderProcess+"=1", "GOMAXPROCS=1")
	command.Stderr = os.Stderr
	input, err := command.StdinPipe()
	require.NoError(t, err)
	output, err := command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	l := &testLeader{process: command.Process, input: input}
	lines := bufio.NewScanner(output)
	require.True(t, lines.Scan())
	leader := lines.Text()
	go func() {
		for lines.Scan() {
			l.mu.Lock()
			l.logs = append(l.logs, lines.Text())
			l.mu.Unlock()
		}
	}()
	delegates := []*VM{newTestVM(t, "e2"), newTestVM(t, "e3")}
	for _, d := range delegates {
		require.NoError(t, addPeer(d, leader))
		go func() { _ = d.server.Serve(t.Context()) }()
		_, err := fmt.Fprintln(input, base64.StdEncoding.EncodeToString(d.registry.entry()))
		require.NoError(t, err)
	}
	_, err = fmt.Fprintln(input)
	require.NoError(t, err)
	requirePolls(t, delegates...)
	return l, delegates
}

// requirePolls waits until the leader has polled all delegates again.
func requirePolls(t *testing.T, delegates ...*VM) {
	t.Helper()
	for _, d := range delegates {
		before := d.server.Traffic().Received.Load()
		require.Eventually(t, func() bool { return d.server.Traffic().Received.Load() > before }, 20*time.Second, 10*time.Millisecond,
			"the leader does not poll %s", d.settings.Name)
	}
}

// TestLateLeaderKeepsItsDelegates lets a leader read the answers of its delegates late, which are
// themselves punctual.
func TestLateLeaderKeepsItsDelegates(t *testing.T) {
	for name, delay := range map[string]func(t *testing.T, l *testLeader){
		"the process is stopped": func(t *testing.T, l *testLeader) {
			for range 3 {
				l.signal(t, syscall.SIGSTOP)
				time.Sleep(1500 * time.Millisecond)
				l.signal(t, syscall.SIGCONT)
				time.Sleep(300 * time.Millisecond)
			}
		},
		"goroutines wait for their turns": func(t *testing.T, l *testLeader) {
			_, err := fmt.Fprintln(l.input, int(750*time.Millisecond/busyTurn))
			require.NoError(t, err)
			time.Sleep(5 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			l, delegates := startLeader(t)
			delay(t, l)
			require.Empty(t, l.failures())
			requirePolls(t, delegates...)
		})
	}
}

// TestSilentDelegateIsGivenUp lets one of two delegates fall silent. Its workers, whose leases were renewed
// a moment before, must be assigned to others in time for the next renewal.
func TestSilentDelegateIsGivenUp(t *testing.T) {
	for name, busy := range map[string]int{"punctual leader": 0, "late leader": int(100 * time.Millisecond / busyTurn)} {
		t.Run(name, func(t *testing.T) {
			l, delegates := startLeader(t)
			_, err := fmt.Fprintln(l.input, busy)
			require.NoError(t, err)
			requirePolls(t, delegates...)
			delegates[0].server.Close()
			began := time.Now()
			require.Eventually(t, func() bool { return len(l.failures()) > 0 }, maxWorkerLease-reassignTime, 5*time.Millisecond)
			t.Logf("given up after %v: %s", time.Since(began).Round(time.Millisecond), l.failures()[0])
			require.Len(t, l.failures(), 1)
			require.Contains(t, l.failures()[0], "delegate="+delegates[0].settings.Name)
		})
	}
}
