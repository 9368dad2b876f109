package ladderproof

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderplan"
)

// flowConfigTime is the longest time after which a VM has a new configuration.
const flowConfigTime = 3 * time.Second

// flowTeams holds the names of the teams.
var flowTeams = []string{"a", "b"}

// fleetVersion is a configuration that the operators have stored.
type fleetVersion struct {
	since time.Time
	fleet *ladderflow.FleetConfig
	// lag is how long a VM that is elected later takes to get it.
	lag time.Duration
}

// quotaWatch checks that no team runs more than its quota. A nil quotaWatch checks nothing.
type quotaWatch struct {
	// versions holds all configurations, the newest one last.
	versions []fleetVersion
	// known holds the index in versions of the configuration that each leader has, and due when each leader
	// gets each later one.
	known map[*flowLeader]int
	due   map[*flowLeader]map[int]time.Time
	// bound counts the starts that have brought a team to its quota, and over those that have brought it above,
	// by less than one task.
	bound, over int
}

// watchQuotas gives the simulation teams with quotas, and has a new leader elected that knows them.
func (sim *flowSimulation) watchQuotas(quotas map[string]ladderflow.Size) {
	sim.quotas = &quotaWatch{known: map[*flowLeader]int{}, due: map[*flowLeader]map[int]time.Time{}}
	f := sim.baseFleet()
	f.KeysRequired = true
	for _, name := range flowTeams {
		f.Teams = append(f.Teams, ladderflow.Team{Name: name, Weight: 1, Quota: quotas[name]})
	}
	sim.quotas.versions = []fleetVersion{{since: sim.now, fleet: f}}
	sim.elect()
}

// setQuota stores a configuration with another quota of a team. The function lag returns how long each leader, and a
// VM that is elected later, takes to get it.
func (sim *flowSimulation) setQuota(name string, quota ladderflow.Size, lag func() time.Duration) {
	q := sim.quotas
	old := q.versions[len(q.versions)-1].fleet
	f := sim.baseFleet()
	f.Version, f.KeysRequired, f.Teams = old.Version+1, true, slices.Clone(old.Teams)
	for i := range f.Teams {
		if f.Teams[i].Name == name {
			f.Teams[i].Quota = quota
		}
	}
	q.versions = append(q.versions, fleetVersion{since: sim.now, fleet: f, lag: lag()})
	sim.tracef("quota of %s is %v", name, quota)
	for _, l := range sim.leaders {
		if q.due[l] == nil {
			q.due[l] = map[int]time.Time{}
		}
		q.due[l][len(q.versions)-1] = sim.now.Add(lag())
	}
	sim.learnFleets()
}

// firstFleet returns the configuration that a newly elected leader has.
func (sim *flowSimulation) firstFleet(l *flowLeader) *ladderflow.FleetConfig {
	q := sim.quotas
	if q == nil {
		return sim.baseFleet()
	}
	q.due[l] = map[int]time.Time{}
	for i, v := range q.versions {
		due := v.since.Add(v.lag)
		if q.due[l][i] = due; !sim.now.Before(due) {
			q.known[l] = i
		}
	}
	return q.versions[q.known[l]].fleet
}

// learnFleets lets the leaders get the configurations that have reached them.
func (sim *flowSimulation) learnFleets() {
	if sim.quotas == nil {
		return
	}
	for _, l := range sim.leaders {
		for i := len(sim.quotas.versions) - 1; i > sim.quotas.known[l]; i-- {
			if due, ok := sim.quotas.due[l][i]; ok && !sim.now.Before(due) {
				sim.quotas.known[l] = i
				l.planner.SetFleet(sim.quotas.versions[i].fleet)
				sim.tracef("leader %d has version %d", l.fence, sim.quotas.versions[i].fleet.Version)
			}
		}
	}
}

// team returns the team of a job.
func (sim *flowSimulation) team(job string) string {
	for _, j := range sim.jobs {
		if j.ID == job {
			return j.Team
		}
	}
	return ""
}

