package ladderqueue

import (
	"sort"
	"time"

	"lacewingladder/ladderjob"
	"lacewingladder/laddermodel"
)

const (
	// maxFailures is how often the tasks of a job may fail, for each task.
	maxFailures = 3
	// begunChunk is how many further tasks one durable record allows to begin.
	begunChunk = 64
	// retryPause keeps a job that found no room from being tried at once.
	retryPause = 200 * time.Millisecond
)

// Queue orders the jobs of the cell. Create one with [New].
type Queue struct {
	jobs map[string]*job
	// cancelled holds cancellations that came before their jobs, with the time of
	// the first sweep after them.
	cancelled map[string]time.Time
	// order holds the jobs that have not ended, the oldest first.
	order []*job
	// usage is the slots in use by each team.
	usage map[string]int
}

// job is a job with the state of its tasks.
type job struct {
	record ladderjob.Record
	// saved is the Begun of the durable record.
	saved int
	dirty bool
	next  int
	// again holds the indexes of tasks that have to be started once more.
	again   []int
	running map[int]*run
	// uncertain holds tasks of which a new leader does not know if they run.
	uncertain map[int]bool
	attempts  map[int]int
	failures  map[int]int
	ended     int
	cancel    bool
	notBefore time.Time
	// swept is the time of the first sweep after the job's end.
	swept time.Time
}

// run is one running task.
type run struct {
	attempt int
	worker  string
	began   time.Time
	// starting is true until the worker accepted the start.
	starting bool
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{jobs: map[string]*job{}, cancelled: map[string]time.Time{}, usage: map[string]int{}}
}

// Len returns the number of jobs that have not ended.
func (q *Queue) Len() int { return len(q.order) }

// Running returns the number of running tasks.
func (q *Queue) Running() int {
	n := 0
	for _, j := range q.order {
		n += len(j.running)
	}
	return n
}

// Add takes in a job's durable record. Tasks that may have begun under another
// leader stay uncertain until [Queue.Found] or [Queue.Missing] settles them.
func (q *Queue) Add(r ladderjob.Record) {
	if _, ok := q.jobs[r.Job.ID]; ok {
		return
	}
	j := &job{
		record: r, saved: r.Begun, next: r.Begun, running: map[int]*run{}, uncertain: map[int]bool{},
		attempts: map[int]int{}, failures: map[int]int{},
	}
	q.jobs[r.Job.ID] = j
	if r.State.Final() {
		return
	}
	for i := range r.Begun {
		if r.Marked(i) {
			j.ended++
		} else {
			j.uncertain[i] = true
		}
	}
	at := sort.Search(len(q.order), func(i int) bool {
		return q.order[i].record.Job.Submitted.After(r.Job.Submitted)
	})
	q.order = append(q.order, nil)
	copy(q.order[at+1:], q.order[at:])
	q.order[at] = j
	if _, ok := q.cancelled[r.Job.ID]; ok {
		q.Cancel(r.Job.ID)
	}
}

// Stop is a running task that has to be stopped.
type Stop struct {
	Task   string
	Worker string
}

// Cancel ends a job and returns its running tasks. A cancellation that comes
// before its job is remembered and wins.
func (q *Queue) Cancel(id string) []Stop {
	j, ok := q.jobs[id]
	if !ok {
		q.cancelled[id] = time.Time{}
		return nil
	}
	delete(q.cancelled, id)
	if j.record.State.Final() || j.cancel {
		return nil
	}
	j.cancel = true
	var stops []Stop
	for i, r := range j.running {
		stops = append(stops, Stop{Task: ladderjob.Task(id, i, r.attempt), Worker: r.worker})
	}
	sort.Slice(stops, func(a, b int) bool { return stops[a].Task < stops[b].Task })
	q.settle(j)
	return stops
}

// Started records that a worker accepted a task.
func (q *Queue) Started(now time.Time, task, worker string) {
	j, i, attempt, ok := q.find(task)
	if !ok {
		return
	}
	r, ok := j.running[i]
	if !ok || r.attempt != attempt {
		return
	}
	r.worker, r.began, r.starting = worker, now, false
}

// Returned records that a task that was planned did not begin.
func (q *Queue) Returned(now time.Time, task string) {
	j, i, attempt, ok := q.find(task)
	if !ok {
		return
	}
	if r, ok := j.running[i]; !ok || r.attempt != attempt {
		return
	}
	q.remove(j, i)
	j.again = append(j.again, i)
	j.notBefore = now.Add(retryPause)
	q.settle(j)
}

// End is how a task ended.
type End struct {
	// Failed is true when the task itself failed, and Stopped when it was stopped
	// or lost.
	Failed  bool
	Stopped bool
}

// Ended records the end of a task.
func (q *Queue) Ended(task string, e End) {
	j, i, attempt, ok := q.find(task)
	if !ok || j.record.State.Final() {
		return
	}
	r, runs := j.running[i]
	if runs && r.attempt != attempt {
		return
	}
	if !runs && !j.uncertain[i] {
		return
	}
	if !runs && (e.Failed || e.Stopped) {
		// The earlier leader may have started the task again since.
		j.attempts[i] = max(j.attempts[i], attempt)
		return
	}
	if runs {
		q.remove(j, i)
	}
	delete(j.uncertain, i)
	j.attempts[i] = max(j.attempts[i], attempt)
	switch {
	case e.Stopped || j.record.Job.Kind == laddermodel.Service && !e.Failed:
		j.again = append(j.again, i)
	case e.Failed:
		j.failures[i]++
		j.again = append(j.again, i)
		if j.failures[i] >= maxFailures {
			j.record.Reason = "a task failed as often as it may"
			j.cancel = true
			j.record.State = ladderjob.Failed
		}
	default:
		j.ended++
		j.record.Mark(i)
		j.dirty = true
	}
	q.settle(j)
}

