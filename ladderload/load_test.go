package ladderload

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderplan"
)

// readExample reads one of the loads in the directory examples.
func readExample(t testing.TB, path ...string) *Load {
	file := filepath.Join(append([]string{"..", "examples"}, path...)...)
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	l, err := Parse(file, data)
	require.NoError(t, err)
	return l
}

// TestSimulateIsReproducible checks that the same seed gives the same result, and that a
// different seed gives different jobs.
func TestSimulateIsReproducible(t *testing.T) {
	l := readExample(t, "bureau", "load.yaml")
	l.ArrivalPeriod, l.ExtraTime = l.ArrivalPeriod/4, l.ExtraTime/2
	first, second := Simulate(l, 1, ladderplan.ByObjective), Simulate(l, 1, ladderplan.ByObjective)
	require.Equal(t, first.EarnedShare, second.EarnedShare)
	require.Equal(t, first.Queues[0].Jobs, second.Queues[0].Jobs)
	otherSeed := Simulate(l, 2, ladderplan.ByObjective)
	require.NotEqual(t, first.Queues[2].Jobs, otherSeed.Queues[2].Jobs)
}

// BenchmarkGrown simulates the large load grown.yaml, where nearly all of the time is
// spent in the planner.
func BenchmarkGrown(b *testing.B) {
	l := readExample(b, "bureau", "grown.yaml")
	for b.Loop() {
		r := Simulate(l, 1, ladderplan.ByObjective)
		b.ReportMetric(r.EarnedShare, "worth")
	}
}

// BenchmarkLarge simulates thirty seconds of the load of the large fleet, large.yaml.
func BenchmarkLarge(b *testing.B) {
	l := readExample(b, "jadewing", "large.yaml")
	l.ArrivalPeriod, l.ExtraTime = 30*time.Second, 0
	for b.Loop() {
		r := Simulate(l, 1, ladderplan.ByObjective)
		b.ReportMetric(r.EarnedShare, "worth")
	}
}

// TestLargeFleetAwaitsAnswers checks that no queue of the large fleet earns less than the floor of a
// queue when a start is answered only after two links between regions, the collection of reports
// and a leader's pause between plans. Delegates send the starts.
func TestLargeFleetAwaitsAnswers(t *testing.T) {
	const floor = 0.34
	l := readExample(t, "jadewing", "large.yaml")
	l.ArrivalPeriod, l.ExtraTime = 20*time.Second, 20*time.Second
	for _, d := range []time.Duration{60 * time.Millisecond, 120 * time.Millisecond} {
		t.Run(d.String(), func(t *testing.T) {
			t.Parallel()
			slow := *l
			slow.Delegates, slow.OrderRoundTrip = 18, d
			for _, q := range Simulate(&slow, 1, ladderplan.ByObjective).Queues {
				require.GreaterOrEqual(t, q.Earned/q.PossibleWorth, floor, "queue %s", q.Name)
			}
		})
	}
}

// TestFewLateAnswersStarveNoQueue checks that no queue of the large fleet earns less than the floor of a
// queue when the leader plans less often than it can, and one answer in a hundred is late.
func TestFewLateAnswersStarveNoQueue(t *testing.T) {
	const floor = 0.34
	l := readExample(t, "jadewing", "large.yaml")
	l.ArrivalPeriod, l.ExtraTime = 20*time.Second, 20*time.Second
	l.Delegates, l.OrderRoundTrip, l.PlanPause = 18, 60*time.Millisecond, 50*time.Millisecond
	l.LateShare, l.LateRoundTrip = 0.01, 300*time.Millisecond
	for _, q := range Simulate(l, 1, ladderplan.ByObjective).Queues {
		require.GreaterOrEqual(t, q.Earned/q.PossibleWorth, floor, "queue %s", q.Name)
	}
}
