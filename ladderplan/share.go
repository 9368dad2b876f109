package ladderplan

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"lacewingladder/ladderflow"
	"lacewingladder/laddershare"
)

// turn is the part of the order of placement to which a step belongs under the shares of the teams. Steps
// without a team are within the share.
type turn uint8

const (
	turnWithin turn = iota
	// turnOver is for steps of teams that use more than their share.
	turnOver
	// turnUseless is for steps whose result is no longer of use, unless they are beyond the rate.
	turnUseless
	// turnBeyondRate is for steps of jobs that their team sent beyond its rate.
	turnBeyondRate
)

// shareInterval is the least time between two computations of the shares. What a team has running is looked up
// for each step.
const shareInterval = 5 * time.Millisecond

// beyondLogPause is how long a team must be within its share and its rate before that is logged.
const beyondLogPause = time.Second

// beyondPeriod is the time in which a team was beyond its share or its rate, at least once in beyondLogPause.
type beyondPeriod struct{ since, until time.Time }

// longRunningHold is the time for which a long-running task counts when a team's share is decided on.
const longRunningHold = 10 * time.Second

// teamShares holds the shares of the teams and what they are computed from.
type teamShares struct {
	shares *laddershare.Shares
	// fleet is the configuration whose weights are set.
	fleet *ladderflow.FleetConfig
	// capacity is that of the workers that accepted tasks in the pass capacityPass of the pools.
	capacity     ladderflow.Size
	capacityPass int64
	// updatedAt is when the shares were last computed, under the configuration updatedFor.
	updatedAt  time.Time
	updatedFor *ladderflow.FleetConfig
	// anyBeyond is true if a team uses more than its share or sends more than its rate.
	anyBeyond bool
	// stopped holds the runs that were stopped because they are beyond their team's share. Some may be over.
	stopped []*run
	// beyond holds the teams that are logged to be beyond their share or their rate.
	beyond map[*laddershare.Team]beyondPeriod
	// added holds the jobs whose acceptance was not counted yet.
	added []*job
}

// awaitRateCheck notes that a job's acceptance has to be counted against the rate of its team. The jobs that a new
// leader reads come in any order, so they are counted at the next placement pass.
func (p *Planner) awaitRateCheck(j *job) {
	if j.spec.Team != "" {
		p.teams.added = append(p.teams.added, j)
	}
}

// refreshShares computes the shares of the teams for a placement pass.
func (p *Planner) refreshShares(now time.Time) {
	ts := &p.teams
	if p.fleet == nil {
		return
	}
	if len(p.fleet.Teams) == 0 {
		*ts = teamShares{}
		return
	}
	if ts.shares == nil {
		ts.shares, ts.beyond = laddershare.New(), map[*laddershare.Team]beyondPeriod{}
	}
	if ts.fleet != p.fleet {
		ts.fleet = p.fleet
		list := make([]laddershare.Weight, len(p.fleet.Teams))
		for i, t := range p.fleet.Teams {
			list[i] = laddershare.Weight{Team: t.Name, Weight: t.Weight}
		}
		ts.shares.SetWeights(list)
	}
	p.checkRates(now)
	if passed := now.Sub(ts.updatedAt); passed >= 0 && passed < shareInterval && ts.updatedFor == p.fleet {
		return
	}
	ts.updatedAt, ts.updatedFor = now, p.fleet
	if ts.capacityPass != p.pools.pass {
		ts.capacityPass, ts.capacity = p.pools.pass, p.pooledCapacity()
	}
	ts.shares.Update(now, ts.capacity, p.ledger.Used)
	ts.anyBeyond = false
	for _, t := range ts.shares.Teams() {
		overRate := t.OverRate(now)
		beyond := overRate || t.Beyond()
		ts.anyBeyond = ts.anyBeyond || beyond
		if beyond || len(ts.beyond) > 0 {
			p.logBeyond(now, t, beyond, overRate)
		}
	}
}

