package ladderintake

// minWeightShare is the share of the largest weight that a team without a weight has. It gets what all
// others leave.
const minWeightShare = 1e-6

const (
	// fillError is the relative error of the level in fill, and fillSteps bounds the search for it.
	fillError = 1e-9
	fillSteps = 200
)

// met returns, for each team, the share of its demand of a class for which there is room: the service's
// capacity is divided by weight, as dominant shares, up to what each team needs and its quota allows. A team
// that has no more work than it does now is assumed to go on using what it uses: new jobs will come.
func (s *ServiceLoad) met(c Class) []float64 {
	h := c.Horizon().Seconds()
	f := filling{
		room: s.Capacity, needs: make([]Amount, len(s.Teams)), met: make([]float64, len(s.Teams)),
		limit: make([]float64, len(s.Teams)), speed: make([]float64, len(s.Teams)),
	}
	others := s.Others.need(c)
	for r := range f.room {
		f.room[r] = max(0, f.room[r]*h-others[r])
	}
	heaviest := 0.0
	for i := range s.Teams {
		heaviest = max(heaviest, s.Teams[i].Weight)
	}
	if heaviest == 0 {
		heaviest = 1
	}
	for i := range s.Teams {
		t := &s.Teams[i]
		f.needs[i], f.limit[i] = t.need(c), 1
		dominant := 0.0
		for r, n := range f.needs[i] {
			if q := t.Quota[r] * h; q > 0 && n > q {
				f.limit[i] = min(f.limit[i], q/n)
			}
			if total := s.Capacity[r] * h; total > 0 {
				dominant = max(dominant, n/total)
			}
		}
		if dominant > 0 {
			f.speed[i] = max(t.Weight, heaviest*minWeightShare) / dominant
		} else {
			f.met[i] = f.limit[i]
		}
	}
	for f.fill() {
	}
	for i := range f.met {
		f.met[i] = s.Teams[i].met(c, f.met[i], f.needs[i])
	}
	return f.met
}

// need returns what the team needs within the horizon.
func (t *TeamLoad) need(c Class) Amount {
	n := t.Demand[c]
	for r := range n {
		n[r] = max(n[r], t.Used[r]*c.Horizon().Seconds())
	}
	return n
}

// met returns the share of the team's demand that is met by a share of its need.
func (t *TeamLoad) met(c Class, share float64, need Amount) float64 {
	met := 1.0
	for r, n := range t.Demand[c] {
		if n > 0 {
			met = min(met, share*need[r]/n)
		}
	}
	return met
}

// filling is the state of the division of a capacity.
type filling struct {
	// room is the capacity, and needs holds what each team needs.
	room  Amount
	needs []Amount
	// met holds the share that each team gets of what it needs, limit the largest that it may get, and speed how
	// fast it grows.
	met, limit, speed []float64
}

// fill raises the shares of all teams that are below their limits until a resource is exhausted. The teams that
// need this resource then get no more. It returns false if no resource was exhausted.
func (f *filling) fill() bool {
	most := 0.0
	for i, m := range f.met {
		if f.speed[i] > 0 && m < f.limit[i] {
			most = max(most, (f.limit[i]-m)/f.speed[i])
		}
	}
	over, full := f.exhausted(most)
	if most == 0 || !full {
		for i := range f.met {
			f.met[i] = max(f.met[i], f.limit[i])
		}
		return false
	}
	low, high := 0.0, most
	for i := 0; i < fillSteps && high-low > fillError*high; i++ {
		middle := (low + high) / 2
		if o, full := f.exhausted(middle); full {
			high, over = middle, o
		} else {
			low = middle
		}
	}
	for i := range f.met {
		f.met[i] = f.at(i, low)
		for r, n := range f.needs[i] {
			if over[r] && n > 0 {
				f.limit[i] = f.met[i]
			}
		}
	}
	return true
}

// at returns the share that a team has at a level.
func (f *filling) at(i int, level float64) float64 {
	return min(f.limit[i], f.met[i]+level*f.speed[i])
}

// exhausted returns the resources of which the teams use more than there is at a level, and whether there are
// any.
func (f *filling) exhausted(level float64) (over [Resources]bool, full bool) {
	var used Amount
	for i, need := range f.needs {
		share := f.at(i, level)
		for r, n := range need {
			used[r] += share * n
		}
	}
	for r, n := range used {
		over[r] = n > f.room[r]*(1+fillError)
		full = full || over[r]
	}
	return over, full
}
