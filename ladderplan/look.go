package ladderplan

import (
	"slices"
	"time"

	"lacewingladder/ladderflow"
)

const (
	// drift is how much slower a worker's clock may be, in parts of a hundred.
	drift = 2
	// lapseMargin covers the time between a lease's end and that of its runs.
	lapseMargin = 200 * time.Millisecond
	// silence is how long a worker may go without an answered look before it takes
	// no new tasks: more than the longest wait of a look.
	silence = 1600 * time.Millisecond
)

// SetWorkers takes over the workers that the platform's store lists.
func (p *Planner) SetWorkers(now time.Time, list []ladderflow.Worker) {
	p.moved = true
	listed := map[string]bool{}
	for _, spec := range list {
		listed[spec.ID] = true
		w, ok := p.workers[spec.ID]
		if !ok {
			w = p.addWorker(spec)
		}
		w.listed = true
		w.update(spec)
		if spec.Draining && w.leaves.IsZero() {
			w.leaves = now.Add(spec.Leaves)
			p.log.Info("worker is leaving", "worker", spec.ID, "remaining", spec.Leaves)
			p.evacuate(now, w)
		}
		if !spec.Draining {
			w.leaves = time.Time{}
		}
	}
	for _, w := range p.everyWorker() {
		if listed[w.spec.ID] {
			continue
		}
		w.listed = false
		if len(w.runs) == 0 && !p.unheard[w.spec.ID] {
			p.dropWorker(w.spec.ID)
		}
	}
}

// Inherit names a worker on which an earlier leader may have started tasks.
func (p *Planner) Inherit(spec ladderflow.Worker) {
	if _, ok := p.workers[spec.ID]; !ok {
		p.addWorker(spec)
	}
	p.unheard[spec.ID] = true
}

// SetRoster names the workers that the store lists as in use. Nothing starts on
// others, since the next leader would not know of it.
func (p *Planner) SetRoster(ids map[string]bool) { p.roster, p.moved = ids, true }

// update takes over what a worker says of itself.
func (w *worker) update(spec ladderflow.Worker) {
	w.free = w.free.Plus(spec.Capacity).Minus(w.spec.Capacity)
	w.spec = spec
}

// Workers returns the workers that must be looked at.
func (p *Planner) Workers() []ladderflow.Worker {
	list := make([]ladderflow.Worker, 0, len(p.workers))
	for _, w := range p.everyWorker() {
		list = append(list, w.spec)
	}
	return list
}

// NextLook is how a worker is to be looked at next.
type NextLook struct {
	Noted int64
	// Until is the end of the worker's lease, or zero to leave it.
	Until time.Duration
	// Waiting is true while ends are listed that the store does not hold yet.
	Waiting bool
}

// Look returns how to look at a worker next. It is false for an unknown worker.
func (p *Planner) Look(now time.Time, id string) (NextLook, bool) {
	w, ok := p.workers[id]
	if !ok {
		return NextLook{}, false
	}
	n := NextLook{Waiting: w.seen > w.noted}
	if w.fenced && !w.failing {
		n.Until = p.lease(now, w)
		// A worker that did not answer may have begun a new life, whose ends are others.
		n.Noted = w.noted
	}
	return n, true
}

// Noted returns the worker's present life and the highest of its ends that the store
// holds.
func (p *Planner) Noted(id string) (born, number int64) {
	w, ok := p.workers[id]
	if !ok {
		return 0, 0
	}
	return w.born, w.noted
}

// Entrust takes in that another VM may prolong a worker's lease for a while. A worker that
// does not answer it is not prolonged until it does again, which that VM reports within a
// second; the span that was given before the failure covers that.
func (p *Planner) Entrust(now time.Time, id string, span time.Duration) {
	if w, ok := p.workers[id]; ok && w.fenced && !w.failing {
		w.until = max(w.until, w.clock+now.Sub(w.heard)+span+p.options.Hold)
	}
}

// lease returns a new end for a worker's lease and remembers it.
func (p *Planner) lease(now time.Time, w *worker) time.Duration {
	u := w.clock + now.Sub(w.heard) + p.options.Hold
	w.until = max(w.until, u)
	return u
}

// Looked takes in a worker's account of itself, which was asked for at sent.
func (p *Planner) Looked(now time.Time, id string, sent time.Time, l ladderflow.Look) {
	w, ok := p.workers[id]
	if !ok {
		return
	}
	if l.Born != w.born || w.lived.IsZero() {
		p.reborn(now, w, l.Born, l.Clock)
	}
	w.clock, w.heard, w.failing = l.Clock, now, false
	if !w.fenced {
		w.fenced, p.moved = true, true
		// An earlier leader may have given the longest lease there is just now.
		w.until = max(w.until, l.Clock+p.options.Longest)
		p.log.Debug("worker is held", "worker", id, "fence", p.options.Fence, "running", len(l.Running))
	}
	present := make(map[ladderflow.Run]bool, len(l.Running))
	for _, r := range l.Running {
		present[r.Run] = true
	}
	for _, e := range l.Ended {
		if e.Number > w.seen {
			p.endRun(now, w, e)
			w.seen = e.Number
		}
	}
	for _, r := range l.Running {
		p.listed(now, w, r)
	}
	for _, x := range slices.Clone(w.order) {
		if !present[x.name] {
			p.absent(now, sent, w, x)
		}
	}
	if p.unheard[id] {
		delete(p.unheard, id)
	}
	p.watch(now, w)
}

