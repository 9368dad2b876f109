package ladderadmission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderadmission"
)

var start = time.Unix(1000, 0)

// departing returns a line whose tasks depart every gap.
func departing(gap time.Duration) (*ladderadmission.WaitQueue, time.Time) {
	l := &ladderadmission.WaitQueue{}
	now := start
	for range 50 {
		now = now.Add(gap)
		l.RecordDeparture(now)
	}
	return l, now
}

func TestOfferByPredictedWait(t *testing.T) {
	l, now := departing(10 * time.Millisecond)
	admitted := 0
	for range 100 {
		ticket := &ladderadmission.QueuedTask{
			LatestStart: now.Add(205 * time.Millisecond), TryReserve: func(time.Time) bool { return false },
		}
		if _, ok := l.Admit(now, ticket); ok {
			admitted++
		}
	}
	require.InDelta(t, 20, admitted, 1, "as many as depart before the latest start")
	wait, ok := l.Admit(now, &ladderadmission.QueuedTask{LatestStart: now})
	require.False(t, ok)
	require.Greater(t, wait, 100*time.Millisecond, "and the rest is told when to come back")
}

func TestServeInOrderOfUrgency(t *testing.T) {
	l, now := departing(time.Millisecond)
	var served []string
	for _, x := range []struct {
		name   string
		latest time.Duration
	}{{"late", time.Second}, {"soon", 500 * time.Millisecond}, {"gone", 100 * time.Millisecond}} {
		_, ok := l.Admit(now, &ladderadmission.QueuedTask{Task: x.name, LatestStart: now.Add(x.latest), TryReserve: func(time.Time) bool {
			served = append(served, x.name)
			return true
		}})
		require.True(t, ok)
	}
	l.Serve(now.Add(200 * time.Millisecond))
	require.Equal(t, []string{"soon", "late"}, served, "a ticket past its latest start is dropped")
	require.Zero(t, l.Len())
}

func TestHeadroomFollowsSwings(t *testing.T) {
	var l ladderadmission.UrgentLoad
	now := start
	for i := range 600 {
		now = now.Add(100 * time.Millisecond)
		l.SetRunning(now, 10*(i%2))
	}
	l.SetRunning(now, 0)
	require.InDelta(t, 20, l.Headroom(now), 2, "mean 5 and three deviations of 5")
	var steady ladderadmission.UrgentLoad
	for range 6000 {
		now = now.Add(100 * time.Millisecond)
		steady.SetRunning(now, 4)
	}
	require.LessOrEqual(t, steady.Headroom(now), 1, "steady work needs none beyond itself")
}
