package laddertest

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderaudit"
)

// The time limits that the system guarantees: for the takeover of a dead VM's racks, until a
// configuration is in force everywhere, until a leaving worker gets no more tasks, and for
// the drain of an entry VM.
const (
	takeoverTarget = 5 * time.Second
	configTarget   = 4 * time.Second
	leavingTarget  = 3 * time.Second
	drainTarget    = 75 * time.Second
)

// holders returns the holder of each rack that has a home, as reported by an entry VM. The
// holder is the VM that has the claims on the rack's workers, so that it alone may place tasks
// on them.
func (c *cluster) holders(e *entryVM) map[string]string {
	st, _ := c.status(e)
	holders := map[string]string{}
	for _, r := range st.Racks {
		if r.Home {
			holders[r.Name] = r.Holder
		}
	}
	return holders
}

// holderAndPeer returns an entry VM of the zone that holds a rack, and the zone's other entry
// VM.
func (c *cluster) holderAndPeer(t *testing.T, zone string) (holder, peer *entryVM) {
	t.Helper()
	held := map[string]bool{}
	for _, name := range c.holders(c.entryVMs[0]) {
		held[name] = true
	}
	for _, e := range c.entryVMs {
		if e.zone != zone {
			continue
		}
		if holder == nil && held[e.name] {
			holder = e
		} else {
			peer = e
		}
	}
	require.NotNil(t, holder)
	require.NotNil(t, peer)
	return holder, peer
}

// awaitTakeover waits until the observer reports that all racks have a holder other than the
// dead VM. It fails if that takes longer than limit after since.
func (c *cluster) awaitTakeover(t *testing.T, observer *entryVM, dead string, since time.Time, limit time.Duration) {
	t.Helper()
	for {
		holders := c.holders(observer)
		incomplete := len(holders) < 6
		for _, h := range holders {
			incomplete = incomplete || h == dead
		}
		if !incomplete {
			t.Logf("the racks of %s were taken over %v after it failed", dead, time.Since(since).Round(10*time.Millisecond))
			return
		}
		require.Less(t, time.Since(since), limit, "the racks were not taken over: %v", holders)
		time.Sleep(50 * time.Millisecond)
	}
}

// TestEntryVMKilled guards against racks that stay without a holder after an entry VM has died.
// It kills a VM that holds a rack, with the store available or not. Another VM must take the
// rack over in time, and requests must succeed afterwards.
func TestEntryVMKilled(t *testing.T) {
	tests := map[string]string{
		"with the store up":  "down=false",
		"with the store out": "down=true",
	}
	for name, store := range tests {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, 2)
			traffic := c.startTraffic()
			time.Sleep(time.Second)
			c.setSwitch(c.platform, store)
			time.Sleep(time.Second)
			victim, peer := c.holderAndPeer(t, zones[0].name)
			killed := time.Now()
			victim.signal(t, syscall.SIGKILL)
			c.awaitTakeover(t, peer, victim.name, killed, takeoverTarget)
			// Until shortly after the takeover, the new home may answer bookings with unknown. See
			// awaitHomes.
			after := time.Now().Add(2500 * time.Millisecond)
			time.Sleep(5 * time.Second)
			traffic.end()
			for _, class := range []string{"fitcheck", "booking"} {
				ran, all := traffic.ranSince(after, class)
				t.Logf("%s after the takeover: %d of %d ran", class, ran, all)
				require.Positive(t, all)
				require.GreaterOrEqual(t, ran*100, all*99, "requests must succeed after the takeover")
			}
			traffic.audit(t)
		})
	}
}

// TestEntryVMPausedBeyondItsLease guards against an entry VM that acts on expired claims. Twice,
// it suspends a VM that holds a rack until another VM has taken the rack over, and resumes
// it. The store is not available meanwhile: the leases at the workers alone must prevent
// late starts. The audit checks that no task runs twice.
func TestEntryVMPausedBeyondItsLease(t *testing.T) {
	c := startCluster(t, 2)
	traffic := c.startTraffic()
	time.Sleep(time.Second)
	victim, peer := c.holderAndPeer(t, zones[1].name)
	c.setSwitch(c.platform, "down=true")
	for range 2 {
		stopped := time.Now()
		victim.signal(t, syscall.SIGSTOP)
		c.awaitTakeover(t, peer, victim.name, stopped, takeoverTarget)
		victim.signal(t, syscall.SIGCONT)
		time.Sleep(3 * time.Second)
	}
	traffic.audit(t)
}

