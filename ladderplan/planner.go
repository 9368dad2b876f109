package ladderplan

import (
	"maps"
	"slices"
	"time"

	"lacewingladder/ladderflow"
)

// Planner decides which task starts where. Create one with [New].
type Planner struct {
	options Options
	log     Log
	fleet   *ladderflow.Fleet
	jobs    map[string]*job
	// cancelled holds cancellations of jobs that are not known yet.
	cancelled map[string]time.Time
	workers   map[string]*worker
	// sorted holds the workers by id, or nil after one has come or gone: what is decided
	// must not depend on the order of a map.
	sorted []*worker
	// pools holds the workers that take new tasks at this plan, by service.
	pools map[string][]*worker
	// open holds the steps that may have tasks to start.
	open  []*step
	timed []*job
	// unheard are the workers on which an earlier leader may have started tasks
	// and that were not seen under this fence.
	unheard map[string]bool
	certain bool
	// roster holds the workers that the store lists as in use.
	roster map[string]bool
	// emptying holds the workers that are to be emptied for upkeep.
	emptying map[string]bool
	dirty    map[string]*job
	lengths  lengths
	advisers
	orders Orders
	// kept holds the workers that gangs waited for at the last plan.
	kept map[*worker]time.Duration
	// deposed is true once a worker or the store obeys a newer leader.
	deposed bool
	// moved is true once something has happened that may let a task start, and placed
	// is when tasks were last placed.
	moved  bool
	placed time.Time
	// turn counts the placements. Workers that take new tasks at one carry its number.
	turn int64
	// unanswered counts the starts without an answer.
	unanswered int
	// paced is when paces were last looked at.
	paced time.Time
	// sure is when the lead was last sure.
	sure time.Time
	// dueRetire is when ended jobs are next looked through.
	dueRetire time.Time
}

// New returns a planner for a new leader, which knows nothing yet.
func New(o Options) *Planner {
	return &Planner{
		options: o, log: o.Log, jobs: map[string]*job{}, cancelled: map[string]time.Time{},
		workers: map[string]*worker{}, pools: map[string][]*worker{}, unheard: map[string]bool{}, dirty: map[string]*job{},
		lengths: lengths{}, advisers: newAdvisers(),
	}
}

// Deposed reports whether a newer leader was met.
func (p *Planner) Deposed() bool { return p.deposed }

// SetFleet takes over a version of the configuration.
func (p *Planner) SetFleet(f *ladderflow.Fleet) { p.fleet, p.moved = f, true }

// AddJob takes in a job that the store holds. Inherited jobs may have been known
// to an earlier leader.
func (p *Planner) AddJob(now time.Time, spec *ladderflow.Job, inherited bool) {
	p.moved = true
	if _, ok := p.jobs[spec.ID]; ok {
		return
	}
	j := newJob(spec)
	j.measure(p.lengths)
	j.inherited = inherited
	p.jobs[spec.ID] = j
	if _, ok := p.cancelled[spec.ID]; ok {
		delete(p.cancelled, spec.ID)
		p.finish(now, j, ladderflow.Cancelled)
		return
	}
	if spec.Timed() {
		p.timed = append(p.timed, j)
		return
	}
	p.openRound(now, j, 0, spec.Accepted)
}

// Cancel ends a job. A cancellation that overtook its job is kept for it.
func (p *Planner) Cancel(now time.Time, id string) {
	j, ok := p.jobs[id]
	switch {
	case !ok:
		p.cancelled[id] = now
	case j.live():
		p.finish(now, j, ladderflow.Cancelled)
	}
}

// openRound opens a round and those of its steps that come after no other.
func (p *Planner) openRound(now time.Time, j *job, index int, due time.Time) {
	p.moved = true
	r := j.open(index, due)
	j.next = max(j.next, index+1)
	p.openSteps(now, r)
}

// openSteps opens the steps of a round whose turn has come.
func (p *Planner) openSteps(now time.Time, r *round) {
	r.job.measure(p.lengths)
	for _, s := range r.steps {
		if s.open || !ready(s) {
			continue
		}
		s.open, s.since = true, now
		p.open = append(p.open, s)
	}
}

