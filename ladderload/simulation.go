package ladderload

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderlog"
	"lacewingladder/ladderplan"
)

const (
	// messageDelay is the time that a worker's report of an ended run, or a response of the
	// advice service, takes to reach the leader.
	messageDelay = 3 * time.Millisecond
	// pollInterval is the time between two regular status polls of a worker. The end of a
	// run is reported without waiting for the next poll.
	pollInterval = time.Second
	// storeTime is the time that a write of progress to the store takes.
	storeTime = 40 * time.Millisecond
	// saveInterval is the time between two checkpoints of a run, and resumeTime the time that it takes to resume
	// from one.
	saveInterval = 500 * time.Millisecond
	resumeTime   = 250 * time.Millisecond
	// leaseDuration is the duration of a worker lease.
	leaseDuration = 5 * time.Second
	// serviceName is the name of the only pool of workers.
	serviceName = "pool"
)

// event is an action that happens at a time. Events at the same time happen in the
// order in which they were scheduled.
type event struct {
	at     time.Duration
	seq    int
	action func()
}

// eventQueue is a heap with the next event first. It implements [heap.Interface].
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// worker is a simulated worker.
type worker struct {
	spec ladderflow.Worker
	// slowdown is the factor by which tasks take longer on this worker.
	slowdown float64
	// running holds the start time of each run.
	running map[ladderflow.Run]time.Duration
	// resumed holds the checkpoint from which each run has resumed, as the work that was done.
	resumed map[ladderflow.Run]time.Duration
	// ended lists the ended runs that the leader has not acknowledged yet.
	ended []ladderflow.EndedRun
	// endCount counts the ended runs; the run that ends next gets the next number.
	endCount int64
	// reportPending is true while a report of an ended run is on its way to the leader.
	reportPending bool
}

// sortedRuns returns the runs on the worker in a fixed order, which makes simulations
// reproducible.
func (w *worker) sortedRuns() []ladderflow.Run {
	return slices.SortedFunc(maps.Keys(w.running), func(a, b ladderflow.Run) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Step, b.Task.Step),
			cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Number, b.Number))
	})
}

// simulation is the state of one simulation.
type simulation struct {
	load *Load
	// jobRandom holds, for each queue, the random source of its jobs and their arrivals.
	// The planner's decisions do not influence it, so every rule gets the same jobs.
	jobRandom map[string]*rand.Rand
	// teamRandom holds, for each queue, the random source of the teams of its jobs.
	teamRandom map[string]*rand.Rand
	// seed also determines which runs fail; see startRun.
	seed    uint64
	planner *ladderplan.Planner
	// start is the virtual time at which the simulation starts, and now the virtual time
	// that has passed since.
	start time.Time
	now   time.Duration
	// events holds the scheduled events, and lastSeq is the seq of the latest one.
	events  eventQueue
	lastSeq int
	workers map[string]*worker
	jobs    map[string]*job
	// records holds the stored progress of the jobs.
	records map[string]ladderplan.Record
	// gangs holds the runs of each gang that have started.
	gangs map[gangRun][]gangMember
	// adviceBusyUntil holds, for each entry VM, the time at which the advice service will
	// have answered all queries that the VM has queued.
	adviceBusyUntil map[string]time.Duration
	// planScheduled is true while a call of the planner is scheduled.
	planScheduled bool
	// storing is true while progress is being written to the store.
	storing bool
	// usefulWork is the processor time of the runs that succeeded, in millicores times
	// seconds.
	usefulWork float64
	result     *Result
}

// Simulate simulates a load under a seed and a rule for the order of steps. The same
// arguments give the same result.
func Simulate(l *Load, seed uint64, order ladderplan.Order) *Result {
	sim := newSimulation(l, seed, order)
	sim.run()
	return sim.result
}

