package ladderplan

import (
	"cmp"
	"slices"
	"time"
)

// gangCandidate is a worker and the number of a gang's members that fit on it.
type gangCandidate struct {
	worker *worker
	slots  int
}

// candidates returns the workers on which members of the gang fit now, or nil if the whole gang does
// not fit. Workers with capacity for more members come first, and among equals, those with less
// capacity left over. Workers on which a member has failed come last.
func (sp *stepPlacement) candidates() []gangCandidate {
	var list []gangCandidate
	total := 0
	for w := range sp.startable() {
		if !sp.usable(w) || sp.reserved(w) || w.probation {
			continue
		}
		if n := sp.freeSlots(w); n > 0 {
			list = append(list, gangCandidate{w, n})
			total += n
		}
	}
	if total < len(sp.step.tasks) {
		return nil
	}
	failedWorkers := sp.step.gang.failedWorkers
	slices.SortFunc(list, func(a, b gangCandidate) int {
		return cmp.Or(cmp.Compare(boolToInt(failedWorkers[a.worker.spec.ID]), boolToInt(failedWorkers[b.worker.spec.ID])),
			cmp.Compare(b.slots, a.slots),
			cmp.Compare(leftoverScore(a.worker, sp.step.spec.Demand()), leftoverScore(b.worker, sp.step.spec.Demand())),
			cmp.Compare(a.worker.order, b.worker.order))
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
		if !sp.mayRestart(t) {
			return true
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
	sound := slices.DeleteFunc(slices.Clone(list), func(c gangCandidate) bool { return c.worker.isSlow() })
	soundTotal := 0
	for _, c := range sound {
		soundTotal += c.slots
	}
	if soundTotal >= len(s.tasks) {
		list = sound
	}
	number := s.gang.lastRun + 1
	for _, t := range s.tasks {
		number = max(number, t.lastRun+1)
	}
	s.gang.recordLateRun(len(s.tasks))
	s.gang.lastRun, s.gang.orderedAt = number, sp.now
	sp.planner.watchGang(sp.now, s)
	for i, w := range sp.assignGang(list) {
		sp.start(s.tasks[i], w, number, s.gang.checkpoint)
	}
	return true
}

// fitCheckInterval is the time between two checks whether a gang fits on its workers when they are
// empty. Workers come and go, and the advice service allows more.
const fitCheckInterval = 500 * time.Millisecond

// fitsEmptyWorkers reports whether the whole gang would fit on the workers that may run it if they
// were empty. If not, no workers are reserved for the gang, so that it does not block other gangs.
func (sp *stepPlacement) fitsEmptyWorkers() bool {
	g := &sp.step.gang
	if sp.now.Before(g.nextFitCheck) {
		return g.fits
	}
	first := g.nextFitCheck.IsZero()
	g.nextFitCheck, g.fits = sp.now.Add(fitCheckInterval), true
	capacity := 0
	for _, w := range sp.planner.workers {
		if !w.listed || w.spec.Service != sp.service || !w.hasLabel(sp.step.spec.WorkerLabel) ||
			sp.step.tickets.answer(w) == answerDenied {
			continue
		}
		capacity += sp.step.maxTasksOn(w)
		if capacity >= len(sp.step.tasks) {
			return true
		}
	}
	if first {
		sp.planner.log.Info("gang does not fit on the workers that may run it, even if they are empty", "step", sp.step.ref(),
			"members", len(sp.step.tasks), "capacity", capacity)
	}
	g.fits = false
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
	if found == "" {
		return nil
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
