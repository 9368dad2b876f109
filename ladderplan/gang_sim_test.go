package ladderplan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

const (
	pollInterval = 100 * time.Millisecond
	simTick      = 20 * time.Millisecond
	// stopTime is how long a simulated worker takes to stop a run.
	stopTime = 400 * time.Millisecond
	// alone is the reason of the end of a member that has waited too long for the others.
	alone = ladderflow.EndReason("alone")
)

// gangSim simulates workers with the members of one gang, job a. A member works once all members of its run are
// present, and ends as alone if they are not in time.
type gangSim struct {
	*harness
	members int
	runs    []*simRun
	ends    map[string][]ladderflow.EndedRun
	// silent holds the workers that answer no poll and take no order.
	silent map[string]bool
	// late is how late the leader handles reports.
	late time.Duration
	// outcome returns when a start reaches its worker and when it is settled, and the result.
	outcome func(StartOrder) (arrives, settles time.Duration, r Result)
	due     []simEvent
	// stops holds the time of the first stop of each run, and starts all starts.
	stops  map[ladderflow.Run]time.Time
	starts []StartOrder
	alone  []string
	began  time.Time
	// ids holds the workers in the order in which they are polled, at first at firstPoll and then at each interval.
	ids       []string
	firstPoll time.Duration
	interval  time.Duration
}

type simRun struct {
	run    ladderflow.Run
	worker string
	at     time.Time
	// stopAt is when the run ends because of a stop, and worked for how long it has worked.
	stopAt time.Time
	worked time.Duration
	resume int
}

type simEvent struct {
	at time.Time
	do func()
}

func newGangSim(h *harness, workers, members int) *gangSim {
	sim := &gangSim{
		harness: h, members: members, ends: map[string][]ladderflow.EndedRun{}, silent: map[string]bool{},
		stops: map[ladderflow.Run]time.Time{}, began: h.now, interval: pollInterval,
	}
	sim.outcome = func(StartOrder) (time.Duration, time.Duration, Result) {
		return 20 * time.Millisecond, 40 * time.Millisecond, Result{}
	}
	for i := range workers {
		sim.ids = append(sim.ids, testWorker(i).ID)
	}
	return sim
}

// takeover returns the workers of a gang of which a former leader has started the given members, some time ago.
func takeover(t *testing.T, workers, members, number int, age time.Duration, present ...int) *gangSim {
	h := newHarness(t, workers)
	h.planner.fleet.Queues[0].BaseObjective = time.Hour
	s := gangOf(members)
	s.MaxPerWorker, s.Checkpointable, s.Estimate = 1, true, 10*time.Second
	sim := newGangSim(h.nextLeader([]*ladderflow.Job{testJob(h.now, "a", s)}, nil, workers), workers, members)
	for _, i := range present {
		sim.add(testWorker(i).ID, i, number, age)
	}
	return sim
}

// add adds a member's run that has arrived at its worker some time ago.
func (sim *gangSim) add(worker string, index, number int, age time.Duration) *simRun {
	x := &simRun{run: ladderflow.Run{Task: ladderflow.Task{Job: "a", Index: index}, Number: number}, worker: worker, at: sim.now.Add(-age)}
	sim.runs = append(sim.runs, x)
	return x
}

// passed returns the time since the simulation began.
func (sim *gangSim) passed() time.Duration { return sim.now.Sub(sim.began) }

// runFor lets time pass.
func (sim *gangSim) runFor(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); sim.advance(simTick) {
		sim.deliver()
		sim.work()
		if d := sim.passed() - sim.firstPoll; d >= 0 && d%sim.interval == 0 {
			for _, id := range sim.ids {
				sim.pollOne(id)
			}
		}
		sim.send(sim.plan())
	}
}

// pollOne polls a worker, which answers unless it is silent.
func (sim *gangSim) pollOne(id string) {
	switch {
	case sim.silent[id]:
		sim.planner.PollFailed(id, false)
	case sim.late > 0:
		sim.pollLate(id)
	default:
		sim.poll(id, sim.report(id))
	}
}

// pollLate polls a worker. The leader handles the report late.
func (sim *gangSim) pollLate(id string) {
	r, sent := sim.report(id), sim.now
	r.Clock, r.Incarnation, r.Ended = sim.clock[id], 1, slices.Clone(r.Ended)
	sim.after(sim.late, func() { sim.planner.RecordReport(sim.now, id, sent, r) })
}

// deliver does what is due.
func (sim *gangSim) deliver() {
	for i := 0; i < len(sim.due); i++ {
		if e := sim.due[i]; !e.at.After(sim.now) {
			sim.due = slices.Delete(sim.due, i, i+1)
			i--
			e.do()
		}
	}
}

func (sim *gangSim) after(d time.Duration, do func()) {
	sim.due = append(sim.due, simEvent{sim.now.Add(d), do})
}

