package ladderqueue

import (
	"sort"
	"time"

	"lacewingladder/ladderconfig"
	"lacewingladder/ladderjob"
	"lacewingladder/laddermodel"
)

const (
	// estimateFactor limits backfill: a task is assumed to run at most this many
	// times as long as estimated.
	estimateFactor = 2
	// maxTasksPerPlan is the number of planned tasks at which a plan ends. The
	// last gang may exceed it.
	maxTasksPerPlan = 256
	// reasonNoCapacity is the reason of a job that does not fit into the free
	// capacity of the cluster.
	reasonNoCapacity = "the cell has no room"
)

// Batch is a set of tasks that start together: all remaining tasks of a gang, or
// one task of another job.
type Batch struct {
	Job   ladderjob.Job
	Tasks []string
	Gang  bool
}

// Plan returns the tasks to start now, given the free capacity of the whole
// cluster. A returned task counts as starting until [Queue.Started],
// [Queue.NotStarted] or [Queue.Ended] is called for it.
func (q *Queue) Plan(now time.Time, c *ladderconfig.Config, free laddermodel.Size) []Batch {
	var batches []Batch
	planned := 0
	var blocked *jobState
	for _, j := range q.startableByFairShare(now, c) {
		for planned < maxTasksPerPlan {
			b, ok := q.nextBatch(now, c, j, free, blocked)
			if !ok {
				break
			}
			batches = append(batches, b)
			planned += len(b.Tasks)
			free = free.Sub(j.record.Job.Size.Times(len(b.Tasks)))
		}
		if blocked == nil && q.isGangWithoutCapacity(j) {
			blocked = j
		}
	}
	return batches
}

// startableByFairShare returns the jobs that have tasks to start, ordered by the
// fair share of their teams and then by age.
func (q *Queue) startableByFairShare(now time.Time, c *ladderconfig.Config) []*jobState {
	var waiting []*jobState
	for _, j := range q.active {
		if !j.aborted && !now.Before(j.retryAt) && j.hasTasksToStart() {
			waiting = append(waiting, j)
		}
	}
	share := func(j *jobState) float64 {
		t := c.Teams[j.record.Job.Team]
		return float64(q.usedSlots[t.Name]) / float64(max(1, t.Weight))
	}
	sort.SliceStable(waiting, func(a, b int) bool { return share(waiting[a]) < share(waiting[b]) })
	return waiting
}

// hasTasksToStart reports whether a job has tasks that were never started or
// that have to be started again.
func (j *jobState) hasTasksToStart() bool {
	return len(j.restarts) > 0 || j.nextIndex < j.record.Job.Tasks
}

// nextBatch returns the next batch of a job if it may start now. If the job has
// tasks to start that must wait, it sets the reason in the job's record. The
// argument blocked is the first gang of this plan that waits for capacity, or
// nil.
func (q *Queue) nextBatch(
	now time.Time, c *ladderconfig.Config, j *jobState, free laddermodel.Size, blocked *jobState,
) (Batch, bool) {
	spec := j.record.Job
	count := 1
	if spec.Kind == laddermodel.Gang {
		count = spec.Tasks - j.endedCount
	}
	if !j.hasTasksToStart() || (spec.Kind == laddermodel.Gang && len(j.running) > 0) {
		return Batch{}, false
	}
	need := spec.Size.Times(count)
	team := c.Teams[spec.Team]
	switch {
	case q.usedSlots[spec.Team]+need.Slots > team.Quota:
		j.record.Reason = "the team's quota is in use"
		return Batch{}, false
	case !need.Fits(free):
		j.record.Reason = reasonNoCapacity
		return Batch{}, false
	case blocked != nil && blocked != j && !q.endsBeforeGangStart(now, j, blocked, free):
		j.record.Reason = "an older gang waits for this room"
		return Batch{}, false
	}
	indexes, ok := j.takeIndexes(count)
	if !ok {
		j.record.Reason = "the start is being recorded"
		return Batch{}, false
	}
	j.record.Reason = ""
	b := Batch{Job: spec, Gang: spec.Kind == laddermodel.Gang}
	for _, i := range indexes {
		j.attempts[i]++
		q.addRun(j, i, &taskRun{attempt: j.attempts[i], startedAt: now, starting: true})
		b.Tasks = append(b.Tasks, ladderjob.TaskID(spec.ID, i, j.attempts[i]))
	}
	return b, true
}

// takeIndexes selects the next count tasks to start and returns their indexes.
// If the durable record does not allow these tasks to begin yet, it updates the
// record, marks it as unsaved and returns false.
func (j *jobState) takeIndexes(count int) ([]int, bool) {
	need := j.nextIndex + count - len(j.restarts)
	if need > j.savedStartedCount && j.nextIndex < j.record.Job.Tasks {
		j.record.StartedCount = max(j.record.StartedCount, min(j.record.Job.Tasks, max(need, j.nextIndex+startedCountStep)))
		j.record.State = ladderjob.Queued
		j.unsaved = true
		return nil, false
	}
	var indexes []int
	for len(indexes) < count && len(j.restarts) > 0 {
		indexes = append(indexes, j.restarts[0])
		j.restarts = j.restarts[1:]
	}
	for len(indexes) < count && j.nextIndex < j.record.Job.Tasks {
		indexes = append(indexes, j.nextIndex)
		j.nextIndex++
	}
	return indexes, len(indexes) == count
}

// isGangWithoutCapacity reports whether a job is a gang that could not start for
// lack of free capacity.
func (q *Queue) isGangWithoutCapacity(j *jobState) bool {
	return j.record.Job.Kind == laddermodel.Gang && j.hasTasksToStart() && j.record.Reason == reasonNoCapacity
}

// endsBeforeGangStart reports whether a task of j that starts now is expected to
// end before the blocked gang could start, with a margin for wrong estimates.
func (q *Queue) endsBeforeGangStart(now time.Time, j, blocked *jobState, free laddermodel.Size) bool {
	estimate := j.record.Job.Estimate
	if estimate == 0 || j.record.Job.Kind == laddermodel.Service {
		return false
	}
	return !now.Add(estimateFactor * estimate).After(q.earliestGangStart(now, blocked, free))
}

// earliestGangStart returns when a gang could start if all running tasks ended
// as estimated. Tasks that run longer than estimated are expected to end at any
// moment. Tasks without an estimate are not expected to end.
func (q *Queue) earliestGangStart(now time.Time, gang *jobState, free laddermodel.Size) time.Time {
	type release struct {
		at   time.Time
		size laddermodel.Size
	}
	var releases []release
	for _, j := range q.active {
		if j.record.Job.Estimate == 0 {
			continue
		}
		for _, r := range j.running {
			releases = append(releases, release{at: r.startedAt.Add(j.record.Job.Estimate), size: j.record.Job.Size})
		}
	}
	sort.Slice(releases, func(a, b int) bool { return releases[a].at.Before(releases[b].at) })
	need := gang.record.Job.Size.Times(gang.record.Job.Tasks)
	at := now
	for _, r := range releases {
		if need.Fits(free) {
			break
		}
		free = free.Add(r.size)
		at = r.at
	}
	return at
}
