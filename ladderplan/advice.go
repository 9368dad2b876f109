package ladderplan

import (
	"cmp"
	"iter"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingladder/ladderflow"
)

const (
	// ticketMargin is how long before its expiry a ticket is no longer used. It covers the time in
	// which the ticket reaches the leader and the start reaches the worker.
	ticketMargin = 120 * time.Millisecond
	// longQueryCost is the cost from which a query counts as long. Long queries do not go to the
	// VMs that are kept free for short ones. An urgent task can wait for a query of this cost and
	// still meet its objective.
	longQueryCost = 150 * time.Millisecond
	// maxLongQueryBacklog is the longest backlog of a VM that a long query may be added to.
	maxLongQueryBacklog = 300 * time.Millisecond
	// maxShortQueries is the number of short queries to each VM, on average, that may be unanswered. It keeps
	// the VMs busy while answers are on their way.
	maxShortQueries = 4
	// queryRetryDelay is how long a step waits after a query that was rejected or not answered.
	queryRetryDelay = 150 * time.Millisecond
	// minQueryWorkers and maxQueryWorkers bound the number of workers in one query.
	minQueryWorkers = 8
	maxQueryWorkers = 100
	// maxGangQueries bounds the number of queries that a gang sends at the same time.
	maxGangQueries = 3
	// initialAllowedShare is the share of workers that is assumed to be allowed before any answer
	// about a queue is known.
	initialAllowedShare = 0.4
	// longQueryPreference is how long after a long query was put off short queries leave some VMs to
	// long ones.
	longQueryPreference = 2 * time.Second
	// adviserExcludeTime is how long a VM that did not answer gets no queries.
	adviserExcludeTime = time.Second
)

// AdviceQuery is a query to the advice service, to be sent by an entry VM.
type AdviceQuery struct {
	VM      string
	Step    ladderflow.StepRef
	Workers []string
	// ResponseTime is the time that the service takes to answer.
	ResponseTime time.Duration
}

// advisers holds the entry VMs that send queries to the advice service. Each VM sends
// its queries one after the other.
type advisers struct {
	vmNames []string
	// busyUntil is when each VM's backlog of queries will be done, and adviserExcludedUntil is
	// the time until which a VM that did not answer gets no queries.
	busyUntil            map[string]time.Time
	adviserExcludedUntil map[string]time.Time
	// queriedCount holds, by queue, how many workers the answered queries named, and allowedCount how
	// many of them were allowed.
	queriedCount map[string]int
	allowedCount map[string]int
	// longQueriesWaitUntil is the time before which the backlog of no VM is short enough for a
	// long query.
	longQueriesWaitUntil time.Time
	// longQueryPutOffAt is when a long query was last put off because no backlog was short enough.
	longQueryPutOffAt time.Time
	// shortQueries is the number of short queries that are unanswered.
	shortQueries int
	// preferredAt is when a step within the share of its team last asked for advice, and yieldingWaitUntil the
	// time before which no VM is idle for the long queries of others.
	preferredAt       time.Time
	yieldingWaitUntil time.Time
}

func newAdvisers() advisers {
	return advisers{
		busyUntil: map[string]time.Time{}, adviserExcludedUntil: map[string]time.Time{},
		queriedCount: map[string]int{}, allowedCount: map[string]int{},
	}
}

// SetVMs sets the entry VMs that can query the advice service.
func (p *Planner) SetVMs(names []string) {
	p.vmNames = slices.Sorted(slices.Values(names))
	p.longQueriesWaitUntil, p.yieldingWaitUntil = time.Time{}, time.Time{}
}

// pickVM returns the VM with the shortest backlog for a query, and adds the query's cost to that
// backlog. It returns false if no VM can be used, or if a long query should wait for a shorter
// backlog. Long queries use only the first two thirds of the VMs. Short ones leave the first third to
// them for a while after one was put off, since many short ones would otherwise put it off for good. A
// query that yields is for a step beyond the share of its team: see [advisers.yields].
func (a *advisers) pickVM(now time.Time, cost time.Duration, yields bool) (string, bool) {
	names := a.vmNames
	if !a.mayQuery(now, cost, yields) {
		return "", false
	}
	if !yields {
		a.preferredAt = now
	}
	long := cost >= longQueryCost
	yields = long && a.yields(now, yields)
	if long && len(names) > 1 {
		names = names[:max(1, len(names)*2/3)]
		if yields {
			names = names[len(names)/2:]
		}
	} else if cost < longQueryCost && now.Sub(a.longQueryPutOffAt) < longQueryPreference {
		names = names[len(names)/3:]
	}
	found, wait := "", time.Duration(0)
	for _, n := range names {
		if now.Before(a.adviserExcludedUntil[n]) {
			continue
		}
		if backlog := max(0, a.busyUntil[n].Sub(now)); found == "" || backlog < wait {
			found, wait = n, backlog
		}
	}
	if found == "" {
		return "", false
	}
	if yields && wait > 0 {
		a.yieldingWaitUntil = now.Add(wait)
		return "", false
	}
	if long && wait > maxLongQueryBacklog {
		a.longQueriesWaitUntil, a.longQueryPutOffAt = now.Add(wait-maxLongQueryBacklog), now
		return "", false
	}
	a.busyUntil[found] = now.Add(wait + cost)
	return found, true
}

