package ladderplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// TestGangLooksBeyondKnownWorkers checks that a gang waiting for the only worker that it knows to
// be allowed queries advice about idle workers as well.
func TestGangLooksBeyondKnownWorkers(t *testing.T) {
	b := newBed(t, 6)
	b.submit("long", ladderflow.Step{Tasks: 1, Need: ladderflow.Size{Processor: 8000}, Estimate: time.Minute})
	busy := b.begin()[0].Worker.ID
	b.planner.fleet.Queues[0].Advice = &ladderflow.Advice{Base: 10 * time.Millisecond, Valid: 2 * time.Second}
	b.planner.SetVMs([]string{"e1"})
	b.submit("a", gangOf(3))
	asks := b.plan().Asks
	require.Len(t, asks, 1)
	// Of the workers in the first query, only the busy one is allowed.
	a := asks[0]
	a.Workers = []string{busy}
	b.planner.Advised(b.now, a, []ladderflow.Ticket{{Worker: busy, Text: "x"}}, 2*time.Second, false)
	asks = b.plan().Asks
	require.Len(t, asks, 1)
	require.NotContains(t, asks[0].Workers, busy)
	b.planner.Advised(b.now, asks[0], []ladderflow.Ticket{{Worker: asks[0].Workers[0], Text: "x"}}, 2*time.Second, false)
	require.Len(t, b.begin(), 3)
}

// TestProbationEnds checks that a gang, which starts on no worker on probation, starts once the
// probation of all workers has ended.
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

// TestGangWithoutAdvice checks that a gang of a queue without advice waits for capacity.
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

// TestGangTooLargeForItsWorkers submits more gangs that are too large for their workers than may
// reserve workers at the same time. A smaller gang behind them must start nevertheless.
func TestGangTooLargeForItsWorkers(t *testing.T) {
	for name, large := range map[string]ladderflow.Step{
		"too many members": gangOf(9),
		"label of one worker": func() ladderflow.Step {
			s := gangOf(5)
			s.Label = "r1"
			return s
		}(),
		"one on each worker": func() ladderflow.Step {
			s := gangOf(3)
			s.Spread = 1
			s.Label = "r0"
			s.Need.Processor = 5000
			s.Tasks = 5
			return s
		}(),
	} {
		t.Run(name, func(t *testing.T) {
			workers := 2
			if large.Label != "" {
				workers = 5
			}
			b := newBed(t, workers)
			b.planner.fleet.Queues[0].Advice = &ladderflow.Advice{Base: 10 * time.Millisecond, Valid: 2 * time.Second}
			b.planner.SetVMs([]string{"e1"})
			for i := range leastReserved + 1 {
				b.submit(fmt.Sprintf("large%d", i), large)
			}
			b.pass(time.Millisecond)
			b.submit("small", gangOf(2))
			for range 100 {
				o := b.plan()
				if len(o.Starts) > 0 {
					require.Equal(t, "small", o.Starts[0].Run.Task.Job)
					return
				}
				b.pass(settledTime)
				for _, a := range o.Asks {
					var allowed []ladderflow.Ticket
					for _, w := range a.Workers {
						allowed = append(allowed, ladderflow.Ticket{Worker: w, Text: "x"})
					}
					b.planner.Advised(b.now, a, allowed, 2*time.Second, false)
				}
				b.lookAll(nil)
			}
			t.Fatal("the small gang never starts")
		})
	}
}
