package ladderplan

import (
	"slices"
	"time"

	"lacewingladder/ladderflow"
	"lacewingladder/laddershare"
	"lacewingladder/ladderteam"
)

// job is a job with the state of its rounds.
type job struct {
	spec *ladderflow.Job
	// state is final once the job has ended. storedState is the state that the store holds.
	state       ladderflow.State
	storedState ladderflow.State
	// shown is true once the end was shown to a caller.
	shown bool
	// addedAt is when this leader learned of the job.
	addedAt time.Time
	// knownToEarlierLeader is true if an earlier leader may have started tasks of the job.
	knownToEarlierLeader bool
	// started is true once a start was ordered for the job, for the first time at startedAt.
	started   bool
	startedAt time.Time
	// begun is true once a worker has confirmed a run of the job, or listed its end.
	begun bool
	// rounds holds the rounds that have started and are not complete, by index.
	rounds map[int]*round
	// completedRounds holds the rounds whose tasks have all succeeded. nextRound is the lowest
	// round that has no state yet.
	completedRounds map[int]bool
	nextRound       int
	endedAt         time.Time
	// cancelledRuns counts, once the job was canceled, its runs that were ordered to stop, and
	// cancelledRunsLeft those of them that may still be under way.
	cancelledRuns     int
	cancelledRunsLeft int
	// crashes counts the crashes of workers that were counted against the job's tasks, and storedCrashes
	// those that the store holds.
	crashes       int
	storedCrashes int
	// durations holds the expected duration of a task of each step. criticalPaths holds, for each
	// step, the expected duration of the longest chain of dependent steps that begins with it,
	// including one advice query for each step. Both were computed when steps of the job last became
	// ready.
	durations     []time.Duration
	criticalPaths []time.Duration
	// queue holds the rules of the job under the configuration queueFleet; see [Planner.queue].
	queue      *ladderflow.Queue
	queueFleet *ladderflow.FleetConfig
	// quota is the quota of the job's team, or nil if it has no team.
	quota *teamQuota
	// team is the state of the job's team in teamShares; see [Planner.team]. beyondRate is true if the team
	// sent the job beyond its rate.
	team       *laddershare.Team
	teamShares *laddershare.Shares
	beyondRate bool
}

// waited returns the time from the job's acceptance to its first start, as text for logs.
func (j *job) waited() string {
	if j.startedAt.IsZero() {
		return "unknown" // No task was started by this leader.
	}
	return j.startedAt.Sub(j.spec.Accepted).Round(time.Millisecond).String()
}

func (j *job) active() bool { return !j.state.Final() }

// round is one repetition of a job's steps.
type round struct {
	job   *job
	index int
	// due is the time from which the round's objective is measured.
	due   time.Time
	steps []*step
	// stepsLeft is the number of steps that have not finished.
	stepsLeft int
}

// step is the state of one step in one round.
type step struct {
	round *round
	spec  *ladderflow.Step
	index int
	tasks []*task
	// done is the number of tasks that have succeeded.
	done int
	// ready is true once all steps that this one depends on have succeeded.
	ready bool
	// waiting is the number of tasks that have not succeeded and have no run.
	waiting int
	// gang is used only if the step is a gang. Its members share this state.
	gang    gang
	tickets tickets
	// runsOn counts the step's runs on each worker.
	runsOn map[*worker]int
	// preemptedAt is when runs were last stopped to free capacity for the step.
	preemptedAt time.Time
	readySince  time.Time
	lastTry     lastTry
	waitReason  waitReason
	quotaWait   quotaWait
	// durations holds the durations of the runs that were not interrupted, until the step is finished.
	durations []taskDuration
}

// gang is the state that the members of a gang share.
type gang struct {
	// lastRun is the number of the gang's last run, which is the same for all members.
	lastRun int
	// orderedAt is when this leader ordered the gang's last run, or zero if it has ordered none.
	orderedAt time.Time
	// stoppedLate is true if the last run that this leader ordered was not known to be whole in time, confirmed the
	// number of its members that workers had, and lateRuns the number of such runs in a row that were whole.
	stoppedLate bool
	confirmed   int
	lateRuns    int
	// watched is true while the gang is in [Planner.watchedGangs], since watchedAt. polled is true once a member was
	// polled to learn whether the gang is at work.
	watched   bool
	watchedAt time.Time
	polled    bool
	// failedRuns holds the numbers of the gang's runs that have failed.
	failedRuns []int
	// failedWorkers holds the workers on which a member failed.
	failedWorkers map[string]bool
	// checkpoint is the newest one that a worker reported for a member.
	checkpoint checkpoint
	// fits is the result of the last check whether the gang fits on its workers when they are empty,
	// and nextFitCheck is when to check it again.
	fits         bool
	nextFitCheck time.Time
	reservation  reservation
}