func newSimulation(l *Load, seed uint64, order ladderplan.Order) *simulation {
	sim := &simulation{
		load: l, jobRandom: map[string]*rand.Rand{}, teamRandom: map[string]*rand.Rand{}, seed: seed, start: time.UnixMilli(0), workers: map[string]*worker{},
		jobs: map[string]*job{}, records: map[string]ladderplan.Record{}, gangs: map[gangRun][]gangMember{}, adviceBusyUntil: map[string]time.Duration{}, result: newResult(l, seed, order),
	}
	sim.planner = sim.newPlanner(1, order)
	sim.addWorkers()
	for i := range l.Queues {
		name := l.Queues[i].Name
		sim.jobRandom[name] = rand.New(rand.NewPCG(seed, xxhash.Sum64String(name)))
		sim.teamRandom[name] = rand.New(rand.NewPCG(seed, xxhash.Sum64String("team "+name)))
		sim.scheduleArrival(&l.Queues[i], 0)
		for k := range l.Extras {
			if x := &l.Extras[k]; x.Queue == name {
				stream := fmt.Sprintf("%s %d", x.Team, k)
				sim.jobRandom[stream] = rand.New(rand.NewPCG(seed, xxhash.Sum64String(stream)))
				sim.schedule(x.Start, func() { sim.scheduleExtra(x, &l.Queues[i], stream, 0) })
			}
		}
	}
	return sim
}

// newPlanner returns the planner of a leader that is elected now.
func (sim *simulation) newPlanner(fence int64, order ladderplan.Order) *ladderplan.Planner {
	p := ladderplan.New(ladderplan.Options{
		Fence: fence, LeaseDuration: leaseDuration, MaxLeaseDuration: leaseDuration, ElectedAt: sim.time(), StopTimeout: time.Second,
		JobRetention: time.Hour, RemoteFactor: 2, Log: ladderlog.Discard().Component("plan"), Order: order, MaxUnansweredStarts: ladderplan.MaxOrders,
	})
	p.SetFleet(fleetConfig(sim.load))
	p.SetSenders(1 + sim.load.Delegates)
	return p
}

// run simulates the whole load and computes the result.
func (sim *simulation) run() {
	end := sim.load.ArrivalPeriod + sim.load.ExtraTime
	for len(sim.events) > 0 && sim.events[0].at <= end {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.action()
	}
	sim.computeResult()
}

// time returns the current virtual time, in the form that the planner expects.
func (sim *simulation) time() time.Time { return sim.start.Add(sim.now) }

// schedule schedules an action after the duration d.
func (sim *simulation) schedule(d time.Duration, action func()) {
	sim.lastSeq++
	heap.Push(&sim.events, event{at: sim.now + d, seq: sim.lastSeq, action: action})
}

// fleetConfig returns the operators' configuration for a load.
func fleetConfig(l *Load) *ladderflow.FleetConfig {
	f := &ladderflow.FleetConfig{Version: 1, Services: map[string]ladderflow.Service{serviceName: {Name: serviceName}}}
	for _, q := range l.Queues {
		f.Queues = append(f.Queues, ladderflow.Queue{
			Name: q.Name, Service: serviceName, Priority: q.Priority, MaxFailures: q.MaxFailures, ObjectiveFactor: q.ObjectiveFactor,
			BaseObjective: q.BaseObjective, Advice: q.Advice,
		})
	}
	for _, t := range l.Teams {
		f.Teams = append(f.Teams, ladderflow.Team{Name: t.Name, Weight: t.Weight})
	}
	return f
}

