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
	// maxReserved is how many gangs may keep workers for themselves at once. More
	// would leave too many workers waiting half empty.
	maxReserved = 4
	// briefTime is how long a task may take that uses room which a gang waits for.
	briefTime = 1200 * time.Millisecond
)

// rank says which steps come first.
type rank struct {
	step *step
	// class 0 is urgent or lasting, 1 can be in time, 2 is late, 3 is worth nothing.
	class  int
	latest time.Time
}

// Plan returns what to order now. Wall is the time of day. Nothing starts unless
// the lead is certain.
func (p *Planner) Plan(now, wall time.Time, leads bool) Orders {
	p.lapse(now)
	p.openTimed(now, wall)
	p.retire(now)
	if leads {
		p.place(now)
		p.setPaces(now)
	}
	o := p.orders
	p.orders = Orders{}
	return o
}

// place starts what can start, in the order of rank.
func (p *Planner) place(now time.Time) {
	reserved := map[*worker]bool{}
	gangs := 0
	for _, k := range p.ranked(now) {
		s := k.step
		q, ok := p.queue(s.round.job)
		if !ok && p.fleet == nil {
			continue
		}
		if !p.certain && s.round.job.inherited {
			continue
		}
		f := field{planner: p, step: s, queue: q, service: p.service(s.round.job), now: now}
		if k.class > 0 {
			f.reserved = reserved
		}
		if !s.spec.Gang {
			f.placeTasks()
		} else if !f.placeGang() && k.class < 3 && gangs < maxReserved {
			gangs++
			f.reserve(reserved)
		}
		if s.waiting > 0 {
			f.ask()
		}
	}
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
	planner  *Planner
	step     *step
	queue    *ladderflow.Queue
	service  string
	now      time.Time
	reserved map[*worker]bool
}

// usable reports whether a worker takes new tasks at all.
func (f *field) usable(w *worker) bool {
	return w.listed && w.fenced && f.planner.roster[w.spec.ID] && !w.failing && w.leaves.IsZero() && !f.now.Before(w.avoid) &&
		f.now.Sub(w.heard) < silence && w.spec.Service == f.service && w.has(f.step.spec.Label) &&
		(w.strikes == 0 || len(w.runs) == 0)
}

// advised reports whether a worker may run the step now.
func (f *field) advised(w *worker) bool {
	return f.queue == nil || f.queue.Advice == nil || f.step.tickets.valid(w.spec.ID, f.now)
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
	for _, w := range f.planner.workers {
		brief := f.step.spec.Estimate <= briefTime
		if f.usable(w) && f.advised(w) && f.slots(w) > 0 && (brief || !f.reserved[w]) {
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
		w := f.best(candidates)
		if w == nil {
			return
		}
		f.start(t, w, t.number+1, t.saved)
	}
}

// best returns the candidate that is left most evenly full, and prefers those in
// the rack of the step's data.
func (f *field) best(candidates []*worker) *worker {
	var found *worker
	var least float64
	for _, w := range candidates {
		if f.slots(w) == 0 {
			continue
		}
		v := leftover(w, f.step.spec.Charge())
		if f.step.spec.Rack != "" && !w.has(f.step.spec.Rack) {
			v += 10
		}
		if found == nil || v < least || v == least && w.spec.ID < found.spec.ID {
			found, least = w, v
		}
	}
	return found
}

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
	f.step.round.job.begun = true
	ticket := ""
	if f.queue != nil && f.queue.Advice != nil {
		ticket = f.step.tickets.rows[w.spec.ID].text
	}
	p.orders.Starts = append(p.orders.Starts, StartOrder{
		Worker: w.spec, Run: x.name, Payload: f.step.round.job.spec.Payload, Saved: saved,
		Ticket: ticket, Until: p.lease(f.now, w),
	})
}

// choice is a worker with the number of a gang's members that it takes.
type choice struct {
	worker *worker
	slots  int
}

