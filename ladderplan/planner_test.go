package ladderplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderlog"
)

const (
	testQueue   = "booths"
	testService = "fitting"
	fence       = 100
)

// harness runs a planner with simulated workers and a simulated clock.
type bed struct {
	t       *testing.T
	planner *Planner
	now     time.Time
	clock   map[string]time.Duration
	ends    map[string]int64
	orders  Orders
}

// newHarness returns a harness with the given number of workers, which have all answered a poll.
func newBed(t *testing.T, workers int) *bed {
	b := &bed{t: t, now: time.UnixMilli(1_000_000), clock: map[string]time.Duration{}, ends: map[string]int64{}}
	b.planner = newPlanner(b.now)
	b.planner.SetFleet(&ladderflow.Fleet{Version: 1, Queues: []ladderflow.Queue{{
		Name: testQueue, Service: testService, Attempts: 2, Stretch: 2, Goal: time.Second,
	}}})
	b.list(workers)
	roster := map[string]bool{}
	for i := range workers {
		roster[testWorker(i).ID] = true
		b.look(testWorker(i).ID, ladderflow.Look{})
	}
	b.planner.SetRoster(roster)
	return b
}

func newPlanner(now time.Time) *Planner {
	return New(Options{
		Fence: fence, Hold: 6 * time.Second, Longest: 10 * time.Second, Elected: now, Former: 2 * time.Second, StopTime: time.Second,
		Remembered: time.Minute, Remote: 2, Log: ladderlog.Discard().Part("plan"),
	})
}

func testWorker(i int) ladderflow.Worker {
	return ladderflow.Worker{
		ID: fmt.Sprintf("w%d", i), Service: testService, Capacity: ladderflow.Size{Processor: 8000, Memory: 8000},
		Labels: []string{"a", fmt.Sprintf("r%d", i/4)},
	}
}

// listWorkers sets the workers that the platform's store lists to the first n.
func (b *bed) list(n int) {
	list := make([]ladderflow.Worker, n)
	for i := range list {
		list[i] = testWorker(i)
	}
	b.planner.SetWorkers(b.now, list)
}

// advance moves the time of the planner and of all workers forward.
func (b *bed) pass(d time.Duration) {
	b.now = b.now.Add(d)
	for id := range b.clock {
		b.clock[id] += d
	}
}

// poll delivers a worker's status report that was requested at the present time.
func (b *bed) look(id string, l ladderflow.Look) {
	if _, ok := b.clock[id]; !ok {
		b.clock[id] = time.Second
	}
	l.Clock = b.clock[id]
	if l.Born == 0 {
		l.Born = 1
	}
	b.planner.Looked(b.now, id, b.now, l)
}

// pollAll delivers a status report of each worker with its running tasks.
func (b *bed) lookAll(running map[string][]ladderflow.LiveRun) {
	for id := range b.clock {
		b.look(id, ladderflow.Look{Running: running[id]})
	}
}

// plan returns the planner's orders.
func (b *bed) plan() Orders {
	b.orders = b.planner.Plan(b.now, b.now, Sure)
	return b.orders
}

// startAll plans, accepts all starts and returns them.
func (b *bed) begin() []StartOrder {
	o := b.plan()
	b.pass(time.Millisecond)
	for _, s := range o.Starts {
		b.planner.Started(b.now, s.Worker.ID, s.Run, Result{})
	}
	b.pass(time.Millisecond)
	return o.Starts
}

// endRun delivers a status report that lists the end of a run.
func (b *bed) end(s StartOrder, how ladderflow.How) {
	b.ends[s.Worker.ID]++
	b.look(s.Worker.ID, ladderflow.Look{
		Ended:   []ladderflow.EndedRun{{Number: b.ends[s.Worker.ID], Run: s.Run, How: how}},
		Running: b.rest(s),
	})
}

// otherRuns returns the runs that the worker of s has apart from s.
func (b *bed) rest(s StartOrder) []ladderflow.LiveRun {
	var list []ladderflow.LiveRun
	for name, x := range b.planner.workers[s.Worker.ID].runs {
		if name != s.Run && x.phase != sent {
			list = append(list, ladderflow.LiveRun{Run: name, Percent: 50})
		}
	}
	return list
}

// storeAll marks all changes as stored.
func (b *bed) save() {
	b.planner.Saved(b.planner.Unsaved())
}

func (b *bed) submit(id string, steps ...ladderflow.Step) {
	b.planner.AddJob(b.now, testJob(b.now, id, steps...), false)
}

func testJob(now time.Time, id string, steps ...ladderflow.Step) *ladderflow.Job {
	return &ladderflow.Job{ID: id, Queue: testQueue, Service: testService, Payload: "cut " + id, Steps: steps, Accepted: now}
}

