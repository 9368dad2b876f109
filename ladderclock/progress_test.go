package ladderclock_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclock"
)

// announcingClock is a manual clock that announces each call of After.
type announcingClock struct {
	*ladderclock.Manual
	waiting chan struct{}
}

func (c announcingClock) After(d time.Duration) <-chan time.Time {
	fires := c.Manual.After(d)
	c.waiting <- struct{}{}
	return fires
}

// TestProgressStandsStillWhileProcessDoes wakes the clock's goroutine late. Only a little of each delay may
// count.
func TestProgressStandsStillWhileProcessDoes(t *testing.T) {
	const tick = 20 * time.Millisecond
	for name, c := range map[string]struct {
		// steps are the times between two readings of the clock.
		steps    []time.Duration
		min, max time.Duration
	}{
		"punctual":               {[]time.Duration{tick, tick, tick}, 3 * tick, 3 * tick},
		"timers a little late":   {[]time.Duration{tick + time.Millisecond, tick + 2*time.Millisecond}, 2*tick + 3*time.Millisecond, 2*tick + 3*time.Millisecond},
		"stopped for a minute":   {[]time.Duration{tick, time.Minute, tick}, 3 * tick, 4 * tick},
		"a tenth of a processor": {[]time.Duration{10 * tick, 10 * tick, 10 * tick, 10 * tick}, 4 * tick, 5 * tick},
	} {
		t.Run(name, func(t *testing.T) {
			clock := announcingClock{ladderclock.NewManual(time.Unix(1000, 0)), make(chan struct{})}
			p := ladderclock.NewProgress(clock)
			for _, step := range c.steps {
				ticked := make(chan bool, 1)
				go func() { ticked <- p.Tick(t.Context()) }()
				<-clock.waiting
				clock.Advance(step)
				require.True(t, <-ticked)
			}
			require.GreaterOrEqual(t, p.Total(), c.min)
			require.LessOrEqual(t, p.Total(), c.max)
		})
	}
}

// TestProgressEnds checks that a tick ends with its context.
func TestProgressEnds(t *testing.T) {
	p := ladderclock.NewProgress(ladderclock.System{})
	require.True(t, p.Tick(t.Context()))
	require.Positive(t, p.Total())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, ladderclock.NewProgress(ladderclock.NewManual(time.Unix(1000, 0))).Tick(ctx))
}
