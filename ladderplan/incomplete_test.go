package ladderplan

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// TestNewLeaderStopsPartOfGang takes over from a leader that has started only some members of a gang.
func TestNewLeaderStopsPartOfGang(t *testing.T) {
	for name, c := range map[string]struct {
		members int
		present []int
		resume  int
		silent  string
		within  time.Duration
	}{
		"one of two":                        {2, []int{0}, 0, "", 2 * pollInterval},
		"one of six":                        {6, []int{2}, 0, "", 2 * pollInterval},
		"five of six":                       {6, []int{0, 1, 2, 3, 5}, 0, "", 2 * pollInterval},
		"one of two, a worker is silent":    {2, []int{0}, 0, "w7", 1600 * time.Millisecond},
		"three of six, a worker is silent":  {6, []int{1, 2, 5}, 0, "w7", 1600 * time.Millisecond},
		"from a checkpoint":                 {6, []int{1, 2}, 40, "", 2 * pollInterval},
		"from a checkpoint, with a silence": {6, []int{1, 2}, 40, "w7", 1600 * time.Millisecond},
		"one of six, on a silent worker":    {6, []int{2}, 0, "w2", time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			sim := takeover(t, 8, c.members, 2, 300*time.Millisecond, c.present...)
			for _, x := range sim.runs {
				x.resume = c.resume
			}
			if c.silent != "" {
				sim.silent[c.silent] = true
			}
			sim.runFor(2500 * time.Millisecond)
			if c.within == time.Hour {
				require.Empty(t, sim.stops, "nothing is known of the member")
				return
			}
			require.LessOrEqual(t, sim.firstStop(2), c.within)
			require.Len(t, sim.stops, len(c.present))
			sim.runFor(time.Second)
			require.Empty(t, sim.alone)
		})
	}
}

// TestStoppedPartOfGangStartsAgainWhole takes over part of a gang that had resumed from a checkpoint.
func TestStoppedPartOfGangStartsAgainWhole(t *testing.T) {
	sim := takeover(t, 8, 4, 2, 300*time.Millisecond, 0, 3)
	for _, x := range sim.runs {
		x.resume = 40
	}
	sim.runFor(4 * time.Second)
	require.Empty(t, sim.alone)
	require.Len(t, sim.starts, 4)
	for _, s := range sim.starts {
		require.Equal(t, 3, s.Run.Number)
		require.Equal(t, "saved at 40", s.Checkpoint)
	}
	require.Len(t, sim.runs, 4)
	require.Len(t, sim.stops, 2)
}

// TestNewLeaderKeepsWholeGang takes over a whole gang, one of whose workers is not polled for a while.
func TestNewLeaderKeepsWholeGang(t *testing.T) {
	for name, c := range map[string]struct {
		number, resume int
		silent         string
		firstPoll      time.Duration
		interval       time.Duration
	}{
		"first run, all are polled":              {1, 0, "", 0, pollInterval},
		"first run, a member's worker is silent": {1, 0, "w1", 0, pollInterval},
		"first run, another worker is silent":    {1, 0, "w7", 0, pollInterval},
		"resumed, all are polled":                {3, 40, "", 0, pollInterval},
		"resumed, a member's worker is silent":   {3, 40, "w1", 0, pollInterval},
		"resumed, another worker is silent":      {3, 40, "w7", 0, pollInterval},
		"resumed with no checkpoint":             {3, 0, "w1", 0, pollInterval},
		"resumed, polls that wait":               {3, 40, "w2", 900 * time.Millisecond, time.Second},
		"resumed, store was read late":           {3, 40, "w2", 1700 * time.Millisecond, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			sim := takeover(t, 8, 3, c.number, 5*time.Second, 0, 1, 2)
			for _, x := range sim.runs {
				x.resume, x.worked = c.resume, time.Second
			}
			sim.silent[c.silent] = true
			sim.firstPoll, sim.interval = c.firstPoll, c.interval
			sim.runFor(4 * time.Second)
			require.Empty(t, sim.stops)
			clear(sim.silent)
			sim.runFor(4 * time.Second)
			require.Empty(t, sim.stops)
			require.Empty(t, sim.starts)
		})
	}
}

