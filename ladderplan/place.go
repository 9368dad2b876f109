package ladderplan

import (
	"cmp"
	"slices"
	"time"

	"lacewingladder/ladderflow"
)

const (
	// lateFactor times a job's aim is when its end is worth nothing any more.
	lateFactor = 3
	// settledTime is the time between two placements when nothing has happened that
	// lets a task start but that time has passed.
	settledTime = 20 * time.Millisecond
	// leastReserved is how many gangs may keep workers for themselves at once, and one more
	// for each reservedShare workers above that. More would leave too many workers waiting
	// half empty; fewer would make gangs wait though there is room for them elsewhere.
	leastReserved = 8
	reservedShare = 12
	// backfill times a task's estimate must fit before a gang starts for the task to
	// use room that the gang waits for. Estimates may be off
	// by half.
	backfill = 2
)

// rank says which steps come first.
type rank struct {
	step *step
	// class 0 is urgent or lasting, 1 can be in time, 2 is late, 3 is worth nothing.
	class  int
	latest time.Time
}

// Right is what a leader may do at a moment.
type Right int

const (
	// NoRight means that another VM may lead.
	NoRight Right = iota
	// Likely means that the lease may have ended, but that nobody can have won the
	// lead as far as can be told. Workers' lives that were not seen before are left
	// alone then: they know no fence that could refuse a start.
	Likely
	// Sure means that the lease stands.
	Sure
)

// Plan returns what to order now. Wall is the time of day.
func (p *Planner) Plan(now, wall time.Time, right Right) Orders {
	p.lapse(now)
	p.openTimed(now, wall)
	p.retire(now)
	if right == Sure {
		p.sure = now
	}
	if right != NoRight {
		if p.moved || now.Sub(p.placed) >= settledTime {
			p.moved, p.placed = false, now
			p.place(now)
		}
		p.setPaces(now)
	}
	o := p.orders
	p.orders = Orders{}
	return o
}

// place starts what can start, in the order of rank.
func (p *Planner) place(now time.Time) {
	p.refresh(now)
	reserved := map[*worker]time.Duration{}
	gangs, most := 0, max(leastReserved, len(p.workers)/reservedShare)
	for _, k := range p.ranked(now) {
		s := k.step
		q, ok := p.queue(s.round.job)
		if !ok && p.fleet == nil {
			continue
		}
		if !p.certain && s.round.job.inherited {
			continue
		}
		if p.full() {
			break
		}
		f := field{planner: p, step: s, queue: q, service: p.service(s.round.job), now: now}
		if k.class > 0 {
			f.reserved = reserved
		}
		f.kept = p.kept
		switch {
		case !s.spec.Gang:
			f.placeTasks()
			f.askForTasks()
			f.preempt()
		case !f.placeGang() && gangs < most && f.holdable():
			gangs++
			f.awaitGang(reserved)
		}
	}
	p.kept = reserved
}

// full reports whether as many starts are under way as may be. A gang may exceed the
// bound, since its members must start together.
func (p *Planner) full() bool {
	return p.options.MaxUnanswered > 0 && p.unanswered >= p.options.MaxUnanswered
}

// ranked returns the open steps with waiting tasks, first what should start first.
func (p *Planner) ranked(now time.Time) []rank {
	kept := p.open[:0]
	var list []rank
	for _, s := range p.open {
		if s.finished() || !s.round.job.live() {
			continue
		}
		kept = append(kept, s)
		if s.waiting > 0 {
			list = append(list, p.rank(now, s))
		}
	}
	clear(p.open[len(kept):])
	p.open = kept
	slices.SortFunc(list, func(a, b rank) int {
		return cmp.Or(cmp.Compare(a.class, b.class), a.latest.Compare(b.latest))
	})
	return list
}

