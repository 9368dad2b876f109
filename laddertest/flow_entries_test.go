package laddertest

import (
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
	"lacewingladder/platform"
)

// strangeEntries holds entries among those of the workers that no worker has written, by ID. The last one is
// whole, but its worker does not exist.
var strangeEntries = map[string]string{
	"nested":   strings.Repeat(`{"a":`, 50_000) + "1" + strings.Repeat("}", 50_000),
	"huge":     wholeEntry("127.0.0.1:9", "9000000000000000000"),
	"port":     wholeEntry("127.0.0.1:70000", "8000"),
	"no-port":  wholeEntry("127.0.0.1:0", "8000"),
	"trailing": wholeEntry("127.0.0.1:9", "8000") + "\xff\x00",
	"types":    `{"service":7,"addr":[],"zone":null,"state":"ready","capacity":"all"}`,
	"bytes":    "\x00\xff\xfe",
	"absent":   wholeEntry("127.0.0.1:9", "8000"),
}

func wholeEntry(address, processor string) string {
	return `{"service":"fitting","addr":"` + address + `","zone":"taoyuan-a","version":"v1","slots":8,"state":"ready","coldLeftMs":0,` +
		`"capacity":{"cpu":` + processor + `,"memMb":16000,"gpu":0},"labels":["a","r0"],"seq":1,"born":5}`
}

// writeStrangeEntries writes the strange entries anew each second until the test ends.
func (f *flowCluster) writeStrangeEntries() {
	write := func() {
		for id, value := range strangeEntries {
			f.platform.Store().Txn(platform.Txn{Writes: []platform.Write{{Key: platform.WorkerPrefix + id, Value: []byte(value)}}})
		}
	}
	write()
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				write()
			}
		}
	})
	f.t.Cleanup(func() { close(stop); wait.Wait() })
}

// TestFlowStrangeEntriesDelayNobody guards against VMs that end, or jobs that wait, because of entries that no
// worker has written, also across a change of leader.
func TestFlowStrangeEntriesDelayNobody(t *testing.T) {
	const runTime = 1500 * time.Millisecond
	f := startFlow(t, 3, func(ladderflow.Run, string) (time.Duration, bool) { return runTime, false })
	f.writeStrangeEntries()
	for began := time.Now(); time.Since(began) < 3*time.Second; {
		f.await(f.submit(f.vms[0], "/regrade/", longTasks), "done", runTime+time.Second)
	}
	// Half of the tasks have no room until the others end.
	path := f.submit(f.vms[0], "/regrade/", `[{"count":6,"cpu":8000,"memMb":100,"estimateMs":1500}]`)
	f.await(path, "running", 3*time.Second)
	former := f.leader()
	former.signal(t, syscall.SIGKILL)
	<-former.exited
	f.await(path, "done", 6*time.Second)
	for i := range 6 {
		require.Equal(t, 1, f.starts(path, 0, i))
	}
	for _, v := range f.vms {
		if v == former {
			continue
		}
		select {
		case <-v.exited:
			t.Errorf("VM %s has ended", v.name)
		default:
		}
	}
}
