package laddertest

import (
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderstand"
)

const (
	// crashDowntime is how long a worker is down after a crash.
	crashDowntime = 300 * time.Millisecond
	// maxCrashingStarts is how often a task may start that crashes each of its workers: three
	// times, and at most twice more.
	maxCrashingStarts = 5
)

// done returns how many runs of a task have succeeded on all workers.
func (f *flowCluster) done(path string, index int) int {
	n := 0
	for _, w := range f.workers {
		n += w.Done(ladderflow.Task{Job: path[strings.LastIndex(path, "/")+1:], Index: index})
	}
	return n
}

// TestFlowCrashingTask guards against a task that takes down one worker after the other, and against
// other jobs that are lost with it. The leader is killed after the first crash.
func TestFlowCrashingTask(t *testing.T) {
	f := startFlow(t, 6, func(ladderflow.Run, string) (time.Duration, bool) { return 300 * time.Millisecond, false })
	var crasher string
	var mu sync.Mutex
	for _, w := range f.workers {
		w.SetCrashes(ladderstand.CrashSpec{Downtime: crashDowntime, Store: f.platform.Store(), After: func(r ladderflow.Run) (time.Duration, bool) {
			mu.Lock()
			defer mu.Unlock()
			return 10 * time.Millisecond, crasher != "" && strings.HasSuffix(crasher, r.Task.Job) && r.Task.Index == 0
		}})
	}
	var ordinary []string
	for range 3 {
		ordinary = append(ordinary, f.submit(f.vms[0], "/regrade/", twoTasks))
	}
	mu.Lock()
	crasher = f.submit(f.vms[0], "/regrade/", twoTasks)
	mu.Unlock()
	for range 3 {
		ordinary = append(ordinary, f.submit(f.vms[1], "/fit/", twoTasks))
	}
	require.Eventually(t, func() bool { return f.starts(crasher, 0, 0) > 0 }, 5*time.Second, 5*time.Millisecond)
	leader := f.leader()
	leader.signal(t, syscall.SIGKILL)
	<-leader.exited
	f.await(crasher, "failed", 25*time.Second)
	require.LessOrEqual(t, f.starts(crasher, 0, 0), maxCrashingStarts)
	for _, path := range ordinary {
		f.await(path, "done", 10*time.Second)
		for i := range 2 {
			require.LessOrEqual(t, f.done(path, i), 1, "task %d of %s has succeeded more than once", i, path)
			require.Positive(t, f.starts(path, 0, i))
		}
	}
}

// TestFlowWorkersCrashInOutage guards against jobs that a caller has seen as done and whose tasks start
// again. While the store takes nothing, tasks end, all workers crash with the ends that they list, and
// the leader is killed.
func TestFlowWorkersCrashInOutage(t *testing.T) {
	var mu sync.Mutex
	seen := map[string]bool{}
	var again []ladderflow.Run
	f := startFlow(t, 4, func(r ladderflow.Run, _ string) (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		if seen[r.Task.Job] {
			again = append(again, r)
		}
		return 400 * time.Millisecond, false
	})
	var paths []string
	look := func(v *flowVM) {
		for _, p := range paths {
			if f.state(v, p) == "done" {
				mu.Lock()
				seen[p[strings.LastIndex(p, "/")+1:]] = true
				mu.Unlock()
			}
		}
	}
	for range 6 {
		paths = append(paths, f.submit(f.vms[0], "/regrade/", twoTasks))
	}
	f.await(paths[5], "running", 3*time.Second)
	leader := f.leader()
	f.setSwitch("down=true")
	for began := time.Now(); time.Since(began) < 1500*time.Millisecond; {
		look(leader)
	}
	for _, w := range f.workers {
		w.Crash(f.platform.Store(), crashDowntime)
	}
	leader.signal(t, syscall.SIGKILL)
	<-leader.exited
	f.setSwitch("down=false")
	for _, p := range paths {
		f.await(p, "done", 20*time.Second)
	}
	for began := time.Now(); time.Since(began) < time.Second; {
		for _, v := range f.vms {
			if v != leader {
				look(v)
			}
		}
	}
	mu.Lock()
	defer mu.Unlock()
	require.Empty(t, again, "tasks started again after a caller had seen their jobs as done")
}
