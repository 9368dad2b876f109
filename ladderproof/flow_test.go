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

// TestFlowUnderInterleaving plays the leaders' protocol on the members' platform:
// leaders that lose the lead without a word, orders that are lost, late or not
// answered, workers that are born again under their id, and commits of unknown fate.
// After each step: room, one run at a time, ends that were noted stay, attempts, no
// start after a cancellation, nothing shown as done that is not.
func TestFlowUnderInterleaving(t *testing.T) {
	steps, starts := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		w := newFlowWorld(rt, &steps, &starts)
		rt.Repeat(w.actions())
	})
	_, _ = fmt.Fprintf(os.Stderr, "flow: %d steps, %d starts\n", steps, starts)
}

func (w *flowWorld) actions() map[string]func(*rapid.T) {
	actions := w.delegateActions()
	maps.Copy(actions, map[string]func(*rapid.T){
		"": func(t *rapid.T) { w.t = t; w.check() },
		"submit": func(t *rapid.T) {
			w.submit(rapid.IntRange(1, 3).Draw(t, "tasks"), rapid.Bool().Draw(t, "gang"), rapid.IntRange(1, 4).Draw(t, "size"))
		},
		"cancel": func(t *rapid.T) { w.cancel(t) },
		"pass":   func(t *rapid.T) { w.pass(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond) },
		"plan":   func(t *rapid.T) { w.plan(w.leader(t)) },
		"plan and deliver": func(t *rapid.T) {
			before := len(w.orders)
			w.plan(w.leader(t))
			for _, o := range w.orders[before:] {
				w.pass(time.Millisecond)
				w.deliver(o, true)
			}
		},
		"deliver": func(t *rapid.T) { w.pick(t, func(o *order) { w.deliver(o, true) }) },
		"no reply": func(t *rapid.T) {
			w.pick(t, func(o *order) { w.deliver(o, false); w.settle(o, ladderplan.Result{Unknown: true}) })
		},
		"give up": func(t *rapid.T) { w.pick(t, func(o *order) { w.settle(o, ladderplan.Result{Unknown: true}) }) },
		"lose": func(t *rapid.T) {
			w.pick(t, func(o *order) { w.settle(o, ladderplan.Result{Unsent: true}); w.forget(o) })
		},
		"look":     func(t *rapid.T) { w.pass(time.Millisecond); w.look(w.leader(t), w.worker(t)) },
		"look all": func(t *rapid.T) { w.lookAll(w.leader(t)) },
		"no look": func(t *rapid.T) {
			l, x := w.leader(t), w.worker(t)
			l.planner.LookFailed(x.id, false)
		},
		"end":    func(t *rapid.T) { w.end(t) },
		"crash":  func(t *rapid.T) { w.crash(w.worker(t)) },
		"elect":  func(*rapid.T) { w.elect() },
		"commit": func(t *rapid.T) { w.commit(w.leader(t), rapid.IntRange(0, 3).Draw(t, "fate")) },
		"late commit": func(t *rapid.T) {
			if len(w.store.late) > 0 {
				i := rapid.IntRange(0, len(w.store.late)-1).Draw(t, "txn")
				w.store.store.Txn(w.store.late[i])
			}
		},
		"list": func(t *rapid.T) { w.leader(t).planner.SetWorkers(w.now, w.list()) },
	})
	return actions
}

func (w *flowWorld) pass(d time.Duration) {
	w.now = w.now.Add(d)
	w.clock.Advance(d)
}

func (w *flowWorld) submit(tasks int, gang bool, cores int) {
	j := &ladderflow.Job{
		ID: fmt.Sprintf("%016x", len(w.jobs)), Queue: flowQueue, Service: "s", Accepted: w.now,
		Steps: []ladderflow.Step{{
			Tasks: tasks, Gang: gang, Need: ladderflow.Size{Processor: cores * 1000, Memory: 100}, Estimate: time.Second,
		}},
	}
	s := &ladderjournal.Submission{Job: j}
	w.journal.Accept(context.Background(), []*ladderjournal.Submission{s})
	if s.Outcome != ladderjournal.Stored {
		w.t.Fatalf("job is not stored: %v", s.Err)
	}
	w.jobs = append(w.jobs, j)
	w.leaders[len(w.leaders)-1].planner.AddJob(w.now, j, false)
}

func (w *flowWorld) cancel(t *rapid.T) {
	if len(w.jobs) == 0 {
		return
	}
	id := rapid.SampledFrom(w.jobs).Draw(t, "job").ID
	if _, err := w.journal.Cancel(context.Background(), id); err != nil {
		w.t.Fatal(err)
	}
	l := w.leaders[len(w.leaders)-1]
	l.planner.Cancel(w.now, id)
	l.cancelled[id] = true
}

// pick draws one of the orders on their way.
func (w *flowWorld) pick(t *rapid.T, do func(*order)) {
	if len(w.orders) > 0 {
		do(rapid.SampledFrom(w.orders).Draw(t, "order"))
	}
}

func (w *flowWorld) forget(o *order) {
	for i, x := range w.orders {
		if x == o {
			w.orders = append(w.orders[:i], w.orders[i+1:]...)
			return
		}
	}
}

func (w *flowWorld) lookAll(l *flowLeader) {
	w.pass(time.Millisecond)
	for _, x := range w.workers {
		w.look(l, x)
	}
}

// end lets a run end by itself; the members of a gang end together.
func (w *flowWorld) end(t *rapid.T) {
	x := w.worker(t)
	how := rapid.SampledFrom([]ladderflow.How{ladderflow.EndDone, ladderflow.EndDone, ladderflow.EndFailed}).Draw(t, "how")
	for _, j := range w.jobs {
		for i := range j.Steps[0].Tasks {
			for r := range x.running {
				if r.Task != (ladderflow.Task{Job: j.ID, Index: i}) {
					continue
				}
				if j.Steps[0].Gang {
					w.endGang(j, r.Number, how)
				} else {
					x.end(r, how)
					w.well[r.Task] = w.well[r.Task] || how == ladderflow.EndDone
				}
				return
			}
		}
	}
}

// endGang ends a gang's attempt, which works only while all members are there.
func (w *flowWorld) endGang(j *ladderflow.Job, number int, how ladderflow.How) {
	members := 0
	for _, x := range w.workers {
		for r := range x.running {
			if r.Task.Job == j.ID && r.Number == number {
				members++
			}
		}
	}
	if members < j.Steps[0].Tasks {
		how = ladderflow.EndAlone
	}
	first := ladderflow.Task{Job: j.ID}
	w.well[first] = w.well[first] || how == ladderflow.EndDone
	for _, x := range w.workers {
		for r := range x.running {
			if r.Task.Job == j.ID && r.Number == number {
				x.end(r, how)
			}
		}
	}
}
