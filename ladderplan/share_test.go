package ladderplan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// minBurst is the least number of jobs that a team may send at once.
const minBurst = 4

// newShareHarness returns a harness whose configuration has teams of the given weights.
func newShareHarness(t *testing.T, workers int, weights map[string]float64) *harness {
	h := newHarness(t, workers)
	f := &ladderflow.FleetConfig{Version: 2, Queues: h.planner.fleet.Queues}
	for name, w := range weights {
		f.Teams = append(f.Teams, ladderflow.Team{Name: name, Weight: w})
	}
	h.planner.SetFleet(f)
	return h
}

// send adds a job of a team.
func (h *harness) send(team, id string, steps ...ladderflow.Step) *ladderflow.Job {
	j := testJob(h.now, id, steps...)
	j.Team = team
	h.planner.AddJob(h.now, j, false)
	return j
}

// started returns the jobs of starts, in order, each once.
func started(list []StartOrder) (ids []string) {
	for _, s := range list {
		if id := s.Run.Task.Job; !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// TestJobsBeyondRateComeLast sends more jobs than a team's rate while the worker is full. Those beyond the rate start
// after the others, which come later; a lone team uses all room.
func TestJobsBeyondRateComeLast(t *testing.T) {
	for name, c := range map[string]struct {
		weights map[string]float64
		other   string
		want    []string
	}{
		"another team comes first":            {map[string]float64{"a": 1, "b": 1}, "b", []string{"a0", "a1", "a2", "a3", "z", "a4", "a5"}},
		"a job without a team comes first":    {map[string]float64{"a": 1}, "", []string{"a0", "a1", "a2", "a3", "z", "a4", "a5"}},
		"a team that was removed comes first": {map[string]float64{"a": 1}, "gone", []string{"a0", "a1", "a2", "a3", "z", "a4", "a5"}},
		"a team without a rate":               {map[string]float64{"a": 0, "b": 1}, "b", []string{"a0", "a1", "a2", "a3", "a4", "a5", "z"}},
		"no teams":                            {nil, "b", []string{"a0", "a1", "a2", "a3", "a4", "a5", "z"}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newShareHarness(t, 2, c.weights)
			for i := range 6 {
				h.advance(time.Millisecond)
				h.send("a", fmt.Sprintf("a%d", i), stepOf(1))
			}
			h.advance(time.Millisecond)
			h.send(c.other, "z", stepOf(1))
			require.Equal(t, c.want, started(h.startAll()), "all start while there is room")
		})
	}
}

// TestRateIsKnownAfterTakeover gives a new leader the jobs in another order. It knows which ones came beyond the rate.
func TestRateIsKnownAfterTakeover(t *testing.T) {
	h := newShareHarness(t, 2, map[string]float64{"a": 1, "b": 1})
	var jobs []*ladderflow.Job
	for i := range 8 {
		h.advance(time.Millisecond)
		jobs = append(jobs, h.send("a", fmt.Sprintf("a%d", i), stepOf(1)))
	}
	h.plan()
	slices.Reverse(jobs)
	next := h.nextLeader(jobs, nil, 2)
	next.plan()
	for id, j := range h.planner.jobs {
		require.Equal(t, j.beyondRate, next.planner.jobs[id].beyondRate, id)
	}
	require.True(t, next.planner.jobs["a7"].beyondRate)
	require.False(t, next.planner.jobs["a3"].beyondRate)
}

// TestJobsAcceptedInTheFuture accepts jobs at a VM whose clock is ahead. They give the team no further tokens.
func TestJobsAcceptedInTheFuture(t *testing.T) {
	h := newShareHarness(t, 1, map[string]float64{"a": 1})
	for i := range 6 {
		j := testJob(h.now.Add(time.Duration(i)*time.Hour), fmt.Sprint(i), stepOf(1))
		j.Team = "a"
		h.planner.AddJob(h.now, j, false)
	}
	h.plan()
	require.False(t, h.planner.jobs["3"].beyondRate)
	require.True(t, h.planner.jobs["4"].beyondRate)
}

// TestTeamOverItsShareYields fills the workers with the steps of one team. The room that becomes free goes to the
// team that has less than its share, though its job is later; the next free room goes to the first team again once
// the second has its share.
func TestTeamOverItsShareYields(t *testing.T) {
	h := newShareHarness(t, 1, map[string]float64{"a": 100, "b": 100})
	h.send("a", "a0", stepOf(4))
	first := h.startAll()
	require.Len(t, first, 4, "idle room is used by anyone")
	h.send("a", "a1", stepOf(4))
	h.send("b", "b0", stepOf(3))
	for range 30 { // The debt of the first team grows beyond what one step alone adds.
		h.advance(100 * time.Millisecond)
		h.pollAll(map[string][]ladderflow.ActiveRun{"w0": h.activeRuns()})
		require.Empty(t, h.plan().Starts)
	}
	h.endRun(first[0], ladderflow.EndDone)
	require.Equal(t, []string{"b0"}, started(h.startAll()))
	s, ok := h.planner.JobStanding(h.now, "a1")
	require.True(t, ok)
	require.True(t, s.BeyondShare)
	require.Equal(t, 1, s.JobsBefore)
	require.Greater(t, s.OverShare, 1.0)
}

// activeRuns returns the runs of the first worker, as it reports them.
func (h *harness) activeRuns() (list []ladderflow.ActiveRun) {
	for name := range h.planner.workers["w0"].runs {
		list = append(list, ladderflow.ActiveRun{Run: name, Percent: int(h.now.UnixMilli()/100) % 100})
	}
	return list
}

// TestReservationsGoToEntitledGangs lets many gangs that are beyond their team's rate wait. They take no reservation
// from a gang of another team that comes later.
func TestReservationsGoToEntitledGangs(t *testing.T) {
	h := newShareHarness(t, 4, map[string]float64{"a": 1, "b": 1})
	for i := range minBurst {
		h.send("a", fmt.Sprint("small", i), stepOf(1))
	}
	h.send("b", "filler", stepOf(10))
	h.startAll()
	for i := range 3 * minReservingGangs {
		h.advance(time.Millisecond)
		h.send("a", fmt.Sprintf("a%02d", i), gangOf(8))
	}
	h.advance(time.Millisecond)
	h.send("b", "z", gangOf(8))
	h.plan()
	gang := &h.planner.jobs["z"].rounds[0].steps[0].gang
	require.Len(t, gang.reservation.slots, 8)
	for i := range 3 * minReservingGangs {
		s := h.planner.jobs[fmt.Sprintf("a%02d", i)].rounds[0].steps[0]
		for _, o := range s.gang.reservation.slots {
			require.False(t, slices.ContainsFunc(gang.reservation.slots, func(e futureSlot) bool { return e.worker == o.worker }))
		}
	}
}

// TestAdviceForEntitledSteps checks that the queries of steps that yield leave half of the VMs to the others, and use all
// of them while nobody else asks.
func TestAdviceForEntitledSteps(t *testing.T) {
	a := newAdvisers()
	a.vmNames = []string{"e0", "e1", "e2", "e3", "e4", "e5"}
	now := time.UnixMilli(1_000_000)
	long := 2 * longQueryCost
	sent := func(yields bool) (n int) {
		for range 20 {
			if _, ok := a.pickVM(now, long, yields); ok {
				n++
			}
		}
		return n
	}
	require.Equal(t, 8, sent(true), "two queries for each of four VMs")
	now = now.Add(time.Second)
	_, ok := a.pickVM(now, long, false)
	require.True(t, ok)
	now = now.Add(time.Second)
	require.Equal(t, 2, sent(true), "one query for each idle VM of one half")
	require.Equal(t, 6, sent(false))
	now = now.Add(longQueryPreference + time.Second)
	require.Equal(t, 8, sent(true), "nobody else asks")
}

// TestTeamStandings checks the figures that operators see.
func TestTeamStandings(t *testing.T) {
	h := newHarness(t, 1)
	require.Empty(t, h.planner.TeamStandings(h.now))
	_, ok := h.planner.JobStanding(h.now, "a")
	require.False(t, ok)
	f := &ladderflow.FleetConfig{Version: 2, Queues: h.planner.fleet.Queues}
	f.Teams = []ladderflow.Team{{Name: "a", Weight: 3, Quota: ladderflow.Size{Processor: 9000}}, {Name: "b", Weight: 1}}
	h.planner.SetFleet(f)
	for i := range 6 {
		h.advance(time.Millisecond)
		h.send("a", fmt.Sprint(i), stepOf(1))
	}
	h.send("gone", "g", stepOf(1))
	h.startAll()
	h.advance(idlePassInterval)
	h.plan()
	list := h.planner.TeamStandings(h.now)
	require.Len(t, list, 3)
	require.Equal(t, "gone", list[2].Team)
	a := list[0]
	require.Equal(t, 9000, a.Quota.Processor)
	require.Equal(t, 4, a.Running+list[2].Running)
	require.Equal(t, 3, a.Waiting+list[2].Waiting)
	require.True(t, a.BeyondRate)
	require.Positive(t, a.UsedShare)
}
