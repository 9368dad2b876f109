package ladderplan

import (
	"maps"
	"slices"
	"time"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderteam"
)

const (
	// quotaLogPause is how long a quota must hold nothing back before that is logged.
	quotaLogPause = time.Second
	// maxKeptWait bounds how long a step waits for room that is kept for other work of its team while the team
	// uses less than half of its quota.
	maxKeptWait = 1500 * time.Millisecond
	// turnCheckInterval is the time between two checks whether a step should get its turn.
	turnCheckInterval = 500 * time.Millisecond
	// turnShare limits the turns of a team's steps to one part in turnShare of the time, since the room that is
	// kept free for them is idle.
	turnShare = 10
)

// quotas holds the quotas of the teams that are configured or have jobs.
type quotas struct {
	teams map[string]*teamQuota
	// heard is true once all runs of earlier leaders are known.
	heard bool
	// holding lists the teams whose quota is logged to hold work back.
	holding []*teamQuota
	// unseen is the capacity of the unseen workers in the present placement pass, and unknown the most that
	// runs of unknown jobs may occupy.
	unseen, unknown ladderflow.Size
}

// teamQuota is the quota of one team.
type teamQuota struct {
	all   *quotas
	name  string
	quota ladderflow.Size
	// configured is true if the present configuration has the team. A team that is removed keeps the last
	// quota that was known.
	configured bool
	// tasks is the size of the tasks that earlier leaders may have started and that are not known to run or to
	// be done. bestEffort is the part of its processor amount that is due to best-effort tasks.
	tasks      ladderflow.Size
	bestEffort int
	// runs holds the known runs of the team's tasks, each at its [run.quotaIndex].
	runs []*run
	turn quotaTurn
	// turnAfter is the time before which no step gets a turn.
	turnAfter time.Time
	// nextCheck is when to check again whether a step should get its turn.
	nextCheck time.Time
	// blocked is the room that a step keeps free for one of its tasks during the placement pass blockedPass.
	blocked     ladderflow.Size
	blockedPass int64
	// underHalfSince is since when the team uses less than half of its quota while work waits, or zero.
	underHalfSince time.Time
	// heldAt is when the quota last held work back, and heldSince since when that is logged, or zero.
	heldAt, heldSince time.Time
}

// quotaWait is what a step remembers while its team's quota holds it back.
type quotaWait struct {
	// since is when the quota began to hold the step back, or zero if it does not.
	since time.Time
	// nextCheck is when to check again whether the step should get its turn.
	nextCheck time.Time
	// exceeded is the last quota that was logged to be less than the step needs at once.
	exceeded ladderflow.Size
}

// add records a run of the team's task.
func (q *teamQuota) add(x *run) {
	if q == nil {
		return
	}
	x.quotaIndex = len(q.runs)
	q.runs = append(q.runs, x)
	q.known(x.task)
}

// remove records that a run that was added is over.
func (q *teamQuota) remove(x *run) {
	if q == nil {
		return
	}
	last := q.runs[len(q.runs)-1]
	q.runs[x.quotaIndex], last.quotaIndex = last, x.quotaIndex
	q.runs[len(q.runs)-1] = nil
	q.runs = q.runs[:len(q.runs)-1]
	q.assume(x.task)
}

// limited reports whether there is a quota.
func (q *teamQuota) limited() bool { return q != nil && q.quota != ladderflow.Size{} }

// team returns the quota of a team, or nil for jobs without a team.
func (z *quotas) team(name string) *teamQuota {
	if name == "" {
		return nil
	}
	q := z.teams[name]
	if q == nil {
		q = &teamQuota{all: z, name: name}
		z.teams[name] = q
	}
	return q
}

// refreshQuotas takes the quotas from the configuration.
func (p *Planner) refreshQuotas() {
	if p.fleet == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(p.quotas.teams)) {
		q := p.quotas.teams[name]
		if _, ok := p.fleet.Team(name); !ok && q.configured {
			q.configured = false
			p.log.Info("team is no longer configured; its last quota holds for its jobs", "team", name, "quota", q.quota)
		}
	}
	for i := range p.fleet.Teams {
		t, _ := p.fleet.Team(p.fleet.Teams[i].Name) // Of several with the name, the first counts.
		q := p.quotas.team(t.Name)
		if q == nil {
			continue
		}
		if q.quota != t.Quota && q.configured {
			p.log.Info("quota of a team changed", "team", q.name, "from", q.quota, "to", t.Quota, "used", p.ledger.Needed(q.name))
		}
		q.quota, q.configured = t.Quota, true
	}
}

