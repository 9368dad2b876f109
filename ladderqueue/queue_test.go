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
	start  = time.Unix(1000, 0)
	slot   = laddermodel.Size{Slots: 1}
	config = &ladderconfig.Config{Teams: map[string]ladderconfig.Team{
		"a": {Name: "a", Quota: 10, Weight: 1},
		"b": {Name: "b", Quota: 10, Weight: 1},
	}}
)

// add puts a job into a queue as a leader that has just saved it would.
func add(q *ladderqueue.Queue, id, team string, kind laddermodel.Kind, tasks int, estimate time.Duration) {
	q.Add(ladderjob.Record{State: ladderjob.Queued, Job: ladderjob.Job{
		ID: id, Team: team, Kind: kind, Size: slot, Tasks: tasks, Estimate: estimate,
		Submitted: start.Add(time.Duration(len(id)) * time.Second),
	}})
}

// plan plans with records that are saved at once.
func plan(q *ladderqueue.Queue, now time.Time, free int) []string {
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

func TestNothingStartsBeforeItIsDurable(t *testing.T) {
	q := ladderqueue.New()
	add(q, "j", "a", laddermodel.Batch, 3, 0)
	require.Empty(t, q.Plan(start, config, laddermodel.Size{Slots: 9}))
	records := q.Unsaved(10)
	require.Len(t, records, 1)
	require.Equal(t, 3, records[0].Begun)
	q.Saved(records[0])
	require.Len(t, q.Plan(start, config, laddermodel.Size{Slots: 9}), 3)
}

func TestQuotaAndFairShare(t *testing.T) {
	q := ladderqueue.New()
	add(q, "j", "a", laddermodel.Batch, 50, 0)
	require.Len(t, plan(q, start, 100), 10, "no more than the quota")
	add(q, "jj", "a", laddermodel.Batch, 1, 0)
	add(q, "jjj", "b", laddermodel.Batch, 1, 0)
	require.Equal(t, []string{"jjj/0/1"}, plan(q, start, 1), "the team with less use goes first")
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	q := ladderqueue.New()
	add(q, "g", "a", laddermodel.Gang, 4, 0)
	require.Empty(t, plan(q, start, 3))
	require.Len(t, plan(q, start, 4), 4)
}

func TestBackfillAroundAWaitingGang(t *testing.T) {
	tests := map[string]struct {
		estimate time.Duration
		want     int
	}{
		"ends long before the gang could begin":   {estimate: time.Second, want: 1},
		"might not, with estimates twice too low": {estimate: 6 * time.Second},
		"no estimate": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := ladderqueue.New()
			add(q, "j", "a", laddermodel.Batch, 3, 10*time.Second)
			require.Len(t, plan(q, start, 4), 3)
			add(q, "gg", "b", laddermodel.Gang, 4, time.Second)
			add(q, "fff", "a", laddermodel.Batch, 1, tt.estimate)
			require.Len(t, plan(q, start, 1), tt.want)
		})
	}
}

func TestCancelThatOvertakesItsJobWins(t *testing.T) {
	q := ladderqueue.New()
	require.Empty(t, q.Cancel("j"))
	add(q, "j", "a", laddermodel.Batch, 3, 0)
	require.Empty(t, plan(q, start, 9))
	v, ok := q.View("j")
	require.True(t, ok)
	require.Equal(t, ladderjob.Cancelled, v.State)
}

func TestWaveOfCancellations(t *testing.T) {
	const jobs = 10_000
	q := ladderqueue.New()
	for i := range jobs {
		add(q, fmt.Sprintf("job%05d", i), "a", laddermodel.Batch, 1, 0)
	}
	for i := range jobs {
		q.Cancel(fmt.Sprintf("job%05d", i))
	}
	require.Zero(t, q.Len())
	require.Empty(t, plan(q, start, 9))
}

func TestTaskThatFailsEverywhereEndsItsJob(t *testing.T) {
	q := ladderqueue.New()
	add(q, "j", "a", laddermodel.Batch, 1, 0)
	for range 3 {
		tasks := plan(q, start, 9)
		require.Len(t, tasks, 1)
		q.Started(start, tasks[0], "w")
		q.Ended(tasks[0], ladderqueue.End{Failed: true})
	}
	require.Empty(t, plan(q, start, 9))
	v, _ := q.View("j")
	require.Equal(t, ladderjob.Failed, v.State)
}

func TestNewLeaderStartsNoTaskTwice(t *testing.T) {
	record := ladderjob.Record{State: ladderjob.Queued, Begun: 3, Job: ladderjob.Job{
		ID: "j", Team: "a", Kind: laddermodel.Batch, Size: slot, Tasks: 4, Submitted: start,
	}}
	record.Mark(0)
	q := ladderqueue.New()
	q.Add(record)
	require.Equal(t, []string{"j/3/1"}, plan(q, start, 9), "the rest may be running")
	q.Found(start, "j/1/1", "w")
	q.Missing()
	require.Equal(t, []string{"j/2/1001"}, plan(q, start, 9))
	for _, task := range []string{"j/1/1", "j/2/1001", "j/3/1"} {
		q.Ended(task, ladderqueue.End{})
	}
	v, _ := q.View("j")
	require.Equal(t, ladderjob.Done, v.State)
}

func TestServiceStays(t *testing.T) {
	q := ladderqueue.New()
	add(q, "s", "a", laddermodel.Service, 1, 0)
	tasks := plan(q, start, 9)
	require.Equal(t, []string{"s/0/1"}, tasks)
	q.Ended("s/0/1", ladderqueue.End{Stopped: true})
	require.Equal(t, []string{"s/0/2"}, plan(q, start, 9))
}

func TestEndOfAnEarlierAttemptSettlesNothingForANewLeader(t *testing.T) {
	tests := map[string]struct {
		end  ladderqueue.End
		left int
	}{
		"stopped, perhaps started again": {end: ladderqueue.End{Stopped: true}, left: 1},
		"failed, perhaps started again":  {end: ladderqueue.End{Failed: true}, left: 1},
		"done":                           {end: ladderqueue.End{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := ladderqueue.New()
			q.Add(ladderjob.Record{State: ladderjob.Queued, Begun: 1, Job: ladderjob.Job{
				ID: "j", Team: "a", Kind: laddermodel.Batch, Size: slot, Tasks: 1, Submitted: start,
			}})
			q.Ended("j/0/1", tt.end)
			require.Empty(t, plan(q, start, 9))
			require.Equal(t, tt.left, q.Uncertain())
		})
	}
}

func TestSweepForgetsWhatEndedLongAgo(t *testing.T) {
	q := ladderqueue.New()
	add(q, "ended", "a", laddermodel.Batch, 1, 0)
	add(q, "going", "a", laddermodel.Batch, 1, 0)
	q.Cancel("ended")
	q.Cancel("never came")
	for _, r := range q.Unsaved(10) {
		q.Saved(r)
	}
	jobs, cancellations := q.Sweep(start, time.Hour, 10)
	require.Empty(t, jobs)
	require.Empty(t, cancellations)
	jobs, cancellations = q.Sweep(start.Add(time.Hour), time.Hour, 10)
	require.Equal(t, []string{"ended"}, jobs)
	require.Equal(t, []string{"never came"}, cancellations)
	_, ok := q.View("going")
	require.True(t, ok)
}