// send sends orders. A stop takes 20 ms in each direction.
func (sim *gangSim) send(o Orders) {
	for _, s := range o.Starts {
		sim.starts = append(sim.starts, s)
		arrives, settles, r := sim.outcome(s)
		if arrives > 0 {
			sim.after(arrives, func() { sim.arrive(s) })
		}
		sim.after(settles, func() { sim.planner.StartSettled(sim.now, s.Worker.ID, s.Run, r) })
	}
	for _, id := range o.Polls {
		sim.after(simTick, func() { sim.pollOne(id) })
	}
	for _, s := range o.Stops {
		if _, ok := sim.stops[s.Run]; !ok {
			sim.stops[s.Run] = sim.now
		}
		if sim.silent[s.Worker.ID] {
			sim.after(time.Second, func() { sim.planner.StopSettled(sim.now, s.Worker.ID, s.Run, Result{Unknown: true}) })
			continue
		}
		sim.after(20*time.Millisecond, func() {
			for _, x := range sim.runs {
				if x.run == s.Run && x.worker == s.Worker.ID && x.stopAt.IsZero() {
					x.stopAt = sim.now.Add(stopTime)
				}
			}
		})
		sim.after(40*time.Millisecond, func() { sim.planner.StopSettled(sim.now, s.Worker.ID, s.Run, Result{}) })
	}
}

// arrive carries out a start, unless a stop has come before it.
func (sim *gangSim) arrive(s StartOrder) {
	if _, ok := sim.stops[s.Run]; ok {
		return
	}
	x := sim.add(s.Worker.ID, s.Run.Task.Index, s.Run.Number, 0)
	if s.Checkpoint != "" {
		_, err := fmt.Sscanf(s.Checkpoint, "saved at %d", &x.resume)
		require.NoError(sim.t, err)
	}
}

// work lets the members work and end.
func (sim *gangSim) work() {
	present := map[int]int{}
	for _, x := range sim.runs {
		present[x.run.Number]++
	}
	for _, x := range slices.Clone(sim.runs) {
		switch {
		case !x.stopAt.IsZero() && !sim.now.Before(x.stopAt):
			sim.end(x, ladderflow.EndStopped)
		case present[x.run.Number] == sim.members:
			x.worked += simTick
		case x.worked > 0:
			sim.end(x, ladderflow.EndReason("broken"))
		case sim.now.Sub(x.at) >= sim.planner.options.GangTimeout:
			sim.alone = append(sim.alone, fmt.Sprintf("%v run %d on %s at %v", x.run.Task, x.run.Number, x.worker, sim.passed()))
			sim.end(x, alone)
		}
	}
}

func (sim *gangSim) end(x *simRun, reason ladderflow.EndReason) {
	sim.runs = slices.DeleteFunc(sim.runs, func(o *simRun) bool { return o == x })
	list := sim.ends[x.worker]
	sim.ends[x.worker] = append(list, ladderflow.EndedRun{Sequence: int64(len(list) + 1), Run: x.run, Reason: reason, Checkpoint: x.saved()})
}

func (x *simRun) percent() int { return x.resume + int(x.worked/pollInterval) }

func (x *simRun) saved() string {
	if x.percent() == 0 {
		return ""
	}
	return fmt.Sprintf("saved at %d", x.percent())
}

func (sim *gangSim) report(id string) ladderflow.StatusReport {
	r := ladderflow.StatusReport{Ended: sim.ends[id]}
	for _, x := range sim.runs {
		if x.worker == id {
			r.Running = append(r.Running, ladderflow.ActiveRun{Run: x.run, Percent: x.percent(), Checkpoint: x.saved()})
		}
	}
	return r
}

// firstStop returns when the first run of the given number was stopped, since the simulation began.
func (sim *gangSim) firstStop(number int) time.Duration {
	first := time.Hour
	for x, at := range sim.stops {
		if x.Number == number {
			first = min(first, at.Sub(sim.began))
		}
	}
	return first
}

// requireOneStop checks that all runs that were stopped were so at once.
func (sim *gangSim) requireOneStop(number int) {
	for x, at := range sim.stops {
		require.Equal(sim.t, sim.firstStop(number), at.Sub(sim.began), "%v", x)
	}
}

// latestStop is the time after the start of a member by which a stop must be ordered to end it before a worker
// gives up waiting.
func (sim *gangSim) latestStop() time.Duration {
	return sim.planner.options.GangTimeout - sim.planner.options.StopTimeout
}

// ordered returns the workers of a gang that this leader starts.
func ordered(t *testing.T, members int) *gangSim {
	h := newHarness(t, 8)
	h.planner.fleet.Queues[0].BaseObjective = time.Hour
	sim := newGangSim(h, 8, members)
	s := gangOf(members)
	s.MaxPerWorker, s.Checkpointable, s.Estimate = 1, true, 10*time.Second
	sim.submit("a", s)
	return sim
}
