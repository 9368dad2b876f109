package ladderqueue

import (
	"sort"
	"time"

	"lacewingladder/ladderjob"
	"lacewingladder/laddermodel"
)

const (
	// maxFailures is the number of failures of one task at which its job fails.
	maxFailures = 3
	// startedCountStep is how many more tasks each durable record allows to start,
	// so that not every start needs a write to the store.
	startedCountStep = 64
	// retryDelay is how long a job waits after a planned task could not start.
	retryDelay = 200 * time.Millisecond
)

// Queue orders the jobs of the cluster. Create one with [New].
type Queue struct {
	jobs map[string]*jobState
	// earlyCancellations holds the IDs of jobs that were canceled before they were
	// added, with the time of the first call of RemoveEnded since then. The time is
	// zero before that call.
	earlyCancellations map[string]time.Time
	// active holds the jobs that have not ended, oldest first.
	active []*jobState
	// usedSlots is the number of slots in use by team.
	usedSlots map[string]int
}

// jobState is a job and the state of its tasks, which are identified by their
// index.
type jobState struct {
	record ladderjob.Record
	// savedStartedCount is the StartedCount of the durable record: only tasks with
	// a lower index may start.
	savedStartedCount int
	// unsaved is true if the record has changes that are not stored durably.
	unsaved bool
	// nextIndex is the index of the first task that was never started.
	nextIndex int
	// restarts holds the indexes of tasks that have to be started again.
	restarts []int
	running  map[int]*taskRun
	// unconfirmed holds the tasks that an earlier leader may have started and that
	// may still run.
	unconfirmed map[int]bool
	// attempts holds the number of the last attempt, by task index.
	attempts map[int]int
	// failures holds the number of failures, by task index.
	failures map[int]int
	// endedCount is the number of tasks that ended successfully.
	endedCount int
	// aborted is true once the job is canceled or has failed: it starts no more
	// tasks.
	aborted bool
	// retryAt is the time before which the job starts no tasks.
	retryAt time.Time
	// endSeenAt is the time of the first call of RemoveEnded after the job ended.
	endSeenAt time.Time
}

// taskRun is a task that runs or is being started.
type taskRun struct {
	attempt   int
	worker    string
	startedAt time.Time
	// starting is true until the worker has accepted the start.
	starting bool
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{jobs: map[string]*jobState{}, earlyCancellations: map[string]time.Time{}, usedSlots: map[string]int{}}
}

// Len returns the number of jobs that have not ended.
func (q *Queue) Len() int { return len(q.active) }

// Running returns the number of tasks that run or are being started.
func (q *Queue) Running() int {
	n := 0
	for _, j := range q.active {
		n += len(j.running)
	}
	return n
}

// Add adds a job from its durable record. Tasks that an earlier leader may have
// started are unconfirmed until [Queue.ConfirmRunning] or
// [Queue.RestartUnconfirmed] reports whether they run, or until their end is
// known.
func (q *Queue) Add(r ladderjob.Record) {
	if _, ok := q.jobs[r.Job.ID]; ok {
		return
	}
	j := &jobState{
		record: r, savedStartedCount: r.StartedCount, nextIndex: r.StartedCount, running: map[int]*taskRun{},
		unconfirmed: map[int]bool{}, attempts: map[int]int{}, failures: map[int]int{},
	}
	q.jobs[r.Job.ID] = j
	if r.State.Final() {
		return
	}
	for i := range r.StartedCount {
		if r.HasEnded(i) {
			j.endedCount++
		} else {
			j.unconfirmed[i] = true
		}
	}
	at := sort.Search(len(q.active), func(i int) bool {
		return q.active[i].record.Job.Submitted.After(r.Job.Submitted)
	})
	q.active = append(q.active, nil)
	copy(q.active[at+1:], q.active[at:])
	q.active[at] = j
	if _, ok := q.earlyCancellations[r.Job.ID]; ok {
		q.Cancel(r.Job.ID)
	}
}

// RunningTask identifies a running task that has to be stopped, and its worker.
type RunningTask struct {
	Task   string
	Worker string
}

// Cancel cancels a job and returns its running tasks, which the caller must
// stop. If the job has not been added yet, it is canceled when it is added.
func (q *Queue) Cancel(id string) []RunningTask {
	j, ok := q.jobs[id]
	if !ok {
		q.earlyCancellations[id] = time.Time{}
		return nil
	}
	delete(q.earlyCancellations, id)
	if j.record.State.Final() || j.aborted {
		return nil
	}
	j.aborted = true
	var running []RunningTask
	for i, r := range j.running {
		running = append(running, RunningTask{Task: ladderjob.TaskID(id, i, r.attempt), Worker: r.worker})
	}
	sort.Slice(running, func(a, b int) bool { return running[a].Task < running[b].Task })
	q.finishIfIdle(j)
	return running
}

