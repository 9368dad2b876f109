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

// teamLoad returns the load of the grown fleet without bursts, sent by teams of which the largest come first.
func teamLoad(t testing.TB, teams int) *Load {
	l := readExample(t, "jadewing", "grown.yaml")
	l.Bursts = nil
	l.ArrivalPeriod, l.ExtraTime = hotStart+hotLength+4*time.Second, 20*time.Second
	l.Delegates, l.OrderRoundTrip, l.PlanPause = 5, 20*time.Millisecond, 10*time.Millisecond
	l.Queues[0].SavesShare, l.Queues[1].SavesShare, l.StopTime = 0.5, 0.8, 300*time.Millisecond
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
	return l
}

// heat lets a team send hotFactor times its usual of all queues.
func (l *Load) heat(team int) {
	for _, q := range l.Queues {
		l.Extras = append(l.Extras, Extra{
			Team: l.Teams[team].Name, Queue: q.Name, Start: hotStart, Duration: hotLength, Rate: (hotFactor - 1) * l.Teams[team].Part * q.Rate,
		})
	}
}

// othersEarn returns what the jobs that arrive in each tenth of a second earn. It leaves out the hot teams. The
// worst part that a team earns is over the whole simulation.
func othersEarn(sim *simulation, hot map[string]bool) (earned []float64) {
	earned = make([]float64, sim.load.ArrivalPeriod/(100*time.Millisecond)+1)
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

func shareCases(t *testing.T) map[string]func() shareCase {
	heated := func(teams int, hot ...int) func() shareCase {
		return func() shareCase {
			c := shareCase{load: teamLoad(t, teams), hot: map[string]bool{}}
			for _, i := range hot {
				c.load.heat(i)
				c.hot[c.load.Teams[i].Name] = true
			}
			return c
		}
	}
	return map[string]func() shareCase{
		"the largest of 20 teams sends 8 times its usual": heated(20, 0),
		"the third of 20 teams sends 8 times its usual":   heated(20, 2),
		"two of 20 teams send 8 times their usual":        heated(20, 1, 4),
		"the third of 140 teams sends 8 times its usual":  heated(140, 2),
		"weights of 100 to 1": func() shareCase {
			c := heated(20, 3)()
			for i := range c.load.Teams {
				c.load.Teams[i].Weight = max(1, 100*math.Pow(float64(i+1), -1.5))
			}
			return c
		},
		"wide gangs beside small tasks": func() shareCase {
			c := heated(20)()
			c.hot[c.load.Teams[2].Name] = true
			q := c.load.Queues[0]
			c.load.Extras = []Extra{{Team: c.load.Teams[2].Name, Queue: q.Name, Start: hotStart, Duration: hotLength, Rate: 2 * q.Rate}}
			return c
		},
	}
}

// simulateShare simulates a load and checks that no room is idle while work waits.
func simulateShare(t *testing.T, l *Load, seed uint64) *simulation {
	sim := newSimulation(l, seed, ladderplan.ByObjective)
	p := newRoomProbe(t, sim)
	sim.run()
	require.Less(t, p.longest, maxIdleRoom, "seed %d: job %s", seed, p.worst)
	return sim
}

// TestOthersKeepWhatTheyGet checks that teams that send too much cost the others little in any window. The earnings of
// a window are summed over several seeds: a window of one has few of the largest jobs.
func TestOthersKeepWhatTheyGet(t *testing.T) {
	const seeds = 8
	for name, c := range shareCases(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := c()
			usual := *c.load
			usual.Extras = nil
			var with, without []float64
			for seed := range uint64(seeds) {
				with = plus(with, othersEarn(simulateShare(t, c.load, seed), c.hot))
				without = plus(without, othersEarn(simulateShare(t, &usual, seed), c.hot))
			}
			n := int(shareWindow / (100 * time.Millisecond))
			worst, worstAt := math.Inf(1), 0
			for i := 0; i+n <= len(with); i++ {
				if kept := sum(with[i:i+n]) / sum(without[i:i+n]); kept < worst {
					worst, worstAt = kept, i
				}
			}
			t.Logf("kept %.3f in the worst window, from %v; %.3f in all", worst, time.Duration(worstAt)*100*time.Millisecond, sum(with)/sum(without))
			require.GreaterOrEqual(t, worst, minKept)
		})
	}
}

func plus(a, b []float64) []float64 {
	if a == nil {
		return b
	}
	for i := range b {
		a[i] += b[i]
	}
	return a
}

func sum(list []float64) (total float64) {
	for _, v := range list {
		total += v
	}
	return total
}