// used returns what a team has running on all workers.
func (sim *flowSimulation) used(team string) ladderflow.Size {
	var used ladderflow.Size
	for _, w := range sim.workers {
		w.expireLease(sim.now)
		for r, size := range w.running {
			if sim.team(r.Task.Job) == team {
				used = used.Plus(size)
			}
		}
	}
	return used
}

// withinQuota reports whether an amount is within a quota, of which zero stands for no limit.
func withinQuota(used, quota ladderflow.Size) bool {
	within := func(used, quota int) bool { return quota == 0 || used <= quota }
	return within(used.Processor, quota.Processor) && within(used.Memory, quota.Memory) && within(used.Accelerators, quota.Accelerators)
}

// plusLimited adds an amount to the limits of a quota.
func plusLimited(quota, more ladderflow.Size) ladderflow.Size {
	plus := func(quota, more int) int {
		if quota == 0 {
			return 0
		}
		return quota + more
	}
	return ladderflow.Size{
		Processor: plus(quota.Processor, more.Processor), Memory: plus(quota.Memory, more.Memory),
		Accelerators: plus(quota.Accelerators, more.Accelerators),
	}
}

// quotasSince returns the quotas that a team has had since a time.
func (q *quotaWatch) quotasSince(team string, since time.Time) []ladderflow.Size {
	var list []ladderflow.Size
	for i, v := range q.versions {
		if i < len(q.versions)-1 && !q.versions[i+1].since.After(since) {
			continue
		}
		if t, ok := v.fleet.Team(team); ok {
			list = append(list, t.Quota)
		}
	}
	return list
}

// checkQuota checks that a start has not brought what its team runs on all workers above its quota and one task more. A
// quota that the team has had since flowConfigTime before the start was ordered counts.
func (sim *flowSimulation) checkQuota(o *order) {
	team := sim.team(o.start.Run.Task.Job)
	if sim.quotas == nil || team == "" {
		return
	}
	used, size := sim.used(team), sim.size(o.start.Run.Task)
	quotas := sim.quotas.quotasSince(team, o.sent.Add(-flowConfigTime))
	fits := func(more ladderflow.Size) bool {
		return slices.ContainsFunc(quotas, func(q ladderflow.Size) bool { return withinQuota(used, plusLimited(q, more)) })
	}
	switch {
	case !fits(size):
		sim.fail("", "start %v by leader %d: team %s runs %v, above each of its quotas %v and one task more", o.start.Run, o.from.fence, team, used, quotas)
	case !fits(ladderflow.Size{}):
		sim.quotas.over++
	case slices.ContainsFunc(quotas, func(q ladderflow.Size) bool { return q.Processor > 0 && used.Processor+1000 > q.Processor }):
		sim.quotas.bound++
	}
}

// checkPlan checks that the starts that a plan orders do not bring what its leader counts for a team above the quota that
// the leader knows.
func (sim *flowSimulation) checkPlan(l *flowLeader, starts []ladderplan.StartOrder) {
	if sim.quotas == nil {
		return
	}
	ordered := map[string]ladderflow.Size{}
	for i := range starts {
		task := starts[i].Run.Task
		ordered[sim.team(task.Job)] = ordered[sim.team(task.Job)].Plus(sim.size(task))
	}
	for _, t := range sim.quotas.versions[sim.quotas.known[l]].fleet.Teams {
		used, more := l.planner.TeamUsed(t.Name), ordered[t.Name]
		exceeded := func(used, more, quota int) bool { return quota > 0 && more > 0 && used > quota }
		if exceeded(used.Processor, more.Processor, t.Quota.Processor) || exceeded(used.Memory, more.Memory, t.Quota.Memory) {
			sim.fail("", "leader %d orders starts of %v for team %s, and counts %v then; the quota is %v", l.fence, more, t.Name, used, t.Quota)
		}
	}
}

