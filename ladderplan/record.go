package ladderplan

import (
	"slices"
	"time"

	"lacewingladder/ladderflow"
)

// pruneInterval is the time between two searches for entries of deleted jobs and departed workers.
const pruneInterval = 5 * time.Second

// Record is the stored progress of a job.
type Record struct {
	Job   string
	State ladderflow.State
	// Rounds holds the rounds in progress, and CompletedRounds the indexes of those whose tasks have
	// all succeeded.
	Rounds          []RoundRecord
	CompletedRounds []int
}

// RoundRecord is the stored progress of one round.
type RoundRecord struct {
	Index int
	Steps []StepRecord
}

// StepRecord is the stored progress of one step. Tasks without a record have not been started.
type StepRecord struct {
	// Done is true if all tasks have succeeded.
	Done  bool
	Tasks []TaskRecord
	// Failed holds the numbers of the failed runs of a gang, and Checkpoint its newest checkpoint.
	Failed     []int
	Checkpoint string
}

// TaskRecord is the stored progress of one task.
type TaskRecord struct {
	Index int
	Done  bool
	// LastRun is the highest run number in use. LastClosedRun is the highest number of a run that
	// has ended, or that cannot be under way.
	LastRun       int
	LastClosedRun int
	// Failed holds the numbers of the failed runs. It is empty for a member of a gang.
	Failed     []int
	Checkpoint string
	// Crashes is the number of workers that crashed while a run of the task was under way, and
	// Suspicions the number of those under which the run had just started.
	Crashes    int
	Suspicions int
}

// Batch is a set of changes to store. Once all of them are stored, the ends of runs that the batch
// covers can be acknowledged to their workers.
type Batch struct {
	Records []Record
	// JobsToDelete names jobs whose keys can all be deleted. The caller sets it.
	JobsToDelete []string
	// CancellationsToDelete names jobs that were never submitted and whose cancellations can be
	// deleted. The caller sets it, and before [Planner.BatchStored] limits it to those that were deleted.
	CancellationsToDelete []string
	// ends holds, by worker, the last end that the batch covers, states the states of the jobs, and
	// crashes the numbers of crashes that were counted against them.
	ends    map[string]endMark
	states  map[string]ladderflow.State
	crashes map[string]int
}

// endMark identifies an end in the list of a worker's incarnation.
type endMark struct {
	incarnation int64
	sequence    int64
}

// Empty reports whether there is nothing to store and nothing to acknowledge.
func (b *Batch) Empty() bool {
	return len(b.Records) == 0 && len(b.JobsToDelete) == 0 && len(b.CancellationsToDelete) == 0 && len(b.ends) == 0
}

// NextBatch returns the records of the jobs that have changed since the last call, and the ends of
// runs that can be acknowledged once the records are stored.
func (p *Planner) NextBatch() *Batch {
	b := &Batch{ends: map[string]endMark{}, states: map[string]ladderflow.State{}, crashes: map[string]int{}}
	for id, j := range p.unstoredJobs {
		b.Records = append(b.Records, j.record())
		b.states[id], b.crashes[id] = j.state, j.crashes
	}
	clear(p.unstoredJobs)
	for id, w := range p.workers {
		if end := w.lastKnownEnd(); end > w.lastStoredEnd {
			b.ends[id] = endMark{w.incarnation, end}
		}
	}
	return b
}

// CoversEnds reports whether a batch covers ends of runs on a worker.
func (b *Batch) CoversEnds(worker string) bool {
	_, ok := b.ends[worker]
	return ok
}

