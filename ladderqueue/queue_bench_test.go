package ladderqueue_test

import (
	"fmt"
	"testing"
	"time"

	"lacewingladder/ladderconfig"
	"lacewingladder/ladderjob"
	"lacewingladder/laddermodel"
	"lacewingladder/ladderqueue"
)

// BenchmarkPlan measures one call of Plan together with the start and the end of
// the planned task. The queue holds the given number of running tasks, in jobs
// of ten tasks, and the jobs belong to the given number of teams.
func BenchmarkPlan(b *testing.B) {
	for _, teams := range []int{2, 140} {
		for _, tasks := range []int{400, 2400, 17_000} {
			b.Run(fmt.Sprintf("teams=%d/tasks=%d", teams, tasks), func(b *testing.B) {
				q, c := runningQueue(teams, tasks)
				now := start.Add(time.Hour)
				b.ReportAllocs()
				for b.Loop() {
					for _, batch := range q.Plan(now, c, laddermodel.Size{Slots: 1}) {
						q.Started(now, batch.Tasks[0], "w")
						q.Ended(batch.Tasks[0], ladderqueue.TaskEnd{Stopped: true})
					}
				}
			})
		}
	}
}

// runningQueue returns a queue with running tasks and one job that always has a
// task to start.
func runningQueue(teams, tasks int) (*ladderqueue.Queue, *ladderconfig.Config) {
	c := &ladderconfig.Config{Teams: map[string]ladderconfig.Team{}}
	for i := range teams {
		name := fmt.Sprint("t", i)
		c.Teams[name] = ladderconfig.Team{Name: name, Quota: 1 << 30, Weight: 1}
	}
	q := ladderqueue.New()
	for i := range tasks / 10 {
		q.Add(batchRecord(fmt.Sprintf("job%d", i), fmt.Sprint("t", i%teams), 10))
	}
	for range 2 * (tasks/256 + 2) {
		for _, batch := range q.Plan(start, c, laddermodel.Size{Slots: tasks}) {
			for _, task := range batch.Tasks {
				q.Started(start, task, "w")
			}
		}
		for _, r := range q.Unsaved(tasks) {
			q.Saved(r)
		}
	}
	q.Add(batchRecord("waiting", "t0", 1))
	q.Plan(start, c, laddermodel.Size{Slots: 1})
	for _, r := range q.Unsaved(10) {
		q.Saved(r)
	}
	return q, c
}

// batchRecord returns the record of a new batch job with tasks of one slot.
func batchRecord(id, team string, tasks int) ladderjob.Record {
	return ladderjob.Record{State: ladderjob.Queued, Job: ladderjob.Job{
		ID: id, Team: team, Kind: laddermodel.Batch, Size: oneSlot, Tasks: tasks, Submitted: start,
	}}
}
