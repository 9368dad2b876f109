package ladderplan

import (
	"cmp"
	"slices"
	"time"
)

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
		if !f.usable(w) || !allowed(w) || f.reserved[w] || w.struck(f.now) {
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

// prospect is a worker with the members of a gang that it could take soon.
type prospect struct {
	worker *worker
	slots  int
	// empty is how long until nothing runs on the worker any more.
	empty time.Duration
}

// awaitGang keeps workers for a gang that does not fit yet, and asks for their
// tickets early enough to be there when the room is.
func (f *field) awaitGang(reserved map[*worker]bool) {
	t := &f.step.tickets
	if f.queue != nil && f.queue.Advice != nil && len(t.rows) == 0 {
		f.askForTasks()
		return
	}
	horizon := time.Duration(0)
	if f.queue != nil && f.queue.Advice != nil {
		horizon = f.queue.Advice.Cost(len(f.step.tasks))
	}
	list := f.prospects(reserved, horizon)
	total, most := 0, 0
	for _, c := range list {
		total += c.slots
		most += f.step.spec.Charge().Times(c.worker.spec.Capacity, len(f.step.tasks))
	}
	if most < len(f.step.tasks) {
		f.askForTasks() // The workers known to be allowed can never hold the gang.
		return
	}
	soon := total >= len(f.step.tasks)
	if !soon && f.mayAsk() {
		if names := f.explore(len(f.step.tasks) - total); len(names) > 0 {
			f.askAbout(names)
			return
		}
	}
	if !soon {
		// Workers that are empty sooner have the room sooner.
		slices.SortStableFunc(list, func(a, b prospect) int { return cmp.Compare(a.empty, b.empty) })
	}
	need := len(f.step.tasks)
	var names []string
	for _, c := range list {
		if need <= 0 {
			break
		}
		reserved[c.worker] = true
		if soon {
			need -= c.slots
		} else {
			need -= f.step.spec.Charge().Times(c.worker.spec.Capacity, len(f.step.tasks))
		}
		if soon && !t.valid(c.worker.spec.ID, f.now.Add(horizon)) {
			names = append(names, c.worker.spec.ID)
		}
	}
	f.askAbout(names)
}

// explore returns workers with room now of which it is not known whether they are
// allowed, if enough of them should be to make up what is missing.
func (f *field) explore(missing int) []string {
	if f.queue == nil || f.queue.Advice == nil {
		return nil
	}
	t := &f.step.tickets
	var names []string
	slots := 0
	for _, w := range f.planner.workers {
		if n := f.slots(w); n > 0 && f.usable(w) && !f.known(w) && !t.denied[w.spec.ID] && !w.struck(f.now) {
			names = append(names, w.spec.ID)
			slots += n
		}
	}
	if f.planner.share(f.queue.Name)*float64(slots) < float64(missing) {
		return nil
	}
	slices.Sort(names)
	return names[:min(len(names), most)]
}

// prospects returns the workers that are known to be allowed, those that will have
// the most room first.
func (f *field) prospects(reserved map[*worker]bool, horizon time.Duration) []prospect {
	var list []prospect
	for _, w := range f.planner.workers {
		if !f.usable(w) || reserved[w] || w.struck(f.now) || !f.known(w) {
			continue
		}
		list = append(list, prospect{w, f.slotsIn(w, horizon), f.planner.emptyIn(f.now, w)})
	}
	slices.SortFunc(list, func(a, b prospect) int {
		return cmp.Or(cmp.Compare(b.slots, a.slots), cmp.Compare(a.empty, b.empty),
			cmp.Compare(a.worker.spec.ID, b.worker.spec.ID))
	})
	return list
}

// known reports whether a worker is known to be allowed for the step.
func (f *field) known(w *worker) bool {
	if f.queue == nil || f.queue.Advice == nil {
		return true
	}
	_, ok := f.step.tickets.rows[w.spec.ID]
	return ok
}

// slotsIn returns how many tasks of the step a worker should be able to take after
// a while, if nothing else starts there.
func (f *field) slotsIn(w *worker, after time.Duration) int {
	s := f.step.spec
	free := w.free
	for _, x := range w.runs {
		if x.task != nil && !x.task.step.spec.Lasting && x.rest(f.now) <= after {
			free = free.Plus(x.size)
		}
	}
	limit := s.Tasks
	if s.Spread > 0 {
		limit = min(limit, s.Spread-f.step.on[w])
	}
	return s.Charge().Times(free, max(limit, 0))
}
