package ladderproof

import (
	"time"

	"lacewingladder/ladderflow"
)

// checker is the test that a simulation fails: one with drawn actions, or a scripted one.
type checker interface {
	Log(args ...any)
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// checkStart checks a start against the ends that were acknowledged before.
func (sim *flowSimulation) checkStart(r ladderflow.Run) {
	key := r.Task
	if sim.gang(key) {
		key.Index = 0
	}
	if sim.acknowledgedDone[key] {
		sim.fail(r.Task.Job, "task %v started again after its successful end was acknowledged", r.Task)
	}
	if len(sim.acknowledgedFailures[key]) >= flowMaxAttempts {
		sim.fail(r.Task.Job, "task %v started after %d acknowledged failures", r.Task, len(sim.acknowledgedFailures[key]))
	}
}

// check checks the invariants of workers and leaders.
func (sim *flowSimulation) check() {
	*sim.steps++
	runningOn := map[ladderflow.Task]string{}
	for _, w := range sim.workers {
		w.expireLease(sim.now)
		for r := range w.running {
			if other, ok := runningOn[r.Task]; ok {
				sim.fail(r.Task.Job, "task %v runs on %s and %s", r.Task, other, w.id)
			}
			runningOn[r.Task] = w.id
		}
	}
	for _, l := range sim.leaders {
		for _, j := range sim.jobs {
			if v := l.planner.View(sim.now, j.ID); v.State == ladderflow.Done && len(sim.unfinished(j)) > 0 {
				sim.fail(j.ID, "job %s is reported as done, but task %v has not succeeded", j.ID, sim.unfinished(j)[0])
			}
		}
	}
	sim.checkShown()
	sim.checkFailed()
	sim.checkGangs()
}

// unfinished returns the tasks of a job that have not succeeded on any worker.
func (sim *flowSimulation) unfinished(j *ladderflow.Job) []ladderflow.Task {
	var list []ladderflow.Task
	for s := range j.Steps {
		for i := range j.Steps[s].Tasks {
			t := ladderflow.Task{Job: j.ID, Step: s, Index: i}
			if !sim.hasSucceeded(t) {
				list = append(list, t)
			}
		}
	}
	return list
}

// hasSucceeded reports whether a task has succeeded on a worker, even if that end was not
// acknowledged yet.
func (sim *flowSimulation) hasSucceeded(t ladderflow.Task) bool {
	if sim.gang(t) {
		t.Index = 0
	}
	return sim.succeeded[t]
}

// shownEnd is the end of a job that a leader has shown to callers.
type shownEnd struct {
	state ladderflow.State
	// fence is the lowest fencing token of a leader that has shown the end.
	fence int64
	at    time.Time
}

// checkShown checks that an end that a leader shows is also shown by every later one, and that none
// shows another end.
func (sim *flowSimulation) checkShown() {
	for _, l := range sim.leaders {
		for _, j := range sim.jobs {
			sim.checkShownBy(l, j.ID)
		}
	}
}

// checkShownBy checks and records the state of a job that a leader shows.
func (sim *flowSimulation) checkShownBy(l *flowLeader, job string) {
	v := l.planner.View(sim.now, job)
	shown, ok := sim.shown[job]
	if ok && v.State != shown.state && (v.State.Final() || l.fence >= shown.fence) {
		sim.fail(job, "job %s was shown as %v by leader %d at %v, and leader %d shows it as %v",
			job, shown.state, shown.fence, shown.at.Sub(time.UnixMilli(1_000_000)), l.fence, v.State)
	}
	if v.State.Final() && (!ok || l.fence < shown.fence) {
		sim.tracef("leader %d shows job %s as %v", l.fence, job, v.State)
		sim.shown[job] = shownEnd{state: v.State, fence: l.fence, at: sim.now}
	}
}

// checkCapacity checks that a start has not brought its worker above a capacity that it has had since
// flowResizeAllowance before the start was ordered.
func (sim *flowSimulation) checkCapacity(o *order) {
	if err := sim.workerByID(o.start.Worker.ID).checkCapacity(o.sent.Add(-flowResizeAllowance)); err != nil {
		sim.fail("", "start %v by leader %d: %v", o.start.Run, o.from.fence, err)
	}
}

// checkStartAfterShown checks a start against the ends that leaders have shown.
func (sim *flowSimulation) checkStartAfterShown(o *order) {
	job := o.start.Run.Task.Job
	shown, ok := sim.shown[job]
	if ok && (shown.state == ladderflow.Done || shown.state == ladderflow.Failed) {
		sim.fail(job, "task %v started after its job was shown as %v", o.start.Run.Task, shown.state)
	}
}