// TestDrainInterruptsNothing guards against requests that are lost when an entry VM shuts down.
// The VM receives SIGTERM while it handles 20 requests, and must answer all of them before
// it exits.
func TestDrainInterruptsNothing(t *testing.T) {
	c := startCluster(t, 2)
	e := c.entryVMs[0]
	var wait sync.WaitGroup
	answers := make([]callerResponse, 20)
	errs := make([]error, 20)
	for i := range answers {
		wait.Go(func() {
			answers[i], errs[i] = c.send(e, callerRequest{member: "jadewing", class: "fitcheck", body: fmt.Sprintf("run=1500ms\n%d", i)})
		})
	}
	time.Sleep(300 * time.Millisecond)
	e.signal(t, syscall.SIGTERM)
	require.Zero(t, e.wait(t, drainTarget))
	wait.Wait()
	for i := range answers {
		require.NoError(t, errs[i])
		require.Equal(t, "ran", answers[i].outcome, answers[i].body)
	}
}

// TestRollingRestart guards against lost handovers: three entry VMs are shut down and restarted
// one after the other, and each must hand its racks and keys over so that no request under
// a key is answered with unknown.
func TestRollingRestart(t *testing.T) {
	c := startCluster(t, 2)
	traffic := c.startTraffic()
	time.Sleep(time.Second)
	for _, e := range c.entryVMs[:3] {
		e.signal(t, syscall.SIGTERM)
		require.Zero(t, e.wait(t, drainTarget))
		c.launchEntryVM(e, e.name)
		require.Eventually(t, func() bool {
			st, ok := c.status(e)
			return ok && st.Version > 0
		}, 10*time.Second, 100*time.Millisecond)
		time.Sleep(1500 * time.Millisecond)
	}
	traffic.audit(t)
	require.Empty(t, traffic.unknownOutcomes(), "no outcome may be unknown after a handover")
}

// TestWorkerFaults guards against wrong answers to callers while three workers are faulty: they
// truncate their answers, return the answer of another task, answer seconds late, answer
// nothing on open connections, or answer nothing at all.
func TestWorkerFaults(t *testing.T) {
	for _, fault := range []string{"cut", "swapped", "late", "silent", "paused"} {
		t.Run(fault, func(t *testing.T) {
			c := startCluster(t, 2)
			traffic := c.startTraffic()
			time.Sleep(time.Second)
			for _, w := range c.workers[:3] {
				c.setSwitch(w, fault+"=true")
			}
			time.Sleep(4 * time.Second)
			for _, w := range c.workers[:3] {
				c.setSwitch(w, fault+"=false")
			}
			time.Sleep(time.Second)
			traffic.audit(t)
		})
	}
}

// TestWorkerThatFailsEverything guards against a worker that attracts tasks because it fails
// each of them at once and so always has free capacity. After 5 seconds at most 1 % of the
// starts may go to it, and retries may add at most 10 % to the attempts.
func TestWorkerThatFailsEverything(t *testing.T) {
	c := startCluster(t, 2)
	bad := c.workers[0]
	c.setSwitch(bad, "failing=true")
	traffic := c.startTraffic()
	time.Sleep(5 * time.Second)
	settled := time.Now()
	time.Sleep(4 * time.Second)
	events := traffic.audit(t)
	badStarts, settledStarts, attempts := 0, 0, 0
	for _, event := range events {
		if event.Name != "start" {
			continue
		}
		attempts++
		if event.At > settled.UnixNano() {
			settledStarts++
			if event.Worker == bad.name {
				badStarts++
			}
		}
	}
	requests := len(traffic.exchanges)
	t.Logf("after 5 s, %d of %d starts went to the failing worker; %d attempts for %d requests", badStarts, settledStarts, attempts, requests)
	require.LessOrEqual(t, badStarts*100, settledStarts)
	require.LessOrEqual(t, attempts*10, requests*11)
}

