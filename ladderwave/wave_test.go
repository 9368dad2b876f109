package ladderwave

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

func up(names ...string) []ladderflow.Machine {
	var list []ladderflow.Machine
	for _, n := range names {
		list = append(list, ladderflow.Machine{Name: n, State: ladderflow.MachineUp, Worker: "w-" + n})
	}
	return list
}

func TestNext(t *testing.T) {
	begin := time.UnixMilli(0)
	for name, c := range map[string]struct {
		after time.Duration
		loads map[string]Load
		down  string
		empty []string
	}{
		"the emptiest machine first":                {0, map[string]Load{"w-a": {Busy: 5}}, "b", []string{"w-c", "w-a"}},
		"busy ones are emptied while there is time": {0, map[string]Load{"w-a": {Busy: 5}, "w-b": {Busy: 1}, "w-c": {Busy: 2}}, "", []string{"w-b", "w-c"}},
		"busy ones go when time is short":           {16 * time.Second, map[string]Load{"w-a": {Busy: 5}, "w-b": {Busy: 1}, "w-c": {Busy: 2}}, "b", []string{"w-c", "w-a"}},
		"a task that must stay is not ended":        {16 * time.Second, map[string]Load{"w-a": {Kept: true}, "w-b": {Kept: true}, "w-c": {Kept: true}}, "", []string{"w-a", "w-b"}},
	} {
		t.Run(name, func(t *testing.T) {
			w := New(begin, ladderflow.Wave{Machines: []string{"a", "b", "c", "gone"}, Within: 20 * time.Second, AtOnce: 2}, 2*time.Second)
			w.Seen(begin, up("a", "b", "c"))
			down, empty := w.Next(begin.Add(c.after), func(id string) Load { return c.loads[id] })
			require.Equal(t, c.down, down)
			require.Equal(t, c.empty, empty)
		})
	}
}

func TestWaveEnds(t *testing.T) {
	begin := time.UnixMilli(0)
	none := func(string) Load { return Load{} }
	w := New(begin, ladderflow.Wave{Machines: []string{"a", "b"}, Within: time.Minute, AtOnce: 1}, time.Second)
	w.Seen(begin, up("a", "b"))
	down, _ := w.Next(begin, none)
	require.Equal(t, "a", down)
	w.Ordered(begin, "a", Refused)
	down, _ = w.Next(begin, none)
	require.Equal(t, "a", down, "a refused order is sent again")
	w.Ordered(begin, "a", Confirmed)
	down, _ = w.Next(begin, none)
	require.Empty(t, down, "one at once")
	w.Seen(begin, []ladderflow.Machine{{Name: "a", State: ladderflow.MachineUpkeep}, up("b")[0]})
	require.False(t, w.Done())
	w.Seen(begin, []ladderflow.Machine{{Name: "a", State: ladderflow.MachineUp, Worker: "w-new"}, up("b")[0]})
	down, _ = w.Next(begin, none)
	require.Equal(t, "b", down)
	w.Seen(begin, []ladderflow.Machine{{Name: "a", State: ladderflow.MachineUp, Worker: "w-new"}})
	require.True(t, w.Done(), "a machine that left is not waited for")
}

// TestOrdersOfUnknownFate sends an order again that changed nothing, and takes one
// that was confirmed and changed nothing for an earlier leader's.
func TestOrdersOfUnknownFate(t *testing.T) {
	for name, c := range map[string]struct {
		answer Answer
		done   bool
	}{"not answered": {Unknown, false}, "confirmed": {Confirmed, true}} {
		t.Run(name, func(t *testing.T) {
			now := time.UnixMilli(0)
			w := New(now, ladderflow.Wave{Machines: []string{"a"}, Within: time.Minute, AtOnce: 1}, time.Second)
			w.Seen(now, up("a"))
			_, _ = w.Next(now, func(string) Load { return Load{} })
			w.Ordered(now, "a", c.answer)
			now = now.Add(settleTime + time.Millisecond)
			w.Seen(now, up("a"))
			require.Equal(t, c.done, w.Done())
		})
	}
}
