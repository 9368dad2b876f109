package ladderplan

import (
	"cmp"
	"slices"
	"time"

	"lacewingladder/ladderflow"
)

// gangCandidate is a worker and the number of a gang's members that fit on it.
type choice struct {
	worker *worker
	slots  int
}

func taken(reserved map[*worker]time.Duration, w *worker) bool {
	_, ok := reserved[w]
	return ok
}

// candidates returns the workers on which members of the gang fit now. Those that fit the most
// members come first, after that those with the least capacity left over. Workers on which a member
// failed come last.
func (f *field) choices() []choice {
	var list []choice
	for _, w := range f.advised() {
		if !f.usable(w) || taken(f.reserved, w) || w.trial {
			continue
		}
		if n := f.slots(w); n > 0 {
			list = append(list, choice{w, n})
		}
	}
	shunned := f.step.gang.shunned
	slices.SortFunc(list, func(a, b choice) int {
		return cmp.Or(cmp.Compare(b2i(shunned[a.worker.spec.ID]), b2i(shunned[b.worker.spec.ID])),
			cmp.Compare(b.slots, a.slots),
			cmp.Compare(leftover(a.worker, f.step.spec.Charge()), leftover(b.worker, f.step.spec.Charge())),
			cmp.Compare(a.worker.spec.ID, b.worker.spec.ID))
	})
	return list
}

// placeGang starts all members of a gang, or none. It reports whether it did, or whether runs of an
// earlier attempt are still being removed.
func (f *field) placeGang() bool {
	s := f.step
	for _, t := range s.tasks {
		if !t.idle() {
			return true // An earlier attempt is still being cleared away.
		}
	}
	list := f.choices()
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

// fitCheckInterval is the time between two checks whether a gang that was too large for its workers
// fits on them after all, because workers were added or the advice service allowed more.
const recountTime = 500 * time.Millisecond

// fitsEmptyWorkers reports whether the whole gang would fit on the workers that may run it if they
// were empty. If not, no workers are reserved for the gang, so that it does not block other gangs.
func (f *field) holdable() bool {
	g := &f.step.gang
	if f.now.Before(g.recount) {
		return false
	}
	room := 0
	for _, w := range f.planner.workers {
		if !w.listed || w.spec.Service != f.service || !w.has(f.step.spec.Label) || f.step.tickets.denied[w.spec.ID] {
			continue
		}
		room += f.step.most(w)
		if room >= len(f.step.tasks) {
			return true
		}
	}
	if g.recount.IsZero() {
		f.planner.log.Info("gang is too large for the workers that may run it", "step", f.step.ref(),
			"members", len(f.step.tasks), "room", room)
	}
	g.recount = f.now.Add(recountTime)
	return false
}

// maxTasksOn returns how many tasks of the step fit on the worker when it is empty.
func (s *step) most(w *worker) int {
	limit := len(s.tasks)
	if s.spec.Spread > 0 {
		limit = min(limit, s.spec.Spread)
	}
	return s.spec.Charge().Times(w.spec.Capacity, limit)
}

// singleRack returns the candidates of one rack on which the whole gang fits, or nil if there is no
// such rack. It prefers the rack where the fewest members fit.
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

// mayUseSeveralRacks reports whether a gang that asks for a single rack may be placed on several.
// It may if it fits in no rack even when the workers are empty, or if the gang has waited longer
// than several racks would slow it down.
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
			return float64(waited) > (f.planner.options.Remote-1)*float64(f.step.length())
		}
	}
	return true
}

// futureSlot is capacity for one member of a gang on a worker. It becomes free after the given time
// if nothing else starts on the worker.
type opening struct {
	worker *worker
	after  time.Duration
}

// reserveForGang reserves workers for a gang that does not fit yet. It queries advice early enough
// for the tickets to be valid when the capacity is free.
func (f *field) awaitGang(reserved map[*worker]time.Duration) {
	t := &f.step.tickets
	advised := f.needsTickets()
	if advised && len(t.rows) == 0 {
		f.askForTasks()
		return
	}
	need := len(f.step.tasks)
	list := f.openings(reserved)
	if len(list) < need {
		f.askForTasks() // The workers known to be allowed can not hold the gang.
		return
	}
	list = list[:need]
	horizon := time.Duration(0)
	if advised {
		horizon = f.queue.Advice.Cost(need)
	}
	soon := list[need-1].after <= horizon
	if !soon && f.mayAsk() {
		now := 0
		for _, o := range list {
			now += b2i(o.after == 0)
		}
		if names := f.explore(need - now); len(names) > 0 {
			f.askAbout(names)
			return
		}
	}
	var names []string
	for _, o := range list {
		id := o.worker.spec.ID
		if soon && !t.valid(id, f.now.Add(horizon)) && !slices.Contains(names, id) {
			names = append(names, id)
		}
		reserved[o.worker] = list[need-1].after
	}
	f.askAbout(names)
}

// futureSlots returns the present and future slots for members of the gang on workers that are
// known to be allowed, the earliest first.
func (f *field) openings(reserved map[*worker]time.Duration) []opening {
	var list []opening
	for _, w := range f.allowed() {
		if f.usable(w) && !taken(reserved, w) && !w.trial {
			list = append(list, f.openingsOn(w)...)
		}
	}
	slices.SortFunc(list, func(a, b opening) int {
		return cmp.Or(cmp.Compare(a.after, b.after), cmp.Compare(a.worker.spec.ID, b.worker.spec.ID))
	})
	return list
}

// futureSlotsOn returns the slots for members of the gang on one worker, now and as its runs end.
func (f *field) openingsOn(w *worker) []opening {
	limit := len(f.step.tasks)
	if f.step.spec.Spread > 0 {
		limit = min(limit, f.step.spec.Spread-f.step.on[w])
	}
	var list []opening
	free := w.free
	for _, e := range w.roomEnds(f.now, f.planner.turn) {
		free = free.Plus(e.size)
		for n := f.step.spec.Charge().Times(free, max(limit, 0)); len(list) < n; {
			list = append(list, opening{w, e.after})
		}
	}
	return list
}

// capacityRelease is the capacity that a run releases, and the time until then.
type runEnd struct {
	after time.Duration
	size  ladderflow.Size
}

// expectedReleases returns the capacity that the worker's runs will release, the earliest first.
// The first entry is empty: it stands for the capacity that is free now. The result is computed
// once for each placement pass.
func (w *worker) roomEnds(now time.Time, turn int64) []runEnd {
	if w.endsTurn == turn {
		return w.ends
	}
	w.ends = append(w.ends[:0], runEnd{})
	for _, x := range w.order {
		if x.task != nil && !x.task.step.spec.Lasting {
			w.ends = append(w.ends, runEnd{x.rest(now), x.size})
		}
	}
	slices.SortStableFunc(w.ends, func(a, b runEnd) int { return cmp.Compare(a.after, b.after) })
	w.endsTurn = turn
	return w.ends
}

// unknownWorkers returns workers with free capacity that the step has no answer about. It returns
// nil if too few of them are likely to be allowed to fit the missing number of members.
func (f *field) explore(missing int) []string {
	if !f.needsTickets() {
		return nil
	}
	t := &f.step.tickets
	var names []string
	slots := 0
	for _, w := range f.pool() {
		if t.denied[w.spec.ID] || t.known(w.spec.ID) {
			continue
		}
		if n := f.slots(w); n > 0 && f.usable(w) && !w.trial {
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