// drawQuota draws a quota, which often binds.
func drawQuota(t *rapid.T) ladderflow.Size {
	return ladderflow.Size{
		Processor: 1000 * rapid.SampledFrom([]int{2, 3, 4, 6, 8, 0}).Draw(t, "quota cores"),
		Memory:    rapid.SampledFrom([]int{0, 0, 200}).Draw(t, "quota memory"),
	}
}

// drawLag draws how long a VM takes to get a new configuration.
func drawLag(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(0, int(flowConfigTime.Milliseconds())).Draw(t, "lag ms")) * time.Millisecond
}

// drawTeam gives a job a team, and at times makes it a gang that just fits the team's quota.
func (sim *flowSimulation) drawTeam(t *rapid.T, j *ladderflow.Job) {
	if sim.quotas == nil {
		return
	}
	j.Team = rapid.SampledFrom([]string{"a", "a", "b", ""}).Draw(t, "team")
	team, ok := sim.quotas.versions[len(sim.quotas.versions)-1].fleet.Team(j.Team)
	if !ok || !rapid.Bool().Draw(t, "just fits") {
		return
	}
	for _, tasks := range []int{3, 2} {
		if cores := team.Quota.Processor / 1000; cores > 0 && cores%tasks == 0 && cores/tasks <= 4 {
			j.Steps[0].Tasks, j.Steps[0].Gang, j.Steps[0].Need.Processor = tasks, true, 1000*cores/tasks
			return
		}
	}
}

// quotaActions returns the actions with quotas.
func (sim *flowSimulation) quotaActions() map[string]func(*rapid.T) {
	set := func(t *rapid.T) {
		sim.setQuota(rapid.SampledFrom(flowTeams).Draw(t, "team"), drawQuota(t), func() time.Duration { return drawLag(t) })
	}
	return map[string]func(*rapid.T){
		"quota": set,
		"quota, then steady": func(t *rapid.T) {
			set(t)
			for range rapid.IntRange(1, 25).Draw(t, "rounds") {
				sim.steady(sim.newest())
			}
		},
		"takeover at quota": func(t *rapid.T) {
			// A team has jobs for more than its quota. The next leader does not reach a worker for a while, and the
			// former one goes on.
			former := sim.newest()
			for range rapid.IntRange(1, 4).Draw(t, "jobs") {
				sim.submit(t, former)
			}
			for range rapid.IntRange(0, 2).Draw(t, "rounds before") {
				sim.steady(former)
			}
			sim.elect()
			w := sim.worker(t)
			for range rapid.IntRange(1, 20).Draw(t, "rounds") {
				sim.advance(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
				sim.crashDue()
				if rapid.Bool().Draw(t, "former") && former.confidence(sim.now) != ladderplan.LeadershipNone {
					sim.poll(former, w)
					sim.planAndDeliver(former)
				}
				sim.pollOthers(sim.newest(), w)
				sim.check()
			}
		},
		"resign": func(t *rapid.T) {
			sim.resign(func(orders int) int { return rapid.IntRange(0, orders).Draw(t, "delivered") })
		},
	}
}

// TestFlowQuotas guards against teams that run more than their quota. Quotas are raised and lowered, leaders learn of it
// late and by turns, jobs and gangs often take all of a quota, and the faults are those of TestFlowUnderInterleaving,
// TestFlowOvertakenJobs, TestFlowCordonedWorkers and TestFlowGangsOfLeadersThatResign, whose checks it makes except that of
// the wait of members.
//
// It checks:
//
//   - No start brings what a team runs on all workers above its quota and one task more. Runs of all leaders count,
//     also those that are stopping or that a worker has begun on a late order. A quota counts that the team has had
//     since flowConfigTime before the start was ordered.
//   - After a plan that orders starts, its leader counts no more for the team than the quota that it knows.
func TestFlowQuotas(t *testing.T) {
	steps, starts, bound, over := 0, 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		sim := drawFlowSimulation(rt, &steps, &starts)
		sim.cordons = &cordonWatch{}
		sim.watchQuotas(map[string]ladderflow.Size{"a": drawQuota(rt), "b": drawQuota(rt)})
		actions := sim.actions()
		maps.Copy(actions, sim.overtakenActions())
		maps.Copy(actions, sim.cordonActions())
		maps.Copy(actions, sim.quotaActions())
		rt.Repeat(actions)
		bound, over = bound+sim.quotas.bound, over+sim.quotas.over
	})
	_, _ = fmt.Fprintf(os.Stderr, "flow, quotas: %d steps, %d starts, %d to the quota, %d above it by less than a task\n", steps, starts, bound, over)
}

