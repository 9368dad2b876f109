package ladderplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// TestTakeBackForGang lets a gang wait for workers that another team has filled with jobs beyond its rate.
func TestTakeBackForGang(t *testing.T) {
	for name, c := range map[string]struct {
		team   string
		change func(*ladderflow.Step)
		age    time.Duration
		stops  int
	}{
		"runs that can resume":        {"b", func(s *ladderflow.Step) { s.Checkpointable = true }, time.Second, 4},
		"too much work would be lost": {"b", func(s *ladderflow.Step) { s.Checkpointable = true }, 40 * time.Second, 0},
		"runs that can't resume":      {"b", func(*ladderflow.Step) {}, time.Second, 0},
		"gangs":                       {"b", func(s *ladderflow.Step) { s.Checkpointable, s.Gang = true, true }, time.Second, 0},
		"a gang of the same team":     {"a", func(s *ladderflow.Step) { s.Checkpointable = true }, time.Second, 0},
		"a gang without a team":       {"", func(s *ladderflow.Step) { s.Checkpointable = true }, time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newShareHarness(t, 2, map[string]float64{"a": 1, "b": 1})
			h.planner.fleet.Queues[0].BaseObjective = time.Hour
			for i := range 12 {
				s := stepOf(1)
				s.Estimate = time.Minute
				if i >= minBurst {
					c.change(&s)
				}
				h.advance(time.Millisecond)
				h.send("a", fmt.Sprintf("a%02d", i), s)
			}
			require.Len(t, h.startAll(), 8)
			for h.now.Sub(time.UnixMilli(1_000_000)) < c.age {
				h.advance(500 * time.Millisecond)
				running := map[string][]ladderflow.ActiveRun{}
				for id, w := range h.planner.workers {
					for _, x := range w.runOrder {
						running[id] = append(running[id], ladderflow.ActiveRun{Run: x.name, Percent: x.percent + 1})
					}
				}
				h.pollAll(running)
				// The team goes on sending, so that it stays over its rate.
				for i := range 3 {
					h.send("a", fmt.Sprintf("%v%d", h.now.UnixMilli(), i), stepOf(1))
				}
				h.plan()
			}
			h.send(c.team, "gang", gangOf(4))
			h.plan()
			stops := 0
			for range 4 {
				h.advance(100 * time.Millisecond)
				stops += len(h.plan().Stops)
			}
			require.Equal(t, c.stops, stops)
		})
	}
}

// keepRunning lets all runs go on for a while, with new checkpoints.
func (h *harness) keepRunning(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.advance(100 * time.Millisecond)
		running := map[string][]ladderflow.ActiveRun{}
		for id, w := range h.planner.workers {
			for _, x := range w.runOrder {
				running[id] = append(running[id], ladderflow.ActiveRun{Run: x.name, Percent: 1 + int(h.now.Sub(x.startedAt).Seconds()), Checkpoint: fmt.Sprint(h.now)})
			}
		}
		h.pollAll(running)
		h.plan()
	}
}

// longStep returns a step of n tasks that save their work.
func longStep(n int) ladderflow.Step {
	s := stepOf(n)
	s.Checkpointable, s.Estimate = true, 5*time.Second
	return s
}

// TestTakeBackWithinRack lets a gang that asks for one rack wait. No rack has enough runs to stop, two together have.
func TestTakeBackWithinRack(t *testing.T) {
	h := newShareHarness(t, 8, map[string]float64{"a": 100, "b": 100})
	h.planner.fleet.Queues[0].BaseObjective = time.Hour
	for i := range 32 {
		h.send("a", fmt.Sprint("x", i), longStep(1))
	}
	require.Len(t, h.startAll(), 32)
	for _, id := range []string{"w2", "w3", "w6", "w7"} {
		for _, x := range h.planner.workers[id].runOrder {
			x.task.preempted = true // They can't be stopped.
		}
	}
	h.send("b", "waits", stepOf(1))
	h.keepRunning(10 * time.Second)
	g := gangOf(12)
	g.PreferSameRack, g.Estimate = true, time.Minute
	h.send("b", "gang", g)
	h.plan()
	stops := 0
	for range 15 {
		h.advance(100 * time.Millisecond)
		h.plan()
		stops += len(h.orders.Stops)
	}
	require.Zero(t, stops, "no rack can hold the gang after the stops")
}

// TestTakeBackLeavesShare lets a gang wait beside a team that runs one task more than its share of four.
func TestTakeBackLeavesShare(t *testing.T) {
	h := newShareHarness(t, 2, map[string]float64{"a": 100, "b": 100})
	h.planner.fleet.Queues[0].BaseObjective = time.Hour
	for i := range 5 {
		h.send("a", fmt.Sprint("x", i), longStep(1))
	}
	h.send("b", "y", longStep(3))
	require.Len(t, h.startAll(), 8)
	h.keepRunning(20 * time.Second)
	g := gangOf(4)
	g.Estimate = time.Minute
	h.send("b", "gang", g)
	h.plan()
	stops := 0
	for range 5 {
		h.advance(100 * time.Millisecond)
		h.plan()
		stops += len(h.orders.Stops)
	}
	require.LessOrEqual(t, stops, 1, "team a keeps its share of 4 tasks")
}

// TestDebtStopsNothing lets a gang wait beside a team that has used the whole fleet and now uses an eighth.
func TestDebtStopsNothing(t *testing.T) {
	h := newShareHarness(t, 2, map[string]float64{"a": 100, "b": 100, "c": 100})
	h.planner.fleet.Queues[0].BaseObjective = time.Hour
	for i := range 8 {
		h.send("a", fmt.Sprint("x", i), longStep(1))
	}
	starts := h.startAll()
	require.Len(t, starts, 8)
	y := stepOf(2)
	y.Estimate = time.Minute
	h.send("b", "y", y)
	c := stepOf(5)
	c.Estimate = time.Minute
	h.send("c", "z", c)
	h.keepRunning(20 * time.Second)
	for _, s := range starts[:7] {
		h.endRun(s, ladderflow.EndDone)
	}
	h.send("b", "y", longStep(7))
	require.Len(t, h.startAll(), 7)
	g := gangOf(1)
	g.Estimate = time.Minute
	h.send("b", "gang", g)
	h.plan()
	stops := 0
	for range 10 {
		h.advance(100 * time.Millisecond)
		h.plan()
		stops += len(h.orders.Stops)
	}
	require.Zero(t, stops, "team a uses less than its share")
}
