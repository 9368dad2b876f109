package ladderledger_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclaim"
	"lacewingladder/ladderledger"
	"lacewingladder/laddermodel"
)

var (
	worker = laddermodel.Worker{Name: "w", Size: laddermodel.Size{Slots: 2, Memory: 100}}
	one    = laddermodel.Size{Slots: 1, Memory: 40}
)

func report(epoch uint64, at time.Duration, tasks ...string) ladderclaim.Report {
	r := ladderclaim.Report{Epoch: epoch, At: at}
	for _, t := range tasks {
		r.Running = append(r.Running, ladderclaim.Running{Task: t, Size: one, Memory: 40})
	}
	return r
}

func open(t *testing.T, tasks ...string) *ladderledger.Ledger {
	t.Helper()
	l := &ladderledger.Ledger{}
	require.True(t, l.Open(worker, 1, 5, report(5, time.Second, tasks...)))
	return l
}

func TestOpenCountsWhatRuns(t *testing.T) {
	l := open(t, "old")
	require.Equal(t, laddermodel.Size{Slots: 1, Memory: 60}, l.Free("w"))
}

func TestOpenRefusesReportOfAnEarlierEpoch(t *testing.T) {
	l := &ladderledger.Ledger{}
	require.False(t, l.Open(worker, 1, 5, report(4, time.Second)))
	require.False(t, l.Reserve("w", ladderledger.Item{Task: "a", Size: one}))
}

func TestReserve(t *testing.T) {
	tests := map[string]struct {
		item ladderledger.Item
		want bool
	}{
		"fits":              {item: ladderledger.Item{Task: "a", Size: one}, want: true},
		"fits exactly":      {item: ladderledger.Item{Task: "a", Size: laddermodel.Size{Slots: 1, Memory: 60}}, want: true},
		"too many slots":    {item: ladderledger.Item{Task: "a", Size: laddermodel.Size{Slots: 2}}},
		"too much memory":   {item: ladderledger.Item{Task: "a", Size: laddermodel.Size{Slots: 1, Memory: 61}}},
		"needs accelerator": {item: ladderledger.Item{Task: "a", Size: laddermodel.Size{Accelerators: 1}}},
		"has room already":  {item: ladderledger.Item{Task: "old", Size: one}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, open(t, "old").Reserve("w", tt.item))
		})
	}
}

func TestReconcile(t *testing.T) {
	until := 4 * time.Second
	tests := map[string]struct {
		reports []ladderclaim.Report
		freed   bool
	}{
		"not listed, but may still start":   {reports: []ladderclaim.Report{report(5, until)}},
		"not listed after the last start":   {reports: []ladderclaim.Report{report(5, until+1)}, freed: true},
		"listed":                            {reports: []ladderclaim.Report{report(5, until+1, "a")}},
		"listed, then gone":                 {reports: []ladderclaim.Report{report(5, 2*time.Second, "a"), report(5, 3*time.Second)}, freed: true},
		"listed, and nothing changed since": {reports: []ladderclaim.Report{report(5, 2*time.Second, "a"), {Epoch: 5, At: until + 1, Same: true}}},
		"never listed, and nothing changed": {reports: []ladderclaim.Report{{Epoch: 5, At: until + 1, Same: true}}, freed: true},
		"gone in a report that is older":    {reports: []ladderclaim.Report{report(5, 3*time.Second, "a"), report(5, 2*time.Second)}},
		"gone in a report of another epoch": {reports: []ladderclaim.Report{report(6, until+1)}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := open(t)
			require.True(t, l.Reserve("w", ladderledger.Item{Task: "a", Size: one, Until: until}))
			for _, r := range tt.reports {
				l.Reconcile("w", 1, r)
			}
			require.Equal(t, tt.freed, !l.Has("w", "a"))
		})
	}
}

func TestObservedMemoryCounts(t *testing.T) {
	l := open(t)
	require.True(t, l.Reserve("w", ladderledger.Item{Task: "a", Size: one, Until: time.Hour}))
	r := report(5, 2*time.Second, "a")
	r.Running[0].Memory = 90
	l.Reconcile("w", 1, r)
	require.Equal(t, int64(10), l.Free("w").Memory)
	require.True(t, l.Release("w", "a"))
	require.Equal(t, worker.Size, l.Free("w"))
}
