package ladderplan

import (
	"cmp"
	"slices"
	"time"

	"lacewingladder/ladderflow"
)

// reservationLife is how long the reservation of a gang is used before the planner looks for a better
// one. Progress and ends of runs that change the expected times arrive about as often.
const reservationLife = 100 * time.Millisecond

// reservation is the set of slots on which a gang is expected to start.
type reservation struct {
	// slots holds one slot for each member, the earliest first.
	slots  []futureSlot
	madeAt time.Time
}

// startAt returns when the last slot becomes free.
func (r *reservation) startAt() time.Time { return r.slots[len(r.slots)-1].at }

// futureSlot is capacity for one member of a gang on a worker. It becomes free at the given time
// if nothing else starts on the worker.
type futureSlot struct {
	worker *worker
	at     time.Time
}

// reserved reports whether a worker is reserved for a gang that comes before the step. Steps of
// class 0 may use all workers.
func (sp *stepPlacement) reserved(w *worker) bool {
	return sp.heedsReservations && w.reservedPass == sp.planner.reservationPass
}

// reservedBefore reports whether a worker was reserved for a gang in the last placement pass.
func (p *Planner) reservedBefore(w *worker) bool {
	last := p.reservationPass - 1
	return w.reservedPass == last || w.reservedPass == p.reservationPass && w.earlierReservedPass == last
}

// reserve reserves a worker for a gang that is expected to start at the given time.
func (p *Planner) reserve(w *worker, until time.Time) {
	if w.reservedPass != p.reservationPass {
		w.earlierReservedPass, w.reservedPass = w.reservedPass, p.reservationPass
	}
	w.reservedUntil = until
}

// reserveForGang reserves workers for a gang that does not fit yet. It queries advice early enough
// for the tickets to be valid when the capacity is free. If keep is true, a reservation that holds is
// used again without looking at tickets.
func (sp *stepPlacement) reserveForGang(keep bool) {
	t, g := &sp.step.tickets, &sp.step.gang
	needsTickets := sp.needsTickets()
	if needsTickets && len(t.rows) == 0 {
		sp.step.waitReason = waitFirstTickets
		sp.queryForTasks()
		return
	}
	holds := sp.reservationHolds()
	if holds && keep {
		startAt := g.reservation.startAt()
		for _, o := range g.reservation.slots {
			sp.planner.reserve(o.worker, startAt)
		}
		return
	}
	need := len(sp.step.tasks)
	if !holds {
		g.reservation = reservation{slots: sp.bestSlots(need), madeAt: sp.now}
		if len(g.reservation.slots) < need {
			sp.step.waitReason = waitReserved
			sp.queryForTasks() // The gang does not fit on the workers known to be allowed.
			return
		}
	}
	startAt := g.reservation.startAt()
	sp.step.waitReason = waitCapacity
	horizon := time.Duration(0)
	if needsTickets {
		horizon = sp.queue.Advice.ResponseTime(need)
	}
	soon := !startAt.After(sp.now.Add(horizon))
	var unknown []string
	if startAt.After(sp.now) && sp.mayQuery() && sp.planner.mayQuery(sp.now, horizon, sp.yields) {
		freeNow := 0
		for _, o := range g.reservation.slots {
			freeNow += boolToInt(!o.at.After(sp.now))
		}
		unknown = sp.unknownWorkers(need - freeNow)
		if !soon && len(unknown) > 0 {
			sp.sendQuery(unknown)
			return
		}
	}
	var names []string
	for _, o := range g.reservation.slots {
		sp.planner.reserve(o.worker, startAt)
		if soon && !t.valid(o.worker, sp.now.Add(horizon)) && !slices.Contains(names, o.worker.spec.ID) {
			names = append(names, o.worker.spec.ID)
		}
	}
	switch {
	case startAt.After(sp.now):
	case len(names) > 0:
		sp.step.waitReason = waitTickets
	case sp.step.spec.PreferSameRack:
		sp.step.waitReason = waitRack
	}
	// The runs that occupy the slots may take longer than expected.
	names = append(names, unknown...)
	sp.sendQuery(names[:min(len(names), sp.queryLimit())])
}

// bestSlots returns the slots on which the gang is expected to end first, or fewer than need if it
// does not fit on the workers that are known to be allowed.
func (sp *stepPlacement) bestSlots(need int) []futureSlot {
	all := sp.futureSlots(need, true)
	if len(all) < need {
		return nil
	}
	all = slices.Clone(all[:need])
	factor := slowFactor(all)
	if factor == 1 {
		return all
	}
	sound := sp.futureSlots(need, false)
	extra := time.Duration((factor - 1) * float64(sp.step.expectedDuration()))
	if len(sound) < need || sound[need-1].at.After(all[need-1].at.Add(extra)) {
		return all
	}
	return slices.Clone(sound[:need])
}

