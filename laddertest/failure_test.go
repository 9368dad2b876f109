package laddertest

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderaudit"
)

// The stated targets.
const (
	takeoverTarget = 5 * time.Second
	configTarget   = 4 * time.Second
	leavingTarget  = 3 * time.Second
	drainTarget    = 75 * time.Second
)

// holders returns who holds each rack, as an entry VM sees it.
func (c *cell) holders(e *entry) map[string]string {
	st, _ := c.status(e)
	holders := map[string]string{}
	for _, r := range st.Racks {
		if r.Home {
			holders[r.Name] = r.Holder
		}
	}
	return holders
}

// holderAndSister returns an entry VM of a zone that holds a rack, and the other
// entry VM of the zone.
func (c *cell) holderAndSister(t *testing.T, zone string) (holder, sister *entry) {
	t.Helper()
	held := map[string]bool{}
	for _, name := range c.holders(c.entries[0]) {
		held[name] = true
	}
	for _, e := range c.entries {
		if e.zone != zone {
			continue
		}
		if holder == nil && held[e.name] {
			holder = e
		} else {
			sister = e
		}
	}
	require.NotNil(t, holder)
	require.NotNil(t, sister)
	return holder, sister
}

// awaitTakeover waits until no rack is held by a VM that is gone, within limit
// from since.
func (c *cell) awaitTakeover(t *testing.T, watcher *entry, gone string, since time.Time, limit time.Duration) {
	t.Helper()
	for {
		holders := c.holders(watcher)
		left := len(holders) < 6
		for _, h := range holders {
			left = left || h == gone
		}
		if !left {
			t.Logf("racks of %s were taken over %v after it died", gone, time.Since(since).Round(10*time.Millisecond))
			return
		}
		require.Less(t, time.Since(since), limit, "racks are not taken over: %v", holders)
		time.Sleep(50 * time.Millisecond)
	}
}

func TestEntryVMKilled(t *testing.T) {
	tests := map[string]string{
		"with the store up":  "down=false",
		"with the store out": "down=true",
	}
	for name, store := range tests {
		t.Run(name, func(t *testing.T) {
			c := startCell(t, 2)
			f := c.startTraffic()
			time.Sleep(time.Second)
			c.flip(c.platform, store)
			time.Sleep(time.Second)
			victim, sister := c.holderAndSister(t, zones[0].name)
			killed := time.Now()
			victim.signal(t, syscall.SIGKILL)
			c.awaitTakeover(t, sister, victim.name, killed, takeoverTarget)
			after := time.Now().Add(2500 * time.Millisecond)
			time.Sleep(5 * time.Second)
			f.end()
			for _, class := range []string{"fitcheck", "booking"} {
				ran, all := f.since(after, class)
				t.Logf("%s after the takeover: %d of %d ran", class, ran, all)
				require.Positive(t, all)
				require.GreaterOrEqual(t, ran*100, all*99, "work goes on in every zone")
			}
			f.audit(t)
		})
	}
}

func TestEntryVMPausedBeyondItsLease(t *testing.T) {
	c := startCell(t, 2)
	f := c.startTraffic()
	time.Sleep(time.Second)
	victim, sister := c.holderAndSister(t, zones[1].name)
	c.flip(c.platform, "down=true")
	for range 2 {
		stopped := time.Now()
		victim.signal(t, syscall.SIGSTOP)
		c.awaitTakeover(t, sister, victim.name, stopped, takeoverTarget)
		victim.signal(t, syscall.SIGCONT)
		time.Sleep(3 * time.Second)
	}
	f.audit(t)
}