// TestExceededQuotaIsFoundByModel guards against a model that does not see a start above a quota. The orders do not come
// from a planner.
func TestExceededQuotaIsFoundByModel(t *testing.T) {
	cores := func(n int) ladderflow.Size { return ladderflow.Size{Processor: 1000 * n} }
	for name, c := range map[string]struct {
		quota  ladderflow.Size
		starts int
		// change, if set, is called before the last order is sent, and late before it is delivered.
		change, late func(*flowSimulation)
		found        bool
	}{
		"the quota and one task more": {cores(2), 3, nil, nil, false},
		"two tasks more":              {cores(2), 4, nil, nil, true},
		"memory":                      {ladderflow.Size{Memory: 200}, 4, nil, nil, true},
		"no limit":                    {ladderflow.Size{}, 6, nil, nil, false},
		"an earlier run has ended": {cores(2), 4, func(sim *flowSimulation) {
			sim.workers[0].end(sim.workers[0].runs()[0], ladderflow.EndDone)
		}, nil, false},
		"lowered a moment before": {cores(4), 4, func(sim *flowSimulation) { sim.lower() }, nil, false},
		"lowered long before": {cores(4), 4, func(sim *flowSimulation) {
			sim.lower()
			sim.advance(flowConfigTime)
		}, nil, true},
		"lowered while the order is late": {cores(4), 4, nil, func(sim *flowSimulation) {
			sim.lower()
			sim.advance(flowConfigTime)
		}, false},
		"raised": {cores(2), 4, func(sim *flowSimulation) {
			sim.setQuota("a", cores(4), func() time.Duration { return flowConfigTime })
		}, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			steps, starts := 0, 0
			sim := newFlowSimulation(failure{t}, 0, &steps, &starts)
			sim.watchQuotas(map[string]ladderflow.Size{"a": c.quota})
			sim.accept(&ladderflow.Job{
				ID: fmt.Sprintf("%016x", 0), Queue: flowQueue, Service: "s", Team: "a", Accepted: sim.now,
				Steps: []ladderflow.Step{{Tasks: c.starts, Need: ladderflow.Size{Processor: 1000, Memory: 100}, Estimate: time.Second}},
			})
			play := func() (found any) {
				defer func() { found = recover() }()
				for i := range c.starts {
					last := i == c.starts-1
					if last && c.change != nil {
						c.change(sim)
					}
					w := sim.workers[i%len(sim.workers)]
					o := &order{from: sim.newest(), sent: sim.now, start: &ladderplan.StartOrder{
						Worker: ladderflow.Worker{ID: w.id}, LeaseUntil: w.clock(sim.now) + flowMaxWorkerLease,
						Run: ladderflow.Run{Task: ladderflow.Task{Job: sim.jobs[0].ID, Index: i}, Number: 1},
					}}
					if last && c.late != nil {
						c.late(sim)
					}
					sim.deliver(o, false)
				}
				return nil
			}
			found := play()
			require.Equal(t, c.starts, starts)
			require.Equal(t, c.found, found != nil, found)
			if c.found {
				require.Contains(t, found, "above each of its quotas")
			}
		})
	}
}

// lower lowers the quota of team a to one core.
func (sim *flowSimulation) lower() {
	sim.setQuota("a", ladderflow.Size{Processor: 1000}, func() time.Duration { return 0 })
}
