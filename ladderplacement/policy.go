package ladderplacement

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"

	"lacewingladder/laddermodel"
)

// Candidate is a worker that may run a task, with its free capacity.
type Candidate struct {
	Worker *laddermodel.Worker
	Free   laddermodel.Size
}

// Policy selects one of several workers for a task.
type Policy interface {
	// Pick returns the index of the selected candidate, or -1 if the task fits on
	// none.
	Pick(need laddermodel.Size, candidates []Candidate) int
}

// policyConstructors maps the names that a configuration may use to policies.
var policyConstructors = map[string]func(random *rand.Rand) Policy{
	"spread": func(*rand.Rand) Policy { return Spread{} },
	"pack":   func(*rand.Rand) Policy { return Pack{} },
	"first":  func(*rand.Rand) Policy { return First{} },
	"random": func(random *rand.Rand) Policy { return &Random{rand: random} },
	"robin":  func(*rand.Rand) Policy { return &RoundRobin{} },
	"two":    func(random *rand.Rand) Policy { return &TwoChoices{rand: random} },
}

// PolicyNames returns the names of all policies in alphabetical order.
func PolicyNames() []string {
	names := make([]string, 0, len(policyConstructors))
	for name := range policyConstructors {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// NewPolicy returns a new policy of the given name. Policies that choose at
// random use a generator with the given seed.
func NewPolicy(name string, seed uint64) (Policy, error) {
	make, ok := policyConstructors[name]
	if !ok {
		return nil, fmt.Errorf("policy %q is not one of %s", name, strings.Join(PolicyNames(), ", "))
	}
	return make(rand.New(rand.NewPCG(seed, seed))), nil
}

// Spread selects the worker that would be least utilized with the task placed.
// It avoids workers with free accelerators if the task needs none.
type Spread struct{}

// Pick implements [Policy].
func (Spread) Pick(need laddermodel.Size, candidates []Candidate) int {
	return bestFit(need, candidates, func(c Candidate) float64 {
		return -utilization(need, c) - acceleratorPenalty(need, c)
	})
}

// Pack selects the worker whose resources would be used most evenly with the
// task placed, and prefers a highly utilized one. Even use matters because the
// rest of one resource is useless once another is exhausted. Pack avoids workers
// with free accelerators if the task needs none.
type Pack struct{}

// Pick implements [Policy].
func (Pack) Pick(need laddermodel.Size, candidates []Candidate) int {
	return bestFit(need, candidates, func(c Candidate) float64 {
		return utilization(need, c) - imbalanceWeight*imbalance(need, c) - acceleratorPenalty(need, c)
	})
}

// imbalanceWeight is the weight of the imbalance of a worker's resources,
// relative to its utilization.
const imbalanceWeight = 4

// imbalance returns the difference between the most and the least used resource
// of a worker with the task placed, as fractions of its size. Accelerators and
// resources that the worker does not have are not considered.
func imbalance(need laddermodel.Size, c Candidate) float64 {
	used, whole := c.Worker.Size.Sub(c.Free).Add(need), c.Worker.Size
	least, most := 1.0, 0.0
	include := func(used, whole float64) {
		if whole > 0 {
			least, most = min(least, used/whole), max(most, used/whole)
		}
	}
	include(float64(used.Slots), float64(whole.Slots))
	include(float64(used.Millicores), float64(whole.Millicores))
	include(float64(used.Memory), float64(whole.Memory))
	return max(0, most-least)
}

// First selects the first worker on which the task fits.
type First struct{}

// Pick implements [Policy].
func (First) Pick(need laddermodel.Size, candidates []Candidate) int {
	return bestFit(need, candidates, func(Candidate) float64 { return 0 })
}

// Random selects a random worker on which the task fits.
type Random struct {
	rand *rand.Rand
}

// Pick implements [Policy].
func (r *Random) Pick(need laddermodel.Size, candidates []Candidate) int {
	return bestFit(need, candidates, func(Candidate) float64 { return r.rand.Float64() })
}

// RoundRobin selects workers in turn and skips those on which the task does not
// fit.
type RoundRobin struct {
	next int // index of the worker to consider first
}

// Pick implements [Policy].
func (r *RoundRobin) Pick(need laddermodel.Size, candidates []Candidate) int {
	for i := range candidates {
		at := (r.next + i) % len(candidates)
		if need.Fits(candidates[at].Free) {
			r.next = at + 1
			return at
		}
	}
	return -1
}

// TwoChoices draws two workers at random and selects the one that [Spread]
// prefers. If the task fits on neither, it selects the first worker on which the
// task fits.
type TwoChoices struct {
	rand *rand.Rand
}

// Pick implements [Policy].
func (t *TwoChoices) Pick(need laddermodel.Size, candidates []Candidate) int {
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

// bestFit returns the index of the candidate with the highest score among those
// on which the task fits, or -1 if there is none. On equal scores the first one
// wins.
func bestFit(need laddermodel.Size, candidates []Candidate, score func(Candidate) float64) int {
	found, highest := -1, 0.0
	for i, c := range candidates {
		if !need.Fits(c.Free) {
			continue
		}
		if s := score(c); found < 0 || s > highest {
			found, highest = i, s
		}
	}
	return found
}

// utilization returns the dominant share of a worker with the task placed: the
// used fraction of its most used resource.
func utilization(need laddermodel.Size, c Candidate) float64 {
	used := c.Worker.Size.Sub(c.Free).Add(need)
	return used.DominantShare(c.Worker.Size)
}

// idleAcceleratorPenalty outweighs all other parts of a score.
const idleAcceleratorPenalty = 10

// acceleratorPenalty returns the penalty for placing a task that needs no
// accelerators on a worker with free ones.
func acceleratorPenalty(need laddermodel.Size, c Candidate) float64 {
	if need.Accelerators == 0 && c.Free.Accelerators > 0 {
		return idleAcceleratorPenalty
	}
	return 0
}
