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

// TestFlowLeaderKilled guards against tasks that stop or start again when the leader dies. It
// kills the leader while tasks run. They must end after one start each, and the new leader
// must start another job within 3 s.
func TestFlowLeaderKilled(t *testing.T) {
	f := startFlow(t, 3, func(ladderflow.Run, string) (time.Duration, bool) {
		return 1500 * time.Millisecond, false
	})
	var paths []string
	for range 4 {
		paths = append(paths, f.submit(f.vms[0], "/regrade/", longTasks))
	}
	f.await(paths[3], "running", 3*time.Second)
	oldLeader := f.leader()
	oldLeader.signal(t, syscall.SIGKILL)
	<-oldLeader.exited
	killed := time.Now()
	var other *flowVM
	for _, v := range f.vms {
		if v != oldLeader {
			other = v
		}
	}
	path := f.submit(other, "/regrade/", twoTasks)
	require.Eventually(t, func() bool { return f.starts(path, 0, 0) > 0 }, 5*time.Second, 5*time.Millisecond)
	require.Less(t, time.Since(killed), 3*time.Second, "the new leader has started the task too late")
	for _, p := range append(paths, path) {
		f.await(p, "done", 8*time.Second)
		for i := range 2 {
			require.Equal(t, 1, f.starts(p, 0, i), "task %d of %s", i, p)
		}
	}
}

// TestFlowLeaderRestarts guards against a cluster without a leader for as long as a dead
// leader's lease lasts. It kills the leader and restarts it before the lease has expired. The
// restarted VM must release the leadership of its previous incarnation.
func TestFlowLeaderRestarts(t *testing.T) {
	f := startFlow(t, 3, nil)
	oldLeader := f.leader()
	before, _, _ := f.platform.Store().Get(ladderjournal.LeaderKey)
	oldLeader.signal(t, syscall.SIGKILL)
	<-oldLeader.exited
	f.launch(oldLeader, oldLeader.name)
	restarted := time.Now()
	require.Eventually(t, func() bool {
		log, err := os.ReadFile(oldLeader.log)
		now, ok, _ := f.platform.Store().Get(ladderjournal.LeaderKey)
		return err == nil && bytes.Contains(log, []byte("an earlier life of this VM led")) && ok && now.ModRevision > before.ModRevision
	}, 3*time.Second, 10*time.Millisecond)
	// Another VM may lead before the restarted one has the configuration. Until then it is not ready.
	f.awaitReady()
	require.Less(t, time.Since(restarted), 3*time.Second, "the restarted VM is ready too late")
	f.await(f.submit(oldLeader, "/fit/", twoTasks), "done", 5*time.Second)
}

// TestFlowAllKilled guards against accepted jobs that are lost when all VMs die. It kills all
// VMs and restarts them. A running job and a waiting one must end, after one start of each
// task.
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

