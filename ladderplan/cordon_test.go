package ladderplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// silenceWorker lets w1 not answer for longer than cordonDelay, while w0 does, and returns the cordons to store.
func (h *harness) silenceWorker() []Cordon {
	h.planner.SetStoreServing(h.now, true)
	h.advance(1100 * time.Millisecond)
	h.poll("w0", ladderflow.StatusReport{})
	h.poll("w1", ladderflow.StatusReport{})
	h.plan()
	h.planner.PollFailed("w1", false)
	list, ok := h.planner.NextCordons(h.now)
	require.False(h.t, ok, "it may answer again soon: %v", list)
	h.advance(cordonDelay)
	h.poll("w0", ladderflow.StatusReport{})
	list, ok = h.planner.NextCordons(h.now)
	require.True(h.t, ok)
	require.Equal(h.t, []Cordon{{Worker: "w1"}}, list)
	return list
}

// storedJob returns a job with one task that the store holds since a revision.
func storedJob(now time.Time, id string, revision int64) *ladderflow.Job {
	j := testJob(now, id, stepOf(1))
	j.Revision = revision
	return j
}

// TestJobsStoredAfterCordonNeedNotWait lets a leader cordon a silent worker. The next leader, which that worker does
// not answer either, starts just the jobs that were stored later.
func TestJobsStoredAfterCordonNeedNotWait(t *testing.T) {
	for name, c := range map[string]struct {
		cordons  []Cordon
		revision int64
		starts   int
	}{
		"stored later":                {[]Cordon{{"w1", 500}}, 501, 1},
		"stored before":               {[]Cordon{{"w1", 500}}, 499, 0},
		"stored in the same revision": {[]Cordon{{"w1", 500}}, 500, 0},
		"revision not known":          {[]Cordon{{"w1", 500}}, 0, 0},
		"another worker cordoned":     {[]Cordon{{"w2", 500}}, 501, 0},
		"no cordon":                   {nil, 501, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			next := h.nextLeader([]*ladderflow.Job{storedJob(h.now, "a", c.revision)}, nil, 2)
			for _, x := range c.cordons {
				next.planner.AddCordon(x)
			}
			next.poll("w0", ladderflow.StatusReport{})
			next.planner.PollFailed("w1", false)
			require.Len(t, next.plan().Starts, c.starts)
		})
	}
}

// TestHeldJobStartsOnceItsRevisionIsKnown tells a leader of a job first without the revision, as a peer of an earlier
// build does.
func TestHeldJobStartsOnceItsRevisionIsKnown(t *testing.T) {
	h := newHarness(t, 2)
	next := h.nextLeader([]*ladderflow.Job{storedJob(h.now, "a", 0)}, nil, 2)
	next.planner.AddCordon(Cordon{"w1", 500})
	next.poll("w0", ladderflow.StatusReport{})
	require.Empty(t, next.plan().Starts)
	next.planner.AddJob(next.now, storedJob(h.now, "a", 501), false)
	require.Len(t, next.plan().Starts, 1)
}

// TestCordonedWorkerOpensOnceThatIsStored lets a cordoned worker answer again. The next leader would not wait for
// what starts there before the store holds no cordon.
func TestCordonedWorkerOpensOnceThatIsStored(t *testing.T) {
	for name, stored := range map[string]bool{"stored": true, "outcome unknown": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			list := h.silenceWorker()
			h.poll("w1", ladderflow.StatusReport{})
			h.submit("a", stepOf(16))
			require.Len(t, h.startAll(), 4, "w1 is being cordoned")
			if stored {
				h.planner.CordonsStored(list, 700)
				require.Equal(t, []Cordon{{"w1", 700}}, h.planner.Cordons())
			} else {
				h.planner.CordonsNotStored()
			}
			require.Empty(t, h.startAll())
			h.advance(cordonCheckInterval)
			list, ok := h.planner.NextCordons(h.now)
			require.True(t, ok)
			require.Empty(t, list)
			require.Empty(t, h.startAll(), "the store may still hold the cordon")
			h.planner.CordonsStored(list, 701)
			require.Len(t, h.startAll(), 4)
		})
	}
}

// TestWorkerThatLeavesIsCordonedAtOnce lets a worker drain that answers all polls.
func TestWorkerThatLeavesIsCordonedAtOnce(t *testing.T) {
	h := newHarness(t, 2)
	h.planner.SetStoreServing(h.now, true)
	h.advance(1100 * time.Millisecond)
	h.pollAll(nil)
	h.plan()
	leaving := testWorker(1)
	leaving.Draining, leaving.RemainingTime = true, 10*time.Second
	h.planner.SetWorkers(h.now, []ladderflow.Worker{testWorker(0), leaving})
	h.plan()
	list, ok := h.planner.NextCordons(h.now)
	require.True(t, ok)
	require.Equal(t, []Cordon{{Worker: "w1"}}, list)
}

// TestNoCordonWhileItWouldNotHold checks the times at which a silent worker is not cordoned: while the store is away,
// and while an earlier leader may still hear of new jobs.
func TestNoCordonWhileItWouldNotHold(t *testing.T) {
	for name, c := range map[string]struct {
		after   time.Duration
		serving bool
		want    bool
	}{
		"store away":             {3 * time.Second, false, false},
		"earlier leader may act": {900 * time.Millisecond, true, false},
		"both over":              {3 * time.Second, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.planner.SetStoreServing(h.now, c.serving)
			h.planner.PollFailed("w1", false)
			_, ok := h.planner.NextCordons(h.now)
			require.False(t, ok)
			h.advance(c.after)
			h.poll("w0", ladderflow.StatusReport{})
			_, ok = h.planner.NextCordons(h.now)
			require.Equal(t, c.want, ok)
		})
	}
}

// TestCordonKeepsRevision checks that a cordon keeps the revision in which it was first stored while others come, also
// at the next leader.
func TestCordonKeepsRevision(t *testing.T) {
	h := newHarness(t, 3)
	next := h.nextLeader(nil, nil, 3)
	next.planner.SetStoreServing(next.now, true)
	next.planner.AddCordon(Cordon{"w1", 500})
	next.poll("w0", ladderflow.StatusReport{})
	list, ok := next.planner.NextCordons(next.now)
	require.True(t, ok, "the leader after this one relies only on this one's cordons")
	require.Equal(t, []Cordon{{"w1", 500}}, list)
	next.planner.CordonsStored(list, 900)
	next.advance(2 * time.Second)
	next.poll("w0", ladderflow.StatusReport{})
	list, ok = next.planner.NextCordons(next.now)
	require.True(t, ok)
	require.Equal(t, []Cordon{{"w1", 500}, {"w2", 0}}, list)
}