// mayQuery reports whether a query of the given cost may be sent: for a long one, a VM may have a backlog
// that is short enough; few enough short ones are unanswered.
func (a *advisers) mayQuery(now time.Time, cost time.Duration, yields bool) bool {
	limit, may := maxShortQueries*len(a.vmNames), !now.Before(a.longQueriesWaitUntil)
	if a.yields(now, yields) {
		limit /= 2
		may = may && !now.Before(a.yieldingWaitUntil)
	}
	if cost < longQueryCost {
		may = a.shortQueries < limit
	}
	if !yields && !may {
		a.preferredAt = now
	}
	return may
}

// yields reports whether a query for a step that yields to others has to leave room to them: steps within the
// shares of their teams have asked for advice lately. It then has half of the room for short queries, and half
// of the VMs for long ones while these VMs are idle.
func (a *advisers) yields(now time.Time, yields bool) bool {
	return yields && !a.preferredAt.IsZero() && now.Sub(a.preferredAt) < longQueryPreference
}

// allowedShare estimates which share of a queue's workers is allowed.
func (a *advisers) allowedShare(queue string) float64 {
	const weight = 20 // the number of queried workers that initialAllowedShare counts as
	return (initialAllowedShare*weight + float64(a.allowedCount[queue])) / float64(weight+a.queriedCount[queue])
}

// queryForTasks queries advice for the step's waiting tasks if the valid tickets do not suffice for
// them.
func (sp *stepPlacement) queryForTasks() {
	if !sp.needsTickets() || sp.step.waiting == 0 || !sp.mayQuery() ||
		!sp.planner.mayQuery(sp.now, sp.queue.Advice.ResponseTime(minQueryWorkers), sp.yields) {
		return
	}
	names := sp.workersToQuery()
	sp.sendQuery(names)
	if len(names) == 0 {
		sp.step.tickets.nextQuery = sp.now.Add(idlePassInterval)
	}
}

// mayQuery reports whether no query of the step is outstanding and the next one may be sent.
func (sp *stepPlacement) mayQuery() bool {
	t := &sp.step.tickets
	return t.outstanding == 0 && !sp.now.Before(t.nextQuery)
}

// sendQuery orders a query about workers, or several if they are too many for one. It does nothing if
// there are none, if the step may not send a query yet, or if no VM can take the query.
func (sp *stepPlacement) sendQuery(names []string) {
	t := &sp.step.tickets
	if len(names) == 0 || !sp.needsTickets() || !sp.mayQuery() {
		return
	}
	for part := range slices.Chunk(names, evenPart(len(names), maxQueryWorkers)) {
		cost := sp.queue.Advice.ResponseTime(len(part))
		vm, ok := sp.planner.pickVM(sp.now, cost, sp.yields)
		if !ok {
			return
		}
		t.outstanding++
		if cost < longQueryCost {
			sp.planner.shortQueries++
		}
		sp.planner.orders.AdviceQueries = append(sp.planner.orders.AdviceQueries,
			AdviceQuery{VM: vm, Step: sp.step.ref(), Workers: part, ResponseTime: cost})
	}
}

// evenPart returns the size of the parts if n is divided evenly into the fewest parts of at most the given
// size.
func evenPart(n, most int) int {
	parts := (n + most - 1) / most
	return (n + parts - 1) / parts
}

// queryLimit returns the number of workers that the step may query advice about at the same time. The
// tickets for all members of a gang must be valid together, so queries one after the other would take too
// long for a wide gang: the first tickets expire before the last answer.
func (sp *stepPlacement) queryLimit() int {
	if sp.step.spec.Gang {
		return maxGangQueries * maxQueryWorkers
	}
	return maxQueryWorkers
}

