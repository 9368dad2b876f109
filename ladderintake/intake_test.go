package ladderintake_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderintake"
)

var (
	start = time.Unix(0, 0)
	key   = ladderintake.Key{Service: "fit", Team: "hot"}
)

// offerOf returns the offer of a job that must start within two seconds.
func offerOf(job string, weight float64) ladderintake.Offer {
	return ladderintake.Offer{
		Key: key, Job: job, Weight: weight, Path: time.Second, Objective: 4 * time.Second, Allowance: 500 * time.Millisecond, Slack: 2 * time.Second,
		Due: 2 * time.Second, Class: ladderintake.ClassOf(2 * time.Second),
	}
}

func TestNewOffer(t *testing.T) {
	q := &ladderflow.Queue{ObjectiveFactor: 4, BaseObjective: 3 * time.Second}
	for name, c := range map[string]struct {
		steps            []ladderflow.Step
		quota            ladderflow.Size
		objective, slack time.Duration
		due              time.Duration
	}{
		"one step": {
			steps:     []ladderflow.Step{{Tasks: 9, Estimate: 2 * time.Second}},
			objective: 11 * time.Second, slack: 8 * time.Second, due: 10 * time.Second,
		},
		"two steps in a row": {
			steps:     []ladderflow.Step{{Estimate: 2 * time.Second}, {Estimate: time.Second, DependsOn: []int{0}}},
			objective: 15 * time.Second, slack: 10500 * time.Millisecond, due: 12500 * time.Millisecond,
		},
		"no estimate": {steps: []ladderflow.Step{{}}, objective: 3 * time.Second, slack: 3 * time.Second, due: 3 * time.Second},
		"more tasks than fit into the quota": {
			steps: []ladderflow.Step{{Tasks: 5, Need: ladderflow.Size{Processor: 3}, Estimate: time.Second}}, quota: ladderflow.Size{Processor: 7, Memory: 1},
			objective: 15 * time.Second, slack: 10500 * time.Millisecond, due: 13500 * time.Millisecond,
		},
		"tasks that fit into no quota": {
			steps: []ladderflow.Step{{Tasks: 2, Need: ladderflow.Size{Processor: 9}, Estimate: time.Second}}, quota: ladderflow.Size{Processor: 7},
			objective: 11 * time.Second, slack: 8 * time.Second, due: 10 * time.Second,
		},
		"no step": {objective: 3 * time.Second, slack: 3 * time.Second, due: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			o := ladderintake.NewOffer(&ladderflow.Job{ID: "j", Service: "fit", Team: "hot", Steps: c.steps}, q, &ladderflow.Team{Name: "hot", Weight: 5, Quota: c.quota})
			require.Equal(t, key, o.Key)
			require.Equal(t, c.objective, o.Objective)
			require.Equal(t, c.slack, o.Slack)
			require.Equal(t, ladderintake.ClassOf(c.due), o.Class)
			require.Equal(t, c.due, o.Due)
			require.LessOrEqual(t, o.Class.Horizon(), c.due)
		})
	}
}

// TestDecide checks what a VM decides after what it heard last, by the age of that. The team has a weight of
// ten jobs a second, of which the VM's part is two, among five VMs.
func TestDecide(t *testing.T) {
	const weight, part, vms = 10, 2.0, 5
	horizon := ladderintake.ClassOf(2 * time.Second).Horizon().Seconds()
	limit := func(wait time.Duration) []ladderintake.Limit {
		l := ladderintake.Limit{Key: key, Rate: part}
		for c := range l.Backlogs {
			l.Backlogs[c] = 2*time.Second + wait
		}
		return []ladderintake.Limit{l}
	}
	for name, c := range map[string]struct {
		limits []ladderintake.Limit
		silent bool
		age    time.Duration
		// admitted is how many of a thousand jobs at once are admitted, and cause why the next is not.
		admitted int
		cause    ladderintake.Cause
	}{
		"not limited":                     {admitted: 1000},
		"not limited, old news":           {age: 4 * time.Second, admitted: int(weight*horizon) + 1, cause: ladderintake.Rate},
		"no news ever":                    {silent: true, admitted: int(weight*horizon) + 1, cause: ladderintake.Rate},
		"no room for longer than allowed": {limits: limit(1100 * time.Millisecond), cause: ladderintake.Backlog},
		"no room for a moment":            {limits: limit(400 * time.Millisecond), admitted: int(part*horizon) + 1, cause: ladderintake.Rate},
		"a while ago, for longer":         {limits: limit(time.Second), age: 500 * time.Millisecond, admitted: int(part*horizon) + 1, cause: ladderintake.Rate},
		"the backlog is worked off":       {limits: limit(time.Second), age: 1100 * time.Millisecond, admitted: 1000},
		"limited, old news":               {limits: limit(9 * time.Second), age: 4 * time.Second, admitted: int(weight/vms*horizon) + 1, cause: ladderintake.Rate},
		"limited, news too old to matter": {limits: limit(9 * time.Second), age: time.Minute, admitted: int(weight*horizon) + 1, cause: ladderintake.Rate},
	} {
		t.Run(name, func(t *testing.T) {
			g := ladderintake.NewGate()
			if !c.silent {
				g.Heard(start, c.limits, vms)
			}
			now, admitted := start.Add(c.age), 0
			for i := range 1000 {
				d := g.Decide(now, offerOf(fmt.Sprint(i), weight))
				if d.Refused {
					require.Equal(t, c.cause, d.Cause)
					require.Positive(t, d.Wait)
					break
				}
				g.Admitted(now, offerOf(fmt.Sprint(i), weight))
				admitted++
			}
			require.InDelta(t, c.admitted, admitted, 1)
		})
	}
}

