package ladderplacement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"lacewingladder/laddermodel"
	"lacewingladder/ladderplacement"
)

// packingSeed seeds the backlog, which is the same for all policies.
const packingSeed = 5

// BenchmarkPacking fills 48 workers from a backlog of batch tasks of mixed sizes
// until 50 in a row fit nowhere, and reports the share of the fullest resource in
// use, and how many workers were still empty when half of it was. The policies
// stand side by side on the same backlogs.
func BenchmarkPacking(b *testing.B) {
	for _, name := range ladderplacement.Names() {
		b.Run(name, func(b *testing.B) {
			total, empty, runs := 0.0, 0, 0
			for b.Loop() {
				share, free := fill(b, name, packingSeed+uint64(runs%20))
				total, empty = total+share, empty+free
				runs++
			}
			b.ReportMetric(float64(empty)/float64(runs), "empty-at-half")
			b.ReportMetric(100*total/float64(runs), "packing-%")
		})
	}
}

func fill(b *testing.B, name string, seed uint64) (share float64, empty int) {
	policy, err := ladderplacement.Named(name, seed)
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
		if empty < 0 && used.Share(all) >= 0.5 {
			empty = emptyOf(candidates)
		}
	}
	return used.Share(all), empty
}

// emptyOf counts the workers on which nothing was placed.
func emptyOf(candidates []ladderplacement.Candidate) int {
	n := 0
	for _, c := range candidates {
		if c.Free == c.Worker.Size {
			n++
		}
	}
	return n
}

func TestAcceleratorsAreKeptForThoseThatNeedThem(t *testing.T) {
	plain := laddermodel.Worker{Name: "plain", Size: laddermodel.Size{Slots: 8}}
	with := laddermodel.Worker{Name: "with", Size: laddermodel.Size{Slots: 8, Accelerators: 2}}
	candidates := []ladderplacement.Candidate{{Worker: &with, Free: with.Size}, {Worker: &plain, Free: laddermodel.Size{Slots: 1}}}
	for _, name := range []string{"spread", "pack"} {
		policy, err := ladderplacement.Named(name, 1)
		if err != nil {
			t.Fatal(err)
		}
		if i := policy.Pick(laddermodel.Size{Slots: 1}, candidates); i != 1 {
			t.Errorf("%s gives a worker with accelerators to a task without need", name)
		}
		if i := policy.Pick(laddermodel.Size{Slots: 1, Accelerators: 1}, candidates); i != 0 {
			t.Errorf("%s does not find the accelerators", name)
		}
	}
}
