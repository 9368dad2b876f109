package ladderplan

import (
	"maps"
	"math"
	"slices"
	"time"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderteam"
)

// Planner decides which task starts on which worker. Create one with [New].
type Planner struct {
	options Options
	log     Log
	fleet   *ladderflow.FleetConfig
	jobs    map[string]*job
	// cancellations maps the ids of jobs that are not known yet to the time at which they were
	// canceled.
	cancellations map[string]time.Time
	// cancellationTeams holds those of them that may not cancel jobs of all teams. It is nil while there are none.
	cancellationTeams map[string]ladderflow.Cancellation
	// deletedJobs holds the jobs that were deleted from the store lately.
	deletedJobs map[string]deletedJob
	workers     map[string]*worker
	// departed holds workers that were dropped and may have crashed under runs, by id.
	departed map[string]*worker
	// workersAdded counts the workers that were ever added.
	workersAdded int
	// sortedWorkers holds the workers sorted by id. It is nil after a worker was added or dropped.
	// Decisions must not depend on the iteration order of a map.
	sortedWorkers []*worker
	pools         workerPools
	// ledger counts what each team has running. Quotas and shares are decided on it.
	ledger *ladderteam.Ledger
	quotas quotas
	teams  teamShares
	// queuedJobs holds, by queue, the jobs that may have neither begun nor ended. Jobs with a schedule are
	// left out.
	queuedJobs map[string][]*job
	// endedJobs holds the jobs whose ends are stored, in the order in which they were. Some at its start may
	// have been deleted.
	endedJobs []*job
	// readySteps holds the ready steps that may have tasks to start.
	readySteps []*step
	// watchedGangs holds the gangs that have runs and are not known to be whole.
	watchedGangs []*step
	// scheduledJobs holds the jobs with a schedule whose rounds have not all started.
	scheduledJobs []*job
	// hasIrregular is true if there may be workers that are not regular.
	hasIrregular bool
	// unseenWorkers holds the workers on which an earlier leader may have started tasks and that
	// have not answered this leader yet.
	unseenWorkers map[string]bool
	// unseenRevision is the store's revision after which no job was stored that may have tasks on unseenWorkers,
	// or above all revisions if there is none.
	unseenRevision int64
	cordons        cordons
	// earlierRunsKnown is true once all runs that earlier leaders started are known, or must have
	// ended with the lease of their worker.
	earlierRunsKnown bool
	// earlierLeadersEnded is a time after which no earlier leader acts, or zero.
	earlierLeadersEnded time.Time
	// roster holds the stored set of workers on which tasks may start.
	roster map[string]bool
	// nearMaintenance holds the workers that get no new tasks because their maintenance is near.
	nearMaintenance map[string]bool
	// unstoredJobs holds the jobs whose records have changed since the last batch.
	unstoredJobs map[string]*job
	estimators   durationEstimators
	spreads      spreads
	advisers
	orders Orders
	// superseded is true once a worker has rejected this leader's fencing token for a newer one.
	superseded bool
	// placementDue is true if something has happened since the last placement pass that may let a
	// task start. placedAt is when that pass was.
	placementDue bool
	placedAt     time.Time
	freed        freedLog
	// reservationPass is the number of the present or last placement pass that reserved workers for
	// gangs. slotBuffer is reused by all its searches for future slots.
	reservationPass int64
	slotBuffer      []futureSlot
	// unanswered is the number of starts without a reply, and window bounds it.
	unanswered      int
	window          startWindow
	speedsCheckedAt time.Time
	// storeServingSince is since when the platform's store has served calls, or zero while it does not.
	storeServingSince time.Time
	// storeWasAway is true once the store has been away.
	storeWasAway bool
	// confirmedAt is when leadership was last confirmed.
	confirmedAt time.Time
	// jobsReadAt is the latest time for which all jobs that the store held then are known.
	jobsReadAt time.Time
	// nextPrune is when old entries of deleted jobs are next discarded, and nextCancellationExpiry
	// when expired cancellations are next searched for.
	nextPrune              time.Time
	nextCancellationExpiry time.Time
}

// New returns a planner without jobs and workers for a newly elected leader.
func New(o Options) *Planner {
	return &Planner{
		options: o, log: o.Log, jobs: map[string]*job{}, cancellations: map[string]time.Time{}, deletedJobs: map[string]deletedJob{},
		workers: map[string]*worker{}, departed: map[string]*worker{}, pools: workerPools{byService: map[string][]*worker{}, stale: true}, unseenWorkers: map[string]bool{},
		unstoredJobs: map[string]*job{}, estimators: durationEstimators{}, spreads: spreads{}, advisers: newAdvisers(),
		ledger: ladderteam.NewLedger(), cordons: newCordons(), window: newStartWindow(o.MaxUnansweredStarts), queuedJobs: map[string][]*job{},
		quotas: quotas{teams: map[string]*teamQuota{}},
	}
}

