package laddervm

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOutageTimer lets several concurrent calls time out. That raises the typical latency,
// but must not postpone the detection of the outage.
func TestOutageTimer(t *testing.T) {
	var latency typicalLatency
	var timer outageTimer
	now := time.UnixMilli(0)
	timer.start(now, latency.timeout(minOutage, maxCallTimeout))
	for range 4 {
		now = now.Add(minOutage / 4)
		timer.start(now, latency.timeout(minOutage, maxCallTimeout))
		latency.observe(minCallTimeout)
	}
	require.Greater(t, latency.timeout(minOutage, maxCallTimeout), minOutage)
	require.False(t, timer.expired(now))
	require.True(t, timer.expired(now.Add(time.Millisecond)))
	timer.reset()
	require.False(t, timer.expired(now.Add(time.Hour)))
}

// TestTypicalLatency checks that the timeout grows with the latency and stays within its
// bounds.
func TestTypicalLatency(t *testing.T) {
	var latency typicalLatency
	require.Equal(t, minOutage, latency.timeout(minOutage, maxCallTimeout))
	for range 50 {
		latency.observe(time.Second)
	}
	require.Greater(t, latency.timeout(minOutage, maxCallTimeout), 2*time.Second)
	for range 50 {
		latency.observe(time.Hour)
	}
	require.Equal(t, maxCallTimeout, latency.timeout(minOutage, maxCallTimeout))
}

// TestFilteredClock checks that the filtered time of day agrees with a steady clock.
func TestFilteredClock(t *testing.T) {
	var clock filteredClock
	start := time.Now()
	require.WithinDuration(t, start, clock.now(start), time.Millisecond)
	for i := range 20 {
		now := start.Add(time.Duration(i) * clockSampleInterval)
		require.WithinDuration(t, now, clock.now(now), time.Millisecond)
	}
}

// TestKeys checks that connections succeed between registered VMs only.
func TestKeys(t *testing.T) {
	registered := map[string]bool{}
	trusted := func(hash string) bool { return registered[hash] }
	a, err := newKeys(trusted)
	require.NoError(t, err)
	b, err := newKeys(trusted)
	require.NoError(t, err)
	require.NotEqual(t, a.hash, b.hash)
	for name, c := range map[string]struct {
		register []string
		ok       bool
	}{
		"both are registered":          {[]string{a.hash, b.hash}, true},
		"the caller is not registered": {[]string{b.hash}, false},
		"the server is not registered": {[]string{a.hash}, false},
	} {
		t.Run(name, func(t *testing.T) {
			clear(registered)
			for _, h := range c.register {
				registered[h] = true
			}
			require.Equal(t, c.ok, handshake(t, a, b))
		})
	}
}

// TestKeysOfEarlierBuild checks that VMs connect of which one accepts the default curves, as earlier builds do.
func TestKeysOfEarlierBuild(t *testing.T) {
	trusted := func(string) bool { return true }
	earlier, err := newKeys(trusted)
	require.NoError(t, err)
	earlier.client.CurvePreferences, earlier.server.CurvePreferences = nil, nil
	newer, err := newKeys(trusted)
	require.NoError(t, err)
	for name, c := range map[string]struct{ caller, server *keys }{
		"the caller is of the earlier build": {earlier, newer},
		"the server is of the earlier build": {newer, earlier},
	} {
		t.Run(name, func(t *testing.T) {
			require.True(t, handshake(t, c.caller, c.server))
		})
	}
}

// TestShutdownTimes checks that shutdown stays below the platform's grace period, whatever
// that is.
func TestShutdownTimes(t *testing.T) {
	for name, grace := range map[string]time.Duration{"long": time.Minute, "typical": 6 * time.Second, "short": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			drain, finish := shutdownTimes(grace)
			require.Less(t, drain+finish, grace*4/5)
			require.Positive(t, drain)
		})
	}
	drain, finish := shutdownTimes(0)
	require.Equal(t, drainTime+finishTime, drain+finish)
}

// TestIncarnations checks that each incarnation of each VM has its own name, however many
// start at once.
func TestIncarnations(t *testing.T) {
	seen := map[string]bool{}
	for range 200 {
		for _, name := range []string{"e1", "e2"} {
			incarnation := newIncarnation(name)
			require.False(t, seen[incarnation], incarnation)
			require.True(t, strings.HasPrefix(incarnation, name+"/"), "the name contains that of the VM")
			seen[incarnation] = true
		}
	}
}
