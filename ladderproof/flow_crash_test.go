package ladderproof

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"lacewingladder/ladderflow"
)

const (
	// flowGiveUpCrashes is the number of workers that must have crashed under a task before its job
	// may be given up.
	flowGiveUpCrashes = 2
	// flowMaxCrashes is the number of crashes under a task after which a leader that knows of them
	// may start it fewer than flowMaxCrashStarts times.
	flowMaxCrashes     = 3
	flowMaxCrashStarts = 3
)

// taskCrashes tells how many workers have crashed under a task.
type taskCrashes struct {
	// possible counts the crashes that lost a run of the task, or a run's end that was not
	// acknowledged. No leader can tell these apart.
	possible int
	// stored is the highest number of crashes under a run that a leader knew of when it stored its
	// records.
	stored int
}

// leaderCrashes tells what a leader knows of the crashes under a task.
type leaderCrashes struct {
	known int
	// starts counts the starts that the leader has ordered since known reached flowMaxCrashes.
	starts int
}

// crash is the crash of a worker under a run that a leader had seen there. The leader does not know
// of it before it has seen a later incarnation of the worker.
type crash struct {
	leader      *flowLeader
	worker      *flowWorker
	incarnation int64
	task        ladderflow.Task
}

// drawCrashers draws which tasks of a job crash their worker, and when.
func (sim *flowSimulation) drawCrashers(t *rapid.T, j *ladderflow.Job) {
	var indexes []int
	switch rapid.SampledFrom([]string{"none", "none", "none", "one", "all"}).Draw(t, "crashers") {
	case "one":
		indexes = append(indexes, rapid.IntRange(0, j.Steps[0].Tasks-1).Draw(t, "crasher"))
	case "all":
		for i := range j.Steps[0].Tasks {
			indexes = append(indexes, i)
		}
	default:
		return
	}
	after := time.Duration(rapid.IntRange(0, 1500).Draw(t, "crash after")) * time.Millisecond
	for _, i := range indexes {
		sim.crashers[ladderflow.Task{Job: j.ID, Index: i}] = after
	}
	sim.tracef("tasks %v of job %s crash their workers after %v", indexes, j.ID, after)
}

// crashesWorkers reports whether a task, or a member of its gang, crashes its worker.
func (sim *flowSimulation) crashesWorkers(task ladderflow.Task) bool {
	if _, ok := sim.crashers[task]; ok || !sim.gang(task) {
		return ok
	}
	for t := range sim.crashers {
		if t.Job == task.Job {
			return true
		}
	}
	return false
}

// crashDue crashes the workers on which a task runs that is due to crash its worker.
func (sim *flowSimulation) crashDue() {
	for _, w := range sim.workers {
		w.expireLease(sim.now)
		for r, began := range w.beganAt {
			if after, ok := sim.crashers[r.Task]; ok && sim.now.Sub(began) >= after {
				sim.crash(w)
				break
			}
		}
	}
}

// recordCrash counts the crash of a worker against the tasks whose runs, or whose ends, it loses.
func (sim *flowSimulation) recordCrash(w *flowWorker) {
	for _, r := range w.runs() {
		sim.crashesOf(r.Task).possible++
		if _, ok := w.stopping[r]; ok {
			continue // A leader may take it for stopped.
		}
		for _, l := range sim.leaders {
			if l.seen[seenRun{w, w.incarnation, r}] {
				sim.unnoticed = append(sim.unnoticed, crash{l, w, w.incarnation, r.Task})
			}
		}
	}
	for _, e := range w.ended {
		sim.crashesOf(e.Run.Task).possible++
	}
}

// noticeCrashes counts the crashes that leaders have come to know of.
func (sim *flowSimulation) noticeCrashes() {
	sim.unnoticed = slices.DeleteFunc(sim.unnoticed, func(c crash) bool {
		incarnation, _ := c.leader.planner.Acknowledged(c.worker.id)
		if incarnation <= c.incarnation {
			return false
		}
		c.leader.crashesOf(c.task).known++
		sim.tracef("leader %d knows of %d crashes under %v", c.leader.fence, c.leader.crashesOf(c.task).known, c.task)
		return true
	})
}

// storeCrashes records that the store holds what a leader knows of crashes.
func (sim *flowSimulation) storeCrashes(l *flowLeader) {
	for t, c := range l.crashes {
		s := sim.crashesOf(t)
		s.stored = max(s.stored, c.known)
	}
}

// restoreCrashes records that a leader has read from the store what is known of crashes.
func (sim *flowSimulation) restoreCrashes(l *flowLeader) {
	for t, c := range sim.crashes {
		l.crashesOf(t).known = c.stored
	}
}

// crashesOf returns the crashes under a task.
func (sim *flowSimulation) crashesOf(t ladderflow.Task) *taskCrashes {
	c := sim.crashes[t]
	if c == nil {
		c = &taskCrashes{}
		sim.crashes[t] = c
	}
	return c
}

// crashesOf returns what the leader knows of the crashes under a task.
func (l *flowLeader) crashesOf(t ladderflow.Task) *leaderCrashes {
	c := l.crashes[t]
	if c == nil {
		c = &leaderCrashes{}
		l.crashes[t] = c
	}
	return c
}

// checkStartAfterCrashes checks a start that a leader orders against the crashes that it knows of.
func (sim *flowSimulation) checkStartAfterCrashes(l *flowLeader, task ladderflow.Task) {
	c := l.crashesOf(task)
	if c.known < flowMaxCrashes {
		return
	}
	c.starts++
	if c.starts >= flowMaxCrashStarts {
		sim.fail(task.Job, "leader %d has started task %v %d times since it knows of %d crashes under it", l.fence, task, c.starts, flowMaxCrashes)
	}
}

// checkFailed checks that each job that a leader reports as failed has a reason.
func (sim *flowSimulation) checkFailed() {
	for _, l := range sim.leaders {
		for _, j := range sim.jobs {
			if l.planner.View(sim.now, j.ID).State == ladderflow.Failed && !sim.mayFail(j) {
				sim.fail(j.ID, "leader %d reports job %s as failed without a reason", l.fence, j.ID)
			}
		}
	}
}

// mayFail reports whether a task of a job has used up its attempts, or enough workers may have
// crashed under it.
func (sim *flowSimulation) mayFail(j *ladderflow.Job) bool {
	for i := range j.Steps[0].Tasks {
		t := ladderflow.Task{Job: j.ID, Index: i}
		if len(sim.failures[t]) >= flowMaxAttempts || sim.crashesOf(t).possible >= flowGiveUpCrashes {
			return true
		}
	}
	return false
}
