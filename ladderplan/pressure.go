package ladderplan

import (
	"slices"
	"strings"
	"time"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderintake"
)

// Pressure returns the work on each service: that of the tasks that run or wait, by when it is due. It does
// not include steps that are not ready. It returns false while runs of earlier leaders are unknown, or there is
// no configuration.
func (p *Planner) Pressure(now time.Time) ([]ladderintake.ServiceLoad, bool) {
	if !p.earlierRunsKnown || p.fleet == nil {
		return nil, false
	}
	loads := pressure{planner: p, now: now, loads: map[ladderintake.Key]*ladderintake.TeamLoad{}}
	if !loads.addWaiting() {
		return nil, true
	}
	loads.addRunning()
	return loads.services(), true
}

// pressure adds up the work of teams on services.
type pressure struct {
	planner *Planner
	now     time.Time
	loads   map[ladderintake.Key]*ladderintake.TeamLoad
}

// load returns the sum for a job's team on a service. Jobs of teams that the configuration does not have
// are added to those without a team.
func (p *pressure) load(service, team string) *ladderintake.TeamLoad {
	config, ok := p.planner.fleet.Team(team)
	if !ok {
		team = ""
	}
	k := ladderintake.Key{Service: service, Team: team}
	l := p.loads[k]
	if l == nil {
		l = &ladderintake.TeamLoad{Team: team}
		if ok {
			l.Weight, l.Quota = config.Weight, amountOf(config.Quota, 1)
		}
		p.loads[k] = l
	}
	return l
}

// addWaiting adds the tasks that wait for a worker. It returns false if there are none. A task that is too late
// to meet its objective still counts for as long as the horizon: that it is late shows that there was no room,
// but later ones that can meet theirs go before it.
func (p *pressure) addWaiting() bool {
	found := false
	for _, s := range p.planner.readySteps {
		if s.waiting == 0 || s.finished() || !s.round.job.active() || s.spec.LongRunning || s.waitReason == waitTooLarge {
			continue
		}
		k := p.planner.rank(p.now, s)
		if k.class >= worthlessClass {
			continue
		}
		found = true
		j := s.round.job
		took := s.expectedDuration()
		due := k.latestStart.Sub(p.now) - errorAllowance(j.criticalPaths[s.index]) + took
		work := amountOf(s.spec.Demand(), took.Seconds()*float64(s.waiting))
		l := p.load(p.planner.queue(j).Service, j.spec.Team)
		for c := ladderintake.ClassOf(due); c < ladderintake.Classes; c++ {
			if due >= -c.Horizon() {
				l.Demand[c], l.Waits[c] = l.Demand[c].Plus(work), true
			}
		}
	}
	return found
}

// counts reports whether a worker's capacity and runs are part of the sums. Those of one that is silent are:
// it is likely to come back.
func (p *pressure) counts(w *worker) bool {
	return w.listed && w.leavesAt.IsZero() && !p.now.Before(w.maintenanceUntil)
}

// addRunning adds the runs on workers. A run that lasts takes its capacity for good.
func (p *pressure) addRunning() {
	for _, w := range p.planner.allWorkers() {
		if !p.counts(w) {
			continue
		}
		for _, x := range w.runOrder {
			remaining := ladderintake.Class(ladderintake.Classes - 1).Horizon()
			if x.task != nil && !x.task.step.spec.LongRunning {
				remaining = x.remaining(p.now)
			}
			l := p.load(w.spec.Service, x.team)
			l.Used = l.Used.Plus(amountOf(x.size, 1))
			for c := range ladderintake.Class(ladderintake.Classes) {
				l.Demand[c] = l.Demand[c].Plus(amountOf(x.size, min(remaining, c.Horizon()).Seconds()))
			}
		}
	}
}

// services returns the sums by service, sorted.
func (p *pressure) services() []ladderintake.ServiceLoad {
	byName := map[string]*ladderintake.ServiceLoad{}
	for _, w := range p.planner.allWorkers() {
		if !p.counts(w) {
			continue
		}
		s := byName[w.spec.Service]
		if s == nil {
			s = &ladderintake.ServiceLoad{Service: w.spec.Service}
			byName[w.spec.Service] = s
		}
		s.Capacity = s.Capacity.Plus(amountOf(w.spec.Capacity, 1))
	}
	for k, l := range p.loads {
		s := byName[k.Service]
		switch {
		case s == nil: // No worker of the service is known.
		case k.Team == "":
			s.Others = *l
		default:
			s.Teams = append(s.Teams, *l)
		}
	}
	var list []ladderintake.ServiceLoad
	for _, s := range byName {
		slices.SortFunc(s.Teams, func(a, b ladderintake.TeamLoad) int { return strings.Compare(a.Team, b.Team) })
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b ladderintake.ServiceLoad) int { return strings.Compare(a.Service, b.Service) })
	return list
}

// amountOf returns a size, multiplied by a factor.
func amountOf(s ladderflow.Size, factor float64) ladderintake.Amount {
	return ladderintake.Amount{float64(s.Processor) * factor, float64(s.Memory) * factor, float64(s.Accelerators) * factor}
}

// Knows reports whether the job is known, whatever its state.
func (p *Planner) Knows(id string) bool { return p.jobs[id] != nil }
