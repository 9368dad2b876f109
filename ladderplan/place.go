package ladderplan

import (
	"iter"
	"slices"
	"time"

	"lacewingladder/ladderflow"
)

const (
	// worthlessFactor is the multiple of a job's objective after which its result is no longer of
	// use.
	worthlessFactor = 3
	worthlessClass  = 3
	// idlePassInterval is the time between two placement passes if nothing has happened in between
	// that lets a task start, except that time has passed.
	idlePassInterval = 20 * time.Millisecond
	// minReservingGangs is the number of gangs that may reserve workers at the same time in a small
	// fleet. In a larger one, it is one gang for each workersPerReservingGang workers. A higher
	// limit would leave too many workers partly idle; a lower one would let gangs wait although
	// there is capacity for them elsewhere.
	minReservingGangs       = 8
	workersPerReservingGang = 12
	// backfillFactor times the expected duration of a task must not exceed the time until the
	// expected start of a gang. Otherwise, the task may not use capacity that is reserved for the
	// gang. Expected durations may be too short by half.
	backfillFactor = 2
)

// rank is the position of a step in the order of placement: first by turn, then by class, then by latestStart. Rules
// other than ByObjective set latestStart to the time or duration by which they order the steps.
type rank struct {
	step *step
	// class is the priority of the queue under ByPriority. Under ByObjective it is one of:
	//   0: urgent or long-running
	//   1: can meet its objective, even if it takes longer than expected
	//   2: is likely to miss its objective
	//   3: its result is no longer of use (worthlessClass)
	class int32
	// turn is turnWithin under rules other than ByObjective, and if the configuration has no teams.
	turn        turn
	latestStart time.Time
}

// Confidence is how confident a VM is that it is the leader. It decides what the VM may order.
type Confidence int

const (
	// LeadershipNone means that another VM may be the leader.
	LeadershipNone Confidence = iota
	// LeadershipProbable means that the leader lease may have expired, but that no other VM seems
	// able to win the election. No task starts on a worker incarnation that was first seen in this
	// state: the worker may not have seen any fencing token, and so could not reject an outdated
	// start. Nor does a task of a job that was first heard of in this state.
	LeadershipProbable
	// LeadershipConfirmed means that the leader lease is valid.
	LeadershipConfirmed
)

// String returns the name of the confidence.
func (c Confidence) String() string {
	return [...]string{LeadershipNone: "none", LeadershipProbable: "probable", LeadershipConfirmed: "confirmed"}[c]
}

// Plan returns the orders to send now. The rounds of jobs with a schedule start when they are due by
// the wall clock, which shows wall.
func (p *Planner) Plan(now, wall time.Time, confidence Confidence) Orders {
	p.startDueRounds(now, wall)
	p.prune(now)
	if confidence == LeadershipConfirmed {
		p.confirmedAt = now
		// Only a leader knows that no other VM has renewed a lease since.
		p.expireLeases(now)
	}
	p.checkGangs(now)
	if confidence != LeadershipNone {
		if p.placementDue || now.Sub(p.placedAt) >= idlePassInterval {
			p.placementDue, p.placedAt = false, now
			p.place(now)
		}
		p.adjustSpeedLimits(now)
	}
	o := p.orders
	p.orders = Orders{}
	return o
}

