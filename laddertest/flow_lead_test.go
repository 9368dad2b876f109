package laddertest

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderjournal"
	"lacewingladder/platform"
)

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

// TestFlowAllKilled kills every VM: what was accepted is known and done after they
// return, and nothing that runs is started again.
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