// reservationHolds reports whether the gang's reservation is recent, and all its workers accept the
// gang's members and are not reserved for a gang that comes before it.
func (sp *stepPlacement) reservationHolds() bool {
	r := &sp.step.gang.reservation
	if len(r.slots) != len(sp.step.tasks) || sp.now.Sub(r.madeAt) >= reservationLife {
		return false
	}
	for _, o := range r.slots {
		if !sp.accepts(o.worker) || o.worker.reservedPass == sp.planner.reservationPass || o.worker.probation {
			return false
		}
	}
	return true
}

// futureSlots returns the earliest present and future slots for members of the gang on workers that
// are known to be allowed, the earliest first. There may be more of them than limit. The result is
// valid until the next call for any gang. It has slots on slow workers only if slow is true.
func (sp *stepPlacement) futureSlots(limit int, slow bool) []futureSlot {
	p := sp.planner
	list := p.slotBuffer[:0]
	var latest time.Time // No slot after it is needed, if it is not zero.
	for w := range sp.knownAllowed() {
		if !sp.usable(w) || w.reservedPass == p.reservationPass || w.probation || !slow && w.isSlow() {
			continue
		}
		list = sp.appendFutureSlots(list, w, latest)
		if len(list) >= 2*limit {
			sortSlots(list)
			list = list[:limit]
			latest = list[limit-1].at
		}
	}
	sortSlots(list)
	p.slotBuffer = list
	return list
}

// sortSlots sorts slots so that the earliest come first.
func sortSlots(list []futureSlot) {
	slices.SortFunc(list, func(a, b futureSlot) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.worker.order, b.worker.order))
	})
}

// appendFutureSlots appends the slots for members of the gang on one worker, now and as its runs end.
// It leaves out those after latest, unless that is zero.
func (sp *stepPlacement) appendFutureSlots(list []futureSlot, w *worker, latest time.Time) []futureSlot {
	limit := len(sp.step.tasks)
	if sp.step.spec.MaxPerWorker > 0 {
		limit = min(limit, sp.step.spec.MaxPerWorker-sp.step.runsOn[w])
	}
	need, free, found := sp.step.spec.Demand(), w.free, 0
	found = need.FitCount(free, max(limit, 0))
	for range found {
		list = append(list, futureSlot{w, sp.now})
	}
	for _, e := range w.expectedReleases() {
		at := later(e.at, sp.now)
		if found >= limit || !latest.IsZero() && at.After(latest) {
			break
		}
		free = free.Plus(e.size)
		for n := need.FitCount(free, limit); found < n; found++ {
			list = append(list, futureSlot{w, at})
		}
	}
	return list
}

// capacityRelease is the capacity that a run releases, and the time at which it is expected to.
type capacityRelease struct {
	at   time.Time
	size ladderflow.Size
}

// expectedReleases returns the capacity that the worker's runs will release, the earliest first.
func (w *worker) expectedReleases() []capacityRelease {
	if !w.releasesStale {
		return w.releases
	}
	w.releases = w.releases[:0]
	for _, x := range w.runOrder {
		if x.task != nil && !x.task.step.spec.LongRunning {
			w.releases = append(w.releases, capacityRelease{x.expectedEnd(), x.size})
		}
	}
	slices.SortStableFunc(w.releases, func(a, b capacityRelease) int { return a.at.Compare(b.at) })
	w.releasesStale = false
	return w.releases
}

// expectedEnd returns when a run of a task that is not long-running is expected to end. It uses the
// run's progress if at least a tenth is done, and the expected duration otherwise.
func (x *run) expectedEnd() time.Time {
	if !x.freeAt.IsZero() {
		return x.freeAt
	}
	if x.percent >= 10 && !x.progressedAt.Before(x.startedAt) {
		return x.startedAt.Add(x.progressedAt.Sub(x.startedAt) * 100 / time.Duration(x.percent))
	}
	return x.startedAt.Add(x.task.step.expectedDuration())
}

// remaining returns how long a run is expected to take from now on. It returns 0 if the run's task is
// long-running or unknown.
func (x *run) remaining(now time.Time) time.Duration {
	if x.task == nil || x.task.step.spec.LongRunning {
		return 0
	}
	return max(0, x.expectedEnd().Sub(now))
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
	for w := range sp.poolInQueryOrder() {
		if t.answer(w) != answerUnknown || w.isSlow() {
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
	return names[:min(len(names), maxQueryWorkers)]
}
