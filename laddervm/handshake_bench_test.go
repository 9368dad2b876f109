package laddervm

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/laddermessage"
	"lacewingladder/ladderpeer"
)

// peerProcess is the environment variable that makes the test program the other process of the benchmarks.
const peerProcess = "LADDER_TEST_PEER"

// echo replies with the name of the job that is asked for, or with the process's processor time.
type echo struct{}

func (echo) Handle(_ context.Context, m laddermessage.Message) (laddermessage.Message, error) {
	query, ok := m.(laddermessage.JobStatusQuery)
	if !ok {
		return nil, fmt.Errorf("unexpected message %T", m)
	}
	if query.Job == "processor" {
		return laddermessage.JobStatus{Reason: strconv.FormatInt(int64(processorTime()), 10)}, nil
	}
	return laddermessage.JobStatus{Reason: query.Job}, nil
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// echoServer returns a server with new keys that trusts every peer, and those keys.
func echoServer() (*ladderpeer.Server, *keys, error) {
	k, err := newKeys(func(string) bool { return true })
	if err != nil {
		return nil, nil, err
	}
	s, err := ladderpeer.Listen(netip.MustParseAddrPort("127.0.0.1:0"), k.server, echo{})
	return s, k, err
}

// servePeer writes the address at which it serves peers, until the input ends.
func servePeer(in io.Reader, out io.Writer) error {
	s, _, err := echoServer()
	if err != nil {
		return err
	}
	defer s.Close()
	address, err := s.Address()
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(out, address); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, _ = io.Copy(io.Discard, in)
		cancel()
	}()
	return s.Serve(ctx)
}

// startPeer starts a process that serves peers, and returns its address.
func startPeer(b *testing.B) netip.AddrPort {
	b.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), peerProcess+"=1", "GOMAXPROCS=1")
	stdin, err := cmd.StdinPipe()
	require.NoError(b, err)
	stdout, err := cmd.StdoutPipe()
	require.NoError(b, err)
	require.NoError(b, cmd.Start())
	b.Cleanup(func() {
		_ = stdin.Close()
		_ = cmd.Wait()
	})
	line, err := bufio.NewReader(stdout).ReadString('\n')
	require.NoError(b, err)
	address, err := netip.ParseAddrPort(strings.TrimSpace(line))
	require.NoError(b, err)
	return address
}

// BenchmarkPeer measures the processor time of both ends for a connection with one exchange, and for
// an exchange on an open connection. The ends are processes of their own.
func BenchmarkPeer(b *testing.B) {
	address := startPeer(b)
	s, k, err := echoServer()
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(b.Context())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx) }()
	defer func() {
		cancel()
		require.NoError(b, <-served)
		s.Close()
	}()
	open := s.Client(k.client)
	defer open.Close()
	call := func(c *ladderpeer.Client, job string) laddermessage.JobStatus {
		reply, err := c.Call(ctx, address, laddermessage.JobStatusQuery{Job: job})
		require.NoError(b, err)
		return reply.(laddermessage.JobStatus)
	}
	remote := func() time.Duration {
		n, err := strconv.ParseInt(call(open, "processor").Reason, 10, 64)
		require.NoError(b, err)
		return time.Duration(n)
	}
	for name, f := range map[string]func(){
		"handshake": func() {
			c := s.Client(k.client)
			call(c, "j")
			c.Close()
		},
		"exchange/small": func() { call(open, "j") },
		"exchange/20KB":  func() { call(open, strings.Repeat("j", 20<<10)) },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			far, near := remote(), processorTime()
			for b.Loop() {
				f()
			}
			near, far = processorTime()-near, remote()-far
			b.ReportMetric(float64(near.Microseconds())/float64(b.N), "client-us/op")
			b.ReportMetric(float64(far.Microseconds())/float64(b.N), "server-us/op")
		})
	}
}
