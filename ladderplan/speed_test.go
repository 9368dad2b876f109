package ladderplan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// runSteps runs steps of uneven tasks on all workers. Tasks take 30% longer on every third worker.
func runSteps(h *harness, workers, steps int) {
	random := rand.New(rand.NewPCG(1, 2))
	for i := range steps {
		h.submit(fmt.Sprintf("learn%d", i), stepOf(4*workers))
		starts := h.startAll()
		ends := map[time.Duration]StartOrder{}
		for _, s := range starts {
			d := time.Duration(float64(time.Second) * math.Exp(0.15*random.NormFloat64()))
			var n int
			_, err := fmt.Sscanf(s.Worker.ID, "w%d", &n)
			require.NoError(h.t, err)
			if n%3 == 2 {
				d = d * 13 / 10
			}
			ends[d] = s
		}
		began := h.now
		for len(ends) > 0 {
			next := time.Duration(math.MaxInt64)
			for d := range ends {
				next = min(next, d)
			}
			h.advance(max(0, next-h.now.Sub(began)))
			h.endRun(ends[next], ladderflow.EndDone)
			delete(ends, next)
		}
		h.advance(time.Millisecond)
		h.pollAll(nil)
	}
}

// TestSlowWorkersAreLearned checks that the workers on which tasks take longer are told apart from the
// others by the durations of tasks that differ by themselves, and that none counts as slow before.
func TestSlowWorkersAreLearned(t *testing.T) {
	const workers = 24
	h := newHarness(t, workers)
	for _, w := range h.planner.workers {
		require.False(t, w.isSlow())
	}
	runSteps(h, workers, 12)
	wrong := 0
	for i := range workers {
		if h.planner.workers[testWorker(i).ID].isSlow() != (i%3 == 2) {
			wrong++
		}
	}
	require.LessOrEqual(t, wrong, 1)
}

// TestGangAvoidsSlowWorkers checks that a gang starts on the workers that are not slow if it fits
// there, and on all of them otherwise.
func TestGangAvoidsSlowWorkers(t *testing.T) {
	for name, c := range map[string]struct {
		members  int
		wantSlow bool
	}{
		"fits without slow workers": {members: 16},
		"needs slow workers":        {members: 20, wantSlow: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 6)
			for _, id := range []string{"w2", "w5"} {
				h.planner.workers[id].slowdown.observe(math.Log(1.3), 0.001)
			}
			h.submit("a", gangOf(c.members))
			starts := h.startAll()
			require.Len(t, starts, c.members)
			slow := false
			for _, s := range starts {
				slow = slow || h.planner.workers[s.Worker.ID].isSlow()
			}
			require.Equal(t, c.wantSlow, slow)
		})
	}
}

// TestGangWaitsForSoundWorkers lets a gang reserve workers while some are busy. It reserves the slow
// ones only if it would end earlier with them.
func TestGangWaitsForSoundWorkers(t *testing.T) {
	for name, c := range map[string]struct {
		busyFor  time.Duration
		wantSlow bool
	}{
		"sound workers are free soon": {busyFor: 2 * time.Second},
		"sound workers are free late": {busyFor: 8 * time.Second, wantSlow: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 3)
			h.planner.workers["w2"].slowdown.observe(math.Log(1.3), 0.001)
			occupy := stepOf(1)
			occupy.Need.Processor = 8000
			for i, d := range []time.Duration{c.busyFor, c.busyFor, time.Second} {
				occupy.Estimate = d
				h.submit(fmt.Sprint(i), occupy)
			}
			for _, s := range h.startAll() {
				// The estimate of the run on the slow worker is the shortest.
				w := h.planner.workers[s.Worker.ID]
				w.runs[s.Run].task.step.round.job.durations[0] = c.busyFor
				if w.isSlow() {
					w.runs[s.Run].task.step.round.job.durations[0] = time.Second
				}
				w.releasesStale = true
			}
			g := gangOf(4)
			g.Estimate = 10 * time.Second
			h.submit("gang", g)
			h.plan()
			slots := h.planner.jobs["gang"].rounds[0].steps[0].gang.reservation.slots
			require.Len(t, slots, 4)
			require.Equal(t, c.wantSlow, slowFactor(slots) > 1)
		})
	}
}