// choices returns the workers that can take members of a gang now, those that take
// most first.
func (f *field) choices(allowed func(*worker) bool) []choice {
	var list []choice
	for _, w := range f.planner.workers {
		if !f.usable(w) || !allowed(w) || f.reserved[w] || w.strikes > 0 {
			continue
		}
		if n := f.slots(w); n > 0 {
			list = append(list, choice{w, n})
		}
	}
	slices.SortFunc(list, func(a, b choice) int {
		return cmp.Or(cmp.Compare(b.slots, a.slots),
			cmp.Compare(leftover(a.worker, f.step.spec.Charge()), leftover(b.worker, f.step.spec.Charge())),
			cmp.Compare(a.worker.spec.ID, b.worker.spec.ID))
	})
	return list
}

// placeGang starts all members of a gang, or none.
func (f *field) placeGang() bool {
	s := f.step
	for _, t := range s.tasks {
		if !t.idle() {
			return true // An earlier attempt is still being cleared away.
		}
	}
	list := f.choices(f.advised)
	if s.spec.OneRack {
		if one := f.oneRack(list); one != nil || !f.mayScatter() {
			list = one
		}
	}
	total := 0
	for _, c := range list {
		total += c.slots
	}
	if total < len(s.tasks) {
		return false
	}
	number := s.gang.run + 1
	for _, t := range s.tasks {
		number = max(number, t.number+1)
	}
	s.gang.run = number
	i := 0
	for _, c := range list {
		for range c.slots {
			if i == len(s.tasks) {
				return true
			}
			f.start(s.tasks[i], c.worker, number, s.gang.saved)
			i++
		}
	}
	return true
}

// oneRack returns the choices of the rack that holds the whole gang, or nil.
func (f *field) oneRack(list []choice) []choice {
	racks := map[string][]choice{}
	totals := map[string]int{}
	for _, c := range list {
		r := c.worker.rack()
		racks[r] = append(racks[r], c)
		totals[r] += c.slots
	}
	found := ""
	for r, n := range totals {
		if n >= len(f.step.tasks) && (found == "" || n < totals[found] || n == totals[found] && r < found) {
			found = r
		}
	}
	return racks[found]
}

// mayScatter reports whether a gang for one rack may run on several: when no rack
// could hold it, or when waiting longer costs more than the slower run.
func (f *field) mayScatter() bool {
	racks := map[string]int{}
	for _, w := range f.planner.workers {
		if w.spec.Service == f.service && w.has(f.step.spec.Label) {
			racks[w.rack()] += f.step.spec.Charge().Times(w.spec.Capacity, f.step.spec.Tasks)
		}
	}
	for _, n := range racks {
		if n >= len(f.step.tasks) {
			waited := f.now.Sub(f.step.since)
			return float64(waited) > (f.planner.options.Remote-1)*float64(f.step.spec.Estimate)
		}
	}
	return true
}

// reserve keeps workers for a gang that does not fit yet: those that will have the
// room soonest, until they hold all of it.
func (f *field) reserve(reserved map[*worker]bool) {
	type soon struct {
		worker *worker
		slots  int
		at     time.Duration
	}
	var list []soon
	for _, w := range f.planner.workers {
		if !f.usable(w) || reserved[w] || w.strikes > 0 || !f.mayBeAdvised(w) {
			continue
		}
		all := f.step.spec.Charge().Times(w.spec.Capacity, len(f.step.tasks))
		if all == 0 {
			continue
		}
		list = append(list, soon{w, all, f.planner.emptyIn(f.now, w)})
	}
	slices.SortFunc(list, func(a, b soon) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.worker.spec.ID, b.worker.spec.ID))
	})
	need := len(f.step.tasks)
	for _, c := range list {
		if need <= 0 {
			return
		}
		reserved[c.worker] = true
		need -= c.slots
	}
}

// emptyIn returns how long the longest run on a worker should still take.
func (p *Planner) emptyIn(now time.Time, w *worker) time.Duration {
	var longest time.Duration
	for _, x := range w.runs {
		longest = max(longest, x.rest(now))
	}
	return longest
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
	return max(0, x.task.step.spec.Estimate-passed)
}
