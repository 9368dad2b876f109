package ladderadmission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderadmission"
)

var start = time.Unix(1000, 0)

// queueWithDepartures returns a wait queue that recorded 50 departures, one
// every gap, and the time of the last one.
func queueWithDepartures(gap time.Duration) (*ladderadmission.WaitQueue, time.Time) {
	q := &ladderadmission.WaitQueue{}
	now := start
	for range 50 {
		now = now.Add(gap)
		q.RecordDeparture(now)
	}
	return q, now
}

func TestAdmitByPredictedWait(t *testing.T) {
	q, now := queueWithDepartures(10 * time.Millisecond)
	admitted := 0
	for range 100 {
		task := &ladderadmission.QueuedTask{
			LatestStart: now.Add(205 * time.Millisecond), TryReserve: func(time.Time) bool { return false },
		}
		if _, ok := q.Admit(now, task); ok {
			admitted++
		}
	}
	require.InDelta(t, 20, admitted, 1, "as many as there are departures before the latest start")
	wait, ok := q.Admit(now, &ladderadmission.QueuedTask{LatestStart: now})
	require.False(t, ok)
	require.Greater(t, wait, 100*time.Millisecond, "a rejected task gets the predicted wait for its retry")
}

func TestServeInOrderOfUrgency(t *testing.T) {
	q, now := queueWithDepartures(time.Millisecond)
	var served []string
	for _, task := range []struct {
		name   string
		latest time.Duration
	}{{"late", time.Second}, {"soon", 500 * time.Millisecond}, {"expired", 100 * time.Millisecond}} {
		_, ok := q.Admit(now, &ladderadmission.QueuedTask{Task: task.name, LatestStart: now.Add(task.latest), TryReserve: func(time.Time) bool {
			served = append(served, task.name)
			return true
		}})
		require.True(t, ok)
	}
	q.Serve(now.Add(200 * time.Millisecond))
	require.Equal(t, []string{"soon", "late"}, served, "a task past its latest start is dropped")
	require.Zero(t, q.Len())
}

func TestHeadroomFollowsDeviation(t *testing.T) {
	var load ladderadmission.UrgentLoad
	now := start
	for i := range 600 {
		now = now.Add(100 * time.Millisecond)
		load.SetRunning(now, 10*(i%2))
	}
	load.SetRunning(now, 0)
	require.InDelta(t, 20, load.Headroom(now), 2, "a mean of 5 and three standard deviations of 5")
	var steady ladderadmission.UrgentLoad
	for range 6000 {
		now = now.Add(100 * time.Millisecond)
		steady.SetRunning(now, 4)
	}
	require.LessOrEqual(t, steady.Headroom(now), 1, "a constant load needs almost no headroom")
}
