package ladderqueue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderconfig"
	"lacewingladder/ladderjob"
	"lacewingladder/laddermodel"
	"lacewingladder/ladderqueue"
)

var (
	start   = time.Unix(1000, 0)
	oneSlot = laddermodel.Size{Slots: 1}
	config  = &ladderconfig.Config{Teams: map[string]ladderconfig.Team{
		"a": {Name: "a", Quota: 10, Weight: 1},
		"b": {Name: "b", Quota: 10, Weight: 1},
	}}
)

// addJob adds a new job, as the leader does when it finds the job's record in the
// store. The job is submitted one second after start for each character of its ID,
// so that a job with a longer ID is younger.
func addJob(q *ladderqueue.Queue, id, team string, kind laddermodel.Kind, tasks int, estimate time.Duration) {
	q.Add(ladderjob.Record{State: ladderjob.Queued, Job: ladderjob.Job{
		ID: id, Team: team, Kind: kind, Size: oneSlot, Tasks: tasks, Estimate: estimate,
		Submitted: start.Add(time.Duration(len(id)) * time.Second),
	}})
}

// planAndSave plans twice and marks all records as saved after each plan, so that
// the second plan starts the tasks that were not covered by a record before. It
// returns the planned tasks of both plans.
func planAndSave(q *ladderqueue.Queue, now time.Time, free int) []string {
	var tasks []string
	for range 2 {
		for _, b := range q.Plan(now, config, laddermodel.Size{Slots: free - len(tasks)}) {
			tasks = append(tasks, b.Tasks...)
		}
		for _, r := range q.Unsaved(100) {
			q.Saved(r)
		}
	}
	return tasks
}

func TestTasksStartOnlyAfterTheRecordIsStored(t *testing.T) {
	q := ladderqueue.New()
	addJob(q, "j", "a", laddermodel.Batch, 3, 0)
	require.Empty(t, q.Plan(start, config, laddermodel.Size{Slots: 9}))
	records := q.Unsaved(10)
	require.Len(t, records, 1)
	require.Equal(t, 3, records[0].StartedCount)
	q.Saved(records[0])
	require.Len(t, q.Plan(start, config, laddermodel.Size{Slots: 9}), 3)
}

func TestQuotaAndFairShare(t *testing.T) {
	q := ladderqueue.New()
	addJob(q, "j", "a", laddermodel.Batch, 50, 0)
	require.Len(t, planAndSave(q, start, 100), 10, "the team starts no more than its quota")
	addJob(q, "jj", "a", laddermodel.Batch, 1, 0)
	addJob(q, "jjj", "b", laddermodel.Batch, 1, 0)
	require.Equal(t, []string{"jjj/0/1"}, planAndSave(q, start, 1), "the team with fewer used slots goes first")
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	q := ladderqueue.New()
	addJob(q, "g", "a", laddermodel.Gang, 4, 0)
	require.Empty(t, planAndSave(q, start, 3))
	require.Len(t, planAndSave(q, start, 4), 4)
}

func TestBackfillWhileAGangWaits(t *testing.T) {
	tests := map[string]struct {
		estimate time.Duration
		want     int
	}{
		"ends before the gang can start":                      {estimate: time.Second, want: 1},
		"ends too late if it runs twice as long as estimated": {estimate: 6 * time.Second},
		"no estimate": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := ladderqueue.New()
			addJob(q, "j", "a", laddermodel.Batch, 3, 10*time.Second)
			require.Len(t, planAndSave(q, start, 4), 3)
			addJob(q, "gg", "b", laddermodel.Gang, 4, time.Second)
			addJob(q, "fff", "a", laddermodel.Batch, 1, tt.estimate)
			require.Len(t, planAndSave(q, start, 1), tt.want)
		})
	}
}

func TestCancellationBeforeTheJobIsAdded(t *testing.T) {
	q := ladderqueue.New()
	require.Empty(t, q.Cancel("j"))
	addJob(q, "j", "a", laddermodel.Batch, 3, 0)
	require.Empty(t, planAndSave(q, start, 9))
	v, ok := q.View("j")
	require.True(t, ok)
	require.Equal(t, ladderjob.Cancelled, v.State)
}

func TestManyCancellations(t *testing.T) {
	const jobs = 10_000
	q := ladderqueue.New()
	for i := range jobs {
		addJob(q, fmt.Sprintf("job%05d", i), "a", laddermodel.Batch, 1, 0)
	}
	for i := range jobs {
		q.Cancel(fmt.Sprintf("job%05d", i))
	}
	require.Zero(t, q.Len())
	require.Empty(t, planAndSave(q, start, 9))
}