// logBeyond logs that a team is beyond its share or its rate, and that it is not any more.
func (p *Planner) logBeyond(now time.Time, t *laddershare.Team, beyond, overRate bool) {
	b, logged := p.teams.beyond[t]
	switch {
	case beyond && !logged:
		p.teams.beyond[t] = beyondPeriod{now, now}
		p.log.Info("team is beyond its share or its rate; its steps come after those of others", "team", t.Name(), "used", t.Used(),
			"share", t.Share(), "debt", t.Debt().Round(time.Millisecond), "overRate", overRate, "weight", t.Weight())
	case beyond:
		p.teams.beyond[t] = beyondPeriod{b.since, now}
	case logged && now.Sub(b.until) >= beyondLogPause:
		delete(p.teams.beyond, t)
		p.log.Info("team is within its share and its rate again", "team", t.Name(), "used", t.Used(), "share", t.Share(),
			"after", b.until.Sub(b.since).Round(time.Millisecond))
	}
}

// pooledCapacity returns the capacity of the workers that accept new tasks.
func (p *Planner) pooledCapacity() ladderflow.Size {
	var sum ladderflow.Size
	for _, list := range p.pools.byService {
		for _, w := range list {
			sum = sum.Plus(w.spec.Capacity)
		}
	}
	return sum
}

// checkRates counts the jobs that were added against the rates of their teams.
func (p *Planner) checkRates(now time.Time) {
	added := p.teams.added
	if len(added) == 0 {
		return
	}
	slices.SortFunc(added, func(a, b *job) int {
		return cmp.Or(a.spec.Accepted.Compare(b.spec.Accepted), cmp.Compare(a.spec.ID, b.spec.ID))
	})
	for _, j := range added {
		j.beyondRate = !p.team(j).Accept(now, j.spec.Accepted)
	}
	clear(added)
	p.teams.added = added[:0]
}

// team returns the state of a job's team, or nil if the job has none or the configuration has no teams.
func (p *Planner) team(j *job) *laddershare.Team {
	if p.teams.shares == nil || j.spec.Team == "" {
		return nil
	}
	if j.team == nil || j.teamShares != p.teams.shares {
		j.team, j.teamShares = p.teams.shares.Team(j.spec.Team), p.teams.shares
	}
	return j.team
}

// turn returns the part of the order to which a step of the given class belongs. The configuration has teams.
func (p *Planner) turn(now time.Time, s *step, class int32) turn {
	t := p.team(s.round.job)
	if t == nil {
		if class == worthlessClass {
			return turnUseless
		}
		return turnWithin
	}
	t.Wants(now)
	switch {
	case s.round.job.beyondRate && t.OverRate(now):
		return turnBeyondRate
	case class == worthlessClass:
		return turnUseless
	case !p.withinShare(t, s):
		return turnOver
	}
	return turnWithin
}

// withinShare reports whether the step is within the share of its team.
func (p *Planner) withinShare(t *laddershare.Team, s *step) bool {
	return t.Within(p.ledger.Used(t.Name()), s.holdTime())
}

// holdTime returns how long a task of the step is expected to hold its room.
func (s *step) holdTime() time.Duration {
	if s.spec.LongRunning {
		return longRunningHold
	}
	return s.expectedDuration()
}

// compareRanks orders ranks as steps are placed.
func compareRanks(a, b rank) int {
	switch {
	case a.turn != b.turn:
		return cmp.Compare(a.turn, b.turn)
	case a.class != b.class:
		return cmp.Compare(a.class, b.class)
	}
	return a.latestStart.Compare(b.latestStart)
}

// placementOrder returns the steps to place in their order. A step whose team has used up its share in the same
// pass comes later.
func (p *Planner) placementOrder(now time.Time) iter.Seq[rank] {
	list := p.rankedSteps(now)
	if p.teams.shares == nil {
		return slices.Values(list)
	}
	return func(yield func(rank) bool) {
		var over []rank
		starts := len(p.orders.Starts)
		for len(list) > 0 || len(over) > 0 {
			if len(list) == 0 || len(over) > 0 && compareRanks(over[0], list[0]) < 0 {
				if !yield(over[0]) {
					return
				}
				over = over[1:]
				continue
			}
			k := list[0]
			list = list[1:]
			t := p.team(k.step.round.job)
			if k.turn == turnWithin && t != nil && len(p.orders.Starts) > starts && !p.withinShare(t, k.step) {
				k.turn = turnOver
				over = append(over, k)
				continue
			}
			before := k.step.waiting
			if !yield(k) {
				return
			}
			if k.turn == turnWithin && t != nil && k.step.waiting < before {
				t.Started(times(k.step.spec.Demand(), len(k.step.tasks)-k.step.waiting-k.step.done), k.step.holdTime())
			}
		}
	}
}