func (s *step) ref() ladderflow.StepRef {
	return ladderflow.StepRef{Job: s.round.job.spec.ID, Round: s.round.index, Step: s.index}
}

// expectedDuration returns how long a task of the step is expected to run.
func (s *step) expectedDuration() time.Duration { return s.round.job.durations[s.index] }

func (s *step) finished() bool { return s.done == len(s.tasks) }

// task is the state of one task.
type task struct {
	step  *step
	index int
	done  bool
	// lastRun is the highest run number in use. lastClosedRun is the highest number of a run that
	// has ended, or that cannot be under way.
	lastRun       int
	lastClosedRun int
	// failedRuns holds the numbers of the runs that have failed. A worker may list an end more than
	// once, and workers may list the ends of a task's runs in any order.
	failedRuns []int
	// failedWorkers holds the workers on which the task failed. Other workers are preferred.
	failedWorkers map[string]bool
	// checkpoint is the newest one that a worker reported.
	checkpoint checkpoint
	// preempted is true once a run of the task was stopped for a more urgent one.
	preempted bool
	// crashes is the number of workers that crashed while a run of the task was under way, the last time
	// at crashedAt, and suspicions the number of those under which the run had just started.
	// suspectSince is since when the task has been waiting for a worker of its own.
	crashes      int
	crashedAt    time.Time
	suspicions   int
	suspectSince time.Time
	// assumed is true while the task counts against its team's quota because an earlier leader may have started
	// it; see [Planner.assumeRuns].
	assumed bool
	runs    []*run
}

func (t *task) name() ladderflow.Task {
	r := t.step.round
	return ladderflow.Task{Job: r.job.spec.ID, Round: r.index, Step: t.step.index, Index: t.index}
}

// needsRun reports whether the task has not succeeded and has no run that may be under way.
func (t *task) needsRun() bool { return !t.done && len(t.runs) == 0 }

// suspect reports whether the task may be one that crashes the workers that start it.
func (t *task) suspect() bool { return t.suspicions > 0 }

// phase is what the leader knows of a run.
type phase int

const (
	// phaseSent means that the start was ordered and its reply is outstanding.
	phaseSent phase = iota
	// phaseUnconfirmed means that there will be no reply to the start, and that no status report
	// has listed the run.
	phaseUnconfirmed
	// phaseRunning means that the worker has the run.
	phaseRunning
	// phaseStopping means that a stop was ordered.
	phaseStopping
)

// run is one run of a task on a worker. Its task is nil if a worker lists a run whose task the
// leader does not know.
type run struct {
	task   *task
	name   ladderflow.Run
	worker *worker
	phase  phase
	size   ladderflow.Size
	// bestEffort is the processor amount that a best-effort run asks for, which is no part of its size.
	bestEffort int
	// quotaIndex is the run's index in [teamQuota.runs].
	quotaIndex int
	// sizeUnknown is true if the leader does not know the run's job yet. The size is then zero.
	sizeUnknown bool
	// team is the team of the run's job, or empty if the job has none or is not known.
	team string
	// startSettledAt is when the start was answered, or when it became clear that it will not be.
	// confirmed is true once the worker has accepted the start or listed the run.
	startSettledAt time.Time
	confirmed      bool
	// crashed is true once the crash of the run's worker was counted.
	crashed bool
	// startedAt is when the start was ordered, and after a reply that accepts it, when that reply
	// arrived. For a run that an earlier leader started, it is when this leader first saw the run.
	startedAt time.Time
	// stopSentAt is when the last stop was ordered, and stopAnsweredAt when a stop was first
	// answered.
	stopSentAt     time.Time
	stopAnsweredAt time.Time
	// resumesFrom is the checkpoint that the start carried.
	resumesFrom checkpoint
	// checkpoint is the last one that was reported, or empty. It is kept for a run whose task is unknown.
	// It last changed at savedAt.
	checkpoint string
	savedAt    time.Time
	// ofCancelledJob is true once the run was ordered to stop after its job was canceled.
	ofCancelledJob bool
	// freeAt is when the capacity of a run that was stopped for a gang is expected to be free.
	freeAt time.Time
	// percent is the last progress that was reported, and progressedAt is when it last changed.
	percent      int
	progressedAt time.Time
	// speedPercent is the speed limit, which is 100 if the run is not slowed.
	speedPercent   int
	tailLatency    time.Duration
	speedChangedAt time.Time
}

