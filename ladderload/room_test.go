package ladderload

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderplan"
)

const (
	roomProbeInterval = 100 * time.Millisecond
	// maxIdleRoom is how long a job may wait while there is capacity for it twice over and less than half
	// of all capacity is in use.
	maxIdleRoom = 3 * time.Second
)

// roomProbe measures how long jobs of a simulation wait, after the last has arrived, although there is room
// for them.
type roomProbe struct {
	t   *testing.T
	sim *simulation
	// since holds the time from which each waiting job has had room, and longest the longest such time.
	since   map[string]time.Duration
	longest time.Duration
	worst   string
	// allowed holds the workers that may run each step.
	allowed map[ladderflow.StepRef][]*worker
	// free holds the free capacity of each worker.
	free map[*worker]ladderflow.Size
}

func newRoomProbe(t *testing.T, sim *simulation) *roomProbe {
	p := &roomProbe{t: t, sim: sim, since: map[string]time.Duration{}, allowed: map[ladderflow.StepRef][]*worker{}, free: map[*worker]ladderflow.Size{}}
	sim.schedule(sim.load.ArrivalPeriod, p.sample)
	return p
}

func (p *roomProbe) sample() {
	sim := p.sim
	sim.schedule(roomProbeInterval, p.sample)
	active := map[string]bool{}
	var used ladderflow.Size
	for _, w := range sim.workers {
		free := w.spec.Capacity
		for r := range w.running {
			need := sim.jobs[r.Task.Job].spec.Steps[r.Task.Step].Need
			free, used = free.Minus(need), used.Plus(need)
			active[r.Task.Job] = true
		}
		p.free[w] = free
	}
	n, size := sim.load.Workers.Count, sim.load.Workers.Size
	processor, memory := float64(used.Processor)/float64(n*size.Processor), float64(used.Memory)/float64(n*size.Memory)
	roomFree := max(processor, memory) < 0.5
	waiting := map[string]int{}
	for _, id := range slices.Sorted(maps.Keys(sim.jobs)) {
		j := sim.jobs[id]
		if j.endedAt > 0 || active[id] {
			delete(p.since, id)
			continue
		}
		waiting[j.queue.Name]++
		if !roomFree || !p.hasRoomTwice(j) {
			delete(p.since, id)
			continue
		}
		if _, ok := p.since[id]; !ok {
			p.since[id] = sim.now
		}
		if d := sim.now - p.since[id]; d > p.longest {
			e, _ := sim.planner.Explain(sim.time(), id)
			p.longest, p.worst = d, fmt.Sprintf("%s, arrived at %v, at %v: %s", id, j.arrivedAt, sim.now, e)
		}
	}
	if sim.now%time.Second == 0 {
		b, _ := sim.planner.GangBacklog(sim.time())
		p.t.Logf("%v: processor %.2f, memory %.2f, waiting %v, with room %d, longest %v; %d gangs: %v",
			sim.now, processor, memory, waiting, len(p.since), p.longest, b.Steps, b.Reasons)
	}
}

// hasRoomTwice reports whether a job has a ready step with waiting tasks for which there is room twice over.
func (p *roomProbe) hasRoomTwice(j *job) bool {
	e, ok := p.sim.planner.Explain(p.sim.time(), j.spec.ID)
	if !ok {
		return false
	}
	for _, s := range e.Steps {
		spec := &j.spec.Steps[s.Step]
		if s.Waiting == 0 || slices.ContainsFunc(spec.DependsOn, func(i int) bool { return e.Steps[i].Done < e.Steps[i].Tasks }) {
			continue
		}
		slots := 0
		for _, w := range p.mayRun(j, s.Step) {
			slots += spec.Need.FitCount(p.free[w], s.Tasks)
		}
		if slots >= 2*s.Waiting {
			return true
		}
	}
	return false
}

// mayRun returns the workers on which a step may run.
func (p *roomProbe) mayRun(j *job, step int) []*worker {
	ref := ladderflow.StepRef{Job: j.spec.ID, Step: step}
	list, ok := p.allowed[ref]
	if ok {
		return list
	}
	for _, w := range p.sim.workers {
		if j.queue.Advice == nil || j.allows(ref, w.spec.ID) {
			list = append(list, w)
		}
	}
	slices.SortFunc(list, func(a, b *worker) int { return cmp.Compare(a.spec.ID, b.spec.ID) })
	p.allowed[ref] = list
	return list
}

