package ladderqueue

import (
	"sort"
	"time"

	"lacewingladder/ladderconfig"
	"lacewingladder/ladderjob"
	"lacewingladder/laddermodel"
)

const (
	// estimateMargin is by how much estimates are held to be wrong.
	estimateMargin = 2
	// maxPlanned bounds the tasks that one plan starts.
	maxPlanned = 256
)

// Batch is a set of tasks that start together. For a gang it holds all of its
// tasks, and otherwise one.
type Batch struct {
	Job   ladderjob.Job
	Tasks []string
	Gang  bool
}

// Plan returns what to start now, given the room that is free in the cell as a
// whole. Each returned task counts as starting until [Queue.Started],
// [Queue.Returned] or [Queue.Ended] is called for it.
func (q *Queue) Plan(now time.Time, c *ladderconfig.Config, free laddermodel.Size) []Batch {
	var batches []Batch
	planned := 0
	var blocked *job
	for _, j := range q.ranked(now, c) {
		for planned < maxPlanned {
			b, ok := q.next(now, c, j, free, blocked)
			if !ok {
				break
			}
			batches = append(batches, b)
			planned += len(b.Tasks)
			free = free.Sub(j.record.Job.Size.Times(len(b.Tasks)))
		}
		if blocked == nil && q.waitsForRoom(j) {
			blocked = j
		}
	}
	return batches
}

// ranked returns the jobs that want to start tasks, by fair share of their teams
// and then by age.
func (q *Queue) ranked(now time.Time, c *ladderconfig.Config) []*job {
	var waiting []*job
	for _, j := range q.order {
		if !j.cancel && !now.Before(j.notBefore) && j.wants() {
			waiting = append(waiting, j)
		}
	}
	share := func(j *job) float64 {
		t := c.Teams[j.record.Job.Team]
		return float64(q.usage[t.Name]) / float64(max(1, t.Weight))
	}
	sort.SliceStable(waiting, func(a, b int) bool { return share(waiting[a]) < share(waiting[b]) })
	return waiting
}

// wants reports whether a job has tasks that are not started.
func (j *job) wants() bool {
	return len(j.again) > 0 || j.next < j.record.Job.Tasks
}

// next returns the next batch of a job, if it may start now.
func (q *Queue) next(now time.Time, c *ladderconfig.Config, j *job, free laddermodel.Size, blocked *job) (Batch, bool) {
	job := j.record.Job
	count := 1
	if job.Kind == laddermodel.Gang {
		count = job.Tasks - j.ended
	}
	if !j.wants() || (job.Kind == laddermodel.Gang && len(j.running) > 0) {
		return Batch{}, false
	}
	need := job.Size.Times(count)
	team := c.Teams[job.Team]
	switch {
	case q.usage[job.Team]+need.Slots > team.Quota:
		j.record.Reason = "the team's quota is in use"
		return Batch{}, false
	case !need.Fits(free):
		j.record.Reason = "the cell has no room"
		return Batch{}, false
	case blocked != nil && blocked != j && !q.endsBefore(now, j, blocked, free):
		j.record.Reason = "an older gang waits for this room"
		return Batch{}, false
	}
	indexes, ok := j.take(count)
	if !ok {
		j.record.Reason = "the start is being recorded"
		return Batch{}, false
	}
	j.record.Reason = ""
	b := Batch{Job: job, Gang: job.Kind == laddermodel.Gang}
	for _, i := range indexes {
		j.attempts[i]++
		q.add(j, i, &run{attempt: j.attempts[i], began: now, starting: true})
		b.Tasks = append(b.Tasks, ladderjob.Task(job.ID, i, j.attempts[i]))
	}
	return b, true
}

// take returns the indexes of the next tasks whose beginning is durable. When the
// record does not allow them yet, it asks for a new one and returns false.
func (j *job) take(count int) ([]int, bool) {
	need := j.next + count - len(j.again)
	if need > j.saved && j.next < j.record.Job.Tasks {
		j.record.Begun = max(j.record.Begun, min(j.record.Job.Tasks, max(need, j.next+begunChunk)))
		j.record.State = ladderjob.Queued
		j.dirty = true
		return nil, false
	}
	var indexes []int
	for len(indexes) < count && len(j.again) > 0 {
		indexes = append(indexes, j.again[0])
		j.again = j.again[1:]
	}
	for len(indexes) < count && j.next < j.record.Job.Tasks {
		indexes = append(indexes, j.next)
		j.next++
	}
	return indexes, len(indexes) == count
}

// waitsForRoom reports whether a job is a gang that has not begun.
func (q *Queue) waitsForRoom(j *job) bool {
	return j.record.Job.Kind == laddermodel.Gang && j.wants() && j.record.Reason == "the cell has no room"
}

// endsBefore reports whether a task of j, started now, would end before the
// blocked gang could begin, with a margin for wrong estimates.
func (q *Queue) endsBefore(now time.Time, j, blocked *job, free laddermodel.Size) bool {
	estimate := j.record.Job.Estimate
	if estimate == 0 || j.record.Job.Kind == laddermodel.Service {
		return false
	}
	return !now.Add(estimateMargin * estimate).After(q.earliest(now, blocked, free))
}

// earliest returns when a gang could begin if all running tasks ended as
// estimated. Tasks past their estimates are expected to end at any moment.
func (q *Queue) earliest(now time.Time, gang *job, free laddermodel.Size) time.Time {
	type release struct {
		at   time.Time
		size laddermodel.Size
	}
	var releases []release
	for _, j := range q.order {
		if j.record.Job.Estimate == 0 {
			continue
		}
		for _, r := range j.running {
			releases = append(releases, release{at: r.began.Add(j.record.Job.Estimate), size: j.record.Job.Size})
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
