package ladderdelegate

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBound exchanges messages with random times on the way: a delegate's clock is never
// taken to be further than it is, nor a time of it to be later than it was.
func TestBound(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	some := func() time.Duration { return time.Duration(random.Int64N(int64(time.Second))) }
	for range 1000 {
		ahead := 2*some() - time.Second // The delegate's clock less the leader's.
		asked := time.Hour + some()
		heard := asked + some()
		answered := heard + some()
		at := answered + some()
		b := NewBound(asked, at, heard+ahead, answered+ahead)
		now := at + some()
		require.LessOrEqual(t, b.There(now), now+ahead)
		sent := answered - some()
		require.LessOrEqual(t, b.Here(sent+ahead), sent)
	}
	require.False(t, Bound{}.Known())
}