// TestFlowRemovedWorkerDelaysNothing guards against a new leader that waits for a worker that
// no longer exists. The roster is the stored set of workers on which a leader may start tasks.
// A new leader does not start a task again that may still run on a worker of the roster. Here
// a worker becomes unresponsive and is removed from the platform. After it has left the
// roster, all VMs are killed and restarted while other tasks run.
func TestFlowRemovedWorkerDelaysNothing(t *testing.T) {
	f := startFlow(t, 3, func(ladderflow.Run, string) (time.Duration, bool) { return 1500 * time.Millisecond, false })
	f.await(f.submit(f.vms[0], "/regrade/", twoTasks), "done", 5*time.Second)
	f.workers[2].SetUnresponsive(true)
	f.platform.Store().Txn(platform.Txn{Deletes: []string{platform.WorkerPrefix + "w2"}})
	require.Eventually(t, func() bool {
		item, ok, _ := f.platform.Store().Get("ladder/roster")
		return ok && !bytes.Contains(item.Value, []byte("w2"))
	}, 5*time.Second, 20*time.Millisecond, "the roster still contains the worker")
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

// TestFlowLeaves guards against requests and jobs that are lost when the leader shuts down. It
// sends requests to the leader after SIGTERM: each must be answered, and all jobs must end.
func TestFlowLeaves(t *testing.T) {
	f := startFlow(t, 3, nil)
	oldLeader := f.leader()
	oldLeader.signal(t, syscall.SIGTERM)
	for range 20 {
		status, body, _ := f.call(oldLeader, http.MethodPost, fmt.Sprintf("/fit/%016x", f.jobs.Add(1)), `{"spec":"cut","steps":`+twoTasks+`}`)
		require.Equal(t, http.StatusOK, status, body)
		time.Sleep(50 * time.Millisecond)
	}
	response, err := f.client.Get("http://" + oldLeader.ready + "/-/ready")
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Zero(t, oldLeader.wait(t, 6*time.Second))
	for n := int64(1); n <= f.jobs.Load(); n++ {
		f.await(fmt.Sprintf("/fit/%016x", n), "done", 5*time.Second)
	}
}

// TestFlowStrongestLeads guards against tasks that start again when leadership moves. It adds a
// VM with a larger share of a core, which must become leader while a job runs.
func TestFlowStrongestLeads(t *testing.T) {
	f := startFlow(t, 3, nil)
	path := f.submit(f.vms[0], "/regrade/", longTasks)
	f.cpuShare = 0.8
	f.startVM("strong")
	f.awaitReady()
	require.Eventually(t, func() bool {
		l := f.leader()
		return l != nil && l.name == "strong"
	}, 10*time.Second, 50*time.Millisecond, "the VM with the largest share of a core is not the leader")
	f.await(path, "done", 8*time.Second)
	f.await(f.submit(f.vms[1], "/fit/", gangThenTasks), "done", 5*time.Second)
	for i := range 4 {
		require.Equal(t, 1, f.starts(path, 0, i))
	}
}

// TestFlowDelegates guards against tasks that stop or start again when a delegate dies. There
// are more workers than the leader can poll alone, so delegates poll some for it. One
// delegate is killed while tasks run on its workers.
func TestFlowDelegates(t *testing.T) {
	f := startFlow(t, 120, func(r ladderflow.Run, _ string) (time.Duration, bool) {
		// The tasks of the first job still run when the delegate is killed.
		if strings.HasSuffix(r.Task.Job, "01") {
			return 4 * time.Second, false
		}
		return 20 * time.Millisecond, false
	})
	path := f.submit(f.vms[0], "/regrade/", `[{"count":200,"cpu":4000,"memMb":100,"estimateMs":1500}]`)
	for range 10 {
		f.await(f.submit(f.vms[1], "/fit/", gangThenTasks), "done", 5*time.Second)
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
	require.NotNil(t, delegate, "the log names no delegate that has delivered an order")
	require.Equal(t, "running", f.state(leader, path))
	delegate.signal(t, syscall.SIGKILL)
	more := f.submit(leader, "/regrade/", `[{"count":100,"cpu":1000,"memMb":100,"estimateMs":100}]`)
	f.await(path, "done", 15*time.Second)
	f.await(more, "done", 15*time.Second)
	for i := range 200 {
		require.Equal(t, 1, f.starts(path, 0, i))
	}
}

// TestFlowKilledLeaderAndWorkerDelayOthersBriefly guards against tasks that wait for longer than the leases that
// a killed leader has granted. A worker goes with the leader, whose VM starts again at once.
func TestFlowKilledLeaderAndWorkerDelayOthersBriefly(t *testing.T) {
	f := startFlow(t, 3, func(ladderflow.Run, string) (time.Duration, bool) { return 1500 * time.Millisecond, false })
	f.await(f.submit(f.vms[0], "/regrade/", twoTasks), "done", 5*time.Second)
	path := f.submit(f.vms[0], "/regrade/", `[{"count":6,"cpu":8000,"memMb":100,"estimateMs":1500}]`)
	f.await(path, "running", 3*time.Second)
	former := f.leader()
	former.signal(t, syscall.SIGKILL)
	<-former.exited
	f.workers[2].SetUnresponsive(true)
	f.platform.Store().Txn(platform.Txn{Deletes: []string{platform.WorkerPrefix + "w2"}})
	killed := time.Now()
	f.launch(former, former.name)
	began := func() int {
		n := 0
		for i := range 6 {
			n += f.starts(path, 0, i)
		}
		return n
	}
	require.Eventually(t, func() bool { return began() > 3 }, 12*time.Second, 10*time.Millisecond)
	require.Greater(t, time.Since(killed), 3500*time.Millisecond, "the lease of the worker that is gone may not have ended")
	require.Less(t, time.Since(killed), 9*time.Second)
}