// place starts the tasks for which there is capacity, in the order of their steps' ranks.
func (p *Planner) place(now time.Time) {
	p.refreshPools(now)
	p.refreshUnseenRevision(now)
	p.reservationPass++
	p.sizeQuotas()
	defer p.logReleased(now)
	gangs, maxGangs := 0, max(minReservingGangs, len(p.workers)/workersPerReservingGang)
	p.refreshShares(now)
	for k := range p.placementOrder(now) {
		s := k.step
		if p.fleet == nil {
			continue
		}
		if p.mayRunUnseen(s.round.job) {
			s.waitReason = waitEarlierRuns
			continue
		}
		if s.round.job.addedAt.After(p.confirmedAt) {
			s.waitReason = waitUnconfirmed
			continue // The next leader may not know the job, and would not wait for its runs.
		}
		if p.startLimitReached() {
			p.orders.AtStartLimit = true
			s.waitReason = waitStartLimit
			continue
		}
		sp := p.stepPlacement(now, s)
		sp.heedsReservations, sp.yields = k.class > 0 || k.turn > turnWithin, k.turn > turnWithin
		if sp.heldByQuota() {
			continue
		}
		hopeless := sp.hopeless()
		switch {
		case s.spec.Gang && !hopeless && sp.placeGang():
			s.waitReason = waitEarlierAttempt // If it has started, it does not wait.
		case s.spec.Gang && gangs >= maxGangs:
			s.waitReason = waitReservingGangs
		case s.spec.Gang && !sp.fitsEmptyWorkers():
			s.waitReason = waitTooLarge
		case s.spec.Gang:
			gangs++
			if k.class < sp.preemptClasses() && k.turn == turnWithin && !now.After(k.latestStart) {
				sp.takeBackForGang()
			}
			sp.reserveForGang(hopeless)
		case !hopeless:
			sp.placeTasks()
			sp.queryForTasks()
			if k.class < sp.preemptClasses() && k.turn == turnWithin && !now.After(k.latestStart) {
				sp.preempt()
			}
		}
		if !hopeless {
			sp.recordTry()
		}
	}
}

// startLimitReached reports whether no more starts may be sent before others are answered. A gang
// may exceed the limit, since its members must start together.
func (p *Planner) startLimitReached() bool {
	return p.window.holdsUp(p.unanswered)
}

// rankedSteps returns the ready steps with waiting tasks, in the order of placement.
func (p *Planner) rankedSteps(now time.Time) []rank {
	kept := p.readySteps[:0]
	var list []rank
	for _, s := range p.readySteps {
		if s.finished() || !s.round.job.active() {
			continue
		}
		kept = append(kept, s)
		if s.waiting > 0 {
			list = append(list, p.rank(now, s))
		}
	}
	clear(p.readySteps[len(kept):])
	p.readySteps = kept
	slices.SortFunc(list, compareRanks)
	return list
}

// rank returns the rank of a step according to the option Order.
func (p *Planner) rank(now time.Time, s *step) rank {
	j := s.round.job
	objective := p.objective(j)
	remaining := j.criticalPaths[s.index]
	if len(s.tickets.rows) > 0 {
		remaining -= p.adviceTime(j) // The first query has been answered.
	}
	k := rank{step: s, latestStart: s.round.due.Add(objective - remaining)}
	q := p.queue(j)
	urgent := q.Priority == 0
	switch p.options.Order {
	case ByArrival:
		return rank{step: s, latestStart: s.readySince}
	case ByPriority:
		k.class, k.latestStart = int32(q.Priority), s.readySince
		return k
	case ByDeadline:
		return rank{step: s, latestStart: s.round.due.Add(objective)}
	case ByDuration:
		return rank{step: s, latestStart: time.UnixMilli(0).Add(s.expectedDuration())}
	case ByObjective:
	}
	switch {
	case s.spec.LongRunning:
		// Its tasks are of use for as long as the job lasts, whenever that was accepted.
		k.class, k.latestStart = 0, later(k.latestStart, now)
	case now.Add(remaining).After(s.round.due.Add(worthlessFactor * objective)):
		k.class = worthlessClass
	case urgent:
		k.class = 0
	case now.Add(errorAllowance(remaining)).After(k.latestStart):
		k.class = 2
	default:
		k.class = 1
	}
	if p.teams.shares != nil {
		k.turn = p.turn(now, s, k.class)
	}
	return k
}