// workersToQuery returns the workers to query advice about, the most suitable first.
func (sp *stepPlacement) workersToQuery() []string {
	t := &sp.step.tickets
	need := float64(sp.quotaRuns(sp.step.waiting))
	soon := sp.now.Add(sp.queue.Advice.ResponseTime(minQueryWorkers))
	var renewals []gangCandidate
	for i := range t.rows {
		k := &t.rows[i]
		if !sp.accepts(k.worker) || sp.step.spec.Gang && (sp.reserved(k.worker) || k.worker.probation) {
			continue
		}
		n := sp.freeSlots(k.worker)
		switch {
		case soon.Before(k.validUntil):
			need -= float64(n)
		case n > 0:
			renewals = append(renewals, gangCandidate{k.worker, n})
		}
	}
	if need <= 0 {
		return nil
	}
	sortBySlots(renewals)
	var names []string
	limit := sp.queryLimit()
	for _, c := range renewals {
		if len(names) >= limit || need <= 0 && len(names) >= minQueryWorkers {
			return names
		}
		names = append(names, c.worker.spec.ID)
		need -= float64(c.slots)
	}
	if need <= 0 && len(names) >= minQueryWorkers {
		return names
	}
	share := sp.planner.allowedShare(sp.queue.Name)
	for _, c := range sp.unknownCandidates() {
		if len(names) >= limit || need <= 0 && len(names) >= minQueryWorkers {
			break
		}
		names = append(names, c.worker.spec.ID)
		need -= share * float64(c.slots) / 2
	}
	return names
}

// unknownCandidates returns workers that the step has no answer about, at most queryLimit with free
// capacity and maxQueryWorkers others. A full worker is worth a query, unless the step never fits on it.
func (sp *stepPlacement) unknownCandidates() []gangCandidate {
	var list, full []gangCandidate
	t, need, limit := &sp.step.tickets, sp.step.spec.Demand(), sp.queryLimit()
	for w := range sp.poolInQueryOrder() {
		if len(list) >= limit {
			break
		}
		if t.answer(w) != answerUnknown || !sp.usable(w) {
			continue
		}
		n := sp.freeSlots(w)
		switch {
		case sp.step.spec.Gang && w.isSlow():
			if need.FitCount(w.spec.Capacity, 1) > 0 {
				full = append(full, gangCandidate{w, n})
			}
		case n > 0:
			list = append(list, gangCandidate{w, n})
		case len(full) < maxQueryWorkers && need.FitCount(w.spec.Capacity, 1) > 0:
			full = append(full, gangCandidate{w, n})
		}
	}
	return append(list, full...)
}

// poolInQueryOrder returns the workers of the pool in the order in which the step queries advice about
// them. Each step begins at another worker: if all steps asked about the same workers first, they would
// wait for these while others are idle.
func (sp *stepPlacement) poolInQueryOrder() iter.Seq[*worker] {
	pool := sp.pool()
	return func(yield func(*worker) bool) {
		if len(pool) == 0 {
			return
		}
		first := int(xxhash.Sum64String(sp.step.round.job.spec.ID+strconv.Itoa(sp.step.index)) % uint64(len(pool)))
		for i := range pool {
			if !yield(pool[(first+i)%len(pool)]) {
				return
			}
		}
	}
}

// sortBySlots sorts candidates so that those with capacity for the most tasks come first.
func sortBySlots(list []gangCandidate) {
	slices.SortFunc(list, func(a, b gangCandidate) int {
		return cmp.Or(cmp.Compare(b.slots, a.slots), cmp.Compare(a.worker.order, b.worker.order))
	})
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// AdviceAnswered records the answer to a query: the tickets for the allowed workers and their
// lifetime. If lifetime is zero, there was no answer. If refused is true, the service rejected the
// query.
func (p *Planner) AdviceAnswered(now time.Time, query AdviceQuery, allowed []ladderflow.Ticket, lifetime time.Duration, refused bool) {
	p.placementDue = true
	if query.ResponseTime < longQueryCost {
		p.shortQueries--
	}
	if lifetime == 0 {
		p.adviserExcludedUntil[query.VM] = now.Add(adviserExcludeTime)
	}
	if refused {
		p.busyUntil[query.VM] = now.Add(query.ResponseTime)
	}
	j := p.jobs[query.Step.Job]
	if j == nil || j.rounds[query.Step.Round] == nil {
		return
	}
	s := j.rounds[query.Step.Round].steps[query.Step.Step]
	t := &s.tickets
	t.outstanding = max(0, t.outstanding-1)
	if lifetime == 0 || refused {
		t.nextQuery = now.Add(queryRetryDelay)
		return
	}
	s.gang.reservation, s.lastTry = reservation{}, lastTry{} // More may be possible now.
	for _, x := range allowed {
		if w := p.workers[x.Worker]; w != nil {
			t.allow(ticket{worker: w, text: x.Text, validUntil: now.Add(lifetime - ticketMargin)})
		}
	}
	for _, id := range query.Workers {
		if w := p.workers[id]; w != nil {
			t.deny(w)
		}
	}
	p.queriedCount[j.spec.Queue] += len(query.Workers)
	p.allowedCount[j.spec.Queue] += len(allowed)
}

// invalidateTickets discards the tickets of all ready steps for a worker that has restarted.
func (p *Planner) invalidateTickets(w *worker) {
	for _, s := range p.readySteps {
		s.tickets.invalidate(w)
	}
}