// TestOtherClassesAreNotHeldUp checks that jobs that can wait hold up none that can't.
func TestOtherClassesAreNotHeldUp(t *testing.T) {
	g := ladderintake.NewGate()
	l := ladderintake.Limit{Key: key, Rate: 1}
	for c := range l.Backlogs {
		l.Backlogs[c] = time.Minute
	}
	g.Heard(start, []ladderintake.Limit{l}, 1)
	long, short := offerOf("long", 1), offerOf("short", 1)
	long.Class, short.Class = ladderintake.ClassOf(20*time.Second), ladderintake.ClassOf(time.Second)
	long.Allowance, short.Allowance = time.Hour, time.Hour
	for range 50 {
		g.Admitted(start, long)
	}
	require.True(t, g.Decide(start, long).Refused)
	require.False(t, g.Decide(start, short).Refused)
	for range 2 {
		g.Admitted(start, short)
	}
	require.True(t, g.Decide(start, short).Refused)
	later := start.Add(time.Second)
	require.False(t, g.Decide(later, short).Refused)
}

// drawLoad draws the work on a service.
func drawLoad(t *rapid.T) ladderintake.ServiceLoad {
	amount := func(label string, most float64) (a ladderintake.Amount) {
		for r := range a {
			if rapid.IntRange(0, 3).Draw(t, label+" is used") > 0 {
				a[r] = rapid.Float64Range(most/1000, most).Draw(t, label)
			}
		}
		return a
	}
	s := ladderintake.ServiceLoad{Service: "fit", Capacity: ladderintake.Amount{100, 200, 8}}
	for i := range rapid.IntRange(1, 8).Draw(t, "teams") {
		l := ladderintake.TeamLoad{Team: string(rune('a' + i)), Weight: rapid.SampledFrom([]float64{0, 1, 5, 100}).Draw(t, "weight")}
		if rapid.Bool().Draw(t, "has a quota") {
			l.Quota = amount("quota", 100)
		}
		work := ladderintake.Amount{}
		for c := range l.Demand {
			if rapid.IntRange(0, 2).Draw(t, "more is due") == 0 {
				work = work.Plus(amount("demand", 100))
			}
			l.Demand[c], l.Waits[c] = work, true
		}
		s.Teams = append(s.Teams, l)
	}
	return s
}

// TestMet compares the division of a service's capacity with its rules: none is given that there isn't, a
// team gets less than it needs only if its quota is reached or a resource that it needs is exhausted, and
// never if it needs no more than its share by weight.
func TestMet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawLoad(t)
		for c := range ladderintake.Class(ladderintake.Classes) {
			h, met, weights := c.Horizon().Seconds(), ladderintake.Met(&s, c), 0.0
			var used ladderintake.Amount
			for i, m := range met {
				require.GreaterOrEqual(t, m, 0.0)
				require.LessOrEqual(t, m, 1.0)
				weights += s.Teams[i].Weight
				for r, n := range s.Teams[i].Demand[c] {
					used[r] += m * n
				}
			}
			for r := range used {
				require.LessOrEqual(t, used[r], s.Capacity[r]*h*1.000001)
			}
			for i, m := range met {
				team := &s.Teams[i]
				atQuota, atCapacity, withinShare := false, false, true
				for r, n := range team.Demand[c] {
					atQuota = atQuota || team.Quota[r] > 0 && m*n >= team.Quota[r]*h*0.999
					atCapacity = atCapacity || n > 0 && used[r] >= s.Capacity[r]*h*0.999
					withinShare = withinShare && n <= s.Capacity[r]*h*team.Weight/max(weights, 1)*0.999
				}
				if m < 0.999 {
					require.True(t, atQuota || atCapacity, "team %v gets %v in class %v though there is room", team.Team, m, c)
					require.True(t, atQuota || !withinShare, "team %v gets %v in class %v", team.Team, m, c)
				}
			}
		}
	})
}

