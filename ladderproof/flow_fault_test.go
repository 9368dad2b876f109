package ladderproof

import (
	"time"

	"pgregory.net/rapid"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderplan"
)

// shownEnd is the end of a job that a leader has shown to callers.
type shownEnd struct {
	state ladderflow.State
	// fence is the lowest fencing token of a leader that has shown the end.
	fence int64
	at    time.Time
}

// checkShown checks that an end that a leader shows is also shown by every later one.
func (sim *flowSimulation) checkShown() {
	for _, l := range sim.leaders {
		if l.confidence(sim.now) == ladderplan.LeadershipNone {
			continue // The VM answers no callers as a leader.
		}
		for _, j := range sim.jobs {
			sim.checkShownBy(l, j.ID)
		}
	}
}

// checkShownBy checks and records the state of a job that a leader shows.
func (sim *flowSimulation) checkShownBy(l *flowLeader, job string) {
	v := l.planner.View(sim.now, job)
	shown, ok := sim.shown[job]
	if ok && l.fence >= shown.fence && (!v.Known || v.State != shown.state) {
		sim.fail(job, "job %s was shown as %v by leader %d at %v, and leader %d shows it as %v",
			job, shown.state, shown.fence, shown.at.Sub(time.UnixMilli(1_000_000)), l.fence, v.State)
	}
	if v.State != ladderflow.Done && v.State != ladderflow.Failed {
		return
	}
	if !ok || l.fence < shown.fence {
		sim.tracef("leader %d shows job %s as %v", l.fence, job, v.State)
		sim.shown[job] = shownEnd{state: v.State, fence: l.fence, at: sim.now}
	}
}

// checkStartAfterShown checks a start against the ends that leaders have shown. A start that was
// on its way when a failure was shown may still arrive.
func (sim *flowSimulation) checkStartAfterShown(o *order) {
	job := o.start.Run.Task.Job
	shown, ok := sim.shown[job]
	if ok && (shown.state == ladderflow.Done || o.sent.After(shown.at)) {
		sim.fail(job, "task %v started after its job was shown as %v", o.start.Run.Task, shown.state)
	}
}

// storeOut reports whether the store takes nothing.
func (sim *flowSimulation) storeOut() bool { return sim.now.Before(sim.storeOutUntil) }

// faultActions returns the actions of faults that the other actions lack.
func (sim *flowSimulation) faultActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"store out": func(t *rapid.T) {
			d := time.Duration(rapid.IntRange(100, 3000).Draw(t, "out")) * time.Millisecond
			sim.tracef("the store takes nothing for %v", d)
			sim.storeOutUntil = sim.now.Add(d)
		},
	}
}