// errorAllowance returns by how much a job may take longer than expected and still count as one that
// can meet its objective. Under overload, the jobs that can just meet it if all goes well would
// otherwise come first, and most of them would end late and delay the others.
func errorAllowance(expected time.Duration) time.Duration { return expected / 2 }

// objective returns the time within which a job should end.
func (p *Planner) objective(j *job) time.Duration {
	q := p.queue(j)
	return time.Duration(q.ObjectiveFactor*float64(j.longestPath())) + q.BaseObjective
}

// stepPlacement places the tasks of one step in one placement pass.
type stepPlacement struct {
	planner *Planner
	step    *step
	queue   *ladderflow.Queue
	service string
	now     time.Time
	// heedsReservations is true unless the step may use workers that are reserved for gangs.
	heedsReservations bool
	// yields is true if steps within the shares of their teams come before the step.
	yields bool
}

func (p *Planner) stepPlacement(now time.Time, s *step) stepPlacement {
	q := p.queue(s.round.job)
	return stepPlacement{planner: p, step: s, queue: q, service: q.Service, now: now}
}

// pool returns the workers of the step's service that accept new tasks.
func (sp *stepPlacement) pool() []*worker { return sp.planner.pools.byService[sp.service] }

// inPool reports whether a worker is in the pool of the step.
func (sp *stepPlacement) inPool(w *worker) bool {
	return w.lastPass == sp.planner.pools.pass && w.spec.Service == sp.service
}

// accepts reports whether a worker is in the pool and may get tasks of the step.
func (sp *stepPlacement) accepts(w *worker) bool { return sp.inPool(w) && sp.usable(w) }

// usable reports whether a worker of the pool may get tasks of the step. A worker on probation gets
// one task at a time.
func (sp *stepPlacement) usable(w *worker) bool {
	return w.hasLabel(sp.step.spec.WorkerLabel) && (!w.probation || len(w.runs) == 0)
}

// needsTickets reports whether the advice service decides on which workers the step may run.
func (sp *stepPlacement) needsTickets() bool { return sp.queue.Advice != nil }

// knownAllowed returns the workers of the pool that are known to be allowed for the step, sorted by
// id. They may have no valid ticket.
func (sp *stepPlacement) knownAllowed() iter.Seq[*worker] { return sp.withTickets(time.Time{}) }

// startable returns the workers of the pool on which the step may start now.
func (sp *stepPlacement) startable() iter.Seq[*worker] { return sp.withTickets(sp.now) }

// withTickets returns the workers of the pool whose tickets for the step are valid at a given time.
// A zero time selects all workers that are known to be allowed.
func (sp *stepPlacement) withTickets(at time.Time) iter.Seq[*worker] {
	if !sp.needsTickets() {
		return slices.Values(sp.pool())
	}
	return func(yield func(*worker) bool) {
		for i := range sp.step.tickets.rows {
			k := &sp.step.tickets.rows[i]
			if !at.IsZero() && !at.Before(k.validUntil) {
				continue
			}
			if sp.inPool(k.worker) && !yield(k.worker) {
				return
			}
		}
	}
}

// freeSlots returns how many more tasks of the step may start on a worker.
func (sp *stepPlacement) freeSlots(w *worker) int {
	if sp.now.Before(w.suspectUntil) {
		return 0
	}
	s := sp.step.spec
	limit := s.Tasks
	if s.MaxPerWorker > 0 {
		limit = min(limit, s.MaxPerWorker-sp.step.runsOn[w])
	}
	return s.Demand().FitCount(sp.startableCapacity(w), max(limit, 0))
}

