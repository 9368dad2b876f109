package ladderplan

import (
	"time"

	"lacewingladder/ladderflow"
)

const (
	// stallTime and stallShare of a task's estimate are how long a run may stand
	// still: its progress is shown in hundredths, and seen with each look.
	stallTime  = 1300 * time.Millisecond
	stallShare = 0.04
	// avoidTime is how long a worker that was struck is not used, doubled with each
	// further strike up to maxAvoid. A worker that is well again is found soon.
	avoidTime = time.Second
	maxAvoid  = 4 * time.Second
	// forgiveTime is how long after it may be used again a worker that was struck is
	// tried with single tasks only, when none of them ends.
	forgiveTime = 4 * time.Second
	// blamedJobs is how many jobs' runs must fail on a worker, with no good end
	// between, before it is avoided. One job alone may be at fault itself.
	blamedJobs = 2
)

// progress takes over what a worker says of a run.
func (x *run) progress(now time.Time, r ladderflow.LiveRun) {
	if r.Percent != x.percent {
		x.percent, x.moved = r.Percent, now
	}
	x.tail = r.Tail
}

// watch finds runs on a worker that stand still.
func (p *Planner) watch(now time.Time, w *worker) {
	for _, x := range w.order {
		t := x.task
		if x.phase != live || t == nil || t.step.spec.Lasting || x.pace < 100 || !t.step.round.job.live() {
			continue
		}
		if x.percent >= 100 {
			continue // A member of a gang that has done its work waits for the others.
		}
		limit := stallTime + time.Duration(stallShare*float64(t.step.length()))
		if t.step.spec.Gang {
			limit *= 2 // A member may still wait for the others.
		}
		if now.Sub(x.moved) < limit {
			continue
		}
		p.log.Info("run stands still", "task", t.name(), "run", x.name.Number, "worker", w.spec.ID,
			"percent", x.percent, "since", now.Sub(x.moved).Round(time.Millisecond))
		if p.alone(now, w, x) {
			w.strike(now)
		}
		if t.step.spec.Gang {
			p.breakGang(now, t.step)
			continue
		}
		p.stop(now, x, "it stands still")
	}
}

// alone reports whether nothing else moves on the worker of a run, so that the
// worker is likely at fault.
func (p *Planner) alone(now time.Time, w *worker, x *run) bool {
	for _, o := range w.order {
		if o != x && o.phase == live && now.Sub(o.moved) < stallTime && now.Sub(o.began) > stallTime {
			return false
		}
	}
	return true
}

// strike keeps a worker from new tasks for a while.
func (w *worker) strike(now time.Time) {
	if now.Before(w.avoid) {
		return
	}
	w.avoid = now.Add(min(maxAvoid, avoidTime<<min(w.strikes, 4)))
	w.strikes++
}

// struck reports whether a worker was struck lately and has not proved itself since.
func (w *worker) struck(now time.Time) bool {
	return w.strikes > 0 && now.Before(w.avoid.Add(forgiveTime))
}

// blame counts a failed run against a worker.
func (w *worker) blame(now time.Time, job string) {
	w.blamed[job] = true
	if len(w.blamed) >= blamedJobs || w.strikes > 0 {
		w.strike(now)
	}
}

// praise takes back what spoke against a worker.
func (w *worker) praise() {
	w.strikes = 0
	clear(w.blamed)
}

// evacuate stops what will not end before a leaving worker goes, so that it can go
// on elsewhere from its checkpoint.
func (p *Planner) evacuate(now time.Time, w *worker) {
	left := w.leaves.Sub(now)
	for _, x := range w.order {
		t := x.task
		if t == nil || x.phase != live || !t.step.round.job.live() {
			continue
		}
		if !t.step.spec.Lasting && x.rest(now) < left {
			continue
		}
		if t.step.spec.Gang {
			p.breakGang(now, t.step)
			continue
		}
		p.stop(now, x, "its worker is leaving")
	}
}

// setPaces slows fillers beside lasting tasks that come close to their target, and
// lets them go again.
func (p *Planner) setPaces(now time.Time) {
	if now.Sub(p.paced) < paceLook {
		return
	}
	p.paced = now
	for _, w := range p.everyWorker() {
		pressed, serving := false, false
		for _, x := range w.order {
			if t := x.task; t != nil && t.step.spec.Target > 0 {
				serving = true
				pressed = pressed || x.tail > t.step.spec.Target*paceNear/100
			}
		}
		if !serving {
			continue
		}
		for _, x := range w.order {
			t := x.task
			if t == nil || !t.step.spec.Filler || x.phase != live || now.Sub(x.paced) < paceTime {
				continue
			}
			next := min(100, x.pace+paceStep)
			if pressed {
				next = x.pace / 2
			}
			if next == x.pace {
				continue
			}
			x.pace, x.paced = next, now
			p.orders.Paces = append(p.orders.Paces, PaceOrder{Worker: w.spec, Run: x.name, Percent: next})
		}
	}
}

const (
	// paceNear is at which part of its target, in hundredths, a serving task's tail
	// makes the fillers beside it slower.
	paceNear = 85
	// paceLook is the time between looks at all paces.
	paceLook = 100 * time.Millisecond
	// paceTime is the least time between two changes of one run's pace: a change
	// shows in a tail over half a second.
	paceTime = 700 * time.Millisecond
	// paceStep is by how much a filler is let go again, in hundredths.
	paceStep = 10
)
