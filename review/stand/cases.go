package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// The routes of the deployment, as those of kita-shosho. Only one case uses advice.
var (
	deeds     = queue{"r-3hwrr6x", hostName, "/lohu930/", "unsafe", 3000, 1200, 1, serviceName, 4, 2.2, nil}
	reminders = queue{"r-73d3zji", hostName, "/pufi791/", "unsafe", 3000, 3000, 2, serviceName, 2, 4, nil}
	holds     = queue{"r-9n73hh2", hostName, "/pule252/", "unsafe", 3000, 400, 0, serviceName, 2, 1.5, nil}
)

// cases holds the cases by name. A case returns an error if it could not run.
var cases = map[string]func(*world) error{
	"service":        service,
	"cut-workers":    cutWorkers,
	"gone-in-outage": goneInOutage,
	"dropped-route":  droppedRoute,
	"dropped-advice": droppedAdvice,
}

var errNotAccepted = errors.New("a job was not accepted")

const (
	// The largest doses of the site file: crashShare of the workers crash at once, for maxCrashTime; cutShare
	// of them are cut off, for cutTime; the store is down for outageTime.
	crashShare   = 0.14
	maxCrashTime = 4500 * time.Millisecond
	cutShare     = 0.17
	cutTime      = 5500 * time.Millisecond
	outageTime   = 4500 * time.Millisecond
)

// crashSome lets crashShare of the workers crash, chosen by r, and returns them.
func (x *world) crashSome(r *rand.Rand) []*worker {
	var list []*worker
	for _, i := range r.Perm(len(x.workers))[:int(crashShare*float64(len(x.workers)))] {
		list = append(list, x.workers[i])
	}
	x.note("%d workers crash", len(list))
	for _, w := range list {
		w.crash()
	}
	return list
}

// stream submits jobs to a queue, one in each interval, until a time, and returns the paths of those that
// were accepted.
func (x *world) stream(q queue, body string, interval time.Duration, until time.Time) []string {
	var mu sync.Mutex
	var wait sync.WaitGroup
	var paths []string
	for i := 0; time.Now().Before(until); i++ {
		wait.Go(func() {
			path := q.Prefix + newID()
			if x.submit(i, path, body) {
				mu.Lock()
				defer mu.Unlock()
				paths = append(paths, path)
			}
		})
		time.Sleep(interval)
	}
	wait.Wait()
	return paths
}

// service lets some workers crash for good while a service and batch jobs run, and looks whether the
// service's tasks are started again.
func service(x *world) error {
	const tasks, cpu = 24, 3000
	path := holds.Prefix + newID()
	body := jobBody(work{}, step{Count: tasks, CPU: cpu, MemMb: 4000, EstimateMs: 1000, Lasts: true, MaxPer: 1})
	if !x.submit(0, path, body) {
		return errNotAccepted
	}
	begin := time.Now()
	end := begin.Add(65 * time.Second)
	var wait sync.WaitGroup
	wait.Go(func() {
		batch := jobBody(work{Ms: 5000}, step{Count: 8, CPU: 4500, MemMb: 8800, EstimateMs: 5000})
		x.stream(deeds, batch, 345*time.Millisecond, end)
	})
	time.Sleep(25 * time.Second)
	if x.trouble {
		for _, w := range x.crashSome(rand.New(rand.NewPCG(3, 4))) {
			time.AfterFunc(maxCrashTime, func() { x.removeEntry(w) })
		}
	}
	x.watchService(path[len(holds.Prefix):], tasks, cpu, time.Now().Add(maxCrashTime), end)
	wait.Wait()
	return nil
}

const (
	// The figures of LOST: a task that lasts must not be without a run for lostTime, which begins at least
	// lostAfter after its last run, with calmTime before it in which nothing is disrupted.
	lostTime  = 3 * time.Second
	lostAfter = 6 * time.Second
	calmTime  = 4 * time.Second
)

