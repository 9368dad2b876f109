package laddershare_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lacewingladder/ladderflow"
	"lacewingladder/laddershare"
)

var (
	start    = time.UnixMilli(1_000_000)
	capacity = ladderflow.Size{Processor: 1_000_000, Memory: 1_000_000}
)

func cores(n int) ladderflow.Size { return ladderflow.Size{Processor: n * 1000} }

func accepts(team *laddershare.Team, at time.Time) bool { return team.Accept(at, at) }

// TestRateBoundsJobs compares the jobs within a team's rate with what any span of time may hold, and checks that a team
// that keeps to its rate is never over it.
func TestRateBoundsJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.Float64Range(0.5, 100).Draw(t, "weight")
		s := laddershare.New()
		s.SetWeights([]laddershare.Weight{{Team: "a", Weight: weight}})
		team, burst := s.Team("a"), max(4, weight)
		at, shortest := start, time.Hour
		var within []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "jobs") {
			gap := time.Duration(rapid.Float64Range(0, 3/weight).Draw(t, "gap") * float64(time.Second))
			at, shortest = at.Add(gap), min(shortest, gap)
			if accepts(team, at) {
				within = append(within, at)
			} else {
				require.True(t, team.OverRate(at))
				require.Less(t, shortest.Seconds(), 1/weight, "a team that keeps to its rate")
			}
		}
		for i := range within {
			for k := i; k < len(within); k++ {
				require.LessOrEqual(t, float64(k-i+1), burst+weight*within[k].Sub(within[i]).Seconds()+1e-6)
			}
		}
		require.False(t, team.OverRate(at.Add(time.Duration(burst/weight*float64(time.Second)))), "a quiet team is not over its rate")
	})
}

// TestLateAndFutureJobs checks that jobs that are heard of out of order take tokens of the present.
func TestLateAndFutureJobs(t *testing.T) {
	s := laddershare.New()
	s.SetWeights([]laddershare.Weight{{Team: "a", Weight: 2}, {Team: "none"}})
	team := s.Team("a")
	for range 4 {
		require.True(t, accepts(team, start))
	}
	require.False(t, accepts(team, start))
	for _, late := range []time.Duration{-time.Hour, time.Hour} {
		require.False(t, team.Accept(start, start.Add(late)), "a clock that is an hour behind or ahead gives no tokens")
	}
	require.True(t, team.OverRate(start))
	require.True(t, accepts(team, start.Add(500*time.Millisecond)))
	require.False(t, team.OverRate(start.Add(2*time.Second)))
	for range 1000 {
		require.True(t, accepts(s.Team("none"), start), "a team without a weight has no rate")
	}
}

// TestWeightsChange checks what becomes of a team whose weight changes or goes.
func TestWeightsChange(t *testing.T) {
	s := laddershare.New()
	s.SetWeights([]laddershare.Weight{{Team: "a", Weight: 30}, {Team: "b", Weight: 10}, {Team: "a", Weight: 99}})
	used := func(string) ladderflow.Size { return cores(1) }
	s.Update(start, capacity, used)
	require.Equal(t, 0.75, s.Team("a").Share(), "the first weight of a team counts")
	s.SetWeights([]laddershare.Weight{{Team: "a", Weight: 10}, {Team: "c", Weight: 0}})
	s.Update(start, capacity, used)
	require.InDelta(t, 1.0/3, s.Team("a").Share(), 1e-9)
	require.InDelta(t, 1.0/3, s.Team("b").Share(), 1e-9, "a team that was removed shares like the one with the least weight")
	require.False(t, s.Team("b").OverRate(start))
	s.SetWeights(nil)
	s.Update(start, capacity, used)
	require.Equal(t, 1.0, s.Team("c").Weight())
}