// setSize sets the size of a run of a step's task.
func (x *run) setSize(s *ladderflow.Step) {
	x.size = s.Demand()
	x.bestEffort = s.Need.Processor - x.size.Processor
}

// confirm records that the worker has the run.
func (x *run) confirm() {
	if x.task != nil {
		s := x.task.step
		s.round.job.begun = true
		if !x.confirmed && x.name.Number == s.gang.lastRun {
			s.gang.confirmed++
		}
	}
	x.confirmed = true
}

// worker is a worker with its runs and free capacity.
type worker struct {
	spec ladderflow.Worker
	// index is the worker's index in [tickets.answers]. No other worker of the planner ever has it.
	index int
	// order is the worker's position among all workers sorted by id.
	order int
	// inRoster is true if the worker is in the stored roster.
	inRoster bool
	// listed is true while the platform's store lists the worker.
	listed bool
	// seenByLeader is true once the worker has answered a poll under this leader's fencing token.
	seenByLeader bool
	// incarnation distinguishes the worker's present process from those before a restart.
	incarnation int64
	// incarnationSeenAt is when the worker's present incarnation was first seen.
	incarnationSeenAt time.Time
	// clock is the worker's own clock as reported at polledAt. leaseEnd is the latest lease end
	// that may have been sent to the worker, on that clock.
	clock    time.Duration
	polledAt time.Time
	leaseEnd time.Duration
	// reportSentAt is when the last status report was requested. justEnded holds the runs whose ends
	// were listed in it and in others with the same reading of the worker's clock, in milliseconds.
	reportSentAt time.Time
	justEnded    map[ladderflow.Run]bool
	// unresponsive is true from a poll that was not answered to the next one that is.
	unresponsive bool
	// Each worker numbers the ends that it lists, in [ladderflow.EndedRun.Sequence]. lastSeenEnd is
	// the highest number that was handled, and lastStoredEnd is the highest number whose end the
	// store holds.
	lastSeenEnd   int64
	lastStoredEnd int64
	// unknownEnds holds the ends of runs whose jobs are unknown, by rising number. unknownRuns is the
	// number of runs in progress whose size is unknown.
	unknownEnds []unknownEnd
	unknownRuns int
	// acknowledgeGuard decides whether a poll may acknowledge ends to the worker.
	acknowledgeGuard ladderflow.AcknowledgeGuard
	free             ladderflow.Size
	// leastCapacity is the least amount of each resource that the worker's incarnation has had.
	leastCapacity ladderflow.Size
	// mostCapacity is the largest amount of each resource that the worker was ever listed with.
	mostCapacity ladderflow.Size
	runs         map[ladderflow.Run]*run
	// runOrder holds the runs in the order in which they were added. releases is the result of
	// expectedReleases, which is computed again if releasesStale is true.
	runOrder      []*run
	releases      []capacityRelease
	releasesStale bool
	// expired holds the runs that were dropped when the worker's lease expired. Whether the worker has
	// crashed shows later.
	expired []*run
	// lost holds the runs that were given up on the worker's present incarnation.
	lost map[ladderflow.Run]lostRun
	// freed lists the workers that were freed. pools is marked as stale whenever the worker may begin or
	// cease to accept tasks.
	freed *freedLog
	pools *workerPools
	// ledger counts what each team has running on all workers.
	ledger *ladderteam.Ledger
	// lastPass is the number of [workerPools.pass] when the worker last accepted new tasks.
	lastPass int64
	// reservedPass is the last placement pass in which the worker was reserved for a gang, which was
	// expected to start at reservedUntil, and earlierReservedPass the last one before that.
	reservedPass        int64
	earlierReservedPass int64
	reservedUntil       time.Time
	// excludedUntil is the time until which the worker gets no new tasks. backOffs counts how often
	// the worker was excluded for faults without a success in between.
	excludedUntil time.Time
	backOffs      int
	// probation is true while the worker gets only one task at a time.
	probation bool
	slowdown  slowdown
	// failedJobs holds the jobs of which a run has failed on the worker since the last success.
	failedJobs map[string]bool
	// suspectUntil is the time until which nothing else starts beside a task that may crash the worker.
	suspectUntil time.Time
	// leavesAt is the earliest time at which a draining worker may be gone.
	leavesAt time.Time
	// maintenanceUntil is the time until which the worker counts as being taken down for
	// maintenance.
	maintenanceUntil time.Time
}

func newWorker(spec ladderflow.Worker, index int, freed *freedLog, pools *workerPools, ledger *ladderteam.Ledger) *worker {
	return &worker{
		spec: spec, ledger: ledger, index: index, freed: freed, pools: pools, free: spec.Capacity, leastCapacity: spec.Capacity, mostCapacity: spec.Capacity, runs: map[ladderflow.Run]*run{}, justEnded: map[ladderflow.Run]bool{},
		failedJobs: map[string]bool{},
	}
}