// watchService checks LOST for the tasks of a job that last, until a time. Nothing is disrupted from the time
// calm on.
func (x *world) watchService(id string, tasks, cpu int, calm, until time.Time) {
	told := map[string]bool{}
	for time.Now().Before(until) {
		time.Sleep(100 * time.Millisecond)
		now := time.Now()
		from := now.Add(-lostTime)
		for i := range tasks {
			task := fmt.Sprintf("%s.0.0.%d", id, i)
			x.mu.Lock()
			since, away := x.awaySince[task]
			x.mu.Unlock()
			if !away || told[task] || from.Before(since.Add(lostAfter)) || from.Before(calm.Add(calmTime)) {
				continue
			}
			if room := x.roomGiven(from, id, cpu); room >= 2 {
				told[task] = true
				x.breakRule("LOST: task %s lasts and has not run for %.1f s; in the last 3 s there was room for it %d times, which went to later jobs of a less urgent queue",
					task, now.Sub(since).Seconds(), room)
			}
		}
	}
}

// roomGiven returns how many tasks of other jobs, of at least the given processor need, were started after a
// time on workers that have no task of the job.
func (x *world) roomGiven(after time.Time, id string, cpu int) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	has := map[*worker]bool{}
	for task, list := range x.running {
		if jobOf(task) == id {
			for w := range list {
				has[w] = true
			}
		}
	}
	n := 0
	for i := len(x.log) - 1; i >= 0 && x.log[i].at.After(after); i-- {
		s := x.log[i]
		if jobOf(s.run.task) != id && s.run.work.CPU >= cpu && !has[s.worker] {
			n++
		}
	}
	return n
}

// checkFailed checks that no job is shown as failed without as many failed ends as the queue allows.
func (x *world) checkFailed(q queue, paths []string, tasks int) {
	for i, path := range paths {
		state := x.state(x.vms[i%len(x.vms)], path)
		failed, crashed := 0, 0
		x.mu.Lock()
		for k := range tasks {
			task := fmt.Sprintf("%s.0.0.%d", path[len(q.Prefix):], k)
			failed, crashed = max(failed, x.failed[task]), max(crashed, x.crashed[task])
		}
		x.mu.Unlock()
		if state == "failed" && failed < q.Attempts {
			x.breakRule("LOST: job %s is shown as failed; of no task more than %d runs ended as failed, and attempts is %d; workers crashed under a task at most %d times",
				path, failed, q.Attempts, crashed)
		}
	}
}

// outage lets the store be down for outageTime, and cuts off cutShare of the workers for cutTime from shortly
// before its end. Entries of workers expire meanwhile. The store's leases pause or expire.
func (x *world) outage(r *rand.Rand, leasesPause bool) error {
	const cutBefore = 300 * time.Millisecond
	x.setStoreDown(true)
	x.clock.pause(leasesPause)
	time.Sleep(outageTime - cutBefore)
	var cut []*worker
	for _, i := range r.Perm(len(x.workers))[:int(cutShare*float64(len(x.workers)))] {
		cut = append(cut, x.workers[i])
		if err := x.workers[i].setCut(true); err != nil {
			return err
		}
	}
	time.Sleep(cutBefore)
	// The workers have not reached the store for three heartbeats.
	for _, w := range x.workers {
		x.removeEntry(w)
	}
	x.clock.pause(false)
	x.setStoreDown(false)
	for _, w := range x.workers {
		w.registerSoon()
	}
	time.Sleep(cutTime - cutBefore)
	for _, w := range cut {
		if err := w.setCut(false); err != nil {
			return err
		}
		w.registerSoon()
	}
	return nil
}

// submitLong submits jobs of long tasks, and returns their paths.
func (x *world) submitLong(jobs, tasks int) ([]string, error) {
	long := jobBody(work{Ms: 60_000}, step{Count: tasks, CPU: 4500, MemMb: 8800, EstimateMs: 60_000})
	var paths []string
	for i := range jobs {
		path := deeds.Prefix + newID()
		if !x.submit(i, path, long) {
			return nil, errNotAccepted
		}
		paths = append(paths, path)
	}
	time.Sleep(2 * time.Second)
	return paths, nil
}