// TestDrainedWorkerGetsNoWork guards against an entry VM that goes on starting tasks on a
// worker after the configuration that drains it is in force.
func TestDrainedWorkerGetsNoWork(t *testing.T) {
	c := startCluster(t, 2)
	traffic := c.startTraffic()
	time.Sleep(time.Second)
	drained := c.workers[0].name
	out := c.runCommand("drain", "-to", c.entryVMs[3].operators, "-token", "secret", "-worker", drained, "-reason", "fan failure")
	require.Contains(t, out, "version 2 accepted")
	accepted := time.Now()
	time.Sleep(configTarget + time.Second)
	before, after := 0, 0
	for _, event := range traffic.audit(t) {
		if event.Name != "start" || event.Worker != drained {
			continue
		}
		if event.At > accepted.Add(configTarget).UnixNano() {
			after++
		} else {
			before++
		}
	}
	require.Positive(t, before)
	require.Zero(t, after)
}

// TestLeavingWorkerGetsNoWork guards against tasks that start on a worker that is about to shut
// down. The platform's list of VMs is one minute behind, so the entry VMs learn of it only
// from the worker itself. The audit checks the starts.
func TestLeavingWorkerGetsNoWork(t *testing.T) {
	c := startCluster(t, 2)
	c.setSwitch(c.platform, "lag=1m")
	traffic := c.startTraffic()
	time.Sleep(time.Second)
	c.setSwitch(c.workers[0], "leaving=true")
	time.Sleep(leavingTarget + 3*time.Second)
	events := traffic.audit(t)
	leaveSeen := false
	for _, event := range events {
		leaveSeen = leaveSeen || event.Name == "leave"
	}
	require.True(t, leaveSeen)
}

// TestJobsOutliveTheQueuesLeader guards against jobs that are lost, run twice or not canceled
// when the queue's leader dies. It kills the leader while a batch job and a gang run, and
// cancels 100 other jobs right afterwards.
func TestJobsOutliveTheQueuesLeader(t *testing.T) {
	c := startCluster(t, 2)
	traffic := c.startTraffic()
	var leader *entryVM
	require.Eventually(t, func() bool {
		st, _ := c.status(c.entryVMs[0])
		for _, e := range c.entryVMs {
			if e.name == st.Leader {
				leader = e
			}
		}
		return leader != nil
	}, 10*time.Second, 100*time.Millisecond)
	other := c.entryVMs[0]
	if other == leader {
		other = c.entryVMs[1]
	}
	const size = "size: {slots: 1, cores: 500m, memory: 64MiB}\n"
	batch := c.submit(other, "jadewing", "member: jadewing\nteam: regrades\nkind: batch\ntasks: 60\nbody: run=3s\n"+size)
	gang := c.submit(other, "jadewing", "member: jadewing\nteam: reconciliation\nkind: gang\ntasks: 12\nbody: run=2s\n"+size)
	var cancelled []string
	for range 100 {
		cancelled = append(cancelled, c.submit(other, "bureau", "member: bureau\nteam: archive\nkind: batch\ntasks: 3\nbody: run=30s\n"+size).ID)
	}
	time.Sleep(1500 * time.Millisecond)
	leader.signal(t, syscall.SIGKILL)
	for _, id := range cancelled {
		status, body := c.jobCall(other, http.MethodDelete, "/v1/jobs/"+id, "bureau", "")
		require.Equal(t, http.StatusAccepted, status, body)
	}
	var jobs []ladderaudit.Job
	jobs = append(jobs, ladderaudit.Job{ID: batch.ID, State: c.awaitJob(other, "jadewing", batch.ID, "done", 90*time.Second).State})
	jobs = append(jobs, ladderaudit.Job{ID: gang.ID, State: c.awaitJob(other, "jadewing", gang.ID, "done", 60*time.Second).State})
	for _, id := range cancelled {
		jobs = append(jobs, ladderaudit.Job{ID: id, State: c.awaitJob(other, "bureau", id, "cancelled", 60*time.Second).State})
	}
	events := traffic.audit(t, jobs...)
	ends := map[string]int{}
	for _, event := range events {
		if event.Name == "end" && strings.HasPrefix(event.Task, batch.ID) {
			ends[strings.Split(event.Task, "/")[1]]++
		}
	}
	require.Len(t, ends, 60)
	for index, n := range ends {
		require.Equal(t, 1, n, "task %s", index)
	}
}