// Superseded reports whether this leader was superseded by a newer one.
func (p *Planner) Superseded() bool { return p.superseded }

// SetFleet sets the configuration.
func (p *Planner) SetFleet(f *ladderflow.FleetConfig) {
	p.fleet, p.placementDue = f, true
	p.refreshQuotas()
}

// SetSenders sets the number of VMs that send starts: the leader and its delegates.
func (p *Planner) SetSenders(n int) { p.window.setSenders(n) }

// SetJobsReadAt records that all jobs that the store held at the given time have been added, unless
// they were deleted.
func (p *Planner) SetJobsReadAt(at time.Time) { p.jobsReadAt = later(p.jobsReadAt, at) }

// AddJob adds a job that the store holds. The argument knownToEarlierLeader is true if an earlier
// leader may have started tasks of the job. A job that is added before all jobs of the time until
// [Options.EarlierLeaseEnd] are known counts as such in any case.
func (p *Planner) AddJob(now time.Time, spec *ladderflow.Job, knownToEarlierLeader bool) {
	p.placementDue = true
	if j, ok := p.jobs[spec.ID]; ok {
		if j.spec.Revision == 0 {
			j.spec.Revision = spec.Revision
		}
		return
	}
	if d, ok := p.deletedJobs[spec.ID]; ok && !spec.Accepted.After(d.accepted) {
		return // The item was read before it was deleted.
	}
	j := newJob(spec)
	j.estimateDurations(p.estimators, p.adviceTime(j))
	j.addedAt, j.knownToEarlierLeader = now, knownToEarlierLeader || !p.jobsReadAt.After(p.options.EarlierLeaseEnd)
	j.quota = p.quotas.team(spec.Team)
	p.jobs[spec.ID] = j
	p.awaitRateCheck(j)
	if p.takeCancellation(now, spec) {
		p.finish(now, j, ladderflow.Cancelled)
		return
	}
	if spec.HasSchedule() {
		p.scheduledJobs = append(p.scheduledJobs, j)
		return
	}
	p.queuedJobs[spec.Queue] = append(p.queuedJobs[spec.Queue], j)
	p.startRound(now, j, 0, spec.Accepted)
}

// Cancel cancels a job whose cancellation the store holds. If the job is unknown, the cancellation is
// kept until the job is added.
func (p *Planner) Cancel(now time.Time, id string) {
	j, ok := p.jobs[id]
	switch {
	case !ok:
		p.cancellations[id] = now
		delete(p.cancellationTeams, id)
	case j.active():
		p.finish(now, j, ladderflow.Cancelled)
	}
}

// startRound adds a round and marks its first steps as ready.
func (p *Planner) startRound(now time.Time, j *job, index int, due time.Time) {
	p.placementDue = true
	r := j.addRound(index, due)
	j.nextRound = max(j.nextRound, index+1)
	p.markReadySteps(now, r)
	p.assumeRuns(r)
	p.recordHeld(now, r)
}

// markReadySteps marks the steps of a round whose predecessors have succeeded as ready.
func (p *Planner) markReadySteps(now time.Time, r *round) {
	r.job.estimateDurations(p.estimators, p.adviceTime(r.job))
	for _, s := range r.steps {
		if s.ready || !predecessorsSucceeded(s) {
			continue
		}
		s.ready, s.readySince = true, now
		p.readySteps = append(p.readySteps, s)
	}
}

func predecessorsSucceeded(s *step) bool {
	for _, d := range s.spec.DependsOn {
		if !s.round.steps[d].finished() {
			return false
		}
	}
	return true
}

// startDueRounds starts the rounds of jobs with a schedule that are due when the wall clock shows
// wall.
func (p *Planner) startDueRounds(now, wall time.Time) {
	kept := p.scheduledJobs[:0]
	for _, j := range p.scheduledJobs {
		for j.active() && j.nextRound < j.spec.Rounds && !wall.Before(j.spec.Due(j.nextRound)) && j.hasRoomForRound() {
			if j.completedRounds[j.nextRound] {
				j.nextRound++
				continue
			}
			if _, ok := j.rounds[j.nextRound]; ok {
				j.nextRound++
				continue
			}
			p.startRound(now, j, j.nextRound, now.Add(j.spec.Due(j.nextRound).Sub(wall)))
		}
		if j.active() && j.nextRound < j.spec.Rounds {
			kept = append(kept, j)
		}
	}
	clear(p.scheduledJobs[len(kept):])
	p.scheduledJobs = kept
}

