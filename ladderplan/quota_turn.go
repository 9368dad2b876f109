package ladderplan

import (
	"slices"
	"time"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderteam"
)

// quotaTurn is the turn of a step: room of the quota is kept free for the gang, or for one of its tasks.
type quotaTurn struct {
	step *step
	// waiting is the number of tasks that waited when the turn began.
	waiting      int
	since, until time.Time
	// startAt is when the gang is expected to start, as computed at sizedAt. Until then, work of the team that
	// is expected to have ended by then may use the room.
	startAt, sizedAt time.Time
}

// keepQuota keeps room of the quota free for a step that the quota holds back, so that smaller work of the
// team does not use up whatever becomes free. For a step of single tasks, that is the room for one task, in
// the present pass, for as long as its job's objective. After that it waits for its turn, as a gang does.
func (sp *stepPlacement) keepQuota(q *teamQuota) {
	p, s := sp.planner, sp.step
	objective := p.objective(s.round.job)
	if !s.spec.Gang && sp.now.Sub(s.quotaWait.since) < objective {
		if q.blockedPass != p.reservationPass {
			q.blocked, q.blockedPass = s.spec.Need, p.reservationPass
		}
		return
	}
	if sp.turnHolds(q) {
		if q.turn.step != s {
			return
		}
		if sp.now.Sub(q.turn.sizedAt) >= reservationLife {
			q.turn.startAt, _ = sp.quotaFreeAt(q)
			q.turn.sizedAt = sp.now
		}
	} else if !sp.takeTurn(q, objective) {
		return
	}
	if s.spec.Gang && len(s.tickets.rows) == 0 {
		sp.queryForTasks() // The answer takes about as long as the team's runs take to end.
	}
}

// takeTurn gives a step that the quota holds back its turn, if it is due. It is due if the step can meet its job's
// objective only by starting as soon as enough runs of the team have ended. A step that misses the objective in any
// case is due once it has been held back for as long as the objective. If the runs end later than the objective from
// now, worthlessFactor times the objective must have passed.
func (sp *stepPlacement) takeTurn(q *teamQuota, objective time.Duration) bool {
	p, s := sp.planner, sp.step
	if sp.now.Before(q.turnAfter) || sp.now.Before(q.nextCheck) || sp.now.Before(s.quotaWait.nextCheck) {
		return false
	}
	q.nextCheck, s.quotaWait.nextCheck = sp.now.Add(idlePassInterval), sp.now.Add(turnCheckInterval)
	held := sp.now.Sub(s.quotaWait.since)
	remaining := s.round.job.criticalPaths[s.index]
	latestStart := s.round.due.Add(objective - remaining)
	startAt, ok := sp.quotaFreeAt(q)
	switch {
	case !ok, startAt.Sub(sp.now) >= objective && held < worthlessFactor*objective:
		return false // Too much of what runs does not end soon.
	case startAt.Add(errorAllowance(remaining)).Before(latestStart):
		return false // It can wait.
	case startAt.After(latestStart) && held < objective:
		return false // It is late in any case.
	}
	q.underHalfSince = time.Time{}
	q.turn = quotaTurn{step: s, waiting: s.waiting, since: sp.now, until: startAt.Add(objective), startAt: startAt, sizedAt: sp.now}
	p.log.Info("quota of a team is kept for a step", "team", q.name, "step", s.ref(), "gang", s.spec.Gang, "need", ladderteam.Unit(s.spec),
		"standing", p.standing(q).String(), "held", held.Round(time.Millisecond), "startsIn", startAt.Sub(sp.now).Round(time.Millisecond))
	return true
}

// quotaFreeAt returns when the quota is expected to have room for the step, if nothing else of the team starts
// until then. It returns false if it has none after all known runs that end by themselves.
func (sp *stepPlacement) quotaFreeAt(q *teamQuota) (time.Time, bool) {
	p := sp.planner
	st, unit := p.standing(q), ladderteam.Unit(sp.step.spec)
	var list []capacityRelease
	for _, x := range q.runs {
		if !x.task.step.spec.LongRunning {
			size := x.size.Plus(ladderflow.Size{Processor: x.bestEffort})
			list = append(list, capacityRelease{later(x.expectedEnd(), sp.now), size})
		}
	}
	slices.SortStableFunc(list, func(a, b capacityRelease) int { return a.at.Compare(b.at) })
	for _, e := range list {
		st.Used = st.Used.Minus(e.size)
		if st.MoreRuns(unit, 1) > 0 {
			return e.at, true
		}
	}
	return time.Time{}, false
}

// turnHolds reports whether a step of the team has its turn, which ends once the gang or a task has started or does
// not need to, its time is over, or it no longer fits the quota.
func (sp *stepPlacement) turnHolds(q *teamQuota) bool {
	t := &q.turn
	s := t.step
	if s == nil {
		return false
	}
	waits := s.waiting >= t.waiting && s.round.job.active() && !s.finished()
	over := !sp.now.Before(t.until) || ladderteam.Exceeds(q.quota, ladderteam.Unit(s.spec))
	if waits && !over {
		return true
	}
	took := sp.now.Sub(t.since)
	if waits {
		sp.planner.log.Info("step could not start in its turn on the quota", "team", q.name, "step", s.ref(), "took", took.Round(time.Millisecond))
	}
	q.turnAfter = sp.now.Add((turnShare - 1) * took)
	*t = quotaTurn{}
	return false
}