func TestTaskThatFailsEverywhereEndsItsJob(t *testing.T) {
	q := ladderqueue.New()
	addJob(q, "j", "a", laddermodel.Batch, 1, 0)
	for range 3 {
		tasks := planAndSave(q, start, 9)
		require.Len(t, tasks, 1)
		q.Started(start, tasks[0], "w")
		q.Ended(tasks[0], ladderqueue.TaskEnd{Failed: true})
	}
	require.Empty(t, planAndSave(q, start, 9))
	v, _ := q.View("j")
	require.Equal(t, ladderjob.Failed, v.State)
}

func TestNewLeaderStartsNoTaskTwice(t *testing.T) {
	record := ladderjob.Record{State: ladderjob.Queued, StartedCount: 3, Job: ladderjob.Job{
		ID: "j", Team: "a", Kind: laddermodel.Batch, Size: oneSlot, Tasks: 4, Submitted: start,
	}}
	record.MarkEnded(0)
	q := ladderqueue.New()
	q.Add(record)
	require.Equal(t, []string{"j/3/1"}, planAndSave(q, start, 9), "tasks 1 and 2 may be running under the earlier leader")
	q.ConfirmRunning(start, "j/1/1", "w")
	q.RestartUnconfirmed()
	require.Equal(t, []string{"j/2/1001"}, planAndSave(q, start, 9))
	for _, task := range []string{"j/1/1", "j/2/1001", "j/3/1"} {
		q.Ended(task, ladderqueue.TaskEnd{})
	}
	v, _ := q.View("j")
	require.Equal(t, ladderjob.Done, v.State)
}

func TestStoppedServiceTaskIsStartedAgain(t *testing.T) {
	q := ladderqueue.New()
	addJob(q, "s", "a", laddermodel.Service, 1, 0)
	tasks := planAndSave(q, start, 9)
	require.Equal(t, []string{"s/0/1"}, tasks)
	q.Ended("s/0/1", ladderqueue.TaskEnd{Stopped: true})
	require.Equal(t, []string{"s/0/2"}, planAndSave(q, start, 9))
}

func TestOnlySuccessEndsAnUnconfirmedTask(t *testing.T) {
	tests := map[string]struct {
		end         ladderqueue.TaskEnd
		unconfirmed int
	}{
		"stopped, may have been started again": {end: ladderqueue.TaskEnd{Stopped: true}, unconfirmed: 1},
		"failed, may have been started again":  {end: ladderqueue.TaskEnd{Failed: true}, unconfirmed: 1},
		"done":                                 {end: ladderqueue.TaskEnd{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := ladderqueue.New()
			q.Add(ladderjob.Record{State: ladderjob.Queued, StartedCount: 1, Job: ladderjob.Job{
				ID: "j", Team: "a", Kind: laddermodel.Batch, Size: oneSlot, Tasks: 1, Submitted: start,
			}})
			q.Ended("j/0/1", tt.end)
			require.Empty(t, planAndSave(q, start, 9))
			require.Equal(t, tt.unconfirmed, q.Unconfirmed())
		})
	}
}

func TestRemoveEndedRemovesOldJobsAndCancellations(t *testing.T) {
	q := ladderqueue.New()
	addJob(q, "ended", "a", laddermodel.Batch, 1, 0)
	addJob(q, "active", "a", laddermodel.Batch, 1, 0)
	q.Cancel("ended")
	q.Cancel("never added")
	for _, r := range q.Unsaved(10) {
		q.Saved(r)
	}
	jobs, cancellations := q.RemoveEnded(start, time.Hour, 10)
	require.Empty(t, jobs)
	require.Empty(t, cancellations)
	jobs, cancellations = q.RemoveEnded(start.Add(time.Hour), time.Hour, 10)
	require.Equal(t, []string{"ended"}, jobs)
	require.Equal(t, []string{"never added"}, cancellations)
	_, ok := q.View("active")
	require.True(t, ok)
}

// TestFailedJobReleasesItsQuota fails a job while another of its tasks runs. That task uses the
// team's quota until it ends, and no longer.
func TestFailedJobReleasesItsQuota(t *testing.T) {
	q := ladderqueue.New()
	addJob(q, "j", "a", laddermodel.Batch, 2, 0)
	now := start
	tasks := planAndSave(q, now, 10)
	failing, other := tasks[0], tasks[1]
	q.Ended(failing, ladderqueue.TaskEnd{Failed: true})
	for range 2 {
		now = now.Add(time.Second)
		failing = planAndSave(q, now, 10)[0]
		q.Ended(failing, ladderqueue.TaskEnd{Failed: true})
	}
	v, _ := q.View("j")
	require.Equal(t, ladderjob.Failed, v.State)
	require.Equal(t, 1, v.Running)
	addJob(q, "later", "a", laddermodel.Batch, 20, 0)
	require.Len(t, planAndSave(q, now, 30), 9)
	q.Ended(other, ladderqueue.TaskEnd{})
	require.Len(t, planAndSave(q, now, 30), 1)
	v, _ = q.View("j")
	require.Equal(t, ladderjob.Failed, v.State)
	require.Zero(t, v.Running)
}