// TestGangWithUnansweredStartStopsInTime loses the start of one member, or its reply.
func TestGangWithUnansweredStartStopsInTime(t *testing.T) {
	for name, c := range map[string]struct {
		arrives, settles time.Duration
		silent           bool
		within           time.Duration
	}{
		"it is known at once":                        {0, 50 * time.Millisecond, false, 300 * time.Millisecond},
		"it is known after a second":                 {0, time.Second, false, 1300 * time.Millisecond},
		"it is known late":                           {0, 2600 * time.Millisecond, false, 2 * time.Second},
		"its worker answers no poll":                 {0, 500 * time.Millisecond, true, 2 * time.Second},
		"it has arrived, its worker answers no poll": {20 * time.Millisecond, 500 * time.Millisecond, true, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			sim := ordered(t, 5)
			answered := sim.outcome
			sim.outcome = func(s StartOrder) (time.Duration, time.Duration, Result) {
				if s.Run.Task.Index != 2 || s.Run.Number > 1 {
					return answered(s)
				}
				sim.silent[s.Worker.ID] = c.silent
				return c.arrives, c.settles, Result{Unknown: true}
			}
			sim.runFor(4 * time.Second)
			require.LessOrEqual(t, sim.firstStop(1), c.within)
			require.LessOrEqual(t, sim.firstStop(1), sim.latestStop())
			require.Len(t, sim.stops, 5, "all members are stopped")
			sim.requireOneStop(1)
			require.Empty(t, sim.alone)
		})
	}
}

// TestGangWithLateRepliesGoesOn answers the starts of a gang late, but in time.
func TestGangWithLateRepliesGoesOn(t *testing.T) {
	for name, late := range map[string]time.Duration{"0.5 s": 500 * time.Millisecond, "1.4 s": 1400 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			sim := ordered(t, 5)
			sim.outcome = func(s StartOrder) (time.Duration, time.Duration, Result) {
				d := late * time.Duration(s.Run.Task.Index+1) / 5
				return d - simTick, d, Result{}
			}
			sim.runFor(8 * time.Second)
			require.Empty(t, sim.stops)
			require.Len(t, sim.starts, 5)
			require.Empty(t, sim.alone)
		})
	}
}

// TestUnansweredStartThatArrivedIsNoDoubt loses only the reply of one member's start.
func TestUnansweredStartThatArrivedIsNoDoubt(t *testing.T) {
	sim := ordered(t, 5)
	sim.outcome = func(s StartOrder) (time.Duration, time.Duration, Result) {
		return 20 * time.Millisecond, 40 * time.Millisecond, Result{Unknown: s.Run.Task.Index == 2}
	}
	sim.runFor(8 * time.Second)
	require.Empty(t, sim.stops)
	require.Len(t, sim.starts, 5)
}

// TestMembersOfEarlierRunStopBesideWholeGang takes over a whole gang while members of an earlier run are left.
func TestMembersOfEarlierRunStopBesideWholeGang(t *testing.T) {
	for name, c := range map[string]struct{ left, worker int }{
		"on a worker that is polled first":        {2, 0},
		"on a worker that is polled last":         {2, 7},
		"the same member, polled before the new":  {3, 1},
		"the same member, polled after it":        {3, 6},
		"beside the new member on its own worker": {4, 4},
	} {
		t.Run(name, func(t *testing.T) {
			sim := takeover(t, 8, 3, 4, 5*time.Second)
			for i, k := range []int{3, 4, 5} {
				x := sim.add(testWorker(k).ID, i, 4, 5*time.Second)
				x.worked = 2 * time.Second
			}
			sim.add(testWorker(c.worker).ID, c.left-2, 3, 100*time.Millisecond)
			sim.runFor(5 * time.Second)
			require.Empty(t, sim.alone)
			require.Len(t, sim.stops, 1)
			require.LessOrEqual(t, sim.firstStop(3), 2*pollInterval)
			require.Len(t, sim.runs, 3)
			require.Empty(t, sim.starts)
		})
	}
}

