package laddertest

import (
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// TestFlowSilentWorkerRestarts guards against tasks that run twice after a worker has restarted under its ID. While the
// worker is silent, the leader orders starts there, which reach the next incarnation. Then the leader is killed and the
// worker is cut off: the next leader starts the tasks elsewhere, once the leases that the worker can have are over.
func TestFlowSilentWorkerRestarts(t *testing.T) {
	const (
		uptime   = 20 * time.Second
		downtime = 700 * time.Millisecond
		watched  = 13 * time.Second
	)
	var long atomic.Bool
	f := newFlow(t, 2, func(ladderflow.Run, string) (time.Duration, bool) {
		if long.Load() {
			return time.Minute, false
		}
		return 20 * time.Millisecond, false
	})
	for _, w := range f.workers {
		w.SetUptime(uptime)
	}
	f.startVMs(3)
	const fillsBoth = `[{"count":8,"cpu":2000,"memMb":100,"estimateMs":8000}]`
	f.await(f.submit(f.vms[0], "/regrade/", fillsBoth), "done", 5*time.Second)
	long.Store(true)
	restarted := f.workers[0]
	restarted.CrashSilently(f.platform.Store(), downtime)
	path := f.submit(f.vms[0], "/regrade/", fillsBoth)
	time.Sleep(downtime + 100*time.Millisecond)
	leader := f.leader()
	leader.signal(t, syscall.SIGKILL)
	restarted.SetUnresponsive(true)
	<-leader.exited
	f.launch(leader, leader.name)
	f.addWorkers(1)

	for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		runs := map[ladderflow.Task]ladderflow.Run{}
		for _, r := range restarted.Running() {
			runs[r.Task] = r
		}
		for _, w := range f.workers[1:] {
			for _, r := range w.Running() {
				other, twice := runs[r.Task]
				require.False(t, twice, "%v runs while %v does, %v after the cut", r, other, watched-time.Until(end))
			}
		}
	}
	for i := range 8 {
		require.Positive(t, f.starts(path, 0, i))
	}
	require.Len(t, append(f.workers[1].Running(), f.workers[2].Running()...), 8, "all tasks must run on the other workers")
}