// times returns n times a size.
func times(s ladderflow.Size, n int) ladderflow.Size {
	return ladderflow.Size{Processor: s.Processor * n, Memory: s.Memory * n, Accelerators: s.Accelerators * n}
}

// TeamStanding describes what a team has running and waiting, and what it is entitled to.
type TeamStanding struct {
	Team   string
	Weight float64
	// Used is what the team has running, and Quota what it may have. Amounts of zero mean that there is no limit.
	Used  ladderflow.Size
	Quota ladderflow.Size
	// Share is the part of the fleet that the team is entitled to now, and UsedShare the part that it has running,
	// of the resource of which it has the largest part.
	Share, UsedShare float64
	// Running and Waiting count the team's jobs with runs, and those with waiting tasks that are ready. Excess
	// counts the waiting ones that came beyond the team's rate.
	Running, Waiting, Excess int
	// BeyondShare is true if short steps of the team count as beyond its share, and BeyondRate if the team sends
	// jobs beyond its rate.
	BeyondShare, BeyondRate bool
}

// TeamStandings describes the teams of the configuration and those that have left work, sorted by name.
func (p *Planner) TeamStandings(now time.Time) []TeamStanding {
	if p.teams.shares == nil {
		return nil
	}
	running, waiting, excess := map[string]int{}, map[string]int{}, map[string]int{}
	counted := map[*job]bool{}
	for _, w := range p.allWorkers() {
		for _, x := range w.runOrder {
			if x.task != nil && !counted[x.task.step.round.job] {
				counted[x.task.step.round.job] = true
				running[x.team]++
			}
		}
	}
	clear(counted)
	for _, s := range p.readySteps {
		j := s.round.job
		if s.waiting == 0 || s.finished() || !j.active() || counted[j] {
			continue
		}
		counted[j] = true
		waiting[j.spec.Team]++
		if t := p.team(j); t != nil && j.beyondRate && t.OverRate(now) {
			excess[j.spec.Team]++
		}
	}
	var list []TeamStanding
	for _, t := range p.teams.shares.Teams() {
		s := TeamStanding{
			Team: t.Name(), Weight: t.Weight(), Used: p.ledger.Used(t.Name()), Share: t.Share(), UsedShare: t.Used(),
			Running: running[t.Name()], Waiting: waiting[t.Name()], Excess: excess[t.Name()],
			BeyondShare: t.Beyond(), BeyondRate: t.OverRate(now),
		}
		configured, ok := p.fleet.Team(t.Name())
		switch {
		case ok:
			s.Quota = configured.Quota
		case s.Running == 0 && s.Waiting == 0:
			continue
		}
		list = append(list, s)
	}
	return list
}

// JobStanding describes the place of a job in the order of placement.
type JobStanding struct {
	Team string
	// OverShare is what the team uses over its share. Above 1, it uses more than its share.
	OverShare float64
	// BeyondShare is true if the job's first waiting step counts as beyond the share of its team, and BeyondRate if
	// the job came beyond the rate of its team.
	BeyondShare, BeyondRate bool
	// JobsBefore is the number of jobs with waiting tasks that come before the job's first waiting step. It is
	// -1 if the job has no such step.
	JobsBefore int
}

// JobStanding describes the place of a job. It returns false if the job is unknown or has no team, or if the
// configuration has no teams.
func (p *Planner) JobStanding(now time.Time, id string) (JobStanding, bool) {
	j, ok := p.jobs[id]
	if !ok {
		return JobStanding{}, false
	}
	t := p.team(j)
	if t == nil {
		return JobStanding{}, false
	}
	s := JobStanding{Team: j.spec.Team, BeyondRate: j.beyondRate && t.OverRate(now), JobsBefore: -1}
	if t.Share() > 0 {
		s.OverShare = t.Used() / t.Share()
	}
	before := map[*job]bool{}
	for _, k := range p.rankedSteps(now) {
		if k.step.round.job == j {
			s.JobsBefore, s.BeyondShare = len(before), k.turn == turnOver
			break
		}
		before[k.step.round.job] = true
	}
	return s, true
}