// BatchStored records that a batch was stored.
func (p *Planner) BatchStored(b *Batch) {
	for id, end := range b.ends {
		if w, ok := p.workers[id]; ok && w.incarnation == end.incarnation {
			w.lastStoredEnd = max(w.lastStoredEnd, end.sequence)
		}
	}
	for id := range b.states {
		p.recordStored(b, id)
	}
	for _, id := range b.JobsToDelete {
		if j, ok := p.jobs[id]; ok {
			p.deletedJobs[id] = deletedJob{accepted: j.spec.Accepted, endedAt: j.endedAt}
		}
		delete(p.jobs, id)
	}
	for _, id := range b.CancellationsToDelete {
		p.dropCancellation(id)
	}
	for len(p.endedJobs) > 0 && p.jobs[p.endedJobs[0].spec.ID] != p.endedJobs[0] {
		p.endedJobs = p.endedJobs[1:]
	}
}

// recordStored records that the record of a job in a batch was stored.
func (p *Planner) recordStored(b *Batch, id string) {
	j, ok := p.jobs[id]
	if !ok {
		return
	}
	s := b.states[id]
	if s.Final() && !j.storedState.Final() {
		p.log.Info("end of a job stored", "job", id, "state", s)
	}
	p.endStored(j, s)
	if n := b.crashes[id]; n > j.storedCrashes {
		j.storedCrashes, p.placementDue = n, true
	}
}

// BatchNotStored records that a batch was stored at most in part. Missing holds the records that may not be stored.
// The next batch includes records of the same jobs. Ends are acknowledged once the whole of a batch is stored.
func (p *Planner) BatchNotStored(b *Batch, missing []Record) {
	unstored := make(map[string]bool, len(missing))
	for _, r := range missing {
		unstored[r.Job] = true
		if j, ok := p.jobs[r.Job]; ok {
			p.unstoredJobs[r.Job] = j
		}
	}
	for id := range b.states {
		if !unstored[id] {
			p.recordStored(b, id)
		}
	}
}

// record returns the job's progress in the form in which it is stored.
func (j *job) record() Record {
	r := Record{Job: j.spec.ID, State: j.state}
	if j.state.Final() {
		return r
	}
	for i := range j.completedRounds {
		r.CompletedRounds = append(r.CompletedRounds, i)
	}
	for _, x := range j.rounds {
		rr := RoundRecord{Index: x.index}
		for _, s := range x.steps {
			rr.Steps = append(rr.Steps, s.record())
		}
		r.Rounds = append(r.Rounds, rr)
	}
	return r
}

func (s *step) record() StepRecord {
	r := StepRecord{Done: s.finished(), Failed: slices.Clone(s.gang.failedRuns), Checkpoint: s.gang.checkpoint.value}
	if r.Done {
		return r
	}
	for _, t := range s.tasks {
		if t.done || t.lastRun > 0 {
			r.Tasks = append(r.Tasks, TaskRecord{
				Index: t.index, Done: t.done, LastRun: t.lastRun, LastClosedRun: t.lastClosedRun,
				Failed: slices.Clone(t.failedRuns), Checkpoint: t.checkpoint.value, Crashes: t.crashes, Suspicions: t.suspicions,
			})
		}
	}
	return r
}

// Restore sets the progress of a job from its stored record. The job must have been added before.
func (p *Planner) Restore(now time.Time, r Record) {
	j, ok := p.jobs[r.Job]
	if !ok {
		return
	}
	p.endStored(j, r.State)
	if r.State.Final() {
		if r.State == ladderflow.Done {
			for _, x := range j.rounds {
				j.quota.roundDone(x)
			}
		}
		j.state, j.endedAt = r.State, now
		clear(j.rounds)
		delete(p.unstoredJobs, r.Job)
		return
	}
	for _, i := range r.CompletedRounds {
		j.completedRounds[i] = true
		j.quota.roundDone(j.rounds[i])
		delete(j.rounds, i)
	}
	for _, rr := range r.Rounds {
		x, ok := j.rounds[rr.Index]
		if !ok {
			due := j.spec.Accepted
			if j.spec.HasSchedule() {
				due = j.spec.Due(rr.Index)
			}
			x = j.addRound(rr.Index, due)
		}
		if x.restore(rr) {
			j.started, j.begun = true, true
		}
		p.assumeRuns(x)
		p.markReadySteps(now, x)
	}
}

