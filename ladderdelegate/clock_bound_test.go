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
