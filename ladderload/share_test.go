package ladderload

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderplan"
)

const (
	shareWindow = 2 * time.Second
	// minKept is the least part that the other teams keep, in any window, of what they earn without the
	// teams that send too much.
	minKept = 0.95
	// hotFactor is how many times its usual a team sends.
	hotFactor = 8
	hotStart  = 4 * time.Second
	hotLength = 6 * time.Second
	// rateFactor is a team's weight, in jobs per second, over what it usually sends.
	rateFactor = 1.9
)

// teamLoad returns the load of the grown fleet without bursts, sent by teams.
func teamLoad(t testing.TB, teams int) *Load {
	l := readExample(t, "jadewing", "grown.yaml")
	l.Bursts = nil
	l.ArrivalPeriod, l.ExtraTime = hotStart+hotLength+4*time.Second, 20*time.Second
	l.Delegates, l.OrderRoundTrip, l.PlanPause = 5, 20*time.Millisecond, 10*time.Millisecond
	l.Queues[0].SavesShare, l.Queues[1].SavesShare, l.StopTime = 0.5, 0.8, 300*time.Millisecond
	l.addTeams(teams)
	return l
}

// addTeams lets teams send the load, of which the largest come first.
func (l *Load) addTeams(teams int) {
	const skew = 1.2
	total, rate := 0.0, 0.0
	for i := range teams {
		total += math.Pow(float64(i+1), -skew)
	}
	for _, q := range l.Queues {
		rate += q.Rate
	}
	for i := range teams {
		part := math.Pow(float64(i+1), -skew) / total
		l.Teams = append(l.Teams, Team{Name: fmt.Sprintf("t%03d", i), Part: part, Weight: max(1, rateFactor*part*rate)})
	}
}

// heat lets a team send hotFactor times its usual of all queues.
func (l *Load) heat(team int) {
	for _, q := range l.Queues {
		l.Extras = append(l.Extras, Extra{
			Team: l.Teams[team].Name, Queue: q.Name, Start: hotStart, Duration: hotLength, Rate: (hotFactor - 1) * l.Teams[team].Part * q.Rate,
		})
	}
}

// othersEarn returns what the jobs that arrive in each tenth of a second earn, but for those of the hot teams.
func othersEarn(sim *simulation, hot map[string]bool) []float64 {
	earned := make([]float64, sim.load.ArrivalPeriod/(100*time.Millisecond)+1)
	for _, j := range sim.jobs {
		if hot[j.spec.Team] {
			continue
		}
		earned[j.arrivedAt/(100*time.Millisecond)] += sim.earned(j)
	}
	return earned
}

// earned returns what a job has earned.
func (sim *simulation) earned(j *job) float64 {
	took, objective := j.endedAt-j.arrivedAt, j.objective()
	switch {
	case j.endedAt == 0 || j.failed || took > lostFactor*objective:
		return 0
	case took > objective:
		return lateShare * j.worth()
	}
	return j.worth()
}

// shareCase is a load with teams that send too much.
type shareCase struct {
	load *Load
	hot  map[string]bool
}

// heated returns a load of the given number of teams of which some send hotFactor times their usual.
func heated(t *testing.T, teams int, hot ...int) shareCase {
	c := shareCase{load: teamLoad(t, teams), hot: map[string]bool{}}
	for _, i := range hot {
		c.load.heat(i)
		c.hot[c.load.Teams[i].Name] = true
	}
	return c
}

// simulateShare simulates a load and checks that no room is idle while work waits.
func simulateShare(t *testing.T, l *Load, seed uint64) *simulation {
	sim := newSimulation(l, seed, ladderplan.ByObjective)
	p := newRoomProbe(t, sim)
	sim.run()
	require.Less(t, p.longest, maxIdleRoom, "seed %d: job %s", seed, p.worst)
	return sim
}

// TestOthersKeepWhatTheyGet checks that a team that sends too much costs the others little in any window.
func TestOthersKeepWhatTheyGet(t *testing.T) {
	steep := heated(t, 20, 3)
	for i := range steep.load.Teams {
		steep.load.Teams[i].Weight = max(1, 100*math.Pow(float64(i+1), -1.5))
	}
	gangs := heated(t, 20)
	gangs.hot[gangs.load.Teams[2].Name] = true
	q := gangs.load.Queues[0]
	gangs.load.Extras = []Extra{{Team: gangs.load.Teams[2].Name, Queue: q.Name, Start: hotStart, Duration: hotLength, Rate: 2 * q.Rate}}
	for name, c := range map[string]shareCase{
		"the third of 20 teams sends 8 times its usual":  heated(t, 20, 2),
		"the third of 140 teams sends 8 times its usual": heated(t, 140, 2),
		"weights of 100 to 1":                            steep,
		"wide gangs beside small tasks":                  gangs,
	} {
		t.Run(name, func(t *testing.T) { requireOthersKeep(t, c) })
	}
}

// TestOthersKeepBesideLargeTeams is as TestOthersKeepWhatTheyGet, with teams whose usual is so much that 8 times of it is
// several times what the fleet can do.
func TestOthersKeepBesideLargeTeams(t *testing.T) {
	for name, c := range map[string]shareCase{
		"the largest of 20 teams sends 8 times its usual": heated(t, 20, 0),
		"two of 20 teams send 8 times their usual":        heated(t, 20, 1, 4),
	} {
		t.Run(name, func(t *testing.T) { requireOthersKeep(t, c) })
	}
}

// requireOthersKeep compares what the teams that are not hot earn with what they earn without the extra jobs. The
// earnings of a window are summed over several seeds: a window of one has few of the largest jobs.
func requireOthersKeep(t *testing.T, c shareCase) {
	const seeds = 40
	usual := *c.load
	usual.Extras = nil
	with, without := make([][]float64, seeds), make([][]float64, seeds)
	ok := t.Run("seeds", func(t *testing.T) {
		for seed := range seeds {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				with[seed] = othersEarn(simulateShare(t, c.load, uint64(seed)), c.hot)
				without[seed] = othersEarn(simulateShare(t, &usual, uint64(seed)), c.hot)
			})
		}
	})
	require.True(t, ok)
	a, b := total(with), total(without)
	n := int(shareWindow / (100 * time.Millisecond))
	worst, worstAt := math.Inf(1), 0
	for i := 0; i+n <= len(a); i++ {
		if kept := sum(a[i:i+n]) / sum(b[i:i+n]); kept < worst {
			worst, worstAt = kept, i
		}
	}
	t.Logf("kept %.3f in the worst window, from %v; %.3f in all", worst, time.Duration(worstAt)*100*time.Millisecond, sum(a)/sum(b))
	require.GreaterOrEqual(t, worst, minKept)
}

// total returns the sums of lists of the same length.
func total(lists [][]float64) []float64 {
	sums := make([]float64, len(lists[0]))
	for _, l := range lists {
		for i, v := range l {
			sums[i] += v
		}
	}
	return sums
}

func sum(list []float64) (total float64) {
	for _, v := range list {
		total += v
	}
	return total
}

// TestNoTeamStarves checks that all jobs end some time after a hot team has stopped, its own as well.
func TestNoTeamStarves(t *testing.T) {
	c := heated(t, 140, 0, 60)
	c.load.ExtraTime = 90 * time.Second
	sim := newSimulation(c.load, 1, ladderplan.ByObjective)
	sim.run()
	for id, j := range sim.jobs {
		require.NotZero(t, j.endedAt, "job %s of team %s", id, j.spec.Team)
	}
}
