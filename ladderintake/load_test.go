package ladderintake_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderintake"
)

const (
	simStep = 50 * time.Millisecond
	simVMs  = 6
	// maxReturns is how often a caller comes back.
	maxReturns = 4
)

// simTeam is a team whose callers submit jobs of one task.
type simTeam struct {
	name          string
	weight, cores float64
	// length is how long a task takes.
	length time.Duration
	// rate is the number of jobs per second.
	rate float64
	// due is the fraction of a job that is due.
	due float64
}

// simJob is a job and its caller.
type simJob struct {
	team             *simTeam
	offer            ladderintake.Offer
	first, at, ended time.Time
	returns          int
	refused          bool
	// promised is true while the caller waits for a turn that it was promised.
	promised bool
	admitted time.Time
}

// simulation plays callers, VMs, a leader and workers without a network. Workers have one capacity; free
// room goes to the team with the least of it for its weight, and within a team to the jobs that can still meet
// their objectives, by arrival.
type simulation struct {
	now      time.Time
	random   *rand.Rand
	capacity float64
	teams    []*simTeam
	limiter  *ladderintake.Limiter
	gates    []*ladderintake.Gate
	callers  []*simJob
	waiting  []*simJob
	running  []*simJob
	jobs     []*simJob
	// used is the sum of the capacity in use over all steps in which work waited or was refused.
	used, wanted float64
	// kept and broken count the promises that were.
	kept, broken int
	// leaderless is since when there has been no leader, and cut is the number of VMs that are cut off from it.
	leaderless time.Time
	cut        int
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

var simQueue = &ladderflow.Queue{ObjectiveFactor: 3, BaseObjective: time.Second}

// newJob returns a job that is submitted now.
func (s *simulation) newJob(t *simTeam) *simJob {
	id := fmt.Sprintf("%016x", s.random.Uint64())
	job := &ladderflow.Job{ID: id, Service: "fit", Team: t.name, Steps: []ladderflow.Step{{Tasks: 1, Estimate: t.length}}}
	return &simJob{team: t, offer: ladderintake.NewOffer(job, simQueue, &ladderflow.Team{Weight: t.weight}), first: s.now, at: s.now}
}

// hopeless reports whether a job can no longer meet its objective with the usual allowance.
func (s *simulation) hopeless(j *simJob) bool { return s.now.Sub(j.admitted) > j.offer.Slack }

func (s *simulation) step() {
	s.now = s.now.Add(simStep)
	s.running = slices.DeleteFunc(s.running, func(j *simJob) bool { return !j.ended.After(s.now) })
	for _, t := range s.teams {
		t.due += t.rate * simStep.Seconds() * (0.5 + s.random.Float64())
		for ; t.due >= 1; t.due-- {
			j := s.newJob(t)
			s.callers, s.jobs = append(s.callers, j), append(s.jobs, j)
		}
	}
	refusing := false
	s.callers = slices.DeleteFunc(s.callers, func(j *simJob) bool {
		if j.at.After(s.now) {
			return false
		}
		refused := !s.submit(j)
		refusing = refusing || refused
		return !refused || j.returns > maxReturns
	})
	s.place()
	if len(s.waiting) > 0 || refusing {
		s.wanted += s.capacity
		for _, j := range s.running {
			s.used += j.team.cores
		}
	}
	if !s.leaderless.IsZero() {
		return
	}
	tick := int(s.now.Sub(start) / simStep)
	if tick%2 == 0 {
		s.limiter.Update(s.now, s.loads())
	}
	for i, g := range s.gates {
		if tick%5 == i%5 && i >= s.cut {
			name := fmt.Sprint(i)
			s.limiter.Report(s.now, name, g.Report(s.now))
			g.Heard(s.now, s.limiter.Limits(s.now, name, simVMs), simVMs)
		}
	}
}

// submit offers a job to some VM. It returns false if it is refused.
func (s *simulation) submit(j *simJob) bool {
	vm := s.random.IntN(simVMs)
	g, o := s.gates[vm], j.offer
	d := g.Decide(s.now, o)
	if d.Refused && !g.Returned(s.now, o) {
		var turn ladderintake.Turn
		if s.leaderless.IsZero() && vm >= s.cut {
			if turn = s.limiter.Turn(s.now, o, d.Cause); !turn.Ready {
				g.TurnGiven(s.now, o, turn)
			}
		} else {
			turn = g.Turn(s.now, o, d)
		}
		if !turn.Ready {
			g.Refused(o)
			s.broken += boolToInt(j.promised)
			j.refused, j.promised, j.at = true, turn.Promised, s.now.Add(time.Duration(turn.Seconds())*time.Second)
			j.returns++
			return false
		}
		g.AdmittedByLeader(s.now, o)
	} else {
		g.Admitted(s.now, o)
	}
	s.kept += boolToInt(j.promised)
	j.admitted = s.now
	s.waiting = append(s.waiting, j)
	return true
}

// place starts jobs while there is room.
func (s *simulation) place() {
	use, free := map[*simTeam]float64{}, s.capacity
	for _, j := range s.running {
		use[j.team] += j.team.cores
		free -= j.team.cores
	}
	for {
		best := -1
		for i, j := range s.waiting {
			if j.team.cores > free+1e-9 {
				continue
			}
			if best < 0 {
				best = i
				continue
			}
			b := s.waiting[best]
			hj, hb := s.hopeless(j), s.hopeless(b)
			if hb && !hj || hb == hj && cmp.Compare(use[j.team]/j.team.weight, use[b.team]/b.team.weight) < 0 {
				best = i
			}
		}
		if best < 0 {
			return
		}
		j := s.waiting[best]
		j.ended = s.now.Add(j.team.length)
		use[j.team] += j.team.cores
		free -= j.team.cores
		s.running, s.waiting = append(s.running, j), slices.Delete(s.waiting, best, best+1)
	}
}

// loads returns the work as the planner sees it.
func (s *simulation) loads() []ladderintake.ServiceLoad {
	byTeam := map[*simTeam]*ladderintake.TeamLoad{}
	load := ladderintake.ServiceLoad{Service: "fit", Capacity: ladderintake.Amount{s.capacity}}
	for _, t := range s.teams {
		byTeam[t] = &ladderintake.TeamLoad{Team: t.name, Weight: t.weight}
	}
	for _, j := range s.waiting {
		l, due := byTeam[j.team], j.admitted.Add(j.offer.Due).Sub(s.now)
		for c := ladderintake.ClassOf(due); c < ladderintake.Classes; c++ {
			if due >= -c.Horizon() {
				l.Demand[c], l.Waits[c] = l.Demand[c].Plus(ladderintake.Amount{j.team.cores}), true
			}
		}
	}
	for _, j := range s.running {
		l := byTeam[j.team]
		l.Used = l.Used.Plus(ladderintake.Amount{j.team.cores})
		for c := range l.Demand {
			h := ladderintake.Class(c).Horizon()
			l.Demand[c] = l.Demand[c].Plus(ladderintake.Amount{min(h, j.ended.Sub(s.now)).Seconds() * j.team.cores})
		}
	}
	for _, t := range s.teams {
		load.Teams = append(load.Teams, *byTeam[t])
	}
	slices.SortFunc(load.Teams, func(a, b ladderintake.TeamLoad) int { return cmp.Compare(a.Team, b.Team) })
	return []ladderintake.ServiceLoad{load}
}

// onTime counts, by windows of two seconds of the first submission, the jobs of the given teams that ended
// within their objective, and all of them.
func (s *simulation) onTime(of func(*simTeam) bool) (ended, all map[int]int) {
	ended, all = map[int]int{}, map[int]int{}
	for _, j := range s.jobs {
		if w := int(j.first.Sub(start) / (2 * time.Second)); of(j.team) {
			all[w]++
			if !j.ended.IsZero() && j.ended.Sub(j.first) <= j.offer.Objective {
				ended[w]++
			}
		}
	}
	return ended, all
}

// TestHotTeams lets teams submit eight times their usual beside others, from 4 s to 16 s of 24 s. The others
// must not be refused, and of their jobs of any two seconds nearly all must be on time. The room must not be
// idle while work waits or is refused, and the hot teams must get what they are owed.
func TestHotTeams(t *testing.T) {
	for name, c := range map[string]struct {
		teams, hot int
		weight     func(i int) float64
		cores      func(i int) float64
		length     func(i int) time.Duration
		// leaderless is how long there is no leader, from 8 s on, and cut the number of VMs that are cut off
		// from it.
		leaderless time.Duration
		cut        int
	}{
		"one of twenty":    {teams: 20, hot: 1},
		"two of twenty":    {teams: 20, hot: 2},
		"weights of 100:1": {teams: 20, hot: 1, weight: func(i int) float64 { return []float64{100, 30, 10, 3, 1}[i%5] }},
		"one of 140":       {teams: 140, hot: 1, weight: func(i int) float64 { return []float64{100, 5}[min(i, 1)] }},
		"wide tasks":       {teams: 20, hot: 1, cores: func(i int) float64 { return []float64{8, 1}[min(i, 1)] }},
		"long tasks": {teams: 20, hot: 1, length: func(i int) time.Duration {
			return []time.Duration{3 * time.Second, time.Second}[min(i, 1)]
		}},
		"the leader changes":         {teams: 20, hot: 1, leaderless: 2 * time.Second},
		"there is no leader for 5 s": {teams: 20, hot: 1, leaderless: 5 * time.Second},
		"two VMs are cut off":        {teams: 20, hot: 1, cut: 2},
		"nobody is hot":              {teams: 20},
	} {
		t.Run(name, func(t *testing.T) {
			s := &simulation{now: start, random: rand.New(rand.NewPCG(1, 2)), limiter: ladderintake.NewLimiter()}
			for range simVMs {
				s.gates = append(s.gates, ladderintake.NewGate())
			}
			for i := range c.teams {
				x := &simTeam{name: fmt.Sprintf("team%03d", i), weight: 5, cores: 1, length: time.Second}
				if c.weight != nil {
					x.weight = c.weight(i)
				}
				if c.cores != nil {
					x.cores = c.cores(i)
				}
				if c.length != nil {
					x.length = c.length(i)
				}
				x.rate = x.weight / 1.4
				s.capacity += x.rate * x.cores * x.length.Seconds() * 1.25
				s.teams = append(s.teams, x)
			}
			hot := func(x *simTeam) bool { return slices.Index(s.teams, x) < c.hot }
			for s.now.Before(start.Add(24 * time.Second)) {
				for _, x := range s.teams {
					x.rate = x.weight / 1.4
					if at := s.now.Sub(start); hot(x) && at >= 4*time.Second && at < 16*time.Second {
						x.rate *= 8
					}
				}
				away := s.now.Sub(start) - 8*time.Second
				if away >= 0 && away < c.leaderless && s.leaderless.IsZero() {
					s.leaderless = s.now
				}
				if away >= c.leaderless && !s.leaderless.IsZero() {
					s.leaderless, s.limiter = time.Time{}, ladderintake.NewLimiter()
				}
				if away >= 0 {
					s.cut = c.cut
				}
				s.step()
			}
			for _, j := range s.jobs {
				require.False(t, j.refused && !hot(j.team), "a job of %s was refused", j.team.name)
			}
			ended, all := s.onTime(func(x *simTeam) bool { return !hot(x) })
			for w := range 9 {
				require.GreaterOrEqual(t, float64(ended[w]), 0.95*float64(all[w]), "window %d", w)
			}
			if c.hot == 0 {
				return
			}
			require.GreaterOrEqual(t, s.used, 0.93*s.wanted, "the room is idle")
			if c.leaderless == 0 && c.cut == 0 {
				require.Zero(t, s.broken, "a caller was refused that had returned in its turn")
			}
			if c.length != nil {
				require.Positive(t, s.kept)
			}
			ended, _ = s.onTime(hot)
			got, owed := 0, 0.0
			for w := 3; w < 8; w++ {
				got += ended[w]
				for _, x := range s.teams[:c.hot] {
					owed += 2 * x.weight
				}
			}
			require.GreaterOrEqual(t, float64(got), 0.7*owed, "on time, of those that are owed")
			require.True(t, slices.ContainsFunc(s.jobs, func(j *simJob) bool { return j.refused }))
		})
	}
}