// placeTasks starts as many single tasks as there is capacity for.
func (sp *stepPlacement) placeTasks() {
	endsAt := sp.now.Add(backfillFactor * sp.step.expectedDuration())
	var candidates []*worker
	for w := range sp.startable() {
		if sp.usable(w) && sp.freeSlots(w) > 0 && (!sp.reserved(w) || !endsAt.After(w.reservedUntil)) {
			candidates = append(candidates, w)
		}
	}
	if len(candidates) == 0 {
		return
	}
	for _, t := range sp.step.tasks {
		if !t.needsRun() {
			continue
		}
		if sp.planner.startLimitReached() {
			sp.planner.orders.AtStartLimit = true
			return
		}
		if sp.heldByQuota() {
			return
		}
		if t.suspect() {
			sp.startSuspect(t, candidates)
			continue
		}
		if !sp.mayRestart(t) {
			continue
		}
		w := sp.bestWorker(candidates, t.failedWorkers)
		if w == nil {
			return
		}
		sp.start(t, w, t.lastRun+1, t.checkpoint)
	}
}

// bestWorker returns the candidate with the lowest score, or nil if the step fits on none. The
// score is the capacity left over, plus penalties for workers that were reserved for a gang, are
// outside the rack of the step's data, or are in failedWorkers.
func (sp *stepPlacement) bestWorker(candidates []*worker, failedWorkers map[string]bool) *worker {
	var found *worker
	var least float64
	for _, w := range candidates {
		if sp.freeSlots(w) == 0 {
			continue
		}
		v := leftoverScore(w, sp.step.spec.Demand())
		if sp.step.spec.PreferredRack != "" && !w.hasLabel(sp.step.spec.PreferredRack) {
			v += remoteRackPenalty
		}
		if failedWorkers[w.spec.ID] {
			v += failedWorkerPenalty
		}
		if !w.isSlow() {
			v += soundPenalty
		}
		if sp.planner.reservedBefore(w) {
			v += reservedPenalty
		}
		if found == nil || v < least || v == least && w.order < found.order {
			found, least = w, v
		}
	}
	return found
}

const (
	// A leftover score is below 6, so each penalty outweighs it, and each larger penalty outweighs
	// the smaller ones: a worker that was reserved for a gang is worse than any other, one outside
	// the rack of the step's data is worse still, and one on which the task failed is worst.
	soundPenalty        = 1
	reservedPenalty     = 10
	remoteRackPenalty   = 20
	failedWorkerPenalty = 40
)

// leftoverScore rates the capacity that would be left on a worker with a task of the given size. It
// is low if little is left, and if processor and memory are used to about the same degree. Idle
// accelerators weigh most.
func leftoverScore(w *worker, need ladderflow.Size) float64 {
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
func (sp *stepPlacement) start(t *task, w *worker, number int, from checkpoint) {
	p := sp.planner
	x := &run{
		task: t, name: ladderflow.Run{Task: t.name(), Number: number}, phase: phaseSent, team: sp.step.round.job.spec.Team,
		startedAt: sp.now, progressedAt: sp.now, percent: -1, speedPercent: 100, resumesFrom: from,
	}
	x.setSize(sp.step.spec)
	w.addRun(x)
	if t.suspect() {
		w.suspectUntil = sp.now.Add(suspectTime)
	}
	w.acknowledgeGuard.StartSent()
	p.unanswered++
	first := !sp.step.round.job.started
	if first {
		sp.step.round.job.started, sp.step.round.job.startedAt = true, sp.now
		if !p.earlierRunsKnown {
			p.log.Info("job starts while runs of earlier leaders are unknown", "job", t.name().Job, "unseen", len(p.unseenWorkers),
				"heardOf", sp.step.round.job.addedAt.Sub(p.options.ElectedAt).Round(time.Millisecond))
		}
	}
	ticket := ""
	if sp.needsTickets() {
		ticket = sp.step.tickets.text(w)
	}
	p.orders.Starts = append(p.orders.Starts, StartOrder{
		Worker: w.spec, Run: x.name, Payload: sp.step.round.job.spec.Payload, Checkpoint: from.value,
		Ticket: ticket, Incarnation: w.incarnation, LeaseUntil: p.extendLease(sp.now, w), FirstOfJob: first, Waited: sp.now.Sub(sp.step.readySince),
	})
}
