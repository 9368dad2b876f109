package ladderdelegate

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestClockBound exchanges messages with random transit times and clock offsets, and checks
// that no converted time is later than the exact one.
func TestClockBound(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	upToOneSecond := func() time.Duration { return time.Duration(random.Int64N(int64(time.Second))) }
	for range 1000 {
		offset := 2*upToOneSecond() - time.Second // The delegate's clock minus the leader's.
		requestSent := time.Hour + upToOneSecond()
		requestReceived := requestSent + upToOneSecond()
		responseSent := requestReceived + upToOneSecond()
		responseReceived := responseSent + upToOneSecond()
		b := NewClockBound(requestSent, responseReceived, requestReceived+offset, responseSent+offset)
		now := responseReceived + upToOneSecond()
		require.LessOrEqual(t, b.ToDelegate(now), now+offset)
		eventTime := responseSent - upToOneSecond()
		require.LessOrEqual(t, b.ToLeader(eventTime+offset), eventTime)
	}
	require.False(t, ClockBound{}.Known())
}

// TestCombinedClockBound makes exchanges in a row, with clocks that drift. No converted time may be later than
// the exact one, nor earlier than with the bound of the latest exchange alone.
func TestCombinedClockBound(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	for range 200 {
		offset := 2*upTo(time.Second) - time.Second
		rate := 1 + (2*random.Float64()-1)*maxDriftPerMille/1000 // Of the delegate's clock, by the leader's.
		onDelegate := func(leader time.Duration) time.Duration {
			return offset + time.Duration(rate*float64(leader))
		}
		now := time.Hour
		var b ClockBound
		for range 50 {
			sent := now + upTo(time.Second)
			received := sent + upTo(time.Second)
			replied := received + upTo(time.Second)
			now = replied + upTo(time.Second)
			latest := NewClockBound(sent, now, onDelegate(received), onDelegate(replied))
			b = b.Combine(latest)
			require.True(t, b.Known())
			require.LessOrEqual(t, b.ToDelegate(now), onDelegate(now))
			require.GreaterOrEqual(t, b.ToDelegate(now), latest.ToDelegate(now))
			require.LessOrEqual(t, b.ToLeader(onDelegate(now)), now)
			require.GreaterOrEqual(t, b.ToLeader(onDelegate(now)), latest.ToLeader(onDelegate(now)))
		}
	}
}

// TestCombinedClockBoundAfterPause lets the clock of the delegate or the leader stand still between exchanges, as a
// hypervisor does that pauses a VM. No converted time may be later than the exact one after the next exchange.
func TestCombinedClockBoundAfterPause(t *testing.T) {
	const transit, pause = time.Millisecond, 2 * time.Second
	for name, offset := range map[string]time.Duration{"delegate": -pause, "leader": pause} {
		t.Run(name, func(t *testing.T) {
			exchange := func(now, offset time.Duration) ClockBound {
				return NewClockBound(now-2*transit, now, now-transit+offset, now-transit+offset)
			}
			now := time.Hour
			b := exchange(now, 0)
			for range 3 {
				now += 500 * time.Millisecond
				b = b.Combine(exchange(now, offset))
				require.LessOrEqual(t, b.ToDelegate(now), now+offset)
				require.LessOrEqual(t, b.ToLeader(now+offset), now)
			}
		})
	}
}

// TestClockBoundAllowsForDriftSinceExchange converts times that lie some seconds after or before the latest
// exchange, as the end of a permission and the sending of a poll do.
func TestClockBoundAllowsForDriftSinceExchange(t *testing.T) {
	const transit = time.Millisecond
	random := rand.New(rand.NewPCG(5, 6))
	for range 1000 {
		rate := 1 + (2*random.Float64()-1)*maxDriftPerMille/1000 // Of the delegate's clock, by the leader's.
		onDelegate := func(leader time.Duration) time.Duration { return time.Duration(rate * float64(leader)) }
		now := time.Hour
		b := NewClockBound(now-2*transit, now, onDelegate(now-transit), onDelegate(now-transit))
		distance := time.Duration(random.Int64N(int64(5 * time.Second)))
		require.LessOrEqual(t, b.ToDelegate(now+distance), onDelegate(now+distance))
		require.LessOrEqual(t, b.ToLeader(onDelegate(now-distance)), now-distance)
	}
}
