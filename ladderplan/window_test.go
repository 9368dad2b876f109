package ladderplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// TestStartWindow checks how many starts may be unanswered after a number of answers while all starts
// that are allowed are sent.
func TestStartWindow(t *testing.T) {
	const least, senders = 4, 3
	for name, c := range map[string]struct {
		result Result
		took   time.Duration
		busy   bool
		from   int
		size   int
	}{
		"answered in time, full":     {Result{}, maxAnswerTime, true, least, least * senders},
		"answered in time, not full": {Result{}, maxAnswerTime, false, least, least},
		"answered late":              {Result{}, maxAnswerTime + 1, true, least * senders, least},
		"not answered":               {Result{Unknown: true}, 0, true, least * senders, least},
		"expired before it was sent": {Result{Unsent: true}, 0, true, least * senders, least},
		"refused":                    {Result{Refusal: ladderflow.RefusedTicket}, 0, true, least * senders, least},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.UnixMilli(1_000_000)
			s := newStartWindow(least)
			s.setSenders(senders)
			s.size = c.from
			for range 100 * startsPerGrowth {
				now = now.Add(10 * time.Millisecond)
				if c.busy {
					require.True(t, s.holdsUp(s.size))
				}
				s.settled(now, c.result, c.took)
			}
			require.Equal(t, c.size, s.size)
			require.False(t, s.holdsUp(s.size-1))
		})
	}
	var unbounded startWindow
	require.False(t, unbounded.holdsUp(1_000_000))
}

// TestStartWindowFollowsSenders checks that the window is reduced at once if fewer VMs send starts, and at
// most once for answers that are late at the same time.
func TestStartWindowFollowsSenders(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	s := newStartWindow(10)
	s.setSenders(16)
	s.size = 160
	for range s.size {
		s.settled(now, Result{Unknown: true}, 0)
		s.settled(now.Add(shrinkInterval-1), Result{Unknown: true}, 0)
	}
	require.Equal(t, 80, s.size)
	s.setSenders(2)
	require.Equal(t, 20, s.size)
}

// TestFewLateAnswersKeepStartWindow checks that the window does not shrink, and still grows, while some
// answers are late in each interval but most are not.
func TestFewLateAnswersKeepStartWindow(t *testing.T) {
	for name, late := range map[string]struct {
		result Result
		took   time.Duration
	}{
		"late":         {Result{}, 2 * maxAnswerTime},
		"not answered": {Result{Unknown: true}, 2 * maxAnswerTime},
		"refused":      {Result{Refusal: ladderflow.RefusedTicket}, time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.UnixMilli(1_000_000)
			s := newStartWindow(64)
			s.setSenders(19)
			for i := range 20_000 {
				now = now.Add(time.Millisecond)
				if i%15 == 0 {
					s.holdsUp(s.size) // a plan
				}
				if i%20 == 0 {
					s.settled(now, late.result, late.took)
					continue
				}
				require.False(t, s.settled(now, Result{}, maxAnswerTime/4))
			}
			require.Greater(t, s.size, 640)
		})
	}
}
