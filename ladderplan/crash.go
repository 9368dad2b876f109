package ladderplan

import (
	"maps"
	"slices"
	"time"

	"lacewingladder/ladderflow"
)

const (
	// A task is given up after maxCrashes crashes, or after maxSuspicions crashes just after its start
	// if no other task that had just started has had as many.
	maxCrashes    = 3
	maxSuspicions = 2
	// justStartedTime is how long before the last answered poll of a worker a run may have started and
	// still count as just started when the worker crashed.
	justStartedTime = 300 * time.Millisecond
	// lastingCrashAge is the age up to which a run of a long-running task is counted when its worker
	// crashes. A task that has run for longer is not what crashes workers at its start.
	lastingCrashAge = 10 * time.Second
	// suspectTime is how long nothing else starts on a worker after the start of a suspect.
	suspectTime = 300 * time.Millisecond
	// emptyWorkerWait is how long a suspect waits for a worker without runs.
	emptyWorkerWait = 200 * time.Millisecond
	// maxSuspectStarts is the number of suspects of one step that may start within suspectTime. Tasks
	// of one image behave alike, so that all of them may crash their workers.
	maxSuspectStarts = 2
	// departedRetention is how long after its last answer a worker is remembered that was dropped and may
	// have crashed.
	departedRetention = 30 * time.Second
	// maxCrashHold is how long a task waits after a crash for the store to hold the count.
	maxCrashHold = 3 * time.Second
)

// recordCrash counts the crash of a worker against the tasks whose runs were under way on it. Runs for
// which listed returns true have outlived the crash. Planned ends are no crashes.
func (p *Planner) recordCrash(now time.Time, w *worker, listed func(*run) bool) {
	runs := append(slices.Clone(w.runOrder), w.expired...)
	w.expired = nil
	if !w.leavesAt.IsZero() || now.Before(w.maintenanceUntil) || p.nearMaintenance[w.spec.ID] {
		return
	}
	runs = slices.DeleteFunc(runs, func(x *run) bool { return !x.underWay() || listed(x) })
	if len(runs) == 0 {
		return
	}
	fresh := slices.DeleteFunc(slices.Clone(runs), func(x *run) bool { return !x.startedSince(w.polledAt.Add(-justStartedTime)) })
	p.log.Info("worker crashed with runs under way", "worker", w.spec.ID, "runs", len(runs), "justStarted", len(fresh))
	for _, x := range runs {
		x.crashed = true
		t := x.task
		if t.step.spec.LongRunning && !x.startedSince(w.polledAt.Add(-lastingCrashAge)) {
			t.crashes, t.suspicions = 0, 0
			continue
		}
		t.crashes++
		t.suspicions += boolToInt(slices.Contains(fresh, x))
		t.suspectSince, t.crashedAt = time.Time{}, now
		j := t.step.round.job
		j.crashes++
		p.unstoredJobs[j.spec.ID] = j
	}
	for _, x := range runs {
		if t := x.task; t.suspect() {
			p.log.Info("task may have crashed its worker", "task", t.name(), "run", x.name.Number, "worker", w.spec.ID, "crashes", t.crashes,
				"justStarted", t.suspicions)
		}
		if p.isGuilty(x, fresh) {
			p.giveUp(now, x)
		}
	}
}

// resolveDeparted decides whether departed workers have crashed, when a worker answers its first poll. A worker
// has crashed if it answers with another incarnation, or another worker answers at its address. One that comes
// back with the incarnation that it had was only cut off.
func (p *Planner) resolveDeparted(now time.Time, w *worker, incarnation int64) {
	if d, ok := p.departed[w.spec.ID]; ok {
		delete(p.departed, w.spec.ID)
		if d.incarnation != incarnation {
			p.recordCrash(now, d, notListed)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.departed)) {
		if d := p.departed[id]; d.spec.Address.IsValid() && d.spec.Address == w.spec.Address {
			delete(p.departed, id)
			p.recordCrash(now, d, notListed)
		}
	}
}

// underWay reports whether a worker has had the run and is not known to have ended it, and the run's
// task still matters.
func (x *run) underWay() bool {
	t := x.task
	return t != nil && x.confirmed && !x.crashed && x.stopAnsweredAt.IsZero() && !t.done && t.step.round.job.active()
}