// addWorkers creates the workers and entry VMs and reports them to the planner.
func (sim *simulation) addWorkers() {
	var list []ladderflow.Worker
	roster := map[string]bool{}
	for i := range sim.load.Workers.Count {
		w := &worker{
			spec: ladderflow.Worker{
				ID: fmt.Sprintf("w%03d", i), Service: serviceName, Capacity: sim.load.Workers.Size,
				Labels: []string{fmt.Sprintf("r%d", i/max(1, sim.load.Workers.WorkersPerRack))},
			},
			slowdown: 1, running: map[ladderflow.Run]time.Duration{}, resumed: map[ladderflow.Run]time.Duration{},
		}
		if s := sim.load.Workers.SlowdownFactors; len(s) > 0 {
			w.slowdown = s[i%len(s)]
		}
		sim.workers[w.spec.ID] = w
		roster[w.spec.ID] = true
		list = append(list, w.spec)
	}
	sim.planner.SetRoster(roster)
	sim.planner.SetWorkers(sim.time(), list)
	for _, w := range list {
		sim.poll(sim.workers[w.ID])
	}
	var vms []string
	for i := range max(1, sim.load.EntryVMs) {
		vms = append(vms, fmt.Sprintf("e%d", i))
	}
	sim.planner.SetVMs(vms)
}

// poll performs a regular status poll of a worker, which renews its lease, and schedules
// the next one.
func (sim *simulation) poll(w *worker) {
	w.reportPending = false
	next, _ := sim.planner.NextPoll(sim.time(), w.spec.ID)
	for len(w.ended) > 0 && w.ended[0].Sequence <= next.Acknowledged {
		w.ended = w.ended[1:]
	}
	report := ladderflow.StatusReport{Incarnation: 1, Clock: sim.now, Ended: w.ended}
	for _, run := range w.sortedRuns() {
		startedAt := w.running[run]
		total := sim.jobs[run.Task.Job].runTime(run.Task, w.slowdown)
		if sim.jobs[run.Task.Job].spec.Steps[run.Task.Step].Gang {
			total = sim.gangTime(run)
		}
		percent := 100 * float64(sim.now-startedAt) / float64(max(total, 1))
		report.Running = append(report.Running, ladderflow.ActiveRun{Run: run, Percent: int(min(percent, 99)), Checkpoint: sim.saved(w, run)})
	}
	sim.planner.RecordReport(sim.time(), w.spec.ID, sim.time(), report)
	sim.schedulePlan()
	sim.schedule(pollInterval, func() { sim.poll(w) })
}

// schedulePlan schedules a call of the planner after the load's pause, unless one is scheduled
// already, and the execution of the planner's orders.
func (sim *simulation) schedulePlan() {
	if sim.planScheduled {
		return
	}
	sim.planScheduled = true
	sim.schedule(sim.load.PlanPause, func() {
		sim.planScheduled = false
		orders := sim.planner.Plan(sim.time(), sim.time(), ladderplan.LeadershipConfirmed)
		for _, s := range orders.Starts {
			roundTrip := sim.startRoundTrip(s.Run)
			sim.schedule(roundTrip/2, func() { sim.startRun(s, roundTrip) })
		}
		for _, s := range orders.Stops {
			sim.schedule(sim.load.OrderRoundTrip/2, func() { sim.stopRun(s) })
		}
		for _, query := range orders.AdviceQueries {
			sim.queryAdvice(query)
		}
		sim.store()
	})
}

// store writes the planner's unstored progress to the store. It does nothing while an
// earlier write is under way; the next plan calls it again.
func (sim *simulation) store() {
	if sim.storing {
		return
	}
	sim.storing = true
	batch := sim.planner.NextBatch()
	sim.schedule(storeTime, func() {
		sim.storing = false
		for _, r := range batch.Records {
			sim.records[r.Job] = r
		}
		sim.planner.BatchStored(batch)
	})
}

// startRoundTrip returns the time from a decision to start a run until the leader has the response.
func (sim *simulation) startRoundTrip(r ladderflow.Run) time.Duration {
	if sim.load.LateShare == 0 {
		return sim.load.OrderRoundTrip
	}
	random := rand.New(rand.NewPCG(sim.seed, xxhash.Sum64String("start "+fmt.Sprint(r))))
	if random.Float64() < sim.load.LateShare {
		return sim.load.LateRoundTrip
	}
	return sim.load.OrderRoundTrip
}