// rack returns the label that names the worker's rack. It is the last of the worker's labels.
func (w *worker) rack() string {
	if len(w.spec.Labels) == 0 {
		return ""
	}
	return w.spec.Labels[len(w.spec.Labels)-1]
}

func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.spec.Labels, label)
}

// addRun adds a run to the worker and subtracts its size from the free capacity.
func (w *worker) addRun(r *run) {
	r.worker = w
	w.runs[r.name] = r
	w.runOrder = append(w.runOrder, r)
	w.releasesStale = true
	w.free = w.free.Minus(r.size)
	w.ledger.Add(r.team, r.size)
	w.ledger.AddBestEffort(r.team, r.bestEffort)
	if r.sizeUnknown {
		w.unknownRuns++
		w.pools.unknownRuns++
		w.pools.stale = true
	}
	if t := r.task; t != nil {
		if t.needsRun() {
			t.step.waiting--
		}
		t.runs = append(t.runs, r)
		t.step.runsOn[w]++
		t.lastRun = max(t.lastRun, r.name.Number)
		t.step.round.job.quota.add(r)
	}
}

// removeRun removes a run from the worker and releases its capacity.
func (w *worker) removeRun(r *run) {
	if w.runs[r.name] != r {
		return
	}
	delete(w.runs, r.name)
	w.runOrder = slices.DeleteFunc(w.runOrder, func(o *run) bool { return o == r })
	w.releasesStale = true
	w.free = w.free.Plus(r.size)
	w.ledger.RemoveBestEffort(r.team, r.bestEffort)
	w.ledger.Remove(r.team, r.size)
	if r.sizeUnknown {
		w.unknownRuns--
		w.pools.unknownRuns--
		w.pools.stale = true
	}
	w.freed.add(w)
	t := r.task
	if t == nil {
		return
	}
	t.runs = slices.DeleteFunc(t.runs, func(o *run) bool { return o == r })
	t.step.round.job.quota.remove(r)
	t.lastClosedRun = max(t.lastClosedRun, r.name.Number)
	if t.step.runsOn[w]--; t.step.runsOn[w] <= 0 {
		delete(t.step.runsOn, w)
	}
	if t.needsRun() {
		t.step.waiting++
		t.step.lastTry = lastTry{}
	}
}

// newJob returns the state of a job without rounds, which are added when they are due.
func newJob(spec *ladderflow.Job) *job {
	j := &job{spec: spec, state: ladderflow.Queued, rounds: map[int]*round{}, completedRounds: map[int]bool{}}
	j.durations = make([]time.Duration, len(spec.Steps))
	j.criticalPaths = make([]time.Duration, len(spec.Steps))
	return j
}

// estimateDurations computes the expected durations of the job's tasks from the present estimates.
// Each step is expected to wait for advice for adviceTime.
func (j *job) estimateDurations(estimators durationEstimators, adviceTime time.Duration) {
	clear(j.criticalPaths)
	for i := len(j.spec.Steps) - 1; i >= 0; i-- {
		j.durations[i] = estimators.predict(j.spec.Queue, j.spec.Steps[i].Estimate)
		j.criticalPaths[i] += adviceTime + j.durations[i]
		for _, d := range j.spec.Steps[i].DependsOn {
			j.criticalPaths[d] = max(j.criticalPaths[d], j.criticalPaths[i])
		}
	}
}

// longestPath returns the expected duration of the job's critical path.
func (j *job) longestPath() time.Duration {
	if len(j.criticalPaths) == 0 {
		return 0
	}
	return slices.Max(j.criticalPaths)
}

func (j *job) addRound(index int, due time.Time) *round {
	r := &round{job: j, index: index, due: due, stepsLeft: len(j.spec.Steps)}
	for i := range j.spec.Steps {
		s := &step{round: r, spec: &j.spec.Steps[i], index: i, runsOn: map[*worker]int{}}
		s.waiting = s.spec.Tasks
		s.tasks = make([]*task, s.spec.Tasks)
		for k := range s.tasks {
			s.tasks[k] = &task{step: s, index: k}
		}
		r.steps = append(r.steps, s)
	}
	j.rounds[index] = r
	return r
}

// find returns a task of the job, or nil if there is no such task.
func (j *job) find(t ladderflow.Task) *task {
	r, ok := j.rounds[t.Round]
	if !ok || t.Step < 0 || t.Step >= len(r.steps) {
		return nil
	}
	s := r.steps[t.Step]
	if t.Index < 0 || t.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[t.Index]
}