// cutWorkers plays several outages with cuts of workers. The leader stays, and no worker crashes.
func cutWorkers(x *world) error {
	const outages, pause, tasks = 6, 5 * time.Second, 8
	paths, err := x.submitLong(18, tasks)
	if err != nil {
		return err
	}
	r := rand.New(rand.NewPCG(5, 6))
	for range outages {
		if !x.trouble {
			break
		}
		if err := x.outage(r, true); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	time.Sleep(finishTime)
	x.checkFailed(deeds, paths, tasks)
	return nil
}

// goneInOutage plays one outage with a cut of workers, in which the leader's lease expires.
func goneInOutage(x *world) error {
	if _, err := x.submitLong(15, 8); err != nil {
		return err
	}
	if x.trouble {
		if err := x.outage(rand.New(rand.NewPCG(5, 6)), false); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)
	x.mu.Lock()
	twice := x.twice
	x.mu.Unlock()
	for _, text := range twice {
		x.breakRule("TWICE: %s", text)
	}
	return nil
}

// droppedRoute takes a route out of the configuration for some seconds, in which one run of each of its jobs
// ends as failed.
func droppedRoute(x *world) error {
	const jobs, tasks = 8, 4
	var paths []string
	for i := range jobs {
		path := deeds.Prefix + newID()
		if !x.submit(i, path, jobBody(work{Ms: 6000, FailRuns: []int{1}}, step{Count: tasks, CPU: 4500, MemMb: 8800, EstimateMs: 6000})) {
			return errNotAccepted
		}
		paths = append(paths, path)
	}
	time.Sleep(1500 * time.Millisecond)
	changed := holds
	changed.Timeout = 2900
	if x.trouble {
		x.configure(3, reminders, changed)
	} else {
		x.configure(3, deeds, reminders, changed)
	}
	time.Sleep(8 * time.Second)
	x.configure(4, deeds, reminders, holds)
	time.Sleep(13 * time.Second)
	x.checkFailed(deeds, paths, tasks)
	return nil
}

const (
	// finishTime is the bound finish_s, from which on LOST holds for all jobs.
	finishTime = 14 * time.Second
	// halfOfService is half of the processor capacity of all workers.
	halfOfService = workers * 16000 / 2
)

// droppedAdvice takes a route with advice out of the configuration while its jobs have a step to come.
func droppedAdvice(x *world) error {
	const jobs, tasks = 10, 4
	advised := reminders
	advised.Advice = &advice{DecideMs: 60, PeriodMs: 0.9, ValidMs: 1500}
	x.configure(2, deeds, advised, holds)
	time.Sleep(4 * time.Second)
	first := step{Count: tasks, CPU: 1000, MemMb: 2000, EstimateMs: 3000}
	second := first
	second.After = []int{0}
	var ids []string
	for i := range jobs {
		id := newID()
		if !x.submit(i, advised.Prefix+id, jobBody(work{Ms: 3000, Advice: true}, first, second)) {
			return errNotAccepted
		}
		ids = append(ids, id)
	}
	time.Sleep(time.Second)
	changed := advised
	changed.Timeout = 2900
	if x.trouble {
		x.configure(5, deeds, holds)
	} else {
		x.configure(5, deeds, changed, holds)
	}
	time.Sleep(finishTime)
	idle := map[string]bool{}
	for _, id := range ids {
		idle[id] = true
	}
	for until := time.Now().Add(lostTime); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		for _, id := range ids {
			idle[id] = idle[id] && x.hasNothingRunning(id, 2*tasks)
		}
	}
	for _, id := range ids {
		if idle[id] {
			x.mu.Lock()
			rejected := x.rejected
			x.mu.Unlock()
			x.breakRule("LOST: job %s was accepted, is not done, and has nothing running for 3 s, with the service almost empty; workers have rejected %d starts for want of a ticket",
				id, rejected)
		}
	}
	return nil
}

// hasNothingRunning reports whether a job with the given number of tasks is not done and has nothing running,
// while less than half of the service is in use.
func (x *world) hasNothingRunning(id string, tasks int) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	used, done := 0, 0
	for task, list := range x.running {
		if jobOf(task) == id && len(list) > 0 {
			return false
		}
		if len(list) > 0 {
			used += 1000
		}
	}
	for task, n := range x.done {
		if jobOf(task) == id && n > 0 {
			done++
		}
	}
	return done < tasks && used < halfOfService
}
