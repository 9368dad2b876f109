package ladderplan

import (
	"cmp"
	"slices"
	"time"

	"lacewingladder/ladderflow"
)

const (
	// worthlessFactor is the multiple of a job's objective after which its result is no longer of
	// use.
	lateFactor = 3
	// idlePassInterval is the time between two placement passes if nothing has happened in between
	// that lets a task start, except that time has passed.
	settledTime = 20 * time.Millisecond
	// minReservingGangs is the number of gangs that may reserve workers at the same time in a small
	// fleet. In a larger one, it is one gang for each workersPerReservingGang workers. A higher
	// limit would leave too many workers partly idle; a lower one would let gangs wait although
	// there is capacity for them elsewhere.
	leastReserved = 8
	reservedShare = 12
	// backfillFactor is the multiple of a task's expected duration that must fit before the start
	// of a gang for the task to use capacity that is reserved for the gang. Expected durations may
	// be too short by half.
	backfill = 2
)

// rank is the position of a step in the order of placement: first by class, then by latestStart.
type rank struct {
	step *step
	// class is the priority of the queue under ByPriority. Under ByAim it is one of:
	//   0: urgent or long-running
	//   1: can meet its objective
	//   2: will miss its objective
	//   3: its result is no longer of use
	class  int
	latest time.Time
}

// Right is how confident a VM is that it is the leader. It decides what the VM may order.
type Right int

const (
	// NoRight means that another VM may be the leader.
	NoRight Right = iota
	// Likely means that the leader lease may have expired, but that no other VM seems able to win
	// the election. No task starts on a worker incarnation that was first seen in this state: the
	// worker may not have seen any fencing token, and so could not reject an outdated start.
	Likely
	// Sure means that the leader lease is valid.
	Sure
)

// Plan returns the orders to send now. The time of day is wall, which decides when timed rounds are
// due.
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

// place starts the tasks for which there is capacity, in the order of their steps' ranks.
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

// startLimitReached reports whether no more starts may be sent before others are answered. A gang
// may exceed the limit, since its members must start together.
func (p *Planner) full() bool {
	return p.options.MaxUnanswered > 0 && p.unanswered >= p.options.MaxUnanswered
}

// rankedSteps returns the ready steps with waiting tasks, the one to place first at the front.
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

// objective returns the time within which a job should end.
func (p *Planner) aim(j *job) time.Duration {
	q, ok := p.queue(j)
	if !ok {
		return j.longest()
	}
	return time.Duration(q.Stretch*float64(j.longest())) + q.Goal
}

// stepPlacement places the tasks of one step in one placement pass.
type field struct {
	planner *Planner
	step    *step
	queue   *ladderflow.Queue
	service string
	now     time.Time
	// reserved maps the workers that are reserved for gangs to the time until the gang is expected
	// to start there. It is nil for steps of class 0, which may use them.
	reserved map[*worker]time.Duration
	// previouslyReserved holds the workers that were reserved in the last placement pass. Single
	// tasks that may use them prefer others.
	kept map[*worker]time.Duration
}

// refreshPools determines which workers accept new tasks, by service. It runs once in each
// placement pass, since all steps use the result.
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

// acceptsTasks reports whether a worker accepts new tasks of any step.
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

// pool returns the workers of the step's service that accept new tasks.
func (f *field) pool() []*worker { return f.planner.pools[f.service] }

// usable reports whether a worker of the pool may get tasks of the step. A worker on probation gets
// one task at a time.
func (f *field) usable(w *worker) bool {
	return w.has(f.step.spec.Label) && (!w.trial || len(w.runs) == 0)
}

// needsTickets reports whether the advice service decides on which workers the step may run.
func (f *field) needsTickets() bool { return f.queue != nil && f.queue.Advice != nil }

// knownAllowed returns the workers of the pool that are known to be allowed for the step, sorted by
// id. They may have no valid ticket.
func (f *field) allowed() []*worker { return f.ticketed(time.Time{}) }

// startable returns the workers of the pool on which the step may start now.
func (f *field) advised() []*worker { return f.ticketed(f.now) }

// withTickets returns the workers of the pool whose tickets for the step are valid at a given time.
// A zero time selects all workers that are known to be allowed.
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

// freeSlots returns how many more tasks of the step fit on a worker.
func (f *field) slots(w *worker) int {
	s := f.step.spec
	limit := s.Tasks
	if s.Spread > 0 {
		limit = min(limit, s.Spread-f.step.on[w])
	}
	return s.Charge().Times(w.free, max(limit, 0))
}

// placeTasks starts as many single tasks as there is capacity for.
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

// bestWorker returns the candidate with the lowest score, or nil if the step fits on none. The
// score is the capacity left over, plus penalties for workers that were reserved for a gang, are
// outside the rack of the step's data, or are in failedWorkers.
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
	// A leftover score is below 6, so each penalty outweighs it, and each larger penalty outweighs
	// the smaller ones: a worker that was reserved for a gang is worse than any other, one outside
	// the rack of the step's data is worse still, and one on which the task failed is worst.
	keptWeight = 10
	rackWeight = 20
	shunWeight = 40
)

// leftoverScore rates the capacity that would be left on a worker with a task of the given size. It
// is low if little is left, and if processor and memory are used to about the same degree. Idle
// accelerators weigh most.
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

// start orders the start of a task's run.
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

// remaining returns how long a run is expected to take from now on. It uses the run's progress if
// at least a tenth is done, and the expected duration otherwise.
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
