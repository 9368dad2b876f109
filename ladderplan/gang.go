package ladderplan

import (
	"cmp"
	"slices"
	"time"

	"lacewingladder/ladderflow"
)

// gangCandidate is a worker and the number of a gang's members that fit on it.
type gangCandidate struct {
	worker *worker
	slots  int
}

func isReserved(reserved map[*worker]time.Duration, w *worker) bool {
	_, ok := reserved[w]
	return ok
}

// candidates returns the workers on which members of the gang fit now. Workers with capacity for more
// members come first, and among equals, those with less capacity left over. Workers on which a member
// has failed come last.
func (sp *stepPlacement) candidates() []gangCandidate {
	var list []gangCandidate
	for _, w := range sp.startable() {
		if !sp.usable(w) || isReserved(sp.reserved, w) || w.probation {
			continue
		}
		if n := sp.freeSlots(w); n > 0 {
			list = append(list, gangCandidate{w, n})
		}
	}
	failedWorkers := sp.step.gang.failedWorkers
	slices.SortFunc(list, func(a, b gangCandidate) int {
		return cmp.Or(cmp.Compare(boolToInt(failedWorkers[a.worker.spec.ID]), boolToInt(failedWorkers[b.worker.spec.ID])),
			cmp.Compare(b.slots, a.slots),
			cmp.Compare(leftoverScore(a.worker, sp.step.spec.Demand()), leftoverScore(b.worker, sp.step.spec.Demand())),
			cmp.Compare(a.worker.spec.ID, b.worker.spec.ID))
	})
	return list
}