// TestSharesFollowModel compares debts, and what counts as within the share, with a plain model, and checks the bounds:
// shares of teams with work sum up to the fleet, no debt or credit grows beyond its bound.
func TestSharesFollowModel(t *testing.T) {
	type model struct{ weight, debt, used, largest float64 }
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 2, 20, 140}).Draw(t, "teams")
		s, models := laddershare.New(), make([]model, n)
		var weights []laddershare.Weight
		for i := range models {
			models[i].weight = rapid.Float64Range(1, 100).Draw(t, "weight")
			weights = append(weights, laddershare.Weight{Team: fmt.Sprint(i), Weight: models[i].weight})
		}
		s.SetWeights(weights)
		use := map[string]ladderflow.Size{}
		now := start
		s.Update(now, capacity, func(team string) ladderflow.Size { return use[team] })
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "team")
			m, team := &models[i], s.Team(fmt.Sprint(i))
			if rapid.Bool().Draw(t, "start") {
				size, d := cores(rapid.IntRange(1, 300).Draw(t, "cores")), time.Duration(rapid.IntRange(100, 9000).Draw(t, "ms"))*time.Millisecond
				if team.Within(use[team.Name()], d) {
					team.Started(size, d)
					m.largest = max(m.largest, float64(size.Processor)/1e6*d.Seconds())
				}
				use[team.Name()] = use[team.Name()].Plus(size)
			} else {
				use[team.Name()] = ladderflow.Size{}
			}
			passed := time.Duration(rapid.IntRange(0, 1000).Draw(t, "passed")) * time.Millisecond
			now = now.Add(passed)
			for i := range models {
				s.Team(fmt.Sprint(i)).Wants(now)
			}
			s.Update(now, capacity, func(team string) ladderflow.Size { return use[team] })
			total, shares := 0.0, 0.0
			for i := range models {
				total += models[i].weight
			}
			for i := range models {
				m, team := &models[i], s.Team(fmt.Sprint(i))
				share := m.weight / total
				shares += team.Share()
				require.InDelta(t, share, team.Share(), 1e-9)
				m.used = float64(use[team.Name()].Processor) / 1e6
				allowance := max(share, min(m.largest, 30*share))
				m.debt = min(max(0, m.debt+(m.used-share)*passed.Seconds()), allowance+2*share)
				if m.debt == 0 {
					m.largest, allowance = 0, share
				}
				require.InDelta(t, m.debt/share, team.Debt().Seconds(), 1e-6)
				require.LessOrEqual(t, team.Debt(), laddershare.MaxStepTime+laddershare.RepayTime)
				if left := allowance - m.debt - max(0, m.used-share)*2; left > 1e-6 || left < -1e-6 {
					require.Equal(t, left > 0, team.Within(use[team.Name()], 2*time.Second))
				}
			}
			require.InDelta(t, 1, shares, 1e-9)
		}
	})
}

// TestNoTeamIsPunishedForLong checks that a team that stops is within its share after RepayTime, whatever it has used.
func TestNoTeamIsPunishedForLong(t *testing.T) {
	s := laddershare.New()
	s.SetWeights([]laddershare.Weight{{Team: "large", Weight: 100}, {Team: "small", Weight: 1}})
	use := map[string]ladderflow.Size{"small": cores(900)}
	now := start
	run := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(20 * time.Millisecond) {
			s.Team("large").Wants(now)
			s.Team("small").Wants(now)
			s.Update(now, capacity, func(team string) ladderflow.Size { return use[team] })
		}
	}
	run(time.Minute)
	require.False(t, s.Team("small").Within(use["small"], time.Second))
	delete(use, "small")
	run(laddershare.RepayTime + 40*time.Millisecond)
	require.True(t, s.Team("small").Within(ladderflow.Size{}, time.Second))
}