// Started records that a worker accepted a task.
func (q *Queue) Started(now time.Time, task, worker string) {
	j, i, attempt, ok := q.findTask(task)
	if !ok {
		return
	}
	r, ok := j.running[i]
	if !ok || r.attempt != attempt {
		return
	}
	r.worker, r.startedAt, r.starting = worker, now, false
}

// NotStarted records that a planned task was not started.
func (q *Queue) NotStarted(now time.Time, task string) {
	j, i, attempt, ok := q.findTask(task)
	if !ok {
		return
	}
	if r, ok := j.running[i]; !ok || r.attempt != attempt {
		return
	}
	q.removeRun(j, i)
	j.restarts = append(j.restarts, i)
	j.retryAt = now.Add(retryDelay)
	q.finishIfIdle(j)
}

// TaskEnd describes how a task ended. The zero value means success.
type TaskEnd struct {
	// Failed is true if the task itself failed. Stopped is true if the task was
	// stopped or lost, so that it has to be started again.
	Failed  bool
	Stopped bool
}

// Ended records the end of a task.
func (q *Queue) Ended(task string, e TaskEnd) {
	j, i, attempt, ok := q.findTask(task)
	if !ok {
		return
	}
	r, runs := j.running[i]
	if runs && r.attempt != attempt {
		return
	}
	if j.record.State.Final() {
		if runs {
			q.removeRun(j, i) // The slots of a failed job are in use until its runs end.
			q.finishIfIdle(j)
		}
		return
	}
	if !runs && !j.unconfirmed[i] {
		return
	}
	if !runs && (e.Failed || e.Stopped) {
		// The earlier leader may have started the task again after this end, so
		// it stays unconfirmed.
		j.attempts[i] = max(j.attempts[i], attempt)
		return
	}
	if runs {
		q.removeRun(j, i)
	}
	delete(j.unconfirmed, i)
	j.attempts[i] = max(j.attempts[i], attempt)
	switch {
	case e.Stopped || j.record.Job.Kind == laddermodel.Service && !e.Failed:
		j.restarts = append(j.restarts, i)
	case e.Failed:
		j.failures[i]++
		j.restarts = append(j.restarts, i)
		if j.failures[i] >= maxFailures {
			j.record.Reason = "a task failed as often as it may"
			j.aborted = true
			j.record.State = ladderjob.Failed
		}
	default:
		j.endedCount++
		j.record.MarkEnded(i)
		j.unsaved = true
	}
	q.finishIfIdle(j)
}

// ConfirmRunning records that an unconfirmed task, which an earlier leader
// started, runs on a worker.
func (q *Queue) ConfirmRunning(now time.Time, task, worker string) {
	j, i, attempt, ok := q.findTask(task)
	if !ok || !j.unconfirmed[i] {
		return
	}
	delete(j.unconfirmed, i)
	j.attempts[i] = attempt
	q.addRun(j, i, &taskRun{attempt: attempt, worker: worker, startedAt: now})
	q.finishIfIdle(j)
}

// RestartUnconfirmed records that none of the unconfirmed tasks of any job runs
// on any worker, so that they may be started again.
func (q *Queue) RestartUnconfirmed() {
	for _, j := range q.active {
		for i := range j.unconfirmed {
			j.restarts = append(j.restarts, i)
			// The number of the earlier leader's attempts is unknown, and no
			// attempt number may be used twice.
			j.attempts[i] += attemptGap
		}
		clear(j.unconfirmed)
		sort.Ints(j.restarts)
	}
	for _, j := range append([]*jobState(nil), q.active...) {
		q.finishIfIdle(j)
	}
}

// attemptGap exceeds the number of attempts that one leader makes for a task.
const attemptGap = 1000

// Unconfirmed returns the number of unconfirmed tasks: those that an earlier
// leader may have started and that may still run.
func (q *Queue) Unconfirmed() int {
	n := 0
	for _, j := range q.active {
		n += len(j.unconfirmed)
	}
	return n
}

