package ladderplan

import (
	"slices"
	"time"

	"lacewingladder/ladderflow"
)

const (
	// maxClockDriftPercent bounds how much slower a worker's clock runs than the leader's.
	drift = 2
	// leaseEndMargin covers the time between the end of a lease and the end of the worker's runs.
	lapseMargin = 200 * time.Millisecond
	// unresponsiveAfter is the time without an answered poll after which a worker gets no new
	// tasks. It is more than the longest time that a poll waits.
	silence = 1600 * time.Millisecond
)

// SetWorkers sets the workers that the platform's store lists.
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

// Inherit adds a worker on which an earlier leader may have started tasks.
func (p *Planner) Inherit(spec ladderflow.Worker) {
	if _, ok := p.workers[spec.ID]; !ok {
		p.addWorker(spec)
	}
	p.unheard[spec.ID] = true
}

// SetRoster sets the roster: the stored set of workers on which a leader may start tasks. No task
// starts on other workers, since the next leader would not know that they may have runs.
func (p *Planner) SetRoster(ids map[string]bool) { p.roster, p.moved = ids, true }

// setSpec replaces the worker's description and adjusts the free capacity to it.
func (w *worker) update(spec ladderflow.Worker) {
	w.free = w.free.Plus(spec.Capacity).Minus(w.spec.Capacity)
	w.spec = spec
}

// Workers returns the workers to poll.
func (p *Planner) Workers() []ladderflow.Worker {
	list := make([]ladderflow.Worker, 0, len(p.workers))
	for _, w := range p.everyWorker() {
		list = append(list, w.spec)
	}
	return list
}

// NextLook holds the parameters of the next status poll of a worker.
type NextLook struct {
	Noted int64
	// Until is the new end of the worker's lease. Zero leaves the lease unchanged.
	Until time.Duration
	// Waiting is true while the worker lists ends that the store does not hold yet.
	Waiting bool
}

// Look returns the parameters of the next status poll of a worker. It returns false if the worker
// is unknown.
func (p *Planner) Look(now time.Time, id string) (NextLook, bool) {
	w, ok := p.workers[id]
	if !ok {
		return NextLook{}, false
	}
	n := NextLook{Waiting: w.seen > w.noted}
	if w.fenced && !w.failing {
		n.Until = p.lease(now, w)
		// A worker that did not answer may have restarted. The number would then acknowledge ends
		// of the new incarnation, which counts from one again.
		n.Noted = w.noted
	}
	return n, true
}

// Noted returns the worker's present incarnation and the highest number of its ends that the store
// holds.
func (p *Planner) Noted(id string) (born, number int64) {
	w, ok := p.workers[id]
	if !ok {
		return 0, 0
	}
	return w.born, w.noted
}

// Entrust records that a delegate may renew a worker's lease for span. It changes nothing while the
// worker is unreachable: the delegate does not renew its lease until the worker answers again. The
// delegate reports that answer within a second, which the span recorded before the failure covers.
func (p *Planner) Entrust(now time.Time, id string, span time.Duration) {
	if w, ok := p.workers[id]; ok && w.fenced && !w.failing {
		w.until = max(w.until, w.clock+now.Sub(w.heard)+span+p.options.Hold)
	}
}

// extendLease records a new end of a worker's lease and returns it.
func (p *Planner) lease(now time.Time, w *worker) time.Duration {
	u := w.clock + now.Sub(w.heard) + p.options.Hold
	w.until = max(w.until, u)
	return u
}

// Looked records a worker's status report, which was requested at sent.
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
		// An earlier leader may have granted a lease of the maximum length just before.
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

// resetIncarnation discards the state that belongs to an earlier incarnation of a worker.
func (p *Planner) reborn(now time.Time, w *worker, born int64, clock time.Duration) {
	if w.born != 0 {
		p.log.Info("worker began a new life", "worker", w.spec.ID, "born", born, "runs", len(w.runs))
		p.dropTickets(w.spec.ID)
		w.avoid, w.strikes = now, 0
	}
	w.born, w.seen, w.noted, w.until, w.lived = born, 0, 0, 0, now
	if w.fenced {
		// The poll that revealed the restart may have extended the lease to a time computed from
		// the clock of the old incarnation.
		w.until = clock + p.options.Longest
	}
}

// recordLiveRun records a run that a worker lists as under way.
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

// adoptOrStop handles a run that this leader did not start. It adopts the run if its task needs one
// and stops it otherwise.
func (p *Planner) foreign(now time.Time, w *worker, r ladderflow.LiveRun) {
	x := &run{name: r.Run, phase: live, answered: true, settled: now, began: now, moved: now, percent: -1, pace: 100}
	j := p.jobs[r.Run.Task.Job]
	if j != nil {
		x.task = j.find(r.Run.Task)
	}
	if t := x.task; t != nil {
		if r.Run.Number <= t.closed {
			// The run is known to have ended, so this status report is out of date.
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
			// The job has ended, but its runs occupy capacity until they stop.
			x.size = j.spec.Steps[r.Run.Task.Step].Charge()
		}
		w.add(x)
	}
	p.stop(now, x, "nobody needs it")
}

// handleMissingRun handles a run that a status report does not list. The report was requested at
// sentAt.
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

// dropLostRuns removes runs that are gone without a listed end.
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

// LookFailed records that a worker did not answer a poll. If fenced is true, the worker rejected
// the poll because it has seen a newer fencing token.
func (p *Planner) LookFailed(id string, fenced bool) {
	if fenced {
		p.deposed = true
	}
	if w, ok := p.workers[id]; ok {
		w.failing = true
	}
}

// Gone records that a worker has ended beyond doubt: a different one answers at its address.
func (p *Planner) Gone(now time.Time, id string) {
	w, ok := p.workers[id]
	if !ok {
		return
	}
	w.failing = true
	delete(p.unheard, id)
	p.lost(now, w, "another worker answers at its address", slices.Clone(w.order)...)
}

// expireLeases drops the runs of workers whose lease has expired beyond doubt. It also ends the
// wait for the runs of earlier leaders, once all their workers were seen or all their leases must
// have expired.
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