// restore sets the progress of a round from its record. It reports whether any task had started.
func (r *round) restore(rr RoundRecord) bool {
	started := false
	for i, sr := range rr.Steps {
		if i >= len(r.steps) {
			break
		}
		s := r.steps[i]
		s.gang = gang{failedRuns: sr.Failed}
		for _, t := range s.tasks {
			if sr.Done {
				t.done = true
			}
		}
		lastClosedRun := 0
		for _, tr := range sr.Tasks {
			if tr.Index < 0 || tr.Index >= len(s.tasks) {
				continue
			}
			started = true
			t := s.tasks[tr.Index]
			t.done, t.lastRun, t.lastClosedRun, t.failedRuns = tr.Done, tr.LastRun, tr.LastClosedRun, tr.Failed
			t.crashes, t.suspicions = tr.Crashes, tr.Suspicions
			t.checkpoint = restoredCheckpoint(tr.Checkpoint, tr.LastClosedRun)
			lastClosedRun = max(lastClosedRun, tr.LastClosedRun)
		}
		s.gang.checkpoint = restoredCheckpoint(sr.Checkpoint, lastClosedRun)
		s.done, s.waiting = 0, 0
		for _, t := range s.tasks {
			if t.done {
				s.done++
			} else {
				s.waiting++
			}
		}
		if s.finished() {
			started = true
			r.stepsLeft--
		}
	}
	return started
}

// deletedJob identifies a job that was deleted from the store.
type deletedJob struct {
	accepted time.Time
	endedAt  time.Time
}

// deletedJobRetention is how long after its end a deleted job is remembered, as a multiple of
// [Options.JobRetention]. A read of all items that began before the deletion must end before that.
const deletedJobRetention = 2

// prune discards old entries of deleted jobs and departed workers.
func (p *Planner) prune(now time.Time) {
	if now.Before(p.nextPrune) {
		return
	}
	p.nextPrune = now.Add(pruneInterval)
	for id, d := range p.deletedJobs {
		if now.Sub(d.endedAt) > deletedJobRetention*p.options.JobRetention {
			delete(p.deletedJobs, id)
		}
	}
	for queue := range p.queuedJobs {
		if p.QueuedJobs(queue) == 0 {
			delete(p.queuedJobs, queue)
		}
	}
	for id, w := range p.departed {
		if now.Sub(w.polledAt) > departedRetention {
			delete(p.departed, id)
		}
	}
}

// ExpiredJobs returns the ids of at most limit ended jobs that callers can no longer query.
func (p *Planner) ExpiredJobs(now time.Time, limit int) []string {
	var ids []string
	for _, j := range p.endedJobs {
		if len(ids) == limit || !p.retentionOver(now, j.endedAt) {
			break
		}
		if p.jobs[j.spec.ID] == j {
			ids = append(ids, j.spec.ID)
		}
	}
	return ids
}

// retentionOver reports whether callers can no longer query a job that ended at the given time.
func (p *Planner) retentionOver(now, endedAt time.Time) bool {
	return now.Sub(endedAt) > p.options.JobRetention*5/4
}

// ExpiredCancellations returns the ids of at most limit canceled jobs that are still unknown. A
// cancellation is kept until the store has deleted it: its job may be submitted up to then.
func (p *Planner) ExpiredCancellations(now time.Time, limit int) []string {
	if now.Before(p.nextCancellationExpiry) {
		return nil
	}
	var ids []string
	for id, at := range p.cancellations {
		if len(ids) == limit {
			return ids
		}
		if p.retentionOver(now, at) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		p.nextCancellationExpiry = now.Add(pruneInterval)
	}
	return ids
}

// endStored records that the store holds the end of a job.
func (p *Planner) endStored(j *job, state ladderflow.State) {
	if state.Final() && !j.storedState.Final() {
		p.endedJobs = append(p.endedJobs, j)
	}
	j.storedState = state
}