func TestDrainInterruptsNothing(t *testing.T) {
	c := startCell(t, 2)
	e := c.entries[0]
	var wait sync.WaitGroup
	answers := make([]answer, 20)
	errs := make([]error, 20)
	for i := range answers {
		wait.Go(func() {
			answers[i], errs[i] = c.send(e, ask{member: "jadewing", class: "fitcheck", body: fmt.Sprintf("run=1500ms\n%d", i)})
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

func TestRollingRestart(t *testing.T) {
	c := startCell(t, 2)
	f := c.startTraffic()
	time.Sleep(time.Second)
	for _, e := range c.entries[:3] {
		e.signal(t, syscall.SIGTERM)
		require.Zero(t, e.wait(t, drainTarget))
		c.launchEntry(e, e.name)
		require.Eventually(t, func() bool {
			st, ok := c.status(e)
			return ok && st.Version > 0
		}, 10*time.Second, 100*time.Millisecond)
		time.Sleep(1500 * time.Millisecond)
	}
	f.audit(t)
	require.Zero(t, f.counts()["unknown"], "handovers leave no key in doubt")
}

func TestWorkerFaults(t *testing.T) {
	for _, fault := range []string{"cut", "swapped", "late", "silent", "paused"} {
		t.Run(fault, func(t *testing.T) {
			c := startCell(t, 2)
			f := c.startTraffic()
			time.Sleep(time.Second)
			for _, w := range c.workers[:3] {
				c.flip(w, fault+"=true")
			}
			time.Sleep(4 * time.Second)
			for _, w := range c.workers[:3] {
				c.flip(w, fault+"=false")
			}
			time.Sleep(time.Second)
			f.audit(t)
		})
	}
}

func TestWorkerThatFailsEverything(t *testing.T) {
	c := startCell(t, 2)
	bad := c.workers[0]
	c.flip(bad, "failing=true")
	f := c.startTraffic()
	time.Sleep(5 * time.Second)
	settled := time.Now()
	time.Sleep(4 * time.Second)
	events := f.audit(t)
	touched, all, attempts := 0, 0, 0
	for _, x := range events {
		if x.Event != "start" {
			continue
		}
		attempts++
		if x.At > settled.UnixNano() {
			all++
			if x.Worker == bad.name {
				touched++
			}
		}
	}
	requests := len(f.exchanges)
	t.Logf("after 5 s, %d of %d starts went to the bad worker; %d attempts for %d requests", touched, all, attempts, requests)
	require.LessOrEqual(t, touched*100, all)
	require.LessOrEqual(t, attempts*10, requests*11)
}

func TestDrainedWorkerGetsNoWork(t *testing.T) {
	c := startCell(t, 2)
	f := c.startTraffic()
	time.Sleep(time.Second)
	drained := c.workers[0].name
	out := c.run("drain", "-to", c.entries[3].operators, "-token", "secret", "-worker", drained, "-reason", "the fan is loud")
	require.Contains(t, out, "version 2 accepted")
	accepted := time.Now()
	time.Sleep(configTarget + time.Second)
	before, after := 0, 0
	for _, x := range f.audit(t) {
		if x.Event != "start" || x.Worker != drained {
			continue
		}
		if x.At > accepted.Add(configTarget).UnixNano() {
			after++
		} else {
			before++
		}
	}
	require.Positive(t, before)
	require.Zero(t, after)
}

func TestLeavingWorkerGetsNoWork(t *testing.T) {
	c := startCell(t, 2)
	c.flip(c.platform, "lag=1m")
	f := c.startTraffic()
	time.Sleep(time.Second)
	c.flip(c.workers[0], "leaving=true")
	time.Sleep(leavingTarget + 3*time.Second)
	events := f.audit(t)
	left := false
	for _, x := range events {
		left = left || x.Event == "leave"
	}
	require.True(t, left)
}

func TestJobsOutliveTheQueuesLeader(t *testing.T) {
	c := startCell(t, 2)
	f := c.startTraffic()
	var leader *entry
	require.Eventually(t, func() bool {
		st, _ := c.status(c.entries[0])
		for _, e := range c.entries {
			if e.name == st.Leader {
				leader = e
			}
		}
		return leader != nil
	}, 10*time.Second, 100*time.Millisecond)
	other := c.entries[0]
	if other == leader {
		other = c.entries[1]
	}
	const size = "size: {slots: 1, cores: 500m, memory: 64MiB}\n"
	batch := c.submit(other, "jadewing", "member: jadewing\nteam: regrades\nkind: batch\ntasks: 60\nbody: run=3s\n"+size)
	gang := c.submit(other, "jadewing", "member: jadewing\nteam: reconciliation\nkind: gang\ntasks: 12\nbody: run=2s\n"+size)
	var waves []string
	for range 100 {
		waves = append(waves, c.submit(other, "bureau", "member: bureau\nteam: archive\nkind: batch\ntasks: 3\nbody: run=30s\n"+size).ID)
	}
	time.Sleep(1500 * time.Millisecond)
	leader.signal(t, syscall.SIGKILL)
	for _, id := range waves {
		status, body := c.jobCall(other, http.MethodDelete, "/v1/jobs/"+id, "bureau", "")
		require.Equal(t, http.StatusAccepted, status, body)
	}
	var jobs []ladderaudit.Job
	jobs = append(jobs, ladderaudit.Job{ID: batch.ID, State: c.awaitJob(other, "jadewing", batch.ID, "done", 90*time.Second).State})
	jobs = append(jobs, ladderaudit.Job{ID: gang.ID, State: c.awaitJob(other, "jadewing", gang.ID, "done", 60*time.Second).State})
	for _, id := range waves {
		jobs = append(jobs, ladderaudit.Job{ID: id, State: c.awaitJob(other, "bureau", id, "cancelled", 60*time.Second).State})
	}
	events := f.audit(t, jobs...)
	ends := map[string]int{}
	for _, x := range events {
		if x.Event == "end" && strings.HasPrefix(x.Task, batch.ID) {
			ends[strings.Split(x.Task, "/")[1]]++
		}
	}
	require.Len(t, ends, 60)
	for index, n := range ends {
		require.Equal(t, 1, n, "task %s", index)
	}
}

// versionsWithin waits until every running entry VM has a version.
func (c *cell) versionsWithin(t *testing.T, version uint64, limit time.Duration) {
	t.Helper()
	began := time.Now()
	for _, e := range c.entries {
		for {
			if st, ok := c.status(e); ok && st.Version >= version {
				break
			}
			require.Less(t, time.Since(began), limit, "%s does not have version %d", e.name, version)
			time.Sleep(20 * time.Millisecond)
		}
	}
	t.Logf("version %d is in force everywhere after %v", version, time.Since(began).Round(time.Millisecond))
}

func TestConfiguration(t *testing.T) {
	c := startCell(t, 2)
	f := c.startTraffic()
	file := filepath.Join(c.dir, "change.yaml")
	document := configuration(2)
	require.NoError(t, os.WriteFile(file, []byte(document), 0o600))
	apply := func(e *entry, args ...string) (string, error) {
		args = append([]string{"apply", "-to", e.operators, "-token", "secret", "-file", file}, args...)
		out, err := exec.Command(filepath.Join(programs, "lacewingladder"), args...).CombinedOutput()
		return string(out), err
	}

	t.Run("a change is in force everywhere in time", func(t *testing.T) {
		out, err := apply(c.entries[0])
		require.NoError(t, err, out)
		c.versionsWithin(t, 2, configTarget)
	})
	t.Run("of two racing changes one wins and the other learns who", func(t *testing.T) {
		var wait sync.WaitGroup
		outs, errs := make([]string, 2), make([]error, 2)
		for i, by := range []string{"ann", "bob"} {
			wait.Go(func() { outs[i], errs[i] = apply(c.entries[3*i], "-by", by, "-base", "2") })
		}
		wait.Wait()
		require.NotEqual(t, errs[0] == nil, errs[1] == nil, "%v", outs)
		winner, loser := "ann", outs[1]
		if errs[1] == nil {
			winner, loser = "bob", outs[0]
		}
		require.Contains(t, loser, "conflict: version 3 by "+winner)
		c.versionsWithin(t, 3, configTarget)
	})
	t.Run("an answer that was lost is settled by reading back", func(t *testing.T) {
		c.flip(c.platform, "lost=true")
		out, err := apply(c.entries[4])
		c.flip(c.platform, "lost=false")
		require.NoError(t, err, out)
		c.versionsWithin(t, 4, configTarget)
	})
	t.Run("a store that was restored takes nothing back", func(t *testing.T) {
		c.flip(c.platform, "save=true")
		out, err := apply(c.entries[1])
		require.NoError(t, err, out)
		c.versionsWithin(t, 5, configTarget)
		c.flip(c.platform, "restore=true")
		time.Sleep(configTarget)
		c.versionsWithin(t, 5, configTarget)
		out, err = apply(c.entries[2])
		require.NoError(t, err, out)
		c.versionsWithin(t, 6, configTarget)
	})
	t.Run("an exception without a reason is refused at the node", func(t *testing.T) {
		bad := document + "\n  - target: team/archive\n    set: quota\n    value: 3\n"
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+c.entries[0].operators+"/v1/config", strings.NewReader(bad))
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer secret")
		response, err := c.client.Do(request)
		require.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		require.Equal(t, http.StatusBadRequest, response.StatusCode)
	})
	t.Run("a VM that starts in an outage learns it from its peers", func(t *testing.T) {
		c.flip(c.platform, "down=true")
		e := c.entries[5]
		e.signal(t, syscall.SIGKILL)
		e.wait(t, time.Second)
		c.launchEntry(e, e.name)
		c.versionsWithin(t, 6, 10*time.Second)
		c.flip(c.platform, "down=false")
	})
	f.audit(t)
}

func TestStoreSlowForLong(t *testing.T) {
	c := startCell(t, 2)
	c.flip(c.platform, "slow=1500ms")
	f := c.startTraffic()
	time.Sleep(20 * time.Second)
	f.end()
	n := f.counts()
	require.Equal(t, len(f.exchanges), n["ran"], "requests need no store: %v", n)
	f.audit(t)
}

func TestWaveOfCancellations(t *testing.T) {
	const wave = 10_000
	c := startCell(t, 2)
	f := c.startTraffic()
	const size = "size: {slots: 1, cores: 500m, memory: 64MiB}\n"
	submitted := make([]string, 200)
	for i := range submitted {
		e := c.entries[i%len(c.entries)]
		submitted[i] = c.submit(e, "bureau", "member: bureau\nteam: archive\nkind: batch\ntasks: 2\nbody: run=20s\n"+size).ID
	}
	began := time.Now()
	var wait sync.WaitGroup
	var failed atomic.Int64
	for worker := range 64 {
		wait.Go(func() {
			for i := worker; i < wave; i += 64 {
				id := fmt.Sprintf("bureau.none%05d", i)
				if i%50 == 0 {
					id = submitted[i/50]
				}
				if status, _ := c.jobCall(c.entries[i%len(c.entries)], http.MethodDelete, "/v1/jobs/"+id, "bureau", ""); status != http.StatusAccepted {
					failed.Add(1)
				}
			}
		})
	}
	wait.Wait()
	t.Logf("%d cancellations took %v", wave, time.Since(began).Round(10*time.Millisecond))
	require.Zero(t, failed.Load())
	var jobs []ladderaudit.Job
	for _, id := range submitted {
		jobs = append(jobs, ladderaudit.Job{ID: id, State: c.awaitJob(c.entries[0], "bureau", id, "cancelled", 30*time.Second).State})
	}
	f.audit(t, jobs...)
	ran, all := f.since(began, "fitcheck")
	require.GreaterOrEqual(t, ran*100, all*99, "urgent work goes on")
}

func TestUrgentWorkThrottlesBatch(t *testing.T) {
	c := startCell(t, 2)
	e := c.entries[0]
	batch := c.submit(e, "jadewing", "member: jadewing\nteam: regrades\nkind: batch\ntasks: 24\nbody: run=15s\nsize: {slots: 1, cores: 16, memory: 64MiB}\n")
	require.Eventually(t, func() bool { return c.job(e, "jadewing", batch.ID).Running == 24 }, 10*time.Second, 100*time.Millisecond)
	f := c.startTraffic()
	time.Sleep(4 * time.Second)
	f.end()
	throttled, stopped := 0, 0
	for _, x := range f.audit(t) {
		if x.Event == "throttle" {
			throttled++
		}
		if x.Event == "stop" && x.Kind == "batch" {
			stopped++
		}
	}
	t.Logf("%d batch tasks throttled, %d stopped", throttled, stopped)
	require.Positive(t, throttled)
	require.Zero(t, stopped, "slots and memory were not short")
	n := f.counts()
	require.GreaterOrEqual(t, n["ran"]*100, len(f.exchanges)*99, "%v", n)
}