// reborn forgets what belonged to an earlier life of a worker.
func (p *Planner) reborn(now time.Time, w *worker, born int64, clock time.Duration) {
	if w.born != 0 {
		p.log.Info("worker began a new life", "worker", w.spec.ID, "born", born, "runs", len(w.runs))
		p.dropTickets(w.spec.ID)
		w.avoid, w.strikes = now, 0
	}
	w.born, w.seen, w.noted, w.until, w.lived = born, 0, 0, 0, now
	if w.fenced {
		// The look that shows this may have prolonged the lease by the old life's clock.
		w.until = clock + p.options.Longest
	}
}

// listed takes in a run that a worker has.
func (p *Planner) listed(now time.Time, w *worker, r ladderflow.LiveRun) {
	x, ok := w.runs[r.Run]
	if !ok {
		p.foreign(now, w, r)
		return
	}
	if x.phase == sent || x.phase == unsure {
		x.phase, x.answered, x.settled = live, true, now
	}
	x.progress(now, r)
	if x.phase == stopping {
		p.stop(now, x, "it still runs")
	}
	if t := x.task; t != nil && r.Saved != "" {
		t.saved, t.step.gang.saved = r.Saved, r.Saved
	}
}

// foreign takes in a run that this leader did not start: it is adopted if its task
// needs it, and stopped otherwise.
func (p *Planner) foreign(now time.Time, w *worker, r ladderflow.LiveRun) {
	x := &run{name: r.Run, phase: live, answered: true, settled: now, began: now, moved: now, percent: -1, pace: 100}
	j := p.jobs[r.Run.Task.Job]
	if j != nil {
		x.task = j.find(r.Run.Task)
	}
	if t := x.task; t != nil {
		if r.Run.Number <= t.closed {
			// The run is known to have ended: the account is older than that.
			return
		}
		x.size = t.step.spec.Charge()
		wanted := t.idle() && j.live() && t.step.open
		w.add(x)
		j.begun = true
		x.progress(now, r)
		if r.Saved != "" {
			t.saved, t.step.gang.saved = r.Saved, r.Saved
		}
		if wanted {
			t.step.gang.run = max(t.step.gang.run, r.Run.Number)
			p.log.Debug("run is adopted", "task", r.Run.Task, "run", r.Run.Number, "worker", w.spec.ID)
			return
		}
	} else {
		if j != nil && r.Run.Task.Step < len(j.spec.Steps) {
			// The job has ended, but what runs of it still takes its room.
			x.size = j.spec.Steps[r.Run.Task.Step].Charge()
		}
		w.add(x)
	}
	p.stop(now, x, "nobody needs it")
}

// absent takes in that a look does not show a run.
func (p *Planner) absent(now, sentAt time.Time, w *worker, x *run) {
	switch {
	case x.phase == sent:
	case x.answered && x.settled.Before(sentAt):
		p.lost(now, w, "the worker does not have it any more", x)
	case x.phase == stopping && !x.stopped.IsZero() && x.stopped.Before(sentAt):
		p.lost(now, w, "it was stopped before it began", x)
	case x.phase == unsure && x.settled.Before(sentAt):
		p.stop(now, x, "its start was not answered")
	case x.phase == stopping && !x.answered && x.stopped.IsZero():
		p.stop(now, x, "its stop was not answered")
	}
}

// lost takes in that runs of a worker are gone without a listed end.
func (p *Planner) lost(now time.Time, w *worker, why string, runs ...*run) {
	p.moved = true
	for _, x := range runs {
		p.log.Info("run is lost", "task", x.name.Task, "run", x.name.Number, "worker", w.spec.ID, "why", why)
		w.remove(x)
	}
	for _, x := range runs {
		if t := x.task; t != nil && t.step.spec.Gang && t.step.round.job.live() {
			p.breakGang(now, t.step)
		}
	}
}

// LookFailed takes in that a look at a worker was not answered.
func (p *Planner) LookFailed(id string, fenced bool) {
	if fenced {
		p.deposed = true
	}
	if w, ok := p.workers[id]; ok {
		w.failing = true
	}
}

// Gone takes in that a worker has certainly ended: another answers at its address.
func (p *Planner) Gone(now time.Time, id string) {
	w, ok := p.workers[id]
	if !ok {
		return
	}
	w.failing = true
	delete(p.unheard, id)
	p.lost(now, w, "another worker answers at its address", slices.Clone(w.order)...)
}

// lapse gives up the runs on workers whose lease has certainly ended.
func (p *Planner) lapse(now time.Time) {
	for _, w := range p.everyWorker() {
		if w.failing && w.fenced && len(w.runs) > 0 && p.lapsed(now, w) {
			p.lost(now, w, "its lease has lapsed", slices.Clone(w.order)...)
		}
		if !w.listed && len(w.runs) == 0 && !p.unheard[w.spec.ID] && now.Sub(w.heard) > silence {
			p.dropWorker(w.spec.ID)
		}
	}
	if p.certain {
		return
	}
	limit := p.options.Elected.Add(p.options.Former + p.options.Hold*(100+drift)/100 + lapseMargin)
	if len(p.unheard) == 0 || now.After(limit) {
		p.certain, p.moved = true, true
		p.log.Info("all runs of earlier leaders are known", "unheard", len(p.unheard),
			"after", now.Sub(p.options.Elected).Round(time.Millisecond))
		clear(p.unheard)
	}
}

func (p *Planner) lapsed(now time.Time, w *worker) bool {
	passed := now.Sub(w.heard) * (100 - drift) / 100
	return w.clock+passed > w.until+lapseMargin
}
