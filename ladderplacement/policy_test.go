package ladderplacement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"lacewingladder/laddermodel"
	"lacewingladder/ladderplacement"
)

// firstBacklogSeed is the seed of the first backlog. All policies get the same
// backlogs.
const firstBacklogSeed = 5

// BenchmarkPacking places a random backlog of tasks of mixed sizes on 48 workers
// until 50 tasks in a row fit on no worker. It reports the used fraction of the
// most used resource, and how many workers were still empty when that fraction
// reached one half. Each policy gets the same 20 backlogs in turn.
func BenchmarkPacking(b *testing.B) {
	for _, name := range ladderplacement.PolicyNames() {
		b.Run(name, func(b *testing.B) {
			total, empty, runs := 0.0, 0, 0
			for b.Loop() {
				share, emptyAtHalf := fillWorkers(b, name, firstBacklogSeed+uint64(runs%20))
				total, empty = total+share, empty+emptyAtHalf
				runs++
			}
			b.ReportMetric(float64(empty)/float64(runs), "empty-at-half")
			b.ReportMetric(100*total/float64(runs), "packing-%")
		})
	}
}

// fillWorkers places the backlog of the given seed by the named policy. It returns
// the used fraction of the most used resource, and the number of empty workers
// when that fraction reached one half.
func fillWorkers(b *testing.B, name string, seed uint64) (share float64, empty int) {
	policy, err := ladderplacement.NewPolicy(name, seed)
	if err != nil {
		b.Fatal(err)
	}
	r := rand.New(rand.NewPCG(seed, seed))
	whole := laddermodel.Size{Slots: 8, Millicores: 32_000, Memory: 64 << 30}
	workers := make([]laddermodel.Worker, 48)
	candidates := make([]ladderplacement.Candidate, len(workers))
	var all, used laddermodel.Size
	empty = -1
	for i := range workers {
		workers[i] = laddermodel.Worker{Name: fmt.Sprint("w", i), Size: whole}
		candidates[i] = ladderplacement.Candidate{Worker: &workers[i], Free: whole}
		all = all.Add(whole)
	}
	for misses := 0; misses < 50; {
		need := laddermodel.Size{
			Slots: 1 + r.IntN(3), Millicores: 1000 * (1 + r.IntN(16)), Memory: int64(1+r.IntN(24)) << 30,
		}
		i := policy.Pick(need, candidates)
		if i < 0 {
			misses++
			continue
		}
		misses = 0
		candidates[i].Free = candidates[i].Free.Sub(need)
		used = used.Add(need)
		if empty < 0 && used.DominantShare(all) >= 0.5 {
			empty = countEmpty(candidates)
		}
	}
	return used.DominantShare(all), empty
}

// countEmpty returns the number of workers on which no task was placed.
func countEmpty(candidates []ladderplacement.Candidate) int {
	n := 0
	for _, c := range candidates {
		if c.Free == c.Worker.Size {
			n++
		}
	}
	return n
}

func TestAcceleratorsAreKeptForTasksThatNeedThem(t *testing.T) {
	plain := laddermodel.Worker{Name: "plain", Size: laddermodel.Size{Slots: 8}}
	accelerated := laddermodel.Worker{Name: "accelerated", Size: laddermodel.Size{Slots: 8, Accelerators: 2}}
	candidates := []ladderplacement.Candidate{{Worker: &accelerated, Free: accelerated.Size}, {Worker: &plain, Free: laddermodel.Size{Slots: 1}}}
	for _, name := range []string{"spread", "pack"} {
		policy, err := ladderplacement.NewPolicy(name, 1)
		if err != nil {
			t.Fatal(err)
		}
		if i := policy.Pick(laddermodel.Size{Slots: 1}, candidates); i != 1 {
			t.Errorf("%s places a task that needs no accelerators on a worker with free ones", name)
		}
		if i := policy.Pick(laddermodel.Size{Slots: 1, Accelerators: 1}, candidates); i != 0 {
			t.Errorf("%s does not place a task that needs an accelerator on the worker with free ones", name)
		}
	}
}