func (x *run) startedSince(at time.Time) bool { return x.startedAt.After(at) }

// isGuilty reports whether the task of a run has crashed as many workers as it may. Runs that had just
// started on the same worker are fresh.
func (p *Planner) isGuilty(x *run, fresh []*run) bool {
	t := x.task
	switch {
	case t.crashes >= maxCrashes:
		return true
	case t.suspicions < maxSuspicions || t.step.spec.LongRunning || !slices.Contains(fresh, x):
		return false
	}
	return !slices.ContainsFunc(fresh, func(o *run) bool { return o != x && o.task.suspicions >= maxSuspicions })
}

// giveUp ends a job as failed because one of its tasks crashes the workers that start it.
func (p *Planner) giveUp(now time.Time, x *run) {
	t := x.task
	j := t.step.round.job
	if !j.active() {
		return
	}
	p.log.Warn("job is given up because its task crashes workers", "task", t.name(), "run", x.name.Number,
		"worker", x.worker.spec.ID, "crashes", t.crashes)
	p.finish(now, j, ladderflow.Failed)
}

// mayRestart reports whether the store holds the count of a suspect's crashes, or need not. The next
// leader would otherwise begin to count again. While the store is away, starts do not wait for it.
func (sp *stepPlacement) mayRestart(t *task) bool {
	j := sp.step.round.job
	return j.storedCrashes >= j.crashes || !t.suspect() || sp.planner.storeServingSince.IsZero() ||
		sp.now.Sub(t.crashedAt) > maxCrashHold
}

// startSuspect starts a task that may crash its worker, on a worker where no other suspect was just
// started, so that the next crash tells the guilty task from others. It prefers one without runs.
func (sp *stepPlacement) startSuspect(t *task, candidates []*worker) {
	if t.suspectSince.IsZero() {
		t.suspectSince = sp.now
	}
	if !sp.mayRestart(t) || sp.suspectStarts() >= maxSuspectStarts {
		return
	}
	var found *worker
	for _, w := range candidates {
		if sp.freeSlots(w) > 0 && (found == nil || len(w.runs) < len(found.runs)) {
			found = w
		}
	}
	if found == nil || len(found.runs) > 0 && sp.now.Sub(t.suspectSince) < emptyWorkerWait {
		return
	}
	sp.start(t, found, t.lastRun+1, t.checkpoint)
}

// suspectStarts returns how many suspects of the step were started within suspectTime.
func (sp *stepPlacement) suspectStarts() int {
	n := 0
	for _, t := range sp.step.tasks {
		if t.suspect() && len(t.runs) > 0 && t.runs[0].startedSince(sp.now.Add(-suspectTime)) {
			n++
		}
	}
	return n
}

// onlySuspectsWait reports whether all tasks of the step that wait for a start are suspects.
func (s *step) onlySuspectsWait() bool {
	return !slices.ContainsFunc(s.tasks, func(t *task) bool { return t.needsRun() && !t.suspect() })
}

// assignGang returns the worker of each member of a gang that fits on the candidates. Members that may
// crash their workers go to different ones if there are enough.
func (sp *stepPlacement) assignGang(list []gangCandidate) []*worker {
	assigned := make([]*worker, len(sp.step.tasks))
	left := slices.Clone(list)
	hasSuspect := make([]bool, len(left))
	assign := func(i int, suspect bool) bool {
		for k := range left {
			if left[k].slots > 0 && (!suspect || !hasSuspect[k]) {
				assigned[i] = left[k].worker
				left[k].slots--
				hasSuspect[k] = hasSuspect[k] || suspect
				return true
			}
		}
		return false
	}
	for i, t := range sp.step.tasks {
		if t.suspect() && !assign(i, true) {
			assign(i, false)
		}
	}
	for i := range sp.step.tasks {
		if assigned[i] == nil {
			assign(i, false)
		}
	}
	return assigned
}

// notListed is the argument of recordCrash for a worker that has ended.
func notListed(*run) bool { return false }

// lists reports whether a status report lists a run or its end.
func lists(report ladderflow.StatusReport, name ladderflow.Run) bool {
	return slices.ContainsFunc(report.Running, func(r ladderflow.ActiveRun) bool { return r.Run == name }) ||
		slices.ContainsFunc(report.Ended, func(e ladderflow.EndedRun) bool { return e.Run == name })
}
