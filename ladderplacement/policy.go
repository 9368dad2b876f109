package ladderplacement

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"

	"lacewingladder/laddermodel"
)

// Candidate is a worker that may take a task.
type Candidate struct {
	Worker *laddermodel.Worker
	Free   laddermodel.Size
}

// Policy picks one of several workers for a task.
type Policy interface {
	// Pick returns the index of the chosen candidate, or -1 when none fits.
	Pick(need laddermodel.Size, candidates []Candidate) int
}

// makers are the policies that a configuration can name.
var makers = map[string]func(r *rand.Rand) Policy{
	"spread": func(*rand.Rand) Policy { return Spread{} },
	"pack":   func(*rand.Rand) Policy { return Pack{} },
	"first":  func(*rand.Rand) Policy { return First{} },
	"random": func(r *rand.Rand) Policy { return &Random{rand: r} },
	"robin":  func(*rand.Rand) Policy { return &Robin{} },
	"two":    func(r *rand.Rand) Policy { return &Two{rand: r} },
}

// Names returns the names of all policies, in order.
func Names() []string {
	names := make([]string, 0, len(makers))
	for name := range makers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Named returns a new policy of the given name.
func Named(name string, seed uint64) (Policy, error) {
	make, ok := makers[name]
	if !ok {
		return nil, fmt.Errorf("policy %q is not one of %s", name, strings.Join(Names(), ", "))
	}
	return make(rand.New(rand.NewPCG(seed, seed))), nil
}

// Spread picks the worker that has the most room left once the task is placed.
// It keeps accelerators for tasks that need them.
type Spread struct{}

// Pick implements [Policy].
func (Spread) Pick(need laddermodel.Size, candidates []Candidate) int {
	return best(need, candidates, func(c Candidate) float64 {
		return -fullness(need, c) - wasted(need, c)
	})
}

// Pack picks the worker whose resources are used most evenly once the task is
// placed, and among such the fullest: what is left of one resource is of no use
// when another has run out. It keeps accelerators for tasks that need them.
type Pack struct{}

// Pick implements [Policy].
func (Pack) Pick(need laddermodel.Size, candidates []Candidate) int {
	return best(need, candidates, func(c Candidate) float64 {
		return fullness(need, c) - unevenness*spreadOf(need, c) - wasted(need, c)
	})
}

// unevenness is the weight of an even use of resources against a full worker.
const unevenness = 4

// spreadOf returns the difference between the most and the least used resource of
// a worker with the task placed, as shares. What the worker lacks does not count.
func spreadOf(need laddermodel.Size, c Candidate) float64 {
	used, whole := c.Worker.Size.Sub(c.Free).Add(need), c.Worker.Size
	least, most := 1.0, 0.0
	part := func(used, whole float64) {
		if whole > 0 {
			least, most = min(least, used/whole), max(most, used/whole)
		}
	}
	part(float64(used.Slots), float64(whole.Slots))
	part(float64(used.Millicores), float64(whole.Millicores))
	part(float64(used.Memory), float64(whole.Memory))
	return max(0, most-least)
}

// First picks the first worker that fits.
type First struct{}

// Pick implements [Policy].
func (First) Pick(need laddermodel.Size, candidates []Candidate) int {
	return best(need, candidates, func(Candidate) float64 { return 0 })
}

// Random picks any worker that fits.
type Random struct {
	rand *rand.Rand
}

// Pick implements [Policy].
func (r *Random) Pick(need laddermodel.Size, candidates []Candidate) int {
	return best(need, candidates, func(Candidate) float64 { return r.rand.Float64() })
}

// Robin picks workers in turn and passes over those that do not fit.
type Robin struct {
	next int
}

// Pick implements [Policy].
func (r *Robin) Pick(need laddermodel.Size, candidates []Candidate) int {
	for i := range candidates {
		at := (r.next + i) % len(candidates)
		if need.Fits(candidates[at].Free) {
			r.next = at + 1
			return at
		}
	}
	return -1
}

// Two draws two workers and picks the one with more room. When neither fits it
// falls back to the first that does.
type Two struct {
	rand *rand.Rand
}

// Pick implements [Policy].
func (t *Two) Pick(need laddermodel.Size, candidates []Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	i, j := t.rand.IntN(len(candidates)), t.rand.IntN(len(candidates))
	pair := []Candidate{candidates[i], candidates[j]}
	switch (Spread{}).Pick(need, pair) {
	case 0:
		return i
	case 1:
		return j
	default:
		return First{}.Pick(need, candidates)
	}
}

// best returns the first fitting candidate with the highest score, or -1.
func best(need laddermodel.Size, candidates []Candidate, score func(Candidate) float64) int {
	found, top := -1, 0.0
	for i, c := range candidates {
		if !need.Fits(c.Free) {
			continue
		}
		if s := score(c); found < 0 || s > top {
			found, top = i, s
		}
	}
	return found
}

// fullness returns the dominant share of a worker in use with the task placed.
func fullness(need laddermodel.Size, c Candidate) float64 {
	used := c.Worker.Size.Sub(c.Free).Add(need)
	return used.Share(c.Worker.Size)
}

// idleAccelerators outweighs every other part of a score.
const idleAccelerators = 10

// wasted is the penalty for a task that would sit beside idle accelerators
// without need.
func wasted(need laddermodel.Size, c Candidate) float64 {
	if need.Accelerators == 0 && c.Free.Accelerators > 0 {
		return idleAccelerators
	}
	return 0
}
