package ladderplan

import (
	"maps"
	"slices"
	"time"

	"lacewingladder/ladderflow"
)

// Planner decides which task starts on which worker. Create one with [New].
type Planner struct {
	options Options
	log     Log
	fleet   *ladderflow.Fleet
	jobs    map[string]*job
	// cancellations holds when cancellations arrived whose job is not known yet.
	cancelled map[string]time.Time
	workers   map[string]*worker
	// sortedWorkers holds the workers sorted by id. It is nil after a worker was added or dropped.
	// Decisions must not depend on the iteration order of a map.
	sorted []*worker
	// pools holds, by service, the workers that accept new tasks in the present placement pass.
	pools map[string][]*worker
	// readySteps holds the ready steps that may have tasks to start.
	open  []*step
	timed []*job
	// unseenWorkers holds the workers on which an earlier leader may have started tasks and that
	// have not answered this leader yet.
	unheard map[string]bool
	certain bool
	// roster holds the stored set of workers on which tasks may start.
	roster map[string]bool
	// emptying holds the workers that get no new tasks because their maintenance is near.
	emptying map[string]bool
	dirty    map[string]*job
	lengths  lengths
	advisers
	orders Orders
	// previouslyReserved holds the workers that were reserved for gangs in the last placement pass.
	kept map[*worker]time.Duration
	// superseded is true once a worker has rejected this leader's fencing token for a newer one.
	deposed bool
	// placementDue is true if something has happened since the last placement pass that may let a
	// task start. placedAt is when that pass was.
	moved  bool
	placed time.Time
	// pass is the number of the present or last placement pass. Workers that accept new tasks in it
	// carry the number.
	turn int64
	// unanswered is the number of starts without a reply.
	unanswered int
	// speedsCheckedAt is when the speed limits were last checked.
	paced time.Time
	// confirmedAt is when leadership was last confirmed.
	sure time.Time
	// nextPrune is when old cancellations are next discarded.
	dueRetire time.Time
}

// New returns a planner without jobs and workers for a newly elected leader.
func New(o Options) *Planner {
	return &Planner{
		options: o, log: o.Log, jobs: map[string]*job{}, cancelled: map[string]time.Time{},
		workers: map[string]*worker{}, pools: map[string][]*worker{}, unheard: map[string]bool{}, dirty: map[string]*job{},
		lengths: lengths{}, advisers: newAdvisers(),
	}
}

// Deposed reports whether this leader was superseded by a newer one.
func (p *Planner) Deposed() bool { return p.deposed }

// SetFleet sets the configuration.
func (p *Planner) SetFleet(f *ladderflow.Fleet) { p.fleet, p.moved = f, true }

// AddJob adds a job that the store holds. Inherited is true if an earlier leader may have started
// tasks of the job.
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

// Cancel cancels a job. If the job is unknown, the cancellation is kept until the job is added.
func (p *Planner) Cancel(now time.Time, id string) {
	j, ok := p.jobs[id]
	switch {
	case !ok:
		p.cancelled[id] = now
	case j.live():
		p.finish(now, j, ladderflow.Cancelled)
	}
}

// startRound adds a round and marks its first steps as ready.
func (p *Planner) openRound(now time.Time, j *job, index int, due time.Time) {
	p.moved = true
	r := j.open(index, due)
	j.next = max(j.next, index+1)
	p.openSteps(now, r)
}

// markReadySteps marks the steps of a round as ready whose predecessors have succeeded.
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

// startDueRounds starts the rounds that are due at the time of day wall.
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

// finish sets the final state of a job and stops its runs.
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

// endRun records the end of a run. It is called once for each end that a worker lists.
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

// taskSucceeded records that a task has succeeded, or a whole gang if the task is a member of one.
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

// runFailed counts a failed run, and fails the job after the last attempt.
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

// service returns the name of the worker pool that runs the job's tasks now.
func (p *Planner) service(j *job) string {
	if q, ok := p.queue(j); ok {
		return q.Service
	}
	return j.spec.Service
}

// stopRun orders a run to stop, unless an earlier stop may still be in progress.
func (p *Planner) stop(now time.Time, x *run, why string) {
	if x.phase == stopping && now.Sub(x.stopSent) < p.options.StopTime {
		return
	}
	x.phase, x.stopSent = stopping, now
	p.log.Debug("run is stopped", "task", x.name.Task, "run", x.name.Number, "worker", x.worker.spec.ID, "why", why)
	p.orders.Stops = append(p.orders.Stops, StopOrder{Worker: x.worker.spec, Run: x.name})
}

// stopGang stops all runs of a gang after one of them has failed.
func (p *Planner) breakGang(now time.Time, s *step) {
	for _, t := range s.tasks {
		for _, x := range t.runs {
			p.stop(now, x, "the gang is broken")
		}
	}
}

// View is the state of a job that callers see.
type View struct {
	Known bool
	State ladderflow.State
}

// unstoredEndDelay is how long the end of a job is withheld from callers if the store does not hold
// it yet. It is several times the duration of a store transaction. If the store is unavailable for
// longer, callers see the end nevertheless: the workers still list the ends of the runs, so the
// next leader would reach the same state. This is not so for a worker that is leaving, and an end
// that depends on its list is withheld until it is stored.
const showTime = 300 * time.Millisecond

// View returns the state of a job. The end is visible once the store holds it, or after
// unstoredEndDelay if the workers still list the ends of the runs.
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

// Pending returns the number of jobs of a queue that have not started, without timed jobs.
func (p *Planner) Pending(queue string) int {
	n := 0
	for _, j := range p.jobs {
		if j.spec.Queue == queue && j.live() && !j.begun && !j.spec.Timed() {
			n++
		}
	}
	return n
}

// Ended reports whether a job has ended, whether or not the end is stored.
func (p *Planner) Ended(id string) bool {
	j, ok := p.jobs[id]
	return ok && !j.live()
}