// placeGang starts all members of a gang, or none. It returns false if the gang does not fit. While
// runs of an earlier attempt remain, it starts nothing and returns true.
func (sp *stepPlacement) placeGang() bool {
	s := sp.step
	for _, t := range s.tasks {
		if !t.needsRun() {
			return true // Runs of an earlier attempt are still being removed.
		}
	}
	list := sp.candidates()
	if s.spec.PreferSameRack {
		if one := sp.singleRack(list); one != nil || !sp.mayUseSeveralRacks() {
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
	number := s.gang.lastRun + 1
	for _, t := range s.tasks {
		number = max(number, t.lastRun+1)
	}
	s.gang.lastRun = number
	i := 0
	for _, c := range list {
		for range c.slots {
			if i == len(s.tasks) {
				return true
			}
			sp.start(s.tasks[i], c.worker, number, s.gang.checkpoint)
			i++
		}
	}
	return true
}

// fitCheckInterval is the time between two checks whether a gang that was too large for its workers
// fits on them now, because workers were added or the advice service allowed more.
const fitCheckInterval = 500 * time.Millisecond

// fitsEmptyWorkers reports whether the whole gang would fit on the workers that may run it if they
// were empty. If not, no workers are reserved for the gang, so that it does not block other gangs.
func (sp *stepPlacement) fitsEmptyWorkers() bool {
	g := &sp.step.gang
	if sp.now.Before(g.nextFitCheck) {
		return false
	}
	capacity := 0
	for _, w := range sp.planner.workers {
		if !w.listed || w.spec.Service != sp.service || !w.hasLabel(sp.step.spec.WorkerLabel) ||
			sp.step.tickets.denied[w.spec.ID] {
			continue
		}
		capacity += sp.step.maxTasksOn(w)
		if capacity >= len(sp.step.tasks) {
			return true
		}
	}
	if g.nextFitCheck.IsZero() {
		sp.planner.log.Info("gang does not fit on the workers that may run it, even if they are empty", "step", sp.step.ref(),
			"members", len(sp.step.tasks), "capacity", capacity)
	}
	g.nextFitCheck = sp.now.Add(fitCheckInterval)
	return false
}

// maxTasksOn returns how many tasks of the step fit on the worker when it is empty.
func (s *step) maxTasksOn(w *worker) int {
	limit := len(s.tasks)
	if s.spec.MaxPerWorker > 0 {
		limit = min(limit, s.spec.MaxPerWorker)
	}
	return s.spec.Demand().FitCount(w.spec.Capacity, limit)
}

// singleRack returns the candidates of one rack on which the whole gang fits, or nil if there is no
// such rack. It prefers the rack where the fewest members fit.
func (sp *stepPlacement) singleRack(list []gangCandidate) []gangCandidate {
	racks := map[string][]gangCandidate{}
	totals := map[string]int{}
	for _, c := range list {
		r := c.worker.rack()
		racks[r] = append(racks[r], c)
		totals[r] += c.slots
	}
	found := ""
	for r, n := range totals {
		if n >= len(sp.step.tasks) && (found == "" || n < totals[found] || n == totals[found] && r < found) {
			found = r
		}
	}
	return racks[found]
}

// mayUseSeveralRacks reports whether a gang that asks for a single rack may be placed on several.
// It may if it fits in no rack even when the workers are empty, or if it has waited for longer than
// the time that it would lose by running on several racks.
func (sp *stepPlacement) mayUseSeveralRacks() bool {
	racks := map[string]int{}
	for _, w := range sp.planner.workers {
		if w.spec.Service == sp.service && w.hasLabel(sp.step.spec.WorkerLabel) {
			racks[w.rack()] += sp.step.spec.Demand().FitCount(w.spec.Capacity, sp.step.spec.Tasks)
		}
	}
	for _, n := range racks {
		if n >= len(sp.step.tasks) {
			waited := sp.now.Sub(sp.step.readySince)
			return float64(waited) > (sp.planner.options.RemoteFactor-1)*float64(sp.step.expectedDuration())
		}
	}
	return true
}

// futureSlot is capacity for one member of a gang on a worker. It becomes free after the given time
// if nothing else starts on the worker.
type futureSlot struct {
	worker *worker
	after  time.Duration
}

// reserveForGang reserves workers for a gang that does not fit yet. It queries advice early enough
// for the tickets to be valid when the capacity is free.
func (sp *stepPlacement) reserveForGang(reserved map[*worker]time.Duration) {
	t := &sp.step.tickets
	needsTickets := sp.needsTickets()
	if needsTickets && len(t.rows) == 0 {
		sp.queryForTasks()
		return
	}
	need := len(sp.step.tasks)
	list := sp.futureSlots(reserved)
	if len(list) < need {
		sp.queryForTasks() // The gang does not fit on the workers known to be allowed.
		return
	}
	list = list[:need]
	horizon := time.Duration(0)
	if needsTickets {
		horizon = sp.queue.Advice.ResponseTime(need)
	}
	soon := list[need-1].after <= horizon
	if !soon && sp.mayQuery() {
		freeNow := 0
		for _, o := range list {
			freeNow += boolToInt(o.after == 0)
		}
		if names := sp.unknownWorkers(need - freeNow); len(names) > 0 {
			sp.sendQuery(names)
			return
		}
	}
	var names []string
	for _, o := range list {
		id := o.worker.spec.ID
		if soon && !t.valid(id, sp.now.Add(horizon)) && !slices.Contains(names, id) {
			names = append(names, id)
		}
		reserved[o.worker] = list[need-1].after
	}
	sp.sendQuery(names)
}

// futureSlots returns the present and future slots for members of the gang on workers that are
// known to be allowed, the earliest first.
func (sp *stepPlacement) futureSlots(reserved map[*worker]time.Duration) []futureSlot {
	var list []futureSlot
	for _, w := range sp.knownAllowed() {
		if sp.usable(w) && !isReserved(reserved, w) && !w.probation {
			list = append(list, sp.futureSlotsOn(w)...)
		}
	}
	slices.SortFunc(list, func(a, b futureSlot) int {
		return cmp.Or(cmp.Compare(a.after, b.after), cmp.Compare(a.worker.spec.ID, b.worker.spec.ID))
	})
	return list
}

// futureSlotsOn returns the slots for members of the gang on one worker, now and as its runs end.
func (sp *stepPlacement) futureSlotsOn(w *worker) []futureSlot {
	limit := len(sp.step.tasks)
	if sp.step.spec.MaxPerWorker > 0 {
		limit = min(limit, sp.step.spec.MaxPerWorker-sp.step.runsOn[w])
	}
	var list []futureSlot
	free := w.free
	for _, e := range w.expectedReleases(sp.now, sp.planner.pass) {
		free = free.Plus(e.size)
		for n := sp.step.spec.Demand().FitCount(free, max(limit, 0)); len(list) < n; {
			list = append(list, futureSlot{w, e.after})
		}
	}
	return list
}

// capacityRelease is the capacity that a run releases, and the time until then.
type capacityRelease struct {
	after time.Duration
	size  ladderflow.Size
}

// expectedReleases returns the capacity that the worker's runs will release, the earliest first.
// The first entry is empty: it represents the capacity that is free now. The result is computed
// once for each placement pass.
func (w *worker) expectedReleases(now time.Time, pass int64) []capacityRelease {
	if w.releasesPass == pass {
		return w.capacityReleases
	}
	w.capacityReleases = append(w.capacityReleases[:0], capacityRelease{})
	for _, x := range w.runOrder {
		if x.task != nil && !x.task.step.spec.LongRunning {
			w.capacityReleases = append(w.capacityReleases, capacityRelease{x.remaining(now), x.size})
		}
	}
	slices.SortStableFunc(w.capacityReleases, func(a, b capacityRelease) int { return cmp.Compare(a.after, b.after) })
	w.releasesPass = pass
	return w.capacityReleases
}

// unknownWorkers returns workers with free capacity that the step has no answer about. It returns
// nil if those of them that are likely to be allowed do not have enough capacity for the missing
// number of members.
func (sp *stepPlacement) unknownWorkers(missing int) []string {
	if !sp.needsTickets() {
		return nil
	}
	t := &sp.step.tickets
	var names []string
	slots := 0
	for _, w := range sp.pool() {
		if t.denied[w.spec.ID] || t.isAllowed(w.spec.ID) {
			continue
		}
		if n := sp.freeSlots(w); n > 0 && sp.usable(w) && !w.probation {
			names = append(names, w.spec.ID)
			slots += n
		}
	}
	if sp.planner.allowedShare(sp.queue.Name)*float64(slots) < float64(missing) {
		return nil
	}
	slices.Sort(names)
	return names[:min(len(names), maxQueryWorkers)]
}