// startRun starts a run on its worker and schedules its end. Whether the run fails
// depends only on the seed and the run's name, not on when or where it starts.
func (sim *simulation) startRun(s ladderplan.StartOrder, roundTrip time.Duration) {
	w, j := sim.workers[s.Worker.ID], sim.jobs[s.Run.Task.Job]
	w.running[s.Run] = sim.now
	j.recordStart(sim.now)
	sim.schedule(roundTrip/2, func() {
		sim.planner.StartSettled(sim.time(), s.Worker.ID, s.Run, ladderplan.Result{})
		sim.schedulePlan()
	})
	if j.spec.Steps[s.Run.Task.Step].Gang {
		sim.startMember(j, w, s.Run)
		return
	}
	duration := j.runTime(s.Run.Task, w.slowdown)
	if done, err := time.ParseDuration(s.Checkpoint); err == nil {
		w.resumed[s.Run] = done
		duration = max(0, duration-done) + resumeTime
	}
	reason := ladderflow.EndDone
	random := rand.New(rand.NewPCG(sim.seed, xxhash.Sum64String(fmt.Sprint(s.Run))))
	if random.Float64() < j.queue.FailureShare {
		reason = ladderflow.EndFailed
		duration = time.Duration(random.Float64() * float64(duration))
	}
	sim.schedule(duration, func() { sim.endRun(w, s.Run, reason) })
}

// gangRun identifies one run of a gang, and gangMember is the run of one of its tasks.
type (
	gangRun struct {
		job          string
		step, number int
	}
	gangMember struct {
		worker *worker
		run    ladderflow.Run
	}
)

// startMember adds a run to its gang. Once all members run, it schedules their common end: they work
// together, so the slowest worker sets the pace. If a member fails, the others end with it.
func (sim *simulation) startMember(j *job, w *worker, r ladderflow.Run) {
	g := gangRun{r.Task.Job, r.Task.Step, r.Number}
	sim.gangs[g] = append(sim.gangs[g], gangMember{w, r})
	members := sim.gangs[g]
	if len(members) < j.spec.Steps[r.Task.Step].Tasks {
		return
	}
	slowest, failed, failedAt := 1.0, -1, 1.0
	for i, m := range members {
		slowest = max(slowest, m.worker.slowdown)
		random := rand.New(rand.NewPCG(sim.seed, xxhash.Sum64String(fmt.Sprint(m.run))))
		if random.Float64() < j.queue.FailureShare/float64(len(members)) {
			if at := random.Float64(); at < failedAt {
				failed, failedAt = i, at
			}
		}
	}
	sim.schedule(time.Duration(failedAt*float64(j.runTime(r.Task, slowest))), func() {
		for i, m := range members {
			switch {
			case failed < 0:
				sim.endRun(m.worker, m.run, ladderflow.EndDone)
			case i == failed:
				sim.endRun(m.worker, m.run, ladderflow.EndFailed)
			default:
				sim.endRun(m.worker, m.run, ladderflow.EndGangBroken)
			}
		}
	})
}

// gangTime returns how long the gang of a run takes on the workers on which it has started so far.
func (sim *simulation) gangTime(r ladderflow.Run) time.Duration {
	slowest := 1.0
	for _, m := range sim.gangs[gangRun{r.Task.Job, r.Task.Step, r.Number}] {
		slowest = max(slowest, m.worker.slowdown)
	}
	return sim.jobs[r.Task.Job].runTime(r.Task, slowest)
}

// saved returns the newest checkpoint of a run in progress, or an empty one. A run that resumes saves nothing while it
// does.
func (sim *simulation) saved(w *worker, r ladderflow.Run) string {
	if sim.load.StopTime == 0 {
		return "" // No task of the load can be stopped.
	}
	if s := &sim.jobs[r.Task.Job].spec.Steps[r.Task.Step]; !s.Checkpointable || s.Gang {
		return ""
	}
	done, worked := w.resumed[r], sim.now-w.running[r]
	if done > 0 {
		worked = max(0, worked-resumeTime)
	}
	if done += worked.Truncate(saveInterval); done == 0 {
		return ""
	}
	return done.String()
}