// hasRoomForRound reports whether one more round of the job may be in progress. All their tasks must fit into
// one record.
func (j *job) hasRoomForRound() bool {
	tasks := 0
	for i := range j.spec.Steps {
		tasks += j.spec.Steps[i].Tasks
	}
	return len(j.rounds) == 0 || (len(j.rounds)+1)*tasks <= ladderflow.MaxTasks
}

// finish sets the final state of a job and stops its runs.
func (p *Planner) finish(now time.Time, j *job, state ladderflow.State) {
	j.state, j.endedAt = state, now
	p.unstoredJobs[j.spec.ID] = j
	p.log.Info("job ended", "job", j.spec.ID, "queue", j.spec.Queue, "state", state,
		"after", now.Sub(j.spec.Accepted).Round(time.Millisecond), "aim", p.objective(j).Round(time.Millisecond),
		"waited", j.waited())
	for _, i := range slices.Sorted(maps.Keys(j.rounds)) {
		for _, s := range j.rounds[i].steps {
			for _, t := range s.tasks {
				if t.done && s.spec.Gang {
					continue // The members of a gang that has succeeded end by themselves.
				}
				for _, x := range t.runs {
					p.stopRun(now, x, "the job ended")
				}
			}
		}
	}
}

// endRun records the end of a run. It is called once for each end that a worker lists.
func (p *Planner) endRun(now time.Time, w *worker, e ladderflow.EndedRun) {
	p.placementDue = true
	x := w.runs[e.Run]
	j := p.jobs[e.Run.Task.Job]
	var t *task
	if j != nil {
		t = j.find(e.Run.Task)
	}
	if x != nil {
		x.confirm()
		w.removeRun(x)
		p.logCancelledRun(now, x, string(e.Reason))
	}
	if p.unknown(e.Run.Task) {
		w.holdEnd(now, e)
		p.hasIrregular = true
		return
	}
	if t == nil || !j.active() {
		return
	}
	j.begun = true
	t.lastRun, t.lastClosedRun = max(t.lastRun, e.Run.Number), max(t.lastClosedRun, e.Run.Number)
	if e.Checkpoint != "" {
		t.recordCheckpoint(e.Checkpoint, e.Run.Number)
		p.unstoredJobs[j.spec.ID] = j
	}
	p.log.Debug("run ended", "task", t.name(), "run", e.Run.Number, "worker", w.spec.ID, "result", e.Reason)
	switch {
	case t.step.spec.LongRunning:
		p.unstoredJobs[j.spec.ID] = j
	case e.Reason == ladderflow.EndDone:
		p.logSuccess(w, t, e)
		w.clearFailures()
		if x != nil && !t.done && e.Run.Number == 1 {
			p.estimators.observe(j.spec.Queue, t.step.spec.Estimate, now.Sub(x.startedAt))
			p.observeSpeed(w, t.step, now.Sub(x.startedAt))
		}
		p.taskSucceeded(now, t)
	case e.Reason == ladderflow.EndFailed:
		p.runFailed(now, w, t, e.Run.Number)
	}
	if t.step.spec.Gang && e.Reason != ladderflow.EndDone && j.active() {
		p.stopGangRun(now, t.step, e.Run.Number)
	}
}

// taskSucceeded records that a task has succeeded, or a whole gang if the task is a member of one.
func (p *Planner) taskSucceeded(now time.Time, t *task) {
	s, j := t.step, t.step.round.job
	members := []*task{t}
	if s.spec.Gang {
		members = s.tasks
	}
	before := s.done
	for _, m := range members {
		if m.done {
			continue
		}
		if m.needsRun() {
			s.waiting--
		}
		m.done = true
		j.quota.known(m)
		s.done++
		for _, x := range m.runs {
			if !s.spec.Gang {
				p.stopRun(now, x, "another run of the task succeeded")
			}
		}
	}
	p.unstoredJobs[j.spec.ID] = j
	if !s.finished() || s.done == before {
		return // Tasks are left, or another member of the gang has already completed the step.
	}
	s.round.stepsLeft--
	p.markReadySteps(now, s.round)
	if s.round.stepsLeft > 0 {
		return
	}
	j.completedRounds[s.round.index] = true
	delete(j.rounds, s.round.index)
	if len(j.completedRounds) >= max(1, j.spec.Rounds) {
		p.finish(now, j, ladderflow.Done)
	}
}