// TestNothingIsRefusedWhileThereIsRoom lets VMs that hear of the leader decide while all work fits.
func TestNothingIsRefusedWhileThereIsRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawLoad(t)
		for i := range s.Teams {
			s.Teams[i].Quota = ladderintake.Amount{}
			for c := range s.Teams[i].Demand {
				for r := range s.Capacity {
					most := s.Capacity[r] * ladderintake.Class(c).Horizon().Seconds() / float64(len(s.Teams))
					s.Teams[i].Demand[c][r] = min(s.Teams[i].Demand[c][r], most)
				}
			}
		}
		l := ladderintake.NewLimiter()
		require.Empty(t, l.Update(start, []ladderintake.ServiceLoad{s}))
		g := ladderintake.NewGate()
		g.Heard(start, l.Limits(start, "e1", 3), 3)
		for i := range rapid.IntRange(1, 200).Draw(t, "jobs") {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			o := offerOf(fmt.Sprint(i), rapid.Float64Range(0, 5).Draw(t, "weight"))
			o.Team = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
			require.False(t, g.Decide(now, o).Refused)
			g.Admitted(now, o)
		}
	})
}

// overloaded returns a service on which a team with the given weight needs ten times the capacity.
func overloaded(weight float64) []ladderintake.ServiceLoad {
	l := ladderintake.TeamLoad{Team: key.Team, Weight: weight}
	for c := range l.Demand {
		l.Demand[c], l.Waits[c] = ladderintake.Amount{ladderintake.Class(c).Horizon().Seconds() * 1000}, true
	}
	return []ladderintake.ServiceLoad{{Service: key.Service, Capacity: ladderintake.Amount{100}, Teams: []ladderintake.TeamLoad{l}}}
}

// TestAdmittedTogether offers a limited team's jobs to several VMs, of which some are cut off from the leader
// at times. Together they must admit no more than twice the team's weight, what is owed within the horizon
// at once, and one job for each VM. While all are in touch, it is once the weight.
func TestAdmittedTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.Float64Range(0.5, 40).Draw(t, "weight")
		vms := rapid.IntRange(1, 8).Draw(t, "vms")
		cut := rapid.SliceOfN(rapid.Bool(), vms, vms).Draw(t, "cut")
		l := ladderintake.NewLimiter()
		l.Update(start, overloaded(weight))
		var gates []*ladderintake.Gate
		for i := range vms {
			gates = append(gates, ladderintake.NewGate())
			gates[i].Heard(start, l.Limits(start, fmt.Sprint(i), vms), vms)
		}
		admitted, job := 0, 0
		const steps, step = 200, 50 * time.Millisecond
		busy := 0
		for k := range steps {
			now := start.Add(time.Duration(k) * step)
			l.Update(now, overloaded(weight))
			if rapid.IntRange(0, 30).Draw(t, "callers move") == 0 {
				busy = rapid.IntRange(0, vms-1).Draw(t, "to")
			}
			for i, g := range gates {
				offers := rapid.IntRange(0, 2).Draw(t, "offers")
				if i == busy {
					offers += 4
				}
				for range offers {
					job++
					o := offerOf(fmt.Sprint(job), weight)
					o.Allowance = time.Hour // Only the rate counts.
					if g.Decide(now, o).Refused {
						g.Refused(o)
						continue
					}
					g.Admitted(now, o)
					admitted++
				}
				if k%5 == i%5 && (!cut[i] || k < steps/4) {
					l.Report(now, fmt.Sprint(i), g.Report(now))
					g.Heard(now, l.Limits(now, fmt.Sprint(i), vms), vms)
				}
			}
		}
		factor := 1.0
		if slices.Contains(cut, true) {
			factor = 2
		}
		length := (steps * step).Seconds()
		burst := ladderintake.ClassOf(2 * time.Second).Horizon().Seconds()
		require.LessOrEqual(t, float64(admitted), factor*weight*(length+burst)+float64(2*vms))
	})
}