// TestStoreSlowForLong guards against urgent requests that wait for the store. The store delays
// its answers by 1.5 s for 20 s, and all requests must run.
func TestStoreSlowForLong(t *testing.T) {
	c := startCluster(t, 2)
	c.setSwitch(c.platform, "slow=1500ms")
	traffic := c.startTraffic()
	time.Sleep(20 * time.Second)
	traffic.end()
	n := traffic.outcomeCounts()
	require.Equal(t, len(traffic.exchanges), n["ran"], "requests must not depend on the store: %v", n)
	traffic.audit(t)
}

// TestManyCancellations guards against cancellations that are lost or that slow down urgent
// requests. It sends 10,000 cancellations, 200 of them for existing jobs.
func TestManyCancellations(t *testing.T) {
	const cancellations = 10_000
	c := startCluster(t, 2)
	traffic := c.startTraffic()
	const size = "size: {slots: 1, cores: 500m, memory: 64MiB}\n"
	submitted := make([]string, 200)
	for i := range submitted {
		e := c.entryVMs[i%len(c.entryVMs)]
		submitted[i] = c.submit(e, "bureau", "member: bureau\nteam: archive\nkind: batch\ntasks: 2\nbody: run=20s\n"+size).ID
	}
	began := time.Now()
	var wait sync.WaitGroup
	var failed atomic.Int64
	for sender := range 64 {
		wait.Go(func() {
			for i := sender; i < cancellations; i += 64 {
				id := fmt.Sprintf("bureau.none%05d", i)
				if i%50 == 0 {
					id = submitted[i/50]
				}
				if status, _ := c.jobCall(c.entryVMs[i%len(c.entryVMs)], http.MethodDelete, "/v1/jobs/"+id, "bureau", ""); status != http.StatusAccepted {
					failed.Add(1)
				}
			}
		})
	}
	wait.Wait()
	t.Logf("%d cancellations took %v", cancellations, time.Since(began).Round(10*time.Millisecond))
	require.Zero(t, failed.Load())
	var jobs []ladderaudit.Job
	for _, id := range submitted {
		jobs = append(jobs, ladderaudit.Job{ID: id, State: c.awaitJob(c.entryVMs[0], "bureau", id, "cancelled", 30*time.Second).State})
	}
	traffic.audit(t, jobs...)
	ran, all := traffic.ranSince(began, "fitcheck")
	require.GreaterOrEqual(t, ran*100, all*99, "urgent requests must go on")
}

// TestUrgentWorkThrottlesBatch guards against batch tasks that are stopped although urgent
// requests lack only processor time. Batch tasks use all cores, but leave slots and memory
// free. They must be throttled while urgent requests run.
func TestUrgentWorkThrottlesBatch(t *testing.T) {
	c := startCluster(t, 2)
	e := c.entryVMs[0]
	batch := c.submit(e, "jadewing", "member: jadewing\nteam: regrades\nkind: batch\ntasks: 24\nbody: run=15s\nsize: {slots: 1, cores: 16, memory: 64MiB}\n")
	require.Eventually(t, func() bool { return c.job(e, "jadewing", batch.ID).Running == 24 }, 10*time.Second, 100*time.Millisecond)
	traffic := c.startTraffic()
	time.Sleep(4 * time.Second)
	traffic.end()
	throttled, stopped := 0, 0
	for _, event := range traffic.audit(t) {
		if event.Name == "throttle" {
			throttled++
		}
		if event.Name == "stop" && event.Kind == "batch" {
			stopped++
		}
	}
	t.Logf("%d batch tasks throttled, %d stopped", throttled, stopped)
	require.Positive(t, throttled)
	require.Zero(t, stopped, "no task may be stopped: slots and memory were free")
	n := traffic.outcomeCounts()
	require.GreaterOrEqual(t, n["ran"]*100, len(traffic.exchanges)*99, "%v", n)
}