// TestLargeStepOfSmallTeam checks that the only large step of a small team holds up neither itself nor the team's
// small steps, that a second one waits, and that a gap between updates adds little.
func TestLargeStepOfSmallTeam(t *testing.T) {
	s := laddershare.New()
	s.SetWeights([]laddershare.Weight{{Team: "large", Weight: 99}, {Team: "small", Weight: 1}})
	small := s.Team("small")
	s.Team("large").Wants(start)
	small.Wants(start)
	s.Update(start, capacity, func(string) ladderflow.Size { return ladderflow.Size{} })
	gang, took := cores(30), 6*time.Second // three times the share of 10
	require.True(t, small.Within(ladderflow.Size{}, took))
	small.Started(gang, took)
	require.True(t, small.Within(gang, 800*time.Millisecond))
	two := gang.Plus(gang)
	small.Started(gang, took)
	require.False(t, small.Within(two, took), "a third one")
	for at := time.Duration(0); at <= took; at += 20 * time.Millisecond {
		s.Team("large").Wants(start.Add(at))
		s.Update(start.Add(at), capacity, func(team string) ladderflow.Size {
			if team == "small" {
				return two
			}
			return ladderflow.Size{}
		})
	}
	require.False(t, small.Within(ladderflow.Size{}, took), "a step before the others are paid for")
	s.Team("large").Wants(start.Add(time.Hour))
	small.Wants(start.Add(time.Hour))
	s.Update(start.Add(time.Hour), capacity, func(string) ladderflow.Size { return ladderflow.Size{} })
	require.Positive(t, small.Debt(), "what ran during a long gap is not known")
}

// TestBackloggedTeamsGetTheirShares fills a fleet with steps of teams that always have work, and compares what they
// get with their weights. Each pass looks at the teams in another order, as with steps ordered by objective.
func TestBackloggedTeamsGetTheirShares(t *testing.T) {
	for name, weights := range map[string][]float64{
		"equal": {1, 1, 1, 1}, "100 to 1": {100, 30, 10, 3, 1}, "140 teams": zipf(140),
	} {
		t.Run(name, func(t *testing.T) {
			const tick, length = 4 * time.Millisecond, 60 * time.Second
			s := laddershare.New()
			var list []laddershare.Weight
			total := 0.0
			for i, w := range weights {
				list = append(list, laddershare.Weight{Team: fmt.Sprintf("%03d", i), Weight: w})
				total += w
			}
			s.SetWeights(list)
			type run struct {
				team string
				ends time.Time
			}
			var runs []run
			use, got := map[string]ladderflow.Size{}, map[string]float64{}
			free, started := 1000, 0
			now := start
			for ; now.Sub(start) < length; now = now.Add(tick) {
				kept := runs[:0]
				for _, x := range runs {
					if x.ends.After(now) {
						kept = append(kept, x)
						continue
					}
					use[x.team], free = use[x.team].Minus(cores(1)), free+1
				}
				runs = kept
				for _, team := range s.Teams() {
					team.Wants(now)
				}
				s.Update(now, capacity, func(team string) ladderflow.Size { return use[team] })
				for _, beyond := range []bool{false, true} {
					for i := range weights {
						team := s.Teams()[(i+started)%len(weights)]
						for free > 0 && (beyond || team.Within(use[team.Name()], 2*time.Second)) {
							team.Started(cores(1), 2*time.Second)
							use[team.Name()], free = use[team.Name()].Plus(cores(1)), free-1
							started++
							runs = append(runs, run{team.Name(), now.Add(time.Second + time.Duration(started*7919%2000)*time.Millisecond)})
						}
					}
				}
				require.Zero(t, free, "no room is idle while work waits")
				for team, size := range use {
					got[team] += float64(size.Processor) / 1e6 * tick.Seconds()
				}
			}
			for i, w := range weights {
				share := w / total * length.Seconds()
				// A team may be ahead by one step and its credit.
				require.GreaterOrEqual(t, got[list[i].Team], 0.9*share-0.01, "team %d of weight %v", i, w)
			}
		})
	}
}

func zipf(n int) (weights []float64) {
	for i := range n {
		weights = append(weights, 100/float64(i+1))
	}
	return weights
}

// TestClockStepsBack sets the leader's clock back by 5 s. The team keeps to half of its rate.
func TestClockStepsBack(t *testing.T) {
	s := laddershare.New()
	s.SetWeights([]laddershare.Weight{{Team: "a", Weight: 10}})
	team := s.Team("a")
	beyond := 0
	at := start
	for i := range 50 {
		if i == 15 {
			at = at.Add(-5 * time.Second)
		}
		at = at.Add(200 * time.Millisecond)
		if !accepts(team, at) {
			beyond++
		}
	}
	require.Zero(t, beyond)
	require.False(t, team.OverRate(at))
}
