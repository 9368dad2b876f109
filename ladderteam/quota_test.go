package ladderteam_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderteam"
)

func size(processor, memory, accelerators int) ladderflow.Size {
	return ladderflow.Size{Processor: processor, Memory: memory, Accelerators: accelerators}
}

func TestMoreRuns(t *testing.T) {
	for name, c := range map[string]struct {
		standing ladderteam.Standing
		need     ladderflow.Size
		want     int
	}{
		"no quota":                         {ladderteam.Standing{Used: size(900, 900, 9)}, size(100, 100, 1), 7},
		"room for all":                     {ladderteam.Standing{Quota: size(1000, 0, 0)}, size(100, 5000, 9), 7},
		"exactly full":                     {ladderteam.Standing{Quota: size(1000, 0, 0), Used: size(700, 0, 0)}, size(100, 0, 0), 3},
		"less than one":                    {ladderteam.Standing{Quota: size(1000, 0, 0), Used: size(901, 0, 0)}, size(100, 0, 0), 0},
		"memory binds":                     {ladderteam.Standing{Quota: size(1000, 500, 0), Used: size(100, 100, 0)}, size(100, 200, 0), 2},
		"accelerators bind":                {ladderteam.Standing{Quota: size(0, 0, 2), Used: size(0, 0, 1)}, size(100, 200, 1), 1},
		"what is assumed counts":           {ladderteam.Standing{Quota: size(1000, 0, 0), Used: size(500, 0, 0), Assumed: size(300, 0, 0)}, size(100, 0, 0), 2},
		"what is kept counts":              {ladderteam.Standing{Quota: size(1000, 0, 0), Used: size(500, 0, 0), Kept: size(400, 0, 0)}, size(100, 0, 0), 1},
		"more is kept than is left":        {ladderteam.Standing{Quota: size(1000, 0, 0), Used: size(500, 0, 0), Kept: size(600, 0, 0)}, size(100, 0, 0), 0},
		"a resource that is not needed":    {ladderteam.Standing{Quota: size(1000, 100, 0), Used: size(0, 100, 0)}, size(100, 0, 0), 7},
		"over the quota of another amount": {ladderteam.Standing{Quota: size(1000, 100, 0), Used: size(0, 101, 0)}, size(100, 0, 0), 0},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, c.standing.MoreRuns(c.need, 7)) })
	}
}

// TestMoreRunsIsTheMost adds runs one at a time, which a plain model allows while nothing exceeds its limit.
func TestMoreRunsIsTheMost(t *testing.T) {
	amounts := rapid.IntRange(0, 40)
	draw := func(t *rapid.T, label string) ladderflow.Size {
		return size(amounts.Draw(t, label), amounts.Draw(t, label), amounts.Draw(t, label))
	}
	within := func(amount, quota int) bool { return quota == 0 || amount <= quota }
	rapid.Check(t, func(t *rapid.T) {
		s := ladderteam.Standing{Quota: draw(t, "quota"), Used: draw(t, "used"), Assumed: draw(t, "assumed")}
		need, limit := draw(t, "need"), rapid.IntRange(0, 9).Draw(t, "limit")
		fits := func(total ladderflow.Size) bool {
			return within(total.Processor, s.Quota.Processor) && within(total.Memory, s.Quota.Memory) && within(total.Accelerators, s.Quota.Accelerators)
		}
		total, want := s.Used.Plus(s.Assumed), 0
		if fits(total) {
			for want < limit && fits(total.Plus(need)) {
				total, want = total.Plus(need), want+1
			}
		}
		require.Equal(t, want, s.MoreRuns(need, limit))
		s.Kept = draw(t, "kept")
		require.LessOrEqual(t, s.MoreRuns(need, limit), want)
	})
}

func TestUnheard(t *testing.T) {
	for name, c := range map[string]struct {
		unheard ladderteam.Unheard
		want    ladderflow.Size
	}{
		"nothing":                        {ladderteam.Unheard{}, size(0, 0, 0)},
		"few tasks":                      {ladderteam.Unheard{Capacity: size(8000, 800, 0), Tasks: size(3000, 900, 0)}, size(3000, 800, 0)},
		"few workers":                    {ladderteam.Unheard{Capacity: size(2000, 100, 0), Tasks: size(3000, 900, 0)}, size(2000, 100, 0)},
		"some tasks may not be known":    {ladderteam.Unheard{Capacity: size(8000, 800, 0), Tasks: size(3000, 0, 0), TasksIncomplete: true}, size(8000, 800, 0)},
		"best-effort tasks need no room": {ladderteam.Unheard{Capacity: size(2000, 100, 0), Tasks: size(9000, 90, 0), BestEffort: 4000}, size(6000, 90, 0)},
		"runs of unknown jobs":           {ladderteam.Unheard{Capacity: size(2000, 100, 0), Unknown: size(500, 50, 1)}, size(500, 50, 1)},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, c.unheard.Most()) })
	}
}

func TestNeverFits(t *testing.T) {
	team := &ladderflow.Team{Name: "tailors", Quota: size(1000, 0, 2)}
	step := func(tasks, processor, accelerators int, gang bool) ladderflow.Step {
		return ladderflow.Step{Tasks: tasks, Need: size(processor, 1<<30, accelerators), Gang: gang}
	}
	for name, c := range map[string]struct {
		steps  []ladderflow.Step
		reason string
	}{
		"many tasks that fit one at a time": {[]ladderflow.Step{step(500, 1000, 2, false)}, ""},
		"a gang that fits":                  {[]ladderflow.Step{step(10, 100, 0, true)}, ""},
		"a task too large":                  {[]ladderflow.Step{step(1, 10, 0, false), step(1, 1001, 0, false)}, "step 1: a task needs 1001m"},
		"a gang too large":                  {[]ladderflow.Step{step(3, 10, 1, true)}, "step 0: the gang of 3 tasks needs 30m"},
		"a best-effort task too large":      {[]ladderflow.Step{{Tasks: 1, Need: size(1001, 0, 0), BestEffort: true}}, "step 0: a task needs 1001m"},
	} {
		t.Run(name, func(t *testing.T) {
			reason, never := ladderteam.NeverFits(team, &ladderflow.Job{Steps: c.steps})
			require.Equal(t, c.reason != "", never)
			require.Contains(t, reason, c.reason)
			_, never = ladderteam.NeverFits(&ladderflow.Team{}, &ladderflow.Job{Steps: c.steps})
			require.False(t, never, "there is no limit")
		})
	}
}
