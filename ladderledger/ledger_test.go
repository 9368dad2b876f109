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
	worker  = laddermodel.Worker{Name: "w", Size: laddermodel.Size{Slots: 2, Memory: 100}}
	oneSlot = laddermodel.Size{Slots: 1, Memory: 40}
)

// newReport returns a worker's report in which each listed task uses one slot
// and 40 bytes of memory.
func newReport(epoch uint64, at time.Duration, tasks ...string) ladderclaim.Report {
	r := ladderclaim.Report{Epoch: epoch, At: at}
	for _, t := range tasks {
		r.Running = append(r.Running, ladderclaim.Running{Task: t, Size: oneSlot, Memory: 40})
	}
	return r
}

// openLedger returns a ledger with an account of the worker, opened by a report
// that lists the given tasks.
func openLedger(t *testing.T, tasks ...string) *ladderledger.Ledger {
	t.Helper()
	l := &ladderledger.Ledger{}
	require.True(t, l.Open(worker, 1, 5, newReport(5, time.Second, tasks...)))
	return l
}

func TestOpenCountsRunningTasks(t *testing.T) {
	l := openLedger(t, "old")
	require.Equal(t, laddermodel.Size{Slots: 1, Memory: 60}, l.Free("w"))
}

func TestOpenRefusesReportOfEarlierEpoch(t *testing.T) {
	l := &ladderledger.Ledger{}
	require.False(t, l.Open(worker, 1, 5, newReport(4, time.Second)))
	require.False(t, l.Reserve("w", ladderledger.Item{Task: "a", Size: oneSlot}))
}

func TestReserve(t *testing.T) {
	tests := map[string]struct {
		item ladderledger.Item
		want bool
	}{
		"fits":              {item: ladderledger.Item{Task: "a", Size: oneSlot}, want: true},
		"fits exactly":      {item: ladderledger.Item{Task: "a", Size: laddermodel.Size{Slots: 1, Memory: 60}}, want: true},
		"too many slots":    {item: ladderledger.Item{Task: "a", Size: laddermodel.Size{Slots: 2}}},
		"too much memory":   {item: ladderledger.Item{Task: "a", Size: laddermodel.Size{Slots: 1, Memory: 61}}},
		"needs accelerator": {item: ladderledger.Item{Task: "a", Size: laddermodel.Size{Accelerators: 1}}},
		"reserved already":  {item: ladderledger.Item{Task: "old", Size: oneSlot}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, openLedger(t, "old").Reserve("w", tt.item))
		})
	}
}

func TestReconcile(t *testing.T) {
	until := 4 * time.Second
	tests := map[string]struct {
		reports []ladderclaim.Report
		freed   bool
	}{
		"not listed, may still start":              {reports: []ladderclaim.Report{newReport(5, until)}},
		"not listed after the last possible start": {reports: []ladderclaim.Report{newReport(5, until+1)}, freed: true},
		"listed":                                  {reports: []ladderclaim.Report{newReport(5, until+1, "a")}},
		"listed, then not listed":                 {reports: []ladderclaim.Report{newReport(5, 2*time.Second, "a"), newReport(5, 3*time.Second)}, freed: true},
		"listed, then unchanged":                  {reports: []ladderclaim.Report{newReport(5, 2*time.Second, "a"), {Epoch: 5, At: until + 1, Unchanged: true}}},
		"never listed, then unchanged":            {reports: []ladderclaim.Report{{Epoch: 5, At: until + 1, Unchanged: true}}, freed: true},
		"not listed in an older report":           {reports: []ladderclaim.Report{newReport(5, 3*time.Second, "a"), newReport(5, 2*time.Second)}},
		"not listed in a report of another epoch": {reports: []ladderclaim.Report{newReport(6, until+1)}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := openLedger(t)
			require.True(t, l.Reserve("w", ladderledger.Item{Task: "a", Size: oneSlot, Until: until}))
			for _, r := range tt.reports {
				l.Reconcile("w", 1, r)
			}
			require.Equal(t, tt.freed, !l.Has("w", "a"))
		})
	}
}

func TestObservedMemoryCounts(t *testing.T) {
	l := openLedger(t)
	require.True(t, l.Reserve("w", ladderledger.Item{Task: "a", Size: oneSlot, Until: time.Hour}))
	r := newReport(5, 2*time.Second, "a")
	r.Running[0].Memory = 90
	l.Reconcile("w", 1, r)
	require.Equal(t, int64(10), l.Free("w").Memory)
	require.True(t, l.Release("w", "a"))
	require.Equal(t, worker.Size, l.Free("w"))
}