// TestGangOfJobThatIsReadLate takes over runs of a gang whose job the store shows to the new leader a second later.
func TestGangOfJobThatIsReadLate(t *testing.T) {
	for name, c := range map[string]struct {
		present []int
		worked  time.Duration
		silent  string
		stops   int
	}{
		"part":                           {[]int{0, 2}, 0, "", 2},
		"part, a worker is silent":       {[]int{0, 2}, 0, "w7", 2},
		"whole":                          {[]int{0, 1, 2}, time.Second, "", 0},
		"whole, another is silent":       {[]int{0, 1, 2}, time.Second, "w7", 0},
		"whole, member's worker, silent": {[]int{0, 1, 2}, time.Second, "w1", 0},
	} {
		t.Run(name, func(t *testing.T) {
			sim := takeover(t, 8, 3, 2, 300*time.Millisecond, c.present...)
			for _, x := range sim.runs {
				x.worked = c.worked
			}
			spec := sim.planner.jobs["a"].spec
			sim.harness = newHarness(t, 0).nextLeader(nil, nil, 8)
			sim.silent[c.silent] = true
			sim.after(1600*time.Millisecond, func() { sim.planner.AddJob(sim.now, spec, false) })
			sim.runFor(4 * time.Second)
			require.Len(t, sim.stops, c.stops)
			require.Empty(t, sim.alone)
		})
	}
}

// TestMemberWithClosedNumberStopsGang takes over two members of a run of which the former leader knew that a member
// had ended.
func TestMemberWithClosedNumberStopsGang(t *testing.T) {
	for name, present := range map[string][]int{"it is elsewhere": {1, 2}, "it is listed": {0, 1, 2}} {
		t.Run(name, func(t *testing.T) {
			sim := takeover(t, 8, 3, 2, 300*time.Millisecond, present...)
			sim.silent["w7"] = true
			sim.planner.Restore(sim.now, Record{Job: "a", State: ladderflow.Running, Rounds: []RoundRecord{{Steps: []StepRecord{{
				Tasks: []TaskRecord{{Index: 0, LastRun: 2, LastClosedRun: 2}},
			}}}}})
			sim.runFor(2 * time.Second)
			require.Len(t, sim.stops, len(present))
			require.LessOrEqual(t, sim.firstStop(2), pollInterval)
			sim.requireOneStop(2)
			require.Empty(t, sim.alone)
		})
	}
}

// TestLostMemberOfEarlierRunLeavesWholeGang takes over a whole gang. The worker that has a member of an earlier run
// falls silent before it can be told to stop it.
func TestLostMemberOfEarlierRunLeavesWholeGang(t *testing.T) {
	sim := takeover(t, 8, 3, 4, 5*time.Second, 0, 1, 2)
	for _, x := range sim.runs {
		x.worked = time.Second
	}
	sim.add("w7", 0, 3, 100*time.Millisecond)
	sim.after(simTick, func() { sim.silent["w7"] = true })
	sim.runFor(14 * time.Second)
	require.Empty(t, sim.planner.workers["w7"].runs, "the worker's lease has expired")
	require.Len(t, sim.stops, 1)
	require.Len(t, sim.runs, 3)
}

// TestLeaderInDoubtStopsIncompleteGang has a leader wait for a start while its leadership is in doubt.
func TestLeaderInDoubtStopsIncompleteGang(t *testing.T) {
	sim := ordered(t, 5)
	answered := sim.outcome
	sim.outcome = func(s StartOrder) (time.Duration, time.Duration, Result) {
		if s.Run.Task.Index == 2 {
			return 0, time.Hour, Result{}
		}
		return answered(s)
	}
	sim.runFor(200 * time.Millisecond)
	sim.advance(1500 * time.Millisecond)
	require.Len(t, sim.planner.Plan(sim.now, sim.now, LeadershipNone).Stops, 5)
}