// runFailed counts a failed run. It fails the job if the task, or the gang, has failed as often as
// the queue allows.
func (p *Planner) runFailed(now time.Time, w *worker, t *task, number int) {
	s, j := t.step, t.step.round.job
	failedRuns, failedWorkers := &t.failedRuns, &t.failedWorkers
	if s.spec.Gang {
		failedRuns, failedWorkers = &s.gang.failedRuns, &s.gang.failedWorkers
	}
	if t.done || slices.Contains(*failedRuns, number) {
		return
	}
	*failedRuns = append(*failedRuns, number)
	if *failedWorkers == nil {
		*failedWorkers = map[string]bool{}
	}
	(*failedWorkers)[w.spec.ID] = true
	w.recordFailure(now, j.spec.ID)
	p.unstoredJobs[j.spec.ID] = j
	limit := max(1, p.queue(j).MaxFailures)
	p.log.Info("run failed", "task", t.name(), "run", number, "worker", w.spec.ID,
		"fails", len(*failedRuns), "attempts", limit)
	if len(*failedRuns) >= limit {
		p.finish(now, j, ladderflow.Failed)
	}
}

// queue returns the rules by which a job runs: those of its queue in the present configuration or, if that
// does not have the queue, those under which the job was accepted.
func (p *Planner) queue(j *job) *ladderflow.Queue {
	if j.queue != nil && j.queueFleet == p.fleet {
		return j.queue
	}
	j.queue, j.queueFleet = nil, p.fleet
	if p.fleet != nil {
		j.queue, _ = p.fleet.Queue(j.spec.Queue)
	}
	if j.queue == nil {
		j.queue = j.spec.Rules
	}
	if j.queue == nil {
		// An earlier build has stored the job.
		j.queue = &ladderflow.Queue{Name: j.spec.Queue, Service: j.spec.Service, Priority: 1, MaxFailures: 1, ObjectiveFactor: 1}
	}
	return j.queue
}

// adviceTime returns the time that a job's objective allows for advice about each step.
func (p *Planner) adviceTime(j *job) time.Duration { return p.queue(j).AdviceTime() }

// stopRun orders a run to stop, unless an earlier stop may still be in progress.
func (p *Planner) stopRun(now time.Time, x *run, why string) {
	p.countCancelledRun(x)
	if x.phase == phaseStopping && now.Sub(x.stopSentAt) < p.options.StopTimeout {
		return
	}
	x.phase, x.stopSentAt = phaseStopping, now
	p.log.Debug("stopping run", "task", x.name.Task, "run", x.name.Number, "worker", x.worker.spec.ID, "why", why)
	p.orders.Stops = append(p.orders.Stops, StopOrder{Worker: x.worker.spec, Run: x.name})
}

// stopGang stops all runs of a gang. Its members work only together, so the gang cannot continue
// without one of them.
func (p *Planner) stopGang(now time.Time, s *step) {
	p.stopGangRun(now, s, math.MaxInt)
}

// stopGangRun stops the runs of a gang up to the given number. A worker may list the end of an earlier
// run after a later one has started.
func (p *Planner) stopGangRun(now time.Time, s *step, number int) {
	for _, t := range s.tasks {
		for _, x := range t.runs {
			if x.name.Number <= number {
				p.stopRun(now, x, "the gang cannot continue")
			}
		}
	}
}

// View is the state of a job that callers see.
type View struct {
	Known bool
	State ladderflow.State
}

// View returns the state of a job. The end of a job is visible once the store holds it: until then it
// may be lost, with the worker that lists it and with this leader, and the tasks then run again.
func (p *Planner) View(now time.Time, id string) View {
	j, ok := p.jobs[id]
	switch {
	case !ok:
		return View{}
	case j.storedState.Final():
		p.logShown(now, j, j.storedState)
		return View{Known: true, State: j.storedState}
	case j.state == ladderflow.Cancelled:
		// The store holds the cancellation itself.
		p.logShown(now, j, j.state)
		return View{Known: true, State: j.state}
	case j.started:
		return View{Known: true, State: ladderflow.Running}
	}
	return View{Known: true, State: ladderflow.Queued}
}

// logShown logs that the end of a job is shown to a caller for the first time.
func (p *Planner) logShown(now time.Time, j *job, state ladderflow.State) {
	if !j.shown {
		j.shown = true
		p.log.Info("end of a job shown", "job", j.spec.ID, "state", state, "after", now.Sub(j.endedAt).Round(time.Millisecond))
	}
}

// QueuedJobs returns the number of jobs of a queue that have not started, as far as is known: a start
// that is not answered may never have arrived. It does not count jobs with a schedule.
func (p *Planner) QueuedJobs(queue string) int {
	// A job that has begun or ended stays so, so that each job is removed once.
	kept := slices.DeleteFunc(p.queuedJobs[queue], func(j *job) bool { return j.begun || !j.active() })
	p.queuedJobs[queue] = kept
	return len(kept)
}

// Ended reports whether a job has ended, whether or not the end is stored.
func (p *Planner) Ended(id string) bool {
	j, ok := p.jobs[id]
	return ok && !j.active()
}