func (p *Planner) rank(now time.Time, s *step) rank {
	j := s.round.job
	aim := p.aim(j)
	rest := j.chain[s.index]
	k := rank{step: s, latest: s.round.due.Add(aim - rest)}
	q, ok := p.queue(j)
	urgent := ok && q.Priority == 0 || s.spec.Lasting
	switch p.options.Order {
	case ByArrival:
		return rank{step: s, latest: s.since}
	case ByPriority:
		if ok {
			k.class = q.Priority
		}
		k.latest = s.since
		return k
	case ByDeadline:
		return rank{step: s, latest: s.round.due.Add(aim)}
	case ByLength:
		return rank{step: s, latest: time.UnixMilli(0).Add(s.length())}
	case ByAim:
	}
	switch {
	case now.Add(rest).After(s.round.due.Add(lateFactor * aim)):
		k.class = 3
	case urgent:
		k.class = 0
	case now.After(k.latest):
		k.class = 2
	default:
		k.class = 1
	}
	return k
}

// aim returns the time within which a job should end.
func (p *Planner) aim(j *job) time.Duration {
	q, ok := p.queue(j)
	if !ok {
		return j.longest()
	}
	return time.Duration(q.Stretch*float64(j.longest())) + q.Goal
}

// field is the choice of workers for one step.
type field struct {
	planner *Planner
	step    *step
	queue   *ladderflow.Queue
	service string
	now     time.Time
	// reserved holds the workers that gangs wait for, and in how long they start there.
	reserved map[*worker]time.Duration
	// kept holds the workers that gangs waited for at the last plan. Urgent tasks may
	// take them, but prefer others.
	kept map[*worker]time.Duration
}

// refresh finds out which workers take new tasks at all, by service. It is done once
// for each plan, since every step looks through them.
func (p *Planner) refresh(now time.Time) {
	for name := range p.pools {
		p.pools[name] = p.pools[name][:0]
	}
	p.turn++
	for _, w := range p.everyWorker() {
		if p.takes(now, w) {
			w.trial, w.turn = w.struck(now), p.turn
			p.pools[w.spec.Service] = append(p.pools[w.spec.Service], w)
		}
	}
}

// takes reports whether a worker takes new tasks at all.
func (p *Planner) takes(now time.Time, w *worker) bool {
	switch {
	case !w.listed, !w.fenced, w.failing, !w.leaves.IsZero(), now.Sub(w.heard) >= silence:
		return false
	case now.Before(w.avoid), now.Before(w.going), p.emptying[w.spec.ID], !p.roster[w.spec.ID]:
		return false
	case w.lived.After(p.sure):
		return false
	}
	return w.spec.Born == 0 || w.spec.Born == w.born
}

// pool returns the workers that take new tasks of the step's service.
func (f *field) pool() []*worker { return f.planner.pools[f.service] }

// usable reports whether a worker of the pool takes tasks of the step. One that was
// struck takes one at a time.
func (f *field) usable(w *worker) bool {
	return w.has(f.step.spec.Label) && (!w.trial || len(w.runs) == 0)
}

// needsTickets reports whether the step runs only where the advice service allows it.
func (f *field) needsTickets() bool { return f.queue != nil && f.queue.Advice != nil }

// allowed returns the workers of the pool that are known to be allowed for the step, in
// the order of their ids.
func (f *field) allowed() []*worker { return f.ticketed(time.Time{}) }

// advised returns the workers of the pool that may run the step now.
func (f *field) advised() []*worker { return f.ticketed(f.now) }

// ticketed returns the workers of the pool whose tickets for the step end after a time.
func (f *field) ticketed(after time.Time) []*worker {
	if !f.needsTickets() {
		return f.pool()
	}
	var list []*worker
	for i := range f.step.tickets.rows {
		k := &f.step.tickets.rows[i]
		if !after.IsZero() && !after.Before(k.until) {
			continue
		}
		if w := f.planner.workers[k.worker]; w != nil && w.turn == f.planner.turn && w.spec.Service == f.service {
			list = append(list, w)
		}
	}
	return list
}

// slots returns how many more tasks of the step a worker can take.
func (f *field) slots(w *worker) int {
	s := f.step.spec
	limit := s.Tasks
	if s.Spread > 0 {
		limit = min(limit, s.Spread-f.step.on[w])
	}
	return s.Charge().Times(w.free, max(limit, 0))
}