// TestGangsStartWhileRoomIsFree checks that gangs start while there is room for them. A leader begins with
// more of them than the workers have room for, and has no advice yet.
func TestGangsStartWhileRoomIsFree(t *testing.T) {
	const gangsPerSecond = 130
	for name, change := range map[string]func(l *Load){
		"plans without pause": func(l *Load) { l.PlanPause = 15 * time.Millisecond },
		"plans with pauses":   func(*Load) {},
		"late answers":        func(l *Load) { l.LateShare, l.LateRoundTrip = 0.05, 300*time.Millisecond },
		"exact estimates":     func(l *Load) { l.Queues[0].EstimateSigma = 0 },
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				l := readExample(t, "jadewing", "large.yaml")
				l.Queues, l.Bursts = l.Queues[:1], nil
				l.Queues[0].Rate = gangsPerSecond
				l.ArrivalPeriod, l.ExtraTime = time.Second, 30*time.Second
				l.Delegates, l.OrderRoundTrip, l.PlanPause = 18, 60*time.Millisecond, 50*time.Millisecond
				change(l)
				sim := newSimulation(l, seed, ladderplan.ByObjective)
				p := newRoomProbe(t, sim)
				sim.run()
				require.Less(t, p.longest, maxIdleRoom, "job %s", p.worst)
			})
		}
	}
}

// TestWideGangStartsOnIdleWorkers checks that a gang that needs more workers than one advice query may name
// starts in time on workers that are nearly all idle.
func TestWideGangStartsOnIdleWorkers(t *testing.T) {
	for name, change := range map[string]func(q *Queue){
		"as wide as the queue's gangs get": func(q *Queue) { q.TasksPerStep, q.Cores = Distribution{Mean: 160}, Distribution{Mean: 15} },
		"as in the report":                 func(q *Queue) { q.TasksPerStep, q.Cores = Distribution{Mean: 70}, Distribution{Mean: 11.1} },
		"allowed on few workers":           func(q *Queue) { q.TasksPerStep, q.AllowedShare = Distribution{Mean: 70}, 0.2 },
	} {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				l := readExample(t, "jadewing", "large.yaml")
				l.Queues, l.Bursts = l.Queues[:1], nil
				l.Queues[0].Rate, l.Queues[0].MeanSteps = 20, 1
				l.ArrivalPeriod, l.ExtraTime = 100*time.Millisecond, 15*time.Second
				l.Delegates, l.OrderRoundTrip, l.PlanPause = 18, 60*time.Millisecond, 50*time.Millisecond
				change(&l.Queues[0])
				sim := newSimulation(l, seed, ladderplan.ByObjective)
				p := newRoomProbe(t, sim)
				sim.run()
				require.NotEmpty(t, sim.jobs)
				require.Less(t, p.longest, maxIdleRoom, "job %s", p.worst)
			})
		}
	}
}

// takeOver replaces the leader by one that holds what is stored and has no advice yet. The roster holds all
// workers.
func (sim *simulation) takeOver() {
	p := sim.newPlanner(2, ladderplan.ByObjective)
	for _, id := range slices.Sorted(maps.Keys(sim.jobs)) {
		p.AddJob(sim.time(), sim.jobs[id].spec, true)
	}
	for _, id := range slices.Sorted(maps.Keys(sim.records)) {
		p.Restore(sim.time(), sim.records[id])
	}
	var list []ladderflow.Worker
	var vms []string
	roster := map[string]bool{}
	for _, id := range slices.Sorted(maps.Keys(sim.workers)) {
		list, roster[id] = append(list, sim.workers[id].spec), true
		p.AddEarlierWorker(sim.workers[id].spec)
	}
	for i := range sim.load.EntryVMs {
		vms = append(vms, fmt.Sprintf("e%d", i))
	}
	p.SetRoster(roster)
	p.SetWorkers(sim.time(), list)
	p.SetVMs(vms)
	sim.planner = p
}

// TestGangsStartAfterTakeover checks that a new leader starts the gangs that an overloaded one has left while
// there is room for them.
func TestGangsStartAfterTakeover(t *testing.T) {
	for name, lapse := range map[string]bool{"runs continue": false, "all leases have expired": true} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				l := readExample(t, "jadewing", "large.yaml")
				l.Queues[0].Rate *= 2
				l.ArrivalPeriod, l.ExtraTime = 10*time.Second, 30*time.Second
				l.Delegates, l.OrderRoundTrip, l.PlanPause = 18, 60*time.Millisecond, 50*time.Millisecond
				sim := newSimulation(l, seed, ladderplan.ByObjective)
				p := newRoomProbe(t, sim)
				sim.schedule(l.ArrivalPeriod, func() {
					for _, id := range slices.Sorted(maps.Keys(sim.workers)) {
						w := sim.workers[id]
						for _, r := range w.sortedRuns() {
							if lapse {
								sim.endRun(w, r, ladderflow.EndLeaseExpired)
							}
						}
					}
					sim.takeOver()
				})
				sim.run()
				require.Less(t, p.longest, maxIdleRoom, "job %s", p.worst)
			})
		}
	}
}