// RunningByWorker returns the tasks that run on each worker. The leader uses it
// to find the tasks of lost workers.
func (q *Queue) RunningByWorker() map[string][]string {
	byWorker := map[string][]string{}
	for _, j := range q.active {
		for i, r := range j.running {
			if !r.starting {
				byWorker[r.worker] = append(byWorker[r.worker], ladderjob.TaskID(j.record.Job.ID, i, r.attempt))
			}
		}
	}
	return byWorker
}

// Unsaved returns up to limit records that have to be stored durably.
func (q *Queue) Unsaved(limit int) []ladderjob.Record {
	var records []ladderjob.Record
	for _, j := range q.jobs {
		if j.unsaved {
			records = append(records, j.record)
		}
	}
	sort.Slice(records, func(a, b int) bool { return records[a].Job.Submitted.Before(records[b].Job.Submitted) })
	for i := range records {
		records[i].Ended = append([]byte(nil), records[i].Ended...)
	}
	return records[:min(limit, len(records))]
}

// Saved records that a record was stored durably.
func (q *Queue) Saved(r ladderjob.Record) {
	j, ok := q.jobs[r.Job.ID]
	if !ok {
		return
	}
	j.savedStartedCount = r.StartedCount
	same := j.record.State == r.State && j.record.StartedCount == r.StartedCount && string(j.record.Ended) == string(r.Ended)
	j.unsaved = j.unsaved && !same
}

// RemoveEnded removes the jobs that ended, and the cancellations of jobs that
// were never added, once the retention time has passed since the first call that
// found them. It removes up to limit of each kind and returns their job IDs, so
// that the caller can delete the stored records.
func (q *Queue) RemoveEnded(now time.Time, retention time.Duration, limit int) (jobs, cancellations []string) {
	for id, j := range q.jobs {
		if !j.record.State.Final() || j.unsaved || len(jobs) >= limit {
			continue
		}
		if j.endSeenAt.IsZero() {
			j.endSeenAt = now
		}
		if now.Sub(j.endSeenAt) >= retention {
			delete(q.jobs, id)
			jobs = append(jobs, id)
		}
	}
	for id, at := range q.earlyCancellations {
		if len(cancellations) >= limit {
			break
		}
		if at.IsZero() {
			q.earlyCancellations[id] = now
		} else if now.Sub(at) >= retention {
			delete(q.earlyCancellations, id)
			cancellations = append(cancellations, id)
		}
	}
	return jobs, cancellations
}

// View returns a job with its present state and task counts.
func (q *Queue) View(id string) (ladderjob.View, bool) {
	j, ok := q.jobs[id]
	if !ok {
		return ladderjob.View{}, false
	}
	v := ladderjob.View{
		Job: j.record.Job, State: j.record.State, Reason: j.record.Reason, Running: len(j.running), Ended: j.endedCount,
	}
	if !v.State.Final() && len(j.running) > 0 {
		v.State = ladderjob.Running
	}
	return v, true
}

// finishIfIdle ends a job if all its tasks are done, or if it was aborted and
// none of its tasks runs any more.
func (q *Queue) finishIfIdle(j *jobState) {
	if j.record.State.Final() && j.record.State != ladderjob.Failed {
		return
	}
	idle := len(j.running) == 0 && len(j.unconfirmed) == 0
	switch {
	case j.aborted && idle && j.record.State != ladderjob.Failed:
		j.record.State, j.record.Reason = ladderjob.Cancelled, ""
	case j.aborted && idle:
	case !j.aborted && j.endedCount == j.record.Job.Tasks:
		j.record.State, j.record.Reason = ladderjob.Done, ""
	default:
		return
	}
	j.unsaved = true
	for i, other := range q.active {
		if other == j {
			q.active = append(q.active[:i], q.active[i+1:]...)
			return
		}
	}
}

// findTask returns the job, the index and the attempt number of a task.
func (q *Queue) findTask(task string) (j *jobState, index, attempt int, ok bool) {
	id, index, attempt, ok := ladderjob.ParseTaskID(task)
	if !ok {
		return nil, 0, 0, false
	}
	j, ok = q.jobs[id]
	return j, index, attempt, ok
}

// addRun adds a running task and counts its slots as used by its team.
func (q *Queue) addRun(j *jobState, index int, r *taskRun) {
	j.running[index] = r
	q.usedSlots[j.record.Job.Team] += j.record.Job.Size.Slots
}

// removeRun removes a running task and releases its slots.
func (q *Queue) removeRun(j *jobState, index int) {
	delete(j.running, index)
	q.usedSlots[j.record.Job.Team] -= j.record.Job.Size.Slots
}