// placeTasks starts as many single tasks as there is room for.
func (f *field) placeTasks() {
	var candidates []*worker
	for _, w := range f.advised() {
		start, waited := f.reserved[w]
		brief := backfill*float64(f.step.length()) <= float64(start)
		if f.usable(w) && f.slots(w) > 0 && (!waited || brief) {
			candidates = append(candidates, w)
		}
	}
	if len(candidates) == 0 {
		return
	}
	for _, t := range f.step.tasks {
		if !t.idle() {
			continue
		}
		if f.planner.full() {
			return
		}
		w := f.best(candidates, t.shunned)
		if w == nil {
			return
		}
		f.start(t, w, t.number+1, t.saved)
	}
}

// best returns the candidate that is left most evenly full. It prefers those in the
// rack of the step's data, and those on which the task has not failed yet.
func (f *field) best(candidates []*worker, shunned map[string]bool) *worker {
	var found *worker
	var least float64
	for _, w := range candidates {
		if f.slots(w) == 0 {
			continue
		}
		v := leftover(w, f.step.spec.Charge())
		if f.step.spec.Rack != "" && !w.has(f.step.spec.Rack) {
			v += rackWeight
		}
		if shunned[w.spec.ID] {
			v += shunWeight
		}
		if _, ok := f.kept[w]; ok {
			v += keptWeight
		}
		if found == nil || v < least || v == least && w.spec.ID < found.spec.ID {
			found, least = w, v
		}
	}
	return found
}

const (
	// keptWeight puts workers that gangs wait for behind all others, rackWeight those
	// away from the step's data behind these, and shunWeight those on which the task
	// has failed behind all: what is left over is at most 6.
	keptWeight = 10
	rackWeight = 20
	shunWeight = 40
)

// leftover returns how much of a worker stays free once a task is on it, from 0 to
// 2, with what only one kind of resource has left counted twice.
func leftover(w *worker, need ladderflow.Size) float64 {
	rest := w.free.Minus(need)
	share := func(a, b int) float64 {
		if b == 0 {
			return 0
		}
		return float64(a) / float64(b)
	}
	c, m := share(rest.Processor, w.spec.Capacity.Processor), share(rest.Memory, w.spec.Capacity.Memory)
	return max(c, m) + max(c-m, m-c)/2 + 4*share(rest.Accelerators, w.spec.Capacity.Accelerators)
}

// start orders a run of a task.
func (f *field) start(t *task, w *worker, number int, saved string) {
	p := f.planner
	x := &run{
		task: t, name: ladderflow.Run{Task: t.name(), Number: number}, phase: sent, size: f.step.spec.Charge(),
		began: f.now, moved: f.now, percent: -1, pace: 100,
	}
	w.add(x)
	p.unanswered++
	first := !f.step.round.job.begun
	if first {
		f.step.round.job.begun, f.step.round.job.started = true, f.now
	}
	ticket := ""
	if f.needsTickets() {
		ticket = f.step.tickets.text(w.spec.ID)
	}
	p.orders.Starts = append(p.orders.Starts, StartOrder{
		Worker: w.spec, Run: x.name, Payload: f.step.round.job.spec.Payload, Saved: saved,
		Ticket: ticket, Until: p.lease(f.now, w), First: first, Waited: f.now.Sub(f.step.since),
	})
}

// rest returns how long a run should still take, by its progress where that is
// known and by its estimate otherwise.
func (x *run) rest(now time.Time) time.Duration {
	if x.task == nil || x.task.step.spec.Lasting {
		return 0
	}
	passed := now.Sub(x.began)
	if x.percent >= 10 && !x.moved.Before(x.began) {
		whole := time.Duration(float64(x.moved.Sub(x.began)) * 100 / float64(x.percent))
		return max(0, whole-passed)
	}
	return max(0, x.task.step.length()-passed)
}
