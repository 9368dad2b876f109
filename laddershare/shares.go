package laddershare

import (
	"cmp"
	"slices"
	"time"

	"lacewingladder/ladderflow"
)

const (
	// CreditTime is how long a team may use twice its share before it counts as beyond it.
	CreditTime = time.Second
	// RepayTime is the time after which a team that uses nothing has repaid any debt above its allowance.
	RepayTime = 2 * time.Second
	// MaxStepTime bounds the part of the allowance that follows from a team's largest step, in time of the
	// team's share.
	MaxStepTime = 30 * time.Second
	// activeTime is how long after it last had work a team counts in the shares of the others. Shares would
	// otherwise change with each job of a team that sends few.
	activeTime = 2 * time.Second
	// maxGap bounds the time between two updates that counts. What ran during a longer one is not known.
	maxGap = time.Second
)

// Weight is the weight of one team.
type Weight struct {
	Team string
	// Weight is the team's share relative to the weights of the other teams, and its rate in jobs per
	// second. A team whose weight is not above zero has no rate, and shares like the team with the least
	// weight.
	Weight float64
}

// Shares holds the state of all teams. Create it with [New].
type Shares struct {
	teams map[string]*Team
	// sorted holds the teams in the order of their names.
	sorted []*Team
	// least is the least weight above zero, or 1 if there is none.
	least     float64
	capacity  ladderflow.Size
	updatedAt time.Time
	// weights is the sum of the weights of the teams that have work.
	weights float64
}

// New returns the state of a fleet without teams.
func New() *Shares { return &Shares{teams: map[string]*Team{}, least: 1} }

// SetWeights sets the weights of all teams. Debts and tokens are kept. A team that is not listed any more counts
// as one without a weight, so that the jobs that it has left still end. Of several weights of one team, the
// first counts.
func (s *Shares) SetWeights(list []Weight) {
	s.least = 0
	byTeam := map[string]float64{}
	for _, w := range list {
		if _, ok := byTeam[w.Team]; ok {
			continue
		}
		byTeam[w.Team] = w.Weight
		if w.Weight > 0 && (s.least == 0 || w.Weight < s.least) {
			s.least = w.Weight
		}
		s.Team(w.Team)
	}
	if s.least == 0 {
		s.least = 1
	}
	for _, t := range s.sorted {
		t.setWeight(byTeam[t.name])
	}
}

// Team returns the state of a team, which lasts as long as s.
func (s *Shares) Team(name string) *Team {
	if t, ok := s.teams[name]; ok {
		return t
	}
	t := &Team{name: name, shares: s}
	t.setWeight(0)
	s.teams[name] = t
	i, _ := slices.BinarySearchFunc(s.sorted, name, func(t *Team, name string) int { return cmp.Compare(t.name, name) })
	s.sorted = slices.Insert(s.sorted, i, t)
	return t
}

// Teams returns the states of all teams, in the order of their names.
func (s *Shares) Teams() []*Team { return s.sorted }

// Update lets time pass. The capacity is that of the whole fleet, and used returns what a team has running.
func (s *Shares) Update(now time.Time, capacity ladderflow.Size, used func(team string) ladderflow.Size) {
	passed := min(max(now.Sub(s.updatedAt), 0), maxGap)
	if s.updatedAt.IsZero() {
		passed = 0
	}
	s.updatedAt, s.capacity, s.weights = now, capacity, 0
	for _, t := range s.sorted {
		t.used = s.part(used(t.name))
		if t.used > 0 {
			t.Wants(now)
		}
		if now.Before(t.activeUntil) {
			s.weights += t.weight
		}
	}
	for _, t := range s.sorted {
		t.share = t.weight / s.weights
		if !now.Before(t.activeUntil) {
			t.share = t.weight / (s.weights + t.weight)
		}
		t.debt += (t.used - t.share) * passed.Seconds()
		t.debt = min(max(t.debt, 0), t.allowance()+t.share*RepayTime.Seconds())
		if t.debt == 0 {
			t.largest = 0
		}
	}
}

// part returns the largest of the parts of the fleet's resources that a size has.
func (s *Shares) part(size ladderflow.Size) float64 {
	of := func(amount, whole int) float64 {
		if whole <= 0 {
			return 0
		}
		return float64(amount) / float64(whole)
	}
	return max(0, of(size.Processor, s.capacity.Processor), of(size.Memory, s.capacity.Memory),
		of(size.Accelerators, s.capacity.Accelerators))
}