// TestTurns refuses callers of a team that is owed some jobs a second. Turns must be in the order of arrival, no
// more than half of that in a second, and a caller that was promised one and returns in time must be
// admitted, also when it comes early first.
func TestTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.Float64Range(0.5, 50).Draw(t, "weight")
		l := ladderintake.NewLimiter()
		l.Update(start, overloaded(weight))
		now, last := start, time.Time{}
		type promise struct {
			job string
			at  time.Time
		}
		var promised []promise
		for i := range rapid.IntRange(1, 300).Draw(t, "callers") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * time.Millisecond)
			o := offerOf(fmt.Sprint(i), weight)
			o.Objective = 10 * time.Second
			turn := l.Turn(now, o, ladderintake.Backlog)
			require.False(t, turn.Ready)
			if !turn.Promised {
				continue
			}
			at := now.Add(turn.Wait)
			if !last.IsZero() {
				require.GreaterOrEqual(t, at.Sub(last), time.Duration(0.999*2/weight*float64(time.Second)))
			}
			require.LessOrEqual(t, time.Duration(turn.Seconds())*time.Second, 3*o.Objective-o.Path, "the job is of no use after that")
			last = at
			promised = append(promised, promise{o.Job, now.Add(time.Duration(turn.Seconds()) * time.Second)})
			require.False(t, l.Turn(now, o, ladderintake.Backlog).Ready, "the turn has not come")
		}
		for _, p := range promised {
			o := offerOf(p.job, weight)
			o.Objective = 10 * time.Second
			back := p.at.Add(time.Duration(rapid.IntRange(0, 2900).Draw(t, "late")) * time.Millisecond)
			require.True(t, l.Turn(back, o, ladderintake.Backlog).Ready, "the caller was told to come back at this time")
		}
	})
}

// TestNoHerd refuses a thousand callers at once. What they are told must be spread over the time for which their
// jobs are of use. Those that can't have a turn in that time must be told shorter times when they are refused again.
func TestNoHerd(t *testing.T) {
	const weight, callers = 50.0, 1000
	l := ladderintake.NewLimiter()
	bySecond, first := map[int]int{}, map[string]time.Duration{}
	for i := range callers {
		o := offerOf(fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15), weight)
		turn := l.Turn(start, o, ladderintake.Backlog)
		bySecond[turn.Seconds()]++
		if !turn.Promised {
			first[o.Job] = turn.Wait
		}
	}
	for s, n := range bySecond {
		require.LessOrEqual(t, n, callers/4, "second %d", s)
		require.LessOrEqual(t, s, 11, "the job is of no use after that")
	}
	require.Len(t, first, callers-11*weight/2)
	for job, wait := range first {
		require.LessOrEqual(t, l.Turn(start, offerOf(job, weight), ladderintake.Backlog).Wait, wait/2, job)
	}
	spread := map[int]int{}
	for i := range callers {
		job := fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15)
		spread[ladderintake.Spread(job, 3*time.Second)]++
	}
	require.Len(t, spread, 3)
	for s, n := range spread {
		require.Contains(t, []int{1, 2, 3}, s)
		require.InDelta(t, callers/3, n, callers/10)
	}
}

// TestReturningCallersAreAdmitted lets a team send more than its room serves for long. Each caller comes back when it
// was told to. None that was promised a turn may be refused again, for jobs of all lengths.
func TestReturningCallersAreAdmitted(t *testing.T) {
	for name, c := range map[string]struct {
		length, base time.Duration
		factor       float64
	}{
		"short":  {800 * time.Millisecond, 400 * time.Millisecond, 1.5},
		"middle": {2700 * time.Millisecond, 3 * time.Second, 4},
		"long":   {6200 * time.Millisecond, 1200 * time.Millisecond, 2.2},
	} {
		t.Run(name, func(t *testing.T) {
			q := &ladderflow.Queue{ObjectiveFactor: c.factor, BaseObjective: c.base}
			l := ladderintake.NewLimiter()
			l.Update(start, overloaded(5))
			promised := 0
			for i := range 20 {
				now := start.Add(time.Duration(i) * 100 * time.Millisecond)
				job := &ladderflow.Job{ID: fmt.Sprint(i), Service: key.Service, Team: key.Team, Steps: []ladderflow.Step{{Tasks: 1, Estimate: c.length}}}
				o := ladderintake.NewOffer(job, q, &ladderflow.Team{Weight: 5})
				// There is room for the first of these jobs soon.
				o.Due = 10 * o.Class.Horizon()
				turn := l.Turn(now, o, ladderintake.Backlog)
				require.False(t, turn.Ready)
				if turn.Promised {
					promised++
					require.True(t, l.Turn(now.Add(time.Duration(turn.Seconds())*time.Second), o, ladderintake.Backlog).Ready)
				}
			}
			require.Greater(t, promised, 5)
		})
	}
}

