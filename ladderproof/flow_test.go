package ladderproof

import (
	"context"
	"fmt"
	"maps"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderjournal"
	"lacewingladder/ladderplan"
)

// TestFlowUnderInterleaving guards against tasks that run twice, and against wrong reports of
// their state, when leaders change. Several leaders act at once, because a leader that lost
// an election is not informed. Orders are lost, late or not answered, workers restart under
// the same ID, and the outcome of some commits is unknown, at times
// the store takes nothing, and some tasks crash each worker that runs them, and the
// capacity of workers shrinks and grows.
//
// It checks:
//
//   - No start brings a worker above its capacity, unless the capacity has shrunk less than
//     flowResizeAllowance before the start was ordered. Runs that are stopping count.
//   - A task never runs in two places at once.
//   - A task does not start again after its successful end was acknowledged, or after the
//     maximum number of acknowledged failures.
//   - A leader orders no start of a job whose cancellation it has received.
//   - No leader reports a job as done before all its tasks have succeeded.
//   - Once a leader has shown a job as ended, every later leader shows the same state, and no leader
//     shows another end. Once it was shown as done or failed, none of its tasks starts again.
//   - A leader that knows, or could have read from the store, that three workers have crashed under
//     a task starts it at most twice more.
//   - No leader reports a job as failed unless the attempts of a task were used up, or two workers
//     may have crashed under it.
func TestFlowUnderInterleaving(t *testing.T) {
	steps, starts := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		sim := drawFlowSimulation(rt, &steps, &starts)
		rt.Repeat(sim.actions())
	})
	_, _ = fmt.Fprintf(os.Stderr, "flow: %d steps, %d starts\n", steps, starts)
}

// TestFlowOvertakenJobs guards against ends that are lost because the leader does not know their job yet:
// the job was accepted after the leader had read the store, and an earlier leader has started it. It
// makes the checks of TestFlowUnderInterleaving.
func TestFlowOvertakenJobs(t *testing.T) {
	steps, starts := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		sim := drawFlowSimulation(rt, &steps, &starts)
		actions := sim.actions()
		maps.Copy(actions, sim.overtakenActions())
		rt.Repeat(actions)
	})
	_, _ = fmt.Fprintf(os.Stderr, "flow, overtaken jobs: %d steps, %d starts\n", steps, starts)
}

// actions returns all actions that rapid may draw. The action with the empty name runs
// after each of the others. A seed keeps its meaning only as long as the names of actions
// and draws stay the same.
func (sim *flowSimulation) actions() map[string]func(*rapid.T) {
	actions := sim.delegateActions()
	maps.Copy(actions, sim.faultActions())
	maps.Copy(actions, map[string]func(*rapid.T){
		"":       func(t *rapid.T) { sim.t = t; sim.crashDue(); sim.check() },
		"submit": func(t *rapid.T) { sim.submit(t, sim.newest()) },
		"cancel": func(t *rapid.T) { sim.cancel(t) },
		"pass":   func(t *rapid.T) { sim.advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond) },
		"plan":   func(t *rapid.T) { sim.plan(sim.leader(t)) },
		"plan and deliver": func(t *rapid.T) {
			before := len(sim.orders)
			sim.plan(sim.leader(t))
			for _, o := range sim.orders[before:] {
				sim.advance(time.Millisecond)
				sim.deliver(o, true)
			}
		},
		"deliver": func(t *rapid.T) { sim.withDrawnOrder(t, func(o *order) { sim.deliver(o, true) }) },
		"no reply": func(t *rapid.T) {
			sim.withDrawnOrder(t, func(o *order) { sim.deliver(o, false); sim.settle(o, ladderplan.Result{Unknown: true}) })
		},
		"give up": func(t *rapid.T) {
			sim.withDrawnOrder(t, func(o *order) { sim.settle(o, ladderplan.Result{Unknown: true}) })
		},
		"lose": func(t *rapid.T) {
			sim.withDrawnOrder(t, func(o *order) { sim.settle(o, ladderplan.Result{Unsent: true}); sim.removeOrder(o) })
		},
		"look":     func(t *rapid.T) { sim.advance(time.Millisecond); sim.poll(sim.leader(t), sim.worker(t)) },
		"look all": func(t *rapid.T) { sim.pollAll(sim.leader(t)) },
		"no look": func(t *rapid.T) {
			l, w := sim.leader(t), sim.worker(t)
			l.planner.PollFailed(w.id, false)
		},
		"end":    func(t *rapid.T) { sim.end(t) },
		"crash":  func(t *rapid.T) { sim.crash(sim.worker(t)) },
		"elect":  func(*rapid.T) { sim.elect() },
		"commit": func(t *rapid.T) { sim.commit(sim.leader(t), rapid.IntRange(0, 3).Draw(t, "fate")) },
		"late commit": func(t *rapid.T) {
			if len(sim.store.delayed) > 0 && !sim.storeOut() {
				i := rapid.IntRange(0, len(sim.store.delayed)-1).Draw(t, "txn")
				sim.store.store.Txn(sim.store.delayed[i])
			}
		},
		"list": func(t *rapid.T) { sim.leader(t).planner.SetWorkers(sim.now, sim.listedWorkers()) },
	})
	return actions
}

