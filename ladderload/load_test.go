package ladderload

import (
	"os"
	"path/filepath"
	"testing"

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

// TestPlayRepeats checks that the same seed gives the same result, and that a different
// seed gives different jobs.
func TestPlayRepeats(t *testing.T) {
	l := readExample(t, "bureau", "load.yaml")
	l.Length, l.Rest = l.Length/4, l.Rest/2
	first, second := Play(l, 1, ladderplan.ByAim), Play(l, 1, ladderplan.ByAim)
	require.Equal(t, first.Earned, second.Earned)
	require.Equal(t, first.Queues[0].Jobs, second.Queues[0].Jobs)
	otherSeed := Play(l, 2, ladderplan.ByAim)
	require.NotEqual(t, first.Queues[2].Jobs, otherSeed.Queues[2].Jobs)
}

// BenchmarkGrown simulates the large load grown.yaml, where nearly all of the time is
// spent in the planner.
func BenchmarkGrown(b *testing.B) {
	l := readExample(b, "bureau", "grown.yaml")
	for b.Loop() {
		r := Play(l, 1, ladderplan.ByAim)
		b.ReportMetric(r.Earned, "worth")
	}
}
