package ladderteam_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderteam"
)

// TestLedgerIsSumOfRuns adds and removes runs and compares the ledger with their sums.
func TestLedgerIsSumOfRuns(t *testing.T) {
	type run struct {
		team string
		size ladderflow.Size
	}
	rapid.Check(t, func(t *rapid.T) {
		l := ladderteam.NewLedger()
		var runs []run
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			if len(runs) > 0 && rapid.Bool().Draw(t, "remove") {
				i := rapid.IntRange(0, len(runs)-1).Draw(t, "run")
				l.Remove(runs[i].team, runs[i].size)
				runs = append(runs[:i], runs[i+1:]...)
				continue
			}
			r := run{
				team: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "team"),
				size: ladderflow.Size{Processor: rapid.IntRange(0, 9).Draw(t, "processor"), Memory: rapid.IntRange(0, 9).Draw(t, "memory")},
			}
			l.Add(r.team, r.size)
			runs = append(runs, r)
		}
		used, count := map[string]ladderflow.Size{}, map[string]int{}
		for _, r := range runs {
			used[r.team] = used[r.team].Plus(r.size)
			count[r.team]++
		}
		for _, team := range []string{"a", "b"} {
			require.Equal(t, used[team], l.Used(team))
			require.Equal(t, count[team], l.Runs(team))
			require.Equal(t, count[team] > 0, len(l.Teams()) > 0 && (l.Teams()[0] == team || l.Teams()[len(l.Teams())-1] == team))
		}
	})
}