// TestResigningLeaderStopsIncompleteGangs has a leader resign while it does not know of all members of a gang.
func TestResigningLeaderStopsIncompleteGangs(t *testing.T) {
	unanswered := func(index int) func(t *testing.T) *gangSim {
		return func(t *testing.T) *gangSim {
			sim := ordered(t, 5)
			sim.outcome = func(s StartOrder) (time.Duration, time.Duration, Result) {
				if s.Run.Task.Index == index {
					return 0, time.Hour, Result{}
				}
				return 20 * time.Millisecond, 40 * time.Millisecond, Result{}
			}
			return sim
		}
	}
	taken := func(worked time.Duration, present ...int) func(t *testing.T) *gangSim {
		return func(t *testing.T) *gangSim {
			sim := takeover(t, 8, 5, 2, 300*time.Millisecond, present...)
			for _, x := range sim.runs {
				x.worked = worked
			}
			sim.silent["w1"] = true
			return sim
		}
	}
	for name, c := range map[string]struct {
		sim   func(t *testing.T) *gangSim
		stops int
	}{
		"whole":                         {unanswered(-1), 0},
		"a start is unanswered":         {unanswered(3), 5},
		"taken over, members wait":      {taken(0, 0, 3, 4), 3},
		"taken over, at work":           {taken(time.Second, 0, 1, 2, 3, 4), 0},
		"taken over, one member unseen": {taken(0, 0, 1, 2, 3), 3},
	} {
		t.Run(name, func(t *testing.T) {
			sim := c.sim(t)
			sim.runFor(400 * time.Millisecond)
			require.Empty(t, sim.stops)
			sim.planner.StopIncompleteGangs(sim.now)
			o := sim.planner.Plan(sim.now, sim.now, LeadershipNone)
			require.Len(t, o.Stops, c.stops)
			sim.planner.StopIncompleteGangs(sim.now)
			require.Empty(t, sim.planner.Plan(sim.now, sim.now, LeadershipNone).Stops, "they are stopped once")
		})
	}
}

// TestNoMemberOfGangWaitsAlone plays random takeovers and starts. No member may wait for the others for too long
// on a worker that answers polls. After five seconds, all starts are answered.
func TestNoMemberOfGangWaitsAlone(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 44))
		members := 2 + r.IntN(5)
		var sim *gangSim
		if r.IntN(2) == 0 {
			sim = ordered(t, members)
		} else {
			// The former leader ordered the starts shortly before it ended.
			var present []int
			for i := range members {
				if r.IntN(3) > 0 {
					present = append(present, i)
				}
			}
			sim = takeover(t, 8, members, 1+r.IntN(3), time.Duration(r.IntN(900))*time.Millisecond, present...)
			for i, id := range sim.ids {
				silence := r.IntN(1000)
				if i >= members {
					silence = r.IntN(8000) // No member is on this worker.
				}
				sim.silent[id] = true
				sim.after(time.Duration(silence)*time.Millisecond, func() { delete(sim.silent, id) })
			}
		}
		sim.outcome = func(StartOrder) (time.Duration, time.Duration, Result) {
			d := time.Duration(20+r.IntN(300)) * time.Millisecond
			if sim.passed() > 5*time.Second {
				return d, d + simTick, Result{}
			}
			switch r.IntN(12) {
			case 0:
				return 0, d + time.Duration(r.IntN(2200))*time.Millisecond, Result{Unknown: true}
			case 1:
				return d, d + time.Duration(r.IntN(2200))*time.Millisecond, Result{Unknown: true}
			case 2:
				return 0, d, Result{Unsent: true}
			}
			return d, d + simTick, Result{}
		}
		sim.runFor(12 * time.Second)
		require.Empty(t, sim.alone, "seed %d", seed)
		working := 0
		for _, x := range sim.runs {
			working += boolToInt(x.worked > 0)
		}
		require.Equal(t, members, working, "seed %d: the gang works in the end, stops %d", seed, len(sim.stops))
	}
}