func ready(s *step) bool {
	for _, a := range s.spec.After {
		if !s.round.steps[a].finished() {
			return false
		}
	}
	return true
}

// openTimed opens the rounds that are due at a time of day.
func (p *Planner) openTimed(now, wall time.Time) {
	kept := p.timed[:0]
	for _, j := range p.timed {
		for j.live() && j.next < j.spec.Rounds && !wall.Before(j.spec.Due(j.next)) {
			if j.closed[j.next] {
				j.next++
				continue
			}
			if _, ok := j.rounds[j.next]; ok {
				j.next++
				continue
			}
			p.openRound(now, j, j.next, now.Add(j.spec.Due(j.next).Sub(wall)))
		}
		if j.live() && j.next < j.spec.Rounds {
			kept = append(kept, j)
		}
	}
	clear(p.timed[len(kept):])
	p.timed = kept
}

// finish gives a job its end and stops what runs of it.
func (p *Planner) finish(now time.Time, j *job, state ladderflow.State) {
	j.state, j.ended = state, now
	p.dirty[j.spec.ID] = j
	p.log.Info("job ended", "job", j.spec.ID, "queue", j.spec.Queue, "state", state,
		"after", now.Sub(j.spec.Accepted).Round(time.Millisecond), "aim", p.aim(j).Round(time.Millisecond),
		"waited", j.started.Sub(j.spec.Accepted).Round(time.Millisecond))
	for _, i := range slices.Sorted(maps.Keys(j.rounds)) {
		for _, s := range j.rounds[i].steps {
			for _, t := range s.tasks {
				if t.done && s.spec.Gang {
					continue // The members end together by themselves.
				}
				for _, x := range t.runs {
					p.stop(now, x, "its job ended")
				}
			}
		}
	}
}

// endRun takes in the end of a run, once for each run.
func (p *Planner) endRun(now time.Time, w *worker, e ladderflow.EndedRun) {
	p.moved = true
	x := w.runs[e.Run]
	j := p.jobs[e.Run.Task.Job]
	var t *task
	if j != nil {
		t = j.find(e.Run.Task)
	}
	if x != nil {
		w.remove(x)
	}
	if t == nil || !j.live() {
		return
	}
	t.number, t.closed = max(t.number, e.Run.Number), max(t.closed, e.Run.Number)
	if e.Saved != "" {
		t.saved = e.Saved
		t.step.gang.saved = e.Saved
		p.dirty[j.spec.ID] = j
	}
	p.log.Debug("run ended", "task", t.name(), "run", e.Run.Number, "worker", w.spec.ID, "how", e.How)
	switch {
	case t.step.spec.Lasting:
		p.dirty[j.spec.ID] = j
	case e.How == ladderflow.EndDone:
		w.praise()
		if x != nil && !t.done && e.Run.Number == 1 {
			p.lengths.ended(j.spec.Queue, t.step.spec.Estimate, now.Sub(x.began))
		}
		j.unsaved = append(j.unsaved, w)
		p.endedWell(now, t)
	case e.How == ladderflow.EndFailed:
		p.endedBadly(now, w, t, e.Run.Number)
	}
	if t.step.spec.Gang && e.How != ladderflow.EndDone && j.live() {
		p.breakGang(now, t.step)
	}
}

// endedWell takes in the good end of a task, or of a whole gang.
func (p *Planner) endedWell(now time.Time, t *task) {
	s, j := t.step, t.step.round.job
	members := []*task{t}
	if s.spec.Gang {
		members = s.tasks
	}
	before := s.done
	for _, m := range members {
		if m.done {
			continue
		}
		if m.idle() {
			s.waiting--
		}
		m.done = true
		s.done++
		for _, x := range m.runs {
			if !s.spec.Gang {
				p.stop(now, x, "another run of the task ended well")
			}
		}
	}
	p.dirty[j.spec.ID] = j
	if !s.finished() || s.done == before {
		return // The other members of a gang end after the first.
	}
	s.round.left--
	p.openSteps(now, s.round)
	if s.round.left > 0 {
		return
	}
	j.closed[s.round.index] = true
	delete(j.rounds, s.round.index)
	if len(j.closed) >= max(1, j.spec.Rounds) {
		p.finish(now, j, ladderflow.Done)
	}
}