// sizeQuotas computes, at the start of a placement pass, what may run without the leader's knowledge.
func (p *Planner) sizeQuotas() {
	z := &p.quotas
	z.unseen, z.unknown = ladderflow.Size{}, ladderflow.Size{}
	if len(z.teams) == 0 || p.earlierRunsKnown && p.pools.unknownRuns == 0 {
		return
	}
	largest := map[string]ladderflow.Size{}
	for _, w := range p.allWorkers() {
		largest[w.spec.Service] = largestSize(largest[w.spec.Service], w.mostCapacity)
	}
	for _, w := range p.allWorkers() {
		if !p.earlierRunsKnown && p.unseenWorkers[w.spec.ID] {
			z.unseen = z.unseen.Plus(w.mostUnheard(largest[w.spec.Service]))
		}
		if w.unknownRuns > 0 {
			z.unknown = z.unknown.Plus(w.mostUnheard(largest[w.spec.Service]))
		}
	}
}

// LargestCapacity returns the largest amount of each resource that a worker is known to have had. The roster
// holds it: the worker may shrink under runs that the next leader does not know.
func (p *Planner) LargestCapacity(id string) ladderflow.Size {
	if w, ok := p.workers[id]; ok {
		return w.mostCapacity
	}
	return ladderflow.Size{}
}

// mostUnheard returns the most that may run on a worker besides its known runs. The worker may have had more
// capacity before this leader first saw it, so the largest worker of its service counts.
func (w *worker) mostUnheard(largest ladderflow.Size) ladderflow.Size {
	known := w.spec.Capacity.Minus(w.free)
	rest := largest.Minus(known)
	return ladderflow.Size{Processor: max(0, rest.Processor), Memory: max(0, rest.Memory), Accelerators: max(0, rest.Accelerators)}
}

// standing returns what counts against a team's quota.
func (p *Planner) standing(q *teamQuota) ladderteam.Standing {
	st := ladderteam.Standing{Quota: q.quota, Used: p.ledger.Needed(q.name)}
	if p.earlierRunsKnown && p.pools.unknownRuns == 0 {
		return st
	}
	u := ladderteam.Unheard{Unknown: p.quotas.unknown}
	if !p.earlierRunsKnown {
		u.Capacity, u.Tasks, u.BestEffort = p.quotas.unseen, q.tasks, q.bestEffort
		u.TasksIncomplete = !p.earlierJobsKnown()
	}
	st.Assumed = u.Most()
	return st
}

// earlierJobsKnown reports whether all jobs are known of which an earlier leader may have started tasks.
func (p *Planner) earlierJobsKnown() bool {
	return p.jobsReadAt.After(p.options.EarlierLeaseEnd) || !p.earlierLeadersEnded.IsZero() && p.jobsReadAt.After(p.earlierLeadersEnded)
}

// assumeRuns counts the tasks of a round that an earlier leader may have started, until they are known to run
// or to be done.
func (p *Planner) assumeRuns(r *round) {
	q := r.job.quota
	if q == nil {
		return
	}
	for _, s := range r.steps {
		for _, t := range s.tasks {
			if t.needsRun() {
				q.assume(t)
			} else {
				q.known(t)
			}
		}
	}
}

// assume counts a task that an earlier leader may have started and that has no known run. That includes a task
// whose known run is over: a newer run may be on a worker that has not reported.
func (q *teamQuota) assume(t *task) {
	if q.all.heard || t.assumed || !t.needsRun() || !t.step.round.job.knownToEarlierLeader {
		return
	}
	t.assumed = true
	s := t.step.spec
	q.tasks = q.tasks.Plus(s.Need)
	q.bestEffort += s.Need.Processor - s.Demand().Processor
}

// known records that a task is known to run on a worker that has reported, or to be done, so that it does not
// run elsewhere.
func (q *teamQuota) known(t *task) {
	if !t.assumed {
		return
	}
	t.assumed = false
	s := t.step.spec
	q.tasks = q.tasks.Minus(s.Need)
	q.bestEffort -= s.Need.Processor - s.Demand().Processor
}

// roundDone records that the tasks of a round are done.
func (q *teamQuota) roundDone(r *round) {
	if q == nil || r == nil {
		return
	}
	for _, s := range r.steps {
		for _, t := range s.tasks {
			q.known(t)
		}
	}
}

// quotaVerdict is what a quota decides about the next start of a step.
type quotaVerdict uint8

const (
	quotaAllows quotaVerdict = iota
	// quotaInUse means that the team has too much running, quotaKept that what is left is kept for other work
	// of the team, and quotaTooSmall that the step needs more at once than the whole quota.
	quotaInUse
	quotaKept
	quotaTooSmall
)

// quotaVerdict decides whether one more task of the step, or the whole gang, may start by its team's quota.
func (sp *stepPlacement) quotaVerdict(q *teamQuota) (quotaVerdict, ladderteam.Standing) {
	p, s := sp.planner, sp.step
	st, unit := p.standing(q), ladderteam.Unit(s.spec)
	switch {
	case ladderteam.Exceeds(q.quota, unit):
		return quotaTooSmall, st
	case st.MoreRuns(unit, 1) == 0:
		return quotaInUse, st
	case q.turn.step == s:
		return quotaAllows, st
	}
	if st.Kept = sp.quotaKept(q); st.Kept == (ladderflow.Size{}) {
		return quotaAllows, st
	}
	waitedLong := q.underHalf(sp.now, st) >= maxKeptWait && sp.now.Sub(s.readySince) >= maxKeptWait
	if waitedLong || st.MoreRuns(unit, 1) > 0 {
		return quotaAllows, st
	}
	return quotaKept, st
}

