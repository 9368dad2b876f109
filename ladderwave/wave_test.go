package ladderwave

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// upMachines returns machines that are up, each with a worker named after it.
func upMachines(names ...string) []ladderflow.Machine {
	var list []ladderflow.Machine
	for _, n := range names {
		list = append(list, ladderflow.Machine{Name: n, State: ladderflow.MachineUp, Worker: "w-" + n})
	}
	return list
}

// TestNext checks, for a wave with at most two machines down, which machine goes down
// first and which workers are drained. The machine "gone" is not listed.
func TestNext(t *testing.T) {
	begin := time.UnixMilli(0)
	for name, c := range map[string]struct {
		after time.Duration
		loads map[string]WorkerLoad
		down  string
		drain []string
	}{
		"the machine with the least load first":      {0, map[string]WorkerLoad{"w-a": {Demand: 5}}, "b", []string{"w-c", "w-a"}},
		"busy machines are drained if there is time": {0, map[string]WorkerLoad{"w-a": {Demand: 5}, "w-b": {Demand: 1}, "w-c": {Demand: 2}}, "", []string{"w-b", "w-c"}},
		"busy machines go down if time is short":     {16 * time.Second, map[string]WorkerLoad{"w-a": {Demand: 5}, "w-b": {Demand: 1}, "w-c": {Demand: 2}}, "b", []string{"w-c", "w-a"}},
		"machines that must stay up do not go down":  {16 * time.Second, map[string]WorkerLoad{"w-a": {MustStayUp: true}, "w-b": {MustStayUp: true}, "w-c": {MustStayUp: true}}, "", []string{"w-a", "w-b"}},
	} {
		t.Run(name, func(t *testing.T) {
			w := New(begin, ladderflow.MaintenanceWave{Machines: []string{"a", "b", "c", "gone"}, TimeLimit: 20 * time.Second, MaxDown: 2}, 2*time.Second)
			w.Observe(begin, upMachines("a", "b", "c"))
			down, drain := w.Next(begin.Add(c.after), func(id string) WorkerLoad { return c.loads[id] })
			require.Equal(t, c.down, down)
			require.Equal(t, c.drain, drain)
		})
	}
}

// TestWaveEnds follows a wave of two machines, one at a time, until it is done.
func TestWaveEnds(t *testing.T) {
	begin := time.UnixMilli(0)
	noLoad := func(string) WorkerLoad { return WorkerLoad{} }
	w := New(begin, ladderflow.MaintenanceWave{Machines: []string{"a", "b"}, TimeLimit: time.Minute, MaxDown: 1}, time.Second)
	w.Observe(begin, upMachines("a", "b"))
	down, _ := w.Next(begin, noLoad)
	require.Equal(t, "a", down)
	w.RecordResult(begin, "a", Refused)
	down, _ = w.Next(begin, noLoad)
	require.Equal(t, "a", down, "a refused order is sent again")
	w.RecordResult(begin, "a", Confirmed)
	down, _ = w.Next(begin, noLoad)
	require.Empty(t, down, "at most one machine may be down")
	w.Observe(begin, []ladderflow.Machine{{Name: "a", State: ladderflow.MachineMaintenance}, upMachines("b")[0]})
	require.False(t, w.Done())
	w.Observe(begin, []ladderflow.Machine{{Name: "a", State: ladderflow.MachineUp, Worker: "w-new"}, upMachines("b")[0]})
	down, _ = w.Next(begin, noLoad)
	require.Equal(t, "b", down)
	w.Observe(begin, []ladderflow.Machine{{Name: "a", State: ladderflow.MachineUp, Worker: "w-new"}})
	require.True(t, w.Done(), "the wave must not wait for a machine that is no longer listed")
}

// TestOrdersWithoutEffect checks what follows from an order that had no visible effect. If
// its outcome is unknown, the machine must be ordered down again. If it was confirmed, the
// machine is done: it had its maintenance on the order of an earlier leader.
func TestOrdersWithoutEffect(t *testing.T) {
	for name, c := range map[string]struct {
		result OrderResult
		done   bool
	}{"not answered": {Unknown, false}, "confirmed": {Confirmed, true}} {
		t.Run(name, func(t *testing.T) {
			now := time.UnixMilli(0)
			w := New(now, ladderflow.MaintenanceWave{Machines: []string{"a"}, TimeLimit: time.Minute, MaxDown: 1}, time.Second)
			w.Observe(now, upMachines("a"))
			_, _ = w.Next(now, func(string) WorkerLoad { return WorkerLoad{} })
			w.RecordResult(now, "a", c.result)
			now = now.Add(listingDelay + time.Millisecond)
			w.Observe(now, upMachines("a"))
			require.Equal(t, c.done, w.Done())
		})
	}
}

// TestUnansweredOrderBesideRestartedWorker replaces the worker of a machine for another reason after an
// order without an answer. That is no evidence that the order was carried out.
func TestUnansweredOrderBesideRestartedWorker(t *testing.T) {
	for name, c := range map[string]struct {
		result OrderResult
		down   bool
		done   bool
	}{
		"not answered, never seen down": {Unknown, false, false},
		"not answered, seen down":       {Unknown, true, true},
		"confirmed, never seen down":    {Confirmed, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.UnixMilli(0)
			w := New(now, ladderflow.MaintenanceWave{Machines: []string{"a"}, TimeLimit: time.Minute, MaxDown: 1}, time.Second)
			w.Observe(now, upMachines("a"))
			_, _ = w.Next(now, func(string) WorkerLoad { return WorkerLoad{} })
			w.RecordResult(now, "a", c.result)
			if c.down {
				w.Observe(now, []ladderflow.Machine{{Name: "a", State: ladderflow.MachineMaintenance}})
			}
			now = now.Add(listingDelay + time.Millisecond)
			w.Observe(now, []ladderflow.Machine{{Name: "a", State: ladderflow.MachineUp, Worker: "w-new"}})
			require.Equal(t, c.done, w.Done())
			down, _ := w.Next(now, func(string) WorkerLoad { return WorkerLoad{} })
			require.Equal(t, !c.done, down == "a")
		})
	}
}