// Found records that a task of an earlier leader runs on a worker.
func (q *Queue) Found(now time.Time, task, worker string) {
	j, i, attempt, ok := q.find(task)
	if !ok || !j.uncertain[i] {
		return
	}
	delete(j.uncertain, i)
	j.attempts[i] = attempt
	q.add(j, i, &run{attempt: attempt, worker: worker, began: now})
	q.settle(j)
}

// Missing records that no uncertain task of any job runs anywhere, so that all of
// them may be started again.
func (q *Queue) Missing() {
	for _, j := range q.order {
		for i := range j.uncertain {
			j.again = append(j.again, i)
			// The attempts of the earlier leader are not known; its ids must not
			// be used again.
			j.attempts[i] += unknownAttempts
		}
		clear(j.uncertain)
		sort.Ints(j.again)
	}
	for _, j := range append([]*job(nil), q.order...) {
		q.settle(j)
	}
}

// unknownAttempts is more attempts than one leader makes for a task.
const unknownAttempts = 1000

// Uncertain returns the number of tasks that may run without being known.
func (q *Queue) Uncertain() int {
	n := 0
	for _, j := range q.order {
		n += len(j.uncertain)
	}
	return n
}

// RunningOn returns the tasks on each worker, for finding lost ones.
func (q *Queue) RunningOn() map[string][]string {
	on := map[string][]string{}
	for _, j := range q.order {
		for i, r := range j.running {
			if !r.starting {
				on[r.worker] = append(on[r.worker], ladderjob.Task(j.record.Job.ID, i, r.attempt))
			}
		}
	}
	return on
}

// Unsaved returns the records that have to be made durable, at most limit.
func (q *Queue) Unsaved(limit int) []ladderjob.Record {
	var records []ladderjob.Record
	for _, j := range q.jobs {
		if j.dirty {
			records = append(records, j.record)
		}
	}
	sort.Slice(records, func(a, b int) bool { return records[a].Job.Submitted.Before(records[b].Job.Submitted) })
	for i := range records {
		records[i].Ended = append([]byte(nil), records[i].Ended...)
	}
	return records[:min(limit, len(records))]
}

// Saved records that a record is durable.
func (q *Queue) Saved(r ladderjob.Record) {
	j, ok := q.jobs[r.Job.ID]
	if !ok {
		return
	}
	j.saved = r.Begun
	same := j.record.State == r.State && j.record.Begun == r.Begun && string(j.record.Ended) == string(r.Ended)
	j.dirty = j.dirty && !same
}

// Sweep forgets jobs that ended, and cancellations that met no job, longer ago
// than the given time. It returns the ids of at most limit of each, whose records
// may then be deleted.
func (q *Queue) Sweep(now time.Time, memory time.Duration, limit int) (jobs, cancellations []string) {
	for id, j := range q.jobs {
		if !j.record.State.Final() || j.dirty || len(jobs) >= limit {
			continue
		}
		if j.swept.IsZero() {
			j.swept = now
		}
		if now.Sub(j.swept) >= memory {
			delete(q.jobs, id)
			jobs = append(jobs, id)
		}
	}
	for id, at := range q.cancelled {
		if len(cancellations) >= limit {
			break
		}
		if at.IsZero() {
			q.cancelled[id] = now
		} else if now.Sub(at) >= memory {
			delete(q.cancelled, id)
			cancellations = append(cancellations, id)
		}
	}
	return jobs, cancellations
}

// View returns a job.
func (q *Queue) View(id string) (ladderjob.View, bool) {
	j, ok := q.jobs[id]
	if !ok {
		return ladderjob.View{}, false
	}
	v := ladderjob.View{
		Job: j.record.Job, State: j.record.State, Reason: j.record.Reason, Running: len(j.running), Ended: j.ended,
	}
	if !v.State.Final() && len(j.running) > 0 {
		v.State = ladderjob.Running
	}
	return v, true
}

// settle ends a job that has nothing left to do.
func (q *Queue) settle(j *job) {
	if j.record.State.Final() && j.record.State != ladderjob.Failed {
		return
	}
	idle := len(j.running) == 0 && len(j.uncertain) == 0
	switch {
	case j.cancel && idle && j.record.State != ladderjob.Failed:
		j.record.State, j.record.Reason = ladderjob.Cancelled, ""
	case j.cancel && idle:
	case !j.cancel && j.ended == j.record.Job.Tasks:
		j.record.State, j.record.Reason = ladderjob.Done, ""
	default:
		return
	}
	j.dirty = true
	for i, o := range q.order {
		if o == j {
			q.order = append(q.order[:i], q.order[i+1:]...)
			return
		}
	}
}

func (q *Queue) find(task string) (j *job, index, attempt int, ok bool) {
	id, index, attempt, ok := ladderjob.ParseTask(task)
	if !ok {
		return nil, 0, 0, false
	}
	j, ok = q.jobs[id]
	return j, index, attempt, ok
}

func (q *Queue) add(j *job, index int, r *run) {
	j.running[index] = r
	q.usage[j.record.Job.Team] += j.record.Job.Size.Slots
}

func (q *Queue) remove(j *job, index int) {
	delete(j.running, index)
	q.usage[j.record.Job.Team] -= j.record.Job.Size.Slots
}