// advance moves the simulated time forward. Leaders learn of the capacities that the store has come to
// list meanwhile.
func (sim *flowSimulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	sim.clock.Advance(d)
	sim.catchUp()
	sim.learnFleets()
	changed := false
	for _, w := range sim.workers {
		changed = w.list(sim.now) || changed
	}
	for _, l := range sim.leaders {
		if changed {
			l.planner.SetWorkers(sim.now, sim.listedWorkers())
		}
	}
}

// submit draws a job with one step, stores it, and adds it to a leader.
func (sim *flowSimulation) submit(t *rapid.T, l *flowLeader) {
	tasks, gang, cores := rapid.IntRange(1, 3).Draw(t, "tasks"), rapid.Bool().Draw(t, "gang"), rapid.IntRange(1, 4).Draw(t, "size")
	memory := rapid.SampledFrom([]int{100, 100, 0}).Draw(t, "memory")
	j := &ladderflow.Job{
		ID: fmt.Sprintf("%016x", len(sim.jobs)), Queue: flowQueue, Service: "s", Accepted: sim.now,
		Steps: []ladderflow.Step{{
			Tasks: tasks, Gang: gang, Need: ladderflow.Size{Processor: cores * 1000, Memory: memory}, Estimate: time.Second,
		}},
	}
	if sim.storeOut() {
		return
	}
	sim.drawTeam(t, j)
	sim.accept(j)
	sim.drawCrashers(t, j)
	l.planner.AddJob(sim.now, j, false)
}

// accept stores a job.
func (sim *flowSimulation) accept(j *ladderflow.Job) {
	s := &ladderjournal.Submission{Job: j}
	sim.journal.Accept(context.Background(), []*ladderjournal.Submission{s})
	if s.Outcome != ladderjournal.Stored {
		sim.t.Fatalf("the job was not stored: %v", s.Err)
	}
	sim.jobs = append(sim.jobs, j)
}

// cancel stores the cancellation of a drawn job and passes it to the newest leader only.
func (sim *flowSimulation) cancel(t *rapid.T) {
	if len(sim.jobs) == 0 || sim.storeOut() {
		return
	}
	id := rapid.SampledFrom(sim.jobs).Draw(t, "job").ID
	if _, err := sim.journal.Cancel(context.Background(), id); err != nil {
		sim.t.Fatal(err)
	}
	l := sim.newest()
	l.planner.Cancel(sim.now, id)
	l.cancelled[id] = true
}

// withDrawnOrder draws one of the orders in transit and calls do with it.
func (sim *flowSimulation) withDrawnOrder(t *rapid.T, do func(*order)) {
	if len(sim.orders) > 0 {
		do(rapid.SampledFrom(sim.orders).Draw(t, "order"))
	}
}

// removeOrder drops an order in transit.
func (sim *flowSimulation) removeOrder(o *order) {
	for i, other := range sim.orders {
		if other == o {
			sim.orders = append(sim.orders[:i], sim.orders[i+1:]...)
			return
		}
	}
}

// pollAll lets a leader poll every worker.
func (sim *flowSimulation) pollAll(l *flowLeader) {
	sim.advance(time.Millisecond)
	for _, w := range sim.workers {
		sim.poll(l, w)
	}
}

// end lets a running task end by itself. The tasks of a gang end together.
func (sim *flowSimulation) end(t *rapid.T) {
	w := sim.worker(t)
	reason := rapid.SampledFrom([]ladderflow.EndReason{ladderflow.EndDone, ladderflow.EndDone, ladderflow.EndFailed}).Draw(t, "how")
	for _, j := range sim.jobs {
		for i := range j.Steps[0].Tasks {
			for _, r := range w.runs() {
				if r.Task != (ladderflow.Task{Job: j.ID, Index: i}) || sim.crashesWorkers(r.Task) {
					continue
				}
				if j.Steps[0].Gang {
					sim.endGang(j, r.Number, reason)
				} else {
					w.end(r, reason)
					sim.recordEnd(r, reason)
				}
				return
			}
		}
	}
}

// endGang ends one run of a gang. It ends as ladderflow.EndGangIncomplete unless all tasks of the gang
// are running.
func (sim *flowSimulation) endGang(j *ladderflow.Job, number int, reason ladderflow.EndReason) {
	members := 0
	for _, w := range sim.workers {
		for _, r := range w.runs() {
			if r.Task.Job == j.ID && r.Number == number {
				members++
			}
		}
	}
	if members < j.Steps[0].Tasks {
		reason = ladderflow.EndGangIncomplete
	}
	sim.recordEnd(ladderflow.Run{Task: ladderflow.Task{Job: j.ID}, Number: number}, reason)
	for _, w := range sim.workers {
		for _, r := range w.runs() {
			if r.Task.Job == j.ID && r.Number == number {
				w.end(r, reason)
			}
		}
	}
}

// recordEnd records the end of a run, or of a gang under its first task, for the checks.
func (sim *flowSimulation) recordEnd(r ladderflow.Run, reason ladderflow.EndReason) {
	switch reason {
	case ladderflow.EndDone:
		sim.succeeded[r.Task] = true
	case ladderflow.EndFailed:
		if sim.failures[r.Task] == nil {
			sim.failures[r.Task] = map[int]bool{}
		}
		sim.failures[r.Task][r.Number] = true
	default: // Other ends are neither a success nor a failure of the task.
	}
}
