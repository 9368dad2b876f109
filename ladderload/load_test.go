package ladderload

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderplan"
)

// example reads one of the loads that come with the product.
func example(t testing.TB, path ...string) *Load {
	file := filepath.Join(append([]string{"..", "examples"}, path...)...)
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	l, err := Parse(file, data)
	require.NoError(t, err)
	return l
}

// TestPlayRepeats plays a load twice under one seed and once under another.
func TestPlayRepeats(t *testing.T) {
	l := example(t, "bureau", "load.yaml")
	l.Length, l.Rest = l.Length/4, l.Rest/2
	first, again := Play(l, 1, ladderplan.ByAim), Play(l, 1, ladderplan.ByAim)
	require.Equal(t, first.Earned, again.Earned)
	require.Equal(t, first.Queues[0].Jobs, again.Queues[0].Jobs)
	other := Play(l, 2, ladderplan.ByAim)
	require.NotEqual(t, first.Queues[2].Jobs, other.Queues[2].Jobs)
}

// BenchmarkGrown plays the grown bureau's half minute: nearly all of its time is the
// planner's.
func BenchmarkGrown(b *testing.B) {
	l := example(b, "bureau", "grown.yaml")
	for b.Loop() {
		r := Play(l, 1, ladderplan.ByAim)
		b.ReportMetric(r.Earned, "worth")
	}
}
