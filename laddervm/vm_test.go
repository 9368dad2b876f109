package laddervm

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSilence lets several calls at once be given up: what the usual answer takes grows
// by that, and the silence is noticed all the same.
func TestSilence(t *testing.T) {
	var u typicalLatency
	var s outageTimer
	now := time.UnixMilli(0)
	s.start(now, u.timeout(minOutage, maxCallTimeout))
	for range 4 {
		now = now.Add(minOutage / 4)
		s.start(now, u.timeout(minOutage, maxCallTimeout))
		u.observe(minCallTimeout)
	}
	require.Greater(t, u.timeout(minOutage, maxCallTimeout), minOutage)
	require.False(t, s.expired(now))
	require.True(t, s.expired(now.Add(time.Millisecond)))
	s.reset()
	require.False(t, s.expired(now.Add(time.Hour)))
}

func TestUsual(t *testing.T) {
	var u typicalLatency
	require.Equal(t, minOutage, u.timeout(minOutage, maxCallTimeout))
	for range 50 {
		u.observe(time.Second)
	}
	require.Greater(t, u.timeout(minOutage, maxCallTimeout), 2*time.Second)
	for range 50 {
		u.observe(time.Hour)
	}
	require.Equal(t, maxCallTimeout, u.timeout(minOutage, maxCallTimeout))
}

// TestWall lets the time of day jump ahead and back again.
func TestWall(t *testing.T) {
	var w filteredClock
	start := time.Now()
	require.WithinDuration(t, start, w.now(start), time.Millisecond)
	for i := range 20 {
		now := start.Add(time.Duration(i) * clockSampleInterval)
		require.WithinDuration(t, now, w.now(now), time.Millisecond)
	}
}

// TestKeys accepts what is registered and nothing else.
func TestKeys(t *testing.T) {
	known := map[string]bool{}
	trusted := func(hash string) bool { return known[hash] }
	a, err := newKeys(trusted)
	require.NoError(t, err)
	b, err := newKeys(trusted)
	require.NoError(t, err)
	require.NotEqual(t, a.hash, b.hash)
	for name, c := range map[string]struct {
		register []string
		ok       bool
	}{
		"both are registered":      {[]string{a.hash, b.hash}, true},
		"the caller is a stranger": {[]string{b.hash}, false},
		"the server is a stranger": {[]string{a.hash}, false},
	} {
		t.Run(name, func(t *testing.T) {
			clear(known)
			for _, h := range c.register {
				known[h] = true
			}
			require.Equal(t, c.ok, handshake(t, a, b))
		})
	}
}

// TestLeaveTimes stays below the platform's time of grace, whatever it is.
func TestLeaveTimes(t *testing.T) {
	for name, grace := range map[string]time.Duration{"long": time.Minute, "usual": 6 * time.Second, "short": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			drain, answer := shutdownTimes(grace)
			require.Less(t, drain+answer, grace*4/5)
			require.Positive(t, drain)
		})
	}
	drain, answer := shutdownTimes(0)
	require.Equal(t, drainTime+finishTime, drain+answer)
}

// TestLives names each life of each VM apart, however many begin at once.
func TestLives(t *testing.T) {
	seen := map[string]bool{}
	for range 200 {
		for _, name := range []string{"e1", "e2"} {
			incarnation := newIncarnation(name)
			require.False(t, seen[incarnation], incarnation)
			require.True(t, strings.HasPrefix(incarnation, name+"/"), "no other VM can draw it")
			seen[incarnation] = true
		}
	}
}