// stopRun executes an order to stop a run.
func (sim *simulation) stopRun(s ladderplan.StopOrder) {
	if sim.load.StopTime > 0 && sim.jobs[s.Run.Task.Job].spec.Steps[s.Run.Task.Step].Checkpointable {
		sim.schedule(sim.load.StopTime, func() { sim.stop(s) })
		return
	}
	sim.stop(s)
}

// stop ends a run that was ordered to stop.
func (sim *simulation) stop(s ladderplan.StopOrder) {
	sim.endRun(sim.workers[s.Worker.ID], s.Run, ladderflow.EndStopped)
	sim.planner.StopSettled(sim.time(), s.Worker.ID, s.Run, ladderplan.Result{})
}

// endRun ends a run that is still running, and schedules the worker's report to the
// leader. A report that is pending already will also list this end.
func (sim *simulation) endRun(w *worker, run ladderflow.Run, reason ladderflow.EndReason) {
	startedAt, ok := w.running[run]
	if !ok {
		return
	}
	checkpoint := ""
	if reason == ladderflow.EndStopped {
		checkpoint = sim.saved(w, run)
	}
	delete(w.running, run)
	j := sim.jobs[run.Task.Job]
	if reason == ladderflow.EndDone {
		sim.usefulWork += float64(j.spec.Steps[run.Task.Step].Need.Processor) * (sim.now - startedAt).Seconds()
	}
	w.endCount++
	w.ended = append(w.ended, ladderflow.EndedRun{Sequence: w.endCount, Run: run, Reason: reason, Checkpoint: checkpoint})
	if w.reportPending {
		return
	}
	w.reportPending = true
	sim.schedule(messageDelay, func() {
		w.reportPending = false
		report := ladderflow.StatusReport{Incarnation: 1, Clock: sim.now, Ended: w.ended}
		for _, run := range w.sortedRuns() {
			// 50% stands in for the progress, which only regular status polls report exactly.
			report.Running = append(report.Running, ladderflow.ActiveRun{Run: run, Percent: 50, Checkpoint: sim.saved(w, run)})
		}
		sim.planner.RecordReport(sim.time(), w.spec.ID, sim.time(), report)
		for _, e := range report.Ended {
			sim.checkJobEnd(sim.jobs[e.Run.Task.Job])
		}
		sim.schedulePlan()
	})
}

// checkJobEnd records the end of a job if it has ended according to the planner.
func (sim *simulation) checkJobEnd(j *job) {
	if j.endedAt == 0 && sim.planner.Ended(j.spec.ID) {
		j.endedAt = sim.now
		j.failed = sim.planner.View(sim.time().Add(time.Hour), j.spec.ID).State == ladderflow.Failed
	}
}

// queryAdvice appends an advice query to the queue of its VM, which sends one query at a
// time, and schedules the response.
func (sim *simulation) queryAdvice(query ladderplan.AdviceQuery) {
	sim.adviceBusyUntil[query.VM] = max(sim.adviceBusyUntil[query.VM], sim.now) + query.ResponseTime
	sim.schedule(sim.adviceBusyUntil[query.VM]-sim.now+messageDelay, func() {
		j := sim.jobs[query.Step.Job]
		var tickets []ladderflow.Ticket
		for _, id := range query.Workers {
			if j.allows(query.Step, id) {
				tickets = append(tickets, ladderflow.Ticket{Worker: id, Text: id})
			}
		}
		sim.planner.AdviceAnswered(sim.time(), query, tickets, j.queue.Advice.TicketLifetime, false)
		sim.schedulePlan()
	})
}
