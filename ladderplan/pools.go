package ladderplan

import "time"

// workerPools holds, by service, the workers that accept new tasks, sorted by id. They are determined
// again only when something has happened that may change them, or will have changed by then.
type workerPools struct {
	byService map[string][]*worker
	// stale is true if a worker may have begun or ceased to accept tasks since they were determined.
	stale bool
	// validUntil is the earliest time at which a worker does so unless something happens before.
	validUntil time.Time
	// pass is the number of times that they were determined. Workers that accept new tasks have the
	// number in lastPass.
	pass int64
	// unknownRuns is the number of runs on all workers whose size is unknown.
	unknownRuns int
}

// changeAt records that a worker begins or ceases to accept tasks at a given time.
func (l *workerPools) changeAt(at time.Time) {
	if l.validUntil.IsZero() || at.Before(l.validUntil) {
		l.validUntil = at
	}
}

// refreshPools determines which workers accept new tasks. It is called once in each placement pass,
// since all steps use the result.
func (p *Planner) refreshPools(now time.Time) {
	l := &p.pools
	if !l.stale && !l.validUntil.IsZero() && now.Before(l.validUntil) {
		return
	}
	l.stale, l.validUntil = false, time.Time{}
	for name := range l.byService {
		l.byService[name] = l.byService[name][:0]
	}
	l.pass++
	for _, w := range p.allWorkers() {
		if !p.acceptsTasks(now, w) {
			p.awaitAcceptance(now, w)
			continue
		}
		onProbation := w.onProbation(now)
		if w.lastPass != l.pass-1 || w.probation && !onProbation {
			p.freed.add(w)
		}
		w.probation, w.lastPass = onProbation, l.pass
		l.byService[w.spec.Service] = append(l.byService[w.spec.Service], w)
		l.changeAt(w.polledAt.Add(unresponsiveAfter))
		if onProbation {
			l.changeAt(w.excludedUntil.Add(probationTime))
		}
	}
}

// awaitAcceptance records when a worker that accepts no tasks may begin to accept them.
func (p *Planner) awaitAcceptance(now time.Time, w *worker) {
	for _, at := range []time.Time{w.excludedUntil, w.maintenanceUntil} {
		if now.Before(at) {
			p.pools.changeAt(at)
		}
	}
	if w.incarnationSeenAt.After(p.confirmedAt) {
		p.pools.stale = true // The next pass may have a later time of confirmation.
	}
}

// acceptsTasks reports whether a worker accepts new tasks of any step. Whatever changes the result,
// except that time passes, marks the pools as stale.
func (p *Planner) acceptsTasks(now time.Time, w *worker) bool {
	switch {
	case p.cordons.has(w.spec.ID), !w.listed, !w.seenByLeader, w.unresponsive, !w.leavesAt.IsZero(), now.Sub(w.polledAt) >= unresponsiveAfter:
		return false
	case !w.inRoster, now.Before(w.excludedUntil), now.Before(w.maintenanceUntil), p.nearMaintenance[w.spec.ID]:
		return false
	case w.incarnationSeenAt.After(p.confirmedAt), w.unknownRuns > 0:
		return false
	}
	return w.spec.Incarnation == 0 || w.spec.Incarnation == w.incarnation
}