func tasks(n int) ladderflow.Step {
	return ladderflow.Step{
		Tasks: n, Need: ladderflow.Size{Processor: 2000, Memory: 1000}, Estimate: time.Second,
	}
}

func gangOf(n int) ladderflow.Step {
	s := tasks(n)
	s.Gang = true
	return s
}

func TestJobRunsToItsEnd(t *testing.T) {
	for name, c := range map[string]struct {
		steps  []ladderflow.Step
		starts []int
	}{
		"one task":            {[]ladderflow.Step{tasks(1)}, []int{1}},
		"many tasks":          {[]ladderflow.Step{tasks(5)}, []int{5}},
		"a step after a step": {[]ladderflow.Step{tasks(2), after(tasks(3), 0)}, []int{2, 3}},
		"a gang before a gang": {
			[]ladderflow.Step{gangOf(4), after(gangOf(2), 0)},
			[]int{4, 2},
		},
		"two steps at once, and one after both": {
			[]ladderflow.Step{tasks(1), tasks(2), after(tasks(1), 0, 1)},
			[]int{3, 1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, 2)
			b.submit("a", c.steps...)
			require.Equal(t, View{Known: true, State: ladderflow.Queued}, b.planner.View(b.now, "a"))
			for _, want := range c.starts {
				starts := b.begin()
				require.Len(t, starts, want)
				require.Equal(t, ladderflow.Running, b.planner.View(b.now, "a").State)
				for _, s := range starts {
					require.Equal(t, "cut a", s.Payload)
					b.end(s, ladderflow.EndDone)
				}
			}
			require.Equal(t, ladderflow.Running, b.planner.View(b.now, "a").State, "an end is shown once it is stored")
			b.save()
			require.Equal(t, ladderflow.Done, b.planner.View(b.now, "a").State)
			require.Empty(t, b.begin())
		})
	}
}

func after(s ladderflow.Step, steps ...int) ladderflow.Step {
	s.After = steps
	return s
}

// TestLateGangStillStarts checks that a gang so late that its result is no longer of use still gets
// tickets and starts.
func TestLateGangStillStarts(t *testing.T) {
	b := newBed(t, 2)
	b.planner.fleet.Queues[0].Advice = &ladderflow.Advice{Base: 10 * time.Millisecond, Valid: 2 * time.Second}
	b.planner.SetVMs([]string{"e1"})
	b.submit("a", gangOf(3))
	b.pass(time.Minute)
	b.lookAll(nil)
	asks := b.plan().Asks
	require.Len(t, asks, 1)
	b.planner.Advised(b.now, asks[0], []ladderflow.Ticket{{Worker: "w0", Text: "x"}}, 2*time.Second, false)
	require.Len(t, b.begin(), 3)
}

// TestEndIsShownWhileStoreIsOut checks that the end of a job is withheld while the store does not
// hold it, but not for longer than unstoredEndDelay.
func TestEndIsShownWhileStoreIsOut(t *testing.T) {
	b := newBed(t, 1)
	b.submit("a", tasks(1))
	b.end(b.begin()[0], ladderflow.EndDone)
	batch := b.planner.Unsaved()
	require.Equal(t, ladderflow.Running, b.planner.View(b.now, "a").State)
	b.planner.NotSaved(batch)
	b.pass(showTime + time.Millisecond)
	require.Equal(t, ladderflow.Done, b.planner.View(b.now, "a").State)
	next, _ := b.planner.Look(b.now, "w0")
	require.Zero(t, next.Noted, "the worker goes on listing the end")
	b.save()
	next, _ = b.planner.Look(b.now, "w0")
	require.EqualValues(t, 1, next.Noted)
}

// TestEndOnLeavingWorkerIsNotShown checks that an end that is not stored is withheld if its worker
// starts to leave, before or after the end. The worker's list of ends is lost when it leaves, so
// the next leader could not reproduce the state that callers had seen.
func TestEndOnLeavingWorkerIsNotShown(t *testing.T) {
	for name, leavesFirst := range map[string]bool{"leaves before": true, "leaves after": false} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, 1)
			b.submit("a", tasks(1))
			s := b.begin()[0]
			leave := func() {
				w := testWorker(0)
				w.Draining, w.Leaves = true, 3*time.Second
				b.planner.SetWorkers(b.now, []ladderflow.Worker{w})
			}
			if leavesFirst {
				leave()
			}
			b.end(s, ladderflow.EndDone)
			batch := b.planner.Unsaved()
			b.planner.NotSaved(batch)
			if !leavesFirst {
				leave()
			}
			b.pass(2 * showTime)
			require.Equal(t, ladderflow.Running, b.planner.View(b.now, "a").State)
			b.save()
			require.Equal(t, ladderflow.Done, b.planner.View(b.now, "a").State)
		})
	}
}
