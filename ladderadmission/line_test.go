package ladderadmission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderadmission"
)

var start = time.Unix(1000, 0)

// departing returns a line whose tasks depart every gap.
func departing(gap time.Duration) (*ladderadmission.Line, time.Time) {
	l := &ladderadmission.Line{}
	now := start
	for range 50 {
		now = now.Add(gap)
		l.Departed(now)
	}
	return l, now
}

func TestOfferByPredictedWait(t *testing.T) {
	l, now := departing(10 * time.Millisecond)
	admitted := 0
	for range 100 {
		ticket := &ladderadmission.Ticket{
			Latest: now.Add(205 * time.Millisecond), Serve: func(time.Time) bool { return false },
		}
		if _, ok := l.Offer(now, ticket); ok {
			admitted++
		}
	}
	require.InDelta(t, 20, admitted, 1, "as many as depart before the latest start")
	wait, ok := l.Offer(now, &ladderadmission.Ticket{Latest: now})
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
		_, ok := l.Offer(now, &ladderadmission.Ticket{Task: x.name, Latest: now.Add(x.latest), Serve: func(time.Time) bool {
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
	var l ladderadmission.Load
	now := start
	for i := range 600 {
		now = now.Add(100 * time.Millisecond)
		l.Set(now, 10*(i%2))
	}
	l.Set(now, 0)
	require.InDelta(t, 20, l.Headroom(now), 2, "mean 5 and three deviations of 5")
	var steady ladderadmission.Load
	for range 6000 {
		now = now.Add(100 * time.Millisecond)
		steady.Set(now, 4)
	}
	require.LessOrEqual(t, steady.Headroom(now), 1, "steady work needs none beyond itself")
}