// endedBadly counts a failed run, and fails the job after the last attempt.
func (p *Planner) endedBadly(now time.Time, w *worker, t *task, number int) {
	s, j := t.step, t.step.round.job
	failed, shunned := &t.failed, &t.shunned
	if s.spec.Gang {
		failed, shunned = &s.gang.failed, &s.gang.shunned
	}
	if t.done || slices.Contains(*failed, number) {
		return
	}
	*failed = append(*failed, number)
	if *shunned == nil {
		*shunned = map[string]bool{}
	}
	(*shunned)[w.spec.ID] = true
	w.blame(now, j.spec.ID)
	p.dirty[j.spec.ID] = j
	attempts := p.attempts(j)
	p.log.Info("run failed", "task", t.name(), "run", number, "worker", w.spec.ID, "fails", len(*failed), "attempts", attempts)
	if len(*failed) >= attempts {
		p.finish(now, j, ladderflow.Failed)
	}
}

func (p *Planner) attempts(j *job) int {
	if q, ok := p.queue(j); ok {
		return max(1, q.Attempts)
	}
	return 1
}

func (p *Planner) queue(j *job) (*ladderflow.Queue, bool) {
	if p.fleet == nil {
		return nil, false
	}
	return p.fleet.Queue(j.spec.Queue)
}

// service returns the workers' pool that runs a job's tasks now.
func (p *Planner) service(j *job) string {
	if q, ok := p.queue(j); ok {
		return q.Service
	}
	return j.spec.Service
}

// stop orders the end of a run, at most once in a while.
func (p *Planner) stop(now time.Time, x *run, why string) {
	if x.phase == stopping && now.Sub(x.stopSent) < p.options.StopTime {
		return
	}
	x.phase, x.stopSent = stopping, now
	p.log.Debug("run is stopped", "task", x.name.Task, "run", x.name.Number, "worker", x.worker.spec.ID, "why", why)
	p.orders.Stops = append(p.orders.Stops, StopOrder{Worker: x.worker.spec, Run: x.name})
}

// breakGang stops all members of a gang's attempt that has gone wrong.
func (p *Planner) breakGang(now time.Time, s *step) {
	for _, t := range s.tasks {
		for _, x := range t.runs {
			p.stop(now, x, "the gang is broken")
		}
	}
}

// View is what callers see of a job.
type View struct {
	Known bool
	State ladderflow.State
}

// showTime is how long an end is kept back for the store, which is several times
// what a transaction takes. While the store is out longer than that, callers learn
// of the end all the same: the workers still list it, so the next leader would too. That
// does not hold for a worker that leaves, whose ends are shown only once they are stored.
const showTime = 300 * time.Millisecond

// View returns a job's state. An end is shown once the store holds it, or has not
// taken it for a while.
func (p *Planner) View(now time.Time, id string) View {
	j, ok := p.jobs[id]
	switch {
	case !ok:
		return View{}
	case j.saved.Final():
		return View{Known: true, State: j.saved}
	case j.state.Final() && now.Sub(j.ended) > showTime && j.safe():
		return View{Known: true, State: j.state}
	case j.begun:
		return View{Known: true, State: ladderflow.Running}
	}
	return View{Known: true, State: ladderflow.Queued}
}

// Pending returns how many jobs of a queue have not begun.
func (p *Planner) Pending(queue string) int {
	n := 0
	for _, j := range p.jobs {
		if j.spec.Queue == queue && j.live() && !j.begun && !j.spec.Timed() {
			n++
		}
	}
	return n
}

// Ended reports whether a job has come to its end, stored or not.
func (p *Planner) Ended(id string) bool {
	j, ok := p.jobs[id]
	return ok && !j.live()
}