// underHalf returns for how long the team has used less than half of its quota.
func (q *teamQuota) underHalf(now time.Time, st ladderteam.Standing) time.Duration {
	switch {
	case !st.UnderHalf():
		q.underHalfSince = time.Time{}
		return 0
	case q.underHalfSince.IsZero():
		q.underHalfSince = now
	}
	return now.Sub(q.underHalfSince)
}

// quotaKept returns what is kept free for other work of the step's team.
func (sp *stepPlacement) quotaKept(q *teamQuota) ladderflow.Size {
	var kept ladderflow.Size
	if sp.turnHolds(q) && !sp.endsBefore(q.turn.startAt) {
		kept = ladderteam.Unit(q.turn.step.spec)
	}
	if q.blockedPass == sp.planner.reservationPass {
		kept = kept.Plus(q.blocked)
	}
	return kept
}

// endsBefore reports whether a task of the step that starts now is expected to have ended before a time.
func (sp *stepPlacement) endsBefore(at time.Time) bool {
	return !sp.step.spec.LongRunning && !sp.now.Add(backfillFactor*sp.step.expectedDuration()).After(at)
}

// heldByQuota reports whether the quota of the step's team holds its next start back.
func (sp *stepPlacement) heldByQuota() bool {
	s := sp.step
	q := s.round.job.quota
	if !q.limited() || s.spec.Gang && s.waiting < len(s.tasks) {
		return false // A gang starts nothing while runs of an earlier attempt remain.
	}
	verdict, st := sp.quotaVerdict(q)
	switch verdict {
	case quotaAllows:
		s.quotaWait.since = time.Time{}
		if s.waitReason.ofQuota() {
			s.waitReason = waitUntried
		}
		return false
	case quotaTooSmall:
		s.waitReason = waitQuotaTooSmall
		sp.logTooSmall(q)
		return true
	case quotaKept:
		s.waitReason = waitQuotaKept
	case quotaInUse:
		s.waitReason = waitQuota
		if s.quotaWait.since.IsZero() {
			s.quotaWait.since = sp.now
		}
		sp.keepQuota(q)
	}
	sp.planner.logHeld(sp.now, q, s, st)
	return true
}

// quotaRuns returns how many of n tasks of the step its team's quota allows.
func (sp *stepPlacement) quotaRuns(n int) int {
	q := sp.step.round.job.quota
	if !q.limited() || sp.step.spec.Gang {
		return n
	}
	st := sp.planner.standing(q)
	st.Kept = sp.quotaKept(q)
	return st.MoreRuns(sp.step.spec.Need, n)
}

// logHeld records that a quota holds a step back, and logs it if it did not hold anything back before.
func (p *Planner) logHeld(now time.Time, q *teamQuota, s *step, st ladderteam.Standing) {
	q.heldAt = now
	if q.heldSince.IsZero() {
		q.heldSince = now
		p.quotas.holding = append(p.quotas.holding, q)
		p.log.Info("quota of a team holds work back", "team", q.name, "standing", st.String(), "kept", st.Kept, "step", s.ref(),
			"need", s.spec.Need, "gang", s.spec.Gang, "runs", p.ledger.Runs(q.name))
	}
}

// logReleased logs, at the end of a placement pass, which quotas no longer hold work back.
func (p *Planner) logReleased(now time.Time) {
	p.quotas.holding = slices.DeleteFunc(p.quotas.holding, func(q *teamQuota) bool {
		if now.Sub(q.heldAt) < quotaLogPause {
			return false
		}
		p.log.Info("quota of a team no longer holds work back", "team", q.name, "standing", p.standing(q).String(),
			"after", q.heldAt.Sub(q.heldSince).Round(time.Millisecond))
		q.heldSince = time.Time{}
		return true
	})
}

// logTooSmall logs, once for each quota, that the step needs more at once than the quota. The job stays queued:
// it was accepted, and a later configuration may raise the quota.
func (sp *stepPlacement) logTooSmall(q *teamQuota) {
	s := sp.step
	if s.quotaWait.exceeded == q.quota {
		return
	}
	s.quotaWait.exceeded = q.quota
	sp.planner.log.Warn("job no longer fits the quota of its team; it stays queued", "step", s.ref(), "team", q.name,
		"need", ladderteam.Unit(s.spec), "quota", q.quota)
}

// quotaWhy describes how the quota of its team held a step back in the last placement pass, or is empty.
func (p *Planner) quotaWhy(s *step) string {
	q := s.round.job.quota
	switch {
	case !q.limited() || !s.waitReason.ofQuota():
		return ""
	case s.waitReason == waitQuotaTooSmall:
		return "it needs " + ladderteam.Unit(s.spec).String() + " at once, more than the team's quota of " + q.quota.String()
	}
	return s.waitReason.String() + ": " + p.standing(q).String()
}