// TestWithinWeight offers the jobs of a limited team to many VMs, few to each. As long as the team sends no more than its
// weight, none may be refused for the rate, though the part of a VM owes it less than a job. If it sends more, all
// VMs together must admit no more than the weight and what is owed within the horizon.
func TestWithinWeight(t *testing.T) {
	const (
		weight = 5.0
		vms    = 30
		steps  = 600
		step   = 50 * time.Millisecond
	)
	for name, c := range map[string]struct {
		// every is the number of steps from one job to the next, and jobs how many come together.
		every, jobs int
		refused     bool
	}{
		"half of the weight":   {every: 8, jobs: 1},
		"nine tenths of it":    {every: 40, jobs: 9},
		"four times as much":   {every: 1, jobs: 1, refused: true},
		"twenty times as much": {every: 1, jobs: 5, refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 4))
			l := ladderintake.NewLimiter()
			var gates []*ladderintake.Gate
			for range vms {
				gates = append(gates, ladderintake.NewGate())
			}
			load := overloaded(weight)
			for i := range load[0].Teams[0].Demand {
				load[0].Teams[0].Demand[i][0] /= 6 // The backlog takes two thirds longer than the horizon.
			}
			admitted, refused := 0, 0
			for k := range steps {
				now := start.Add(time.Duration(k) * step)
				l.Update(now, load)
				for i, g := range gates {
					if k%5 == i%5 {
						l.Report(now, fmt.Sprint(i), g.Report(now))
						g.Heard(now, l.Limits(now, fmt.Sprint(i), vms), vms)
					}
				}
				for j := range c.jobs {
					if k%c.every != 0 {
						break
					}
					g, o := gates[random.IntN(vms)], offerOf(fmt.Sprint(k, j), weight)
					o.Allowance = 5 * time.Second
					d := g.Decide(now, o)
					switch {
					case !d.Refused:
						g.Admitted(now, o)
						admitted++
					case l.Turn(now, o, d.Cause).Ready:
						g.AdmittedByLeader(now, o)
						admitted++
					default:
						g.Refused(o)
						refused++
					}
				}
			}
			if !c.refused {
				require.Zero(t, refused)
				return
			}
			length, burst := (steps * step).Seconds(), ladderintake.ClassOf(2*time.Second).Horizon().Seconds()
			require.LessOrEqual(t, float64(admitted), 2*weight*(length+burst)+2*vms)
			require.GreaterOrEqual(t, float64(admitted), 0.9*weight*length, "of those that are owed")
		})
	}
}

// TestUnsettled checks until when a job counts as one that the store may still take.
func TestUnsettled(t *testing.T) {
	for name, c := range map[string]struct {
		// steps are what happens to the submissions: b begins one, u is an unknown outcome, r a rejection and
		// s a job that is stored.
		steps string
		has   bool
	}{
		"under way":                              {"b", true},
		"unknown":                                {"bu", true},
		"stored":                                 {"bs", false},
		"rejected":                               {"br", false},
		"unknown, then rejected":                 {"bubr", true},
		"unknown, then stored":                   {"bubs", false},
		"rejected, while another is under way":   {"bbr", true},
		"both rejected":                          {"bbrr", false},
		"rejected, while another is unknown":     {"bbur", true},
		"unknown of another VM":                  {"u", true},
		"rejected, of which nothing is known":    {"r", false},
		"unknown of another VM, rejected by own": {"ubr", true},
	} {
		t.Run(name, func(t *testing.T) {
			var u ladderintake.Unsettled
			for _, step := range c.steps {
				switch step {
				case 'b':
					u.Began(start, "a")
				case 'u':
					u.Unknown(start, "a")
				case 'r':
					u.Rejected("a")
				case 's':
					u.Stored("a")
				}
			}
			require.Equal(t, c.has, u.Has(start, "a"))
			require.False(t, u.Has(start.Add(ladderintake.UnsettledTime+time.Second), "a"))
			require.False(t, u.Has(start, "b"))
		})
	}
}

// TestTurnsAreBounded checks that no more callers are remembered than is stated, and that the oldest are
// forgotten.
func TestTurnsAreBounded(t *testing.T) {
	g := ladderintake.NewGate()
	for i := range 3 * ladderintake.MaxTurns {
		g.TurnGiven(start, offerOf(fmt.Sprint(i), 1), ladderintake.Turn{Wait: time.Second, Promised: true})
	}
	require.Equal(t, ladderintake.MaxTurns, ladderintake.TurnCount(g))
	back := start.Add(time.Second)
	require.False(t, g.Returned(back, offerOf("0", 1)))
	require.True(t, g.Returned(back, offerOf(fmt.Sprint(3*ladderintake.MaxTurns-1), 1)))
}
