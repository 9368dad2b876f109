package ladderplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// TestGangLooksBeyondKnownWorkers lets a gang wait for the one worker that it knows to
// be allowed, while others are empty: it asks about those too.
func TestGangLooksBeyondKnownWorkers(t *testing.T) {
	b := newBed(t, 6)
	b.submit("long", ladderflow.Step{Tasks: 1, Need: ladderflow.Size{Processor: 8000}, Estimate: time.Minute})
	busy := b.begin()[0].Worker.ID
	b.planner.fleet.Queues[0].Advice = &ladderflow.Advice{Base: 10 * time.Millisecond, Valid: 2 * time.Second}
	b.planner.SetVMs([]string{"e1"})
	b.submit("a", gangOf(3))
	asks := b.plan().Asks
	require.Len(t, asks, 1)
	// Only the busy worker is allowed of those that were named first.
	a := asks[0]
	a.Workers = []string{busy}
	b.planner.Advised(b.now, a, []ladderflow.Ticket{{Worker: busy, Text: "x"}}, 2*time.Second, false)
	asks = b.plan().Asks
	require.Len(t, asks, 1)
	require.NotContains(t, asks[0].Workers, busy)
	b.planner.Advised(b.now, asks[0], []ladderflow.Ticket{{Worker: asks[0].Workers[0], Text: "x"}}, 2*time.Second, false)
	require.Len(t, b.begin(), 3)
}

// TestStruckWorkersAreForgiven lets every worker be struck: a gang starts all the
// same once nothing more has spoken against them for a while.
func TestStruckWorkersAreForgiven(t *testing.T) {
	b := newBed(t, 2)
	for _, w := range b.planner.workers {
		w.strike(b.now)
	}
	b.submit("a", gangOf(3))
	require.Empty(t, b.plan().Starts)
	b.pass(avoidTime + forgiveTime + time.Millisecond)
	b.lookAll(nil)
	require.Len(t, b.plan().Starts, 3)
}

// TestGangWithoutAdvice lets a gang of a queue that needs no advice wait for room.
func TestGangWithoutAdvice(t *testing.T) {
	b := newBed(t, 1)
	b.submit("a", tasks(4))
	first := b.begin()
	b.submit("b", gangOf(4))
	require.Empty(t, b.begin())
	for _, s := range first {
		b.end(s, ladderflow.EndDone)
	}
	require.Len(t, b.begin(), 4)
}
