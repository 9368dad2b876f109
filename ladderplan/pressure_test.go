package ladderplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderintake"
)

// pressureJob returns a job of a team with one step of tasks with four processors, which last a second.
func pressureJob(id, team string, accepted time.Time, tasks int) *ladderflow.Job {
	return &ladderflow.Job{
		ID: id, Queue: testQueue, Service: testService, Team: team, Accepted: accepted,
		Steps: []ladderflow.Step{{Tasks: tasks, Need: ladderflow.Size{Processor: 4000, Memory: 100}, Estimate: time.Second}},
	}
}

// TestPressure checks what counts as work of a team, and until when.
func TestPressure(t *testing.T) {
	h := newHarness(t, 2)
	fleet := &ladderflow.FleetConfig{
		Version: 2, Queues: []ladderflow.Queue{{
			Name: testQueue, Service: testService, MaxFailures: 2, ObjectiveFactor: 2, BaseObjective: time.Second,
		}},
		Teams: []ladderflow.Team{{Name: "a", Weight: 3, Quota: ladderflow.Size{Processor: 16000}}, {Name: "b", Weight: 1}},
	}
	h.planner.SetFleet(fleet)
	h.plan()
	loads, ok := h.planner.Pressure(h.now)
	require.True(t, ok)
	require.Empty(t, loads, "nothing waits")
	h.planner.AddJob(h.now, pressureJob("1", "a", h.now, 4), false)
	h.startAll()
	loads, _ = h.planner.Pressure(h.now)
	require.Empty(t, loads, "all tasks run")
	h.planner.AddJob(h.now, pressureJob("2", "a", h.now, 2), false)
	h.planner.AddJob(h.now, pressureJob("3", "b", h.now, 1), false)
	h.planner.AddJob(h.now, pressureJob("4", "gone", h.now, 1), false)
	h.plan()
	loads, ok = h.planner.Pressure(h.now)
	require.True(t, ok)
	require.Len(t, loads, 1)
	s := loads[0]
	require.Equal(t, ladderintake.Amount{16000, 16000, 0}, s.Capacity)
	require.Len(t, s.Teams, 2)
	a, b := s.Teams[0], s.Teams[1]
	require.Equal(t, []any{"a", 3.0, ladderintake.Amount{16000}}, []any{a.Team, a.Weight, a.Quota})
	// The objective is 3 s. Half of the expected second is allowed for, so that tasks must end within 2.5 s.
	due := ladderintake.ClassOf(2490 * time.Millisecond)
	require.False(t, a.Waits[due-1])
	require.True(t, a.Waits[due])
	require.InDelta(t, 4*4000*0.5, a.Demand[0][0], 100, "four tasks run for the next half second")
	require.InDelta(t, 4*4000+2*4000, a.Demand[due][0], 100)
	require.InDelta(t, 4000, b.Demand[due][0], 1)
	require.InDelta(t, 4000, s.Others.Demand[due][0], 1, "a team that is not configured")
	require.Equal(t, ladderintake.Amount{16000, 400}, a.Used)
	h.advance(10 * time.Second)
	h.pollAll(nil)
	loads, _ = h.planner.Pressure(h.now)
	require.Empty(t, loads, "what waits is of no use any more")
}

// TestPressureOfNewLeader checks that a leader that does not know yet what runs states no work: it would take
// the running tasks of the leader before for tasks that wait.
func TestPressureOfNewLeader(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	p := newPlanner(now)
	p.SetFleet(&ladderflow.FleetConfig{Teams: []ladderflow.Team{{Name: "a", Weight: 1}}})
	p.AddEarlierWorker(testWorker(0))
	for i := range 50 {
		p.AddJob(now, pressureJob(fmt.Sprint(i), "a", now, 4), true)
	}
	p.Plan(now, now, LeadershipConfirmed)
	_, ok := p.Pressure(now)
	require.False(t, ok)
}

// BenchmarkPressure adds up the work of a large fleet on which jobs of many teams wait.
func BenchmarkPressure(b *testing.B) {
	now := time.UnixMilli(1_000_000)
	p := newPlanner(now)
	fleet := &ladderflow.FleetConfig{Queues: []ladderflow.Queue{{Name: testQueue, Service: testService, ObjectiveFactor: 2, BaseObjective: time.Minute}}}
	for i := range 140 {
		fleet.Teams = append(fleet.Teams, ladderflow.Team{Name: fmt.Sprint(i), Weight: float64(1 + i)})
	}
	p.SetFleet(fleet)
	workers, roster := make([]ladderflow.Worker, 2000), map[string]bool{}
	for i := range workers {
		workers[i] = testWorker(i)
		roster[workers[i].ID] = true
	}
	p.SetWorkers(now, workers)
	p.SetRoster(roster)
	for i := range workers {
		p.RecordReport(now, workers[i].ID, now, ladderflow.StatusReport{Incarnation: 1, Clock: time.Second})
	}
	for i := range 3000 {
		p.AddJob(now, pressureJob(fmt.Sprintf("%04d", i), fmt.Sprint(i%140), now, 2), false)
	}
	p.Plan(now, now, LeadershipConfirmed)
	l := ladderintake.NewLimiter()
	for b.Loop() {
		loads, _ := p.Pressure(now)
		l.Update(now, loads)
	}
}
