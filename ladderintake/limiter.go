package ladderintake

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// UpdateInterval is the shortest time between two updates of a [Limiter]. Together with ReportInterval
	// it is within the shortest horizon, so that no backlog that is due within it goes unnoticed for that
	// long.
	UpdateInterval = shortestHorizon / 5
	// ReportInterval is the shortest time between two reports of a VM.
	ReportInterval = shortestHorizon / 2
	// evenShare is the share of a rate that is divided evenly among all VMs. The rest is divided by what
	// each is offered.
	evenShare = 0.2
	// maxReported bounds the jobs of one report that count as admitted. It is far more than a VM takes in the time.
	maxReported = 10_000
	// fullyMet is the share of a demand that counts as all of it. The rest is an error of the arithmetic.
	fullyMet = 1 - 1e-6
)

// Resources is the number of resources that an [Amount] holds.
const Resources = 3

// Amount holds an amount of each resource: processor, memory and accelerators. In demands it is multiplied
// by the seconds for which it is used.
type Amount [Resources]float64

// TeamLoad is the work of a team on a service.
type TeamLoad struct {
	Team string
	// Weight is the team's weight, and Quota its quota, of which zero means no limit.
	Weight float64
	Quota  Amount
	// Demand holds, by class, the work of the class and of those with shorter horizons that waits, and what
	// the runs in progress do within the horizon. Waits tells whether some waits.
	Demand [Classes]Amount
	Waits  [Classes]bool
	// Used is what the team's runs use now.
	Used Amount
}

// ServiceLoad is the work on a service.
type ServiceLoad struct {
	Service  string
	Capacity Amount
	// Teams holds the teams that have work, sorted by name.
	Teams []TeamLoad
	// Others is the work of jobs that have no team. They come before those of teams.
	Others TeamLoad
}

// Limiter decides which teams are limited. It is used by the leader. Create one with [NewLimiter].
type Limiter struct {
	limited map[Key]*limited
	offers  map[Key]map[string]*offered
	// admitted measures what all VMs have admitted.
	admitted map[Key]*meter
	turns    *turns
}

// limited is the state of a team that is limited.
type limited struct {
	weight   float64
	backlogs [Classes]time.Duration
}

// offered is the number of jobs that a VM was lately offered, and the part of the rate that it was granted
// for them, beyond its even part.
type offered struct {
	jobs      float64
	at        time.Time
	granted   float64
	grantedAt time.Time
}

// NewLimiter returns a limiter that limits no team.
func NewLimiter() *Limiter {
	return &Limiter{limited: map[Key]*limited{}, offers: map[Key]map[string]*offered{}, admitted: map[Key]*meter{}, turns: newTurns()}
}

// Change is the begin or the end of a team's limit. Backlog is the longest, for the jobs of Class.
type Change struct {
	Key
	Limited bool
	Class   Class
	Backlog time.Duration
}

// Update decides which teams are limited by the present work on all services. It returns what has changed,
// sorted.
func (l *Limiter) Update(now time.Time, services []ServiceLoad) []Change {
	before := map[Key]bool{}
	for k, t := range l.limited {
		before[k], t.backlogs = true, [Classes]time.Duration{}
	}
	for i := range services {
		s := &services[i]
		for c := range Class(Classes) {
			for k, met := range s.met(c) {
				if t := &s.Teams[k]; met < fullyMet && t.Waits[c] {
					l.limit(Key{s.Service, t.Team}, t.Weight, c, met)
				}
			}
		}
	}
	var changes []Change
	for k, t := range l.limited {
		longest := slices.Max(t.backlogs[:])
		if longest == 0 {
			delete(l.limited, k)
			changes = append(changes, Change{Key: k})
		} else if !before[k] {
			class := Class(slices.Index(t.backlogs[:], longest))
			changes = append(changes, Change{Key: k, Limited: true, Class: class, Backlog: longest})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return compareKeys(a.Key, b.Key) })
	l.forget(now)
	return changes
}

// limit limits a team for jobs of a class, since it gets only a part of what it needs for them.
func (l *Limiter) limit(k Key, weight float64, c Class, met float64) {
	t := l.limited[k]
	if t == nil {
		t = &limited{}
		l.limited[k] = t
	}
	t.weight = weight
	h := c.Horizon()
	t.backlogs[c] = h + max(time.Millisecond, min(limitLifetime, seconds(h.Seconds()*(1/max(met, 1e-6)-1))))
}

// Report records how many jobs a VM was offered.
func (l *Limiter) Report(now time.Time, vm string, counts []Count) {
	for _, c := range counts {
		vms := l.offers[c.Key]
		if vms == nil {
			vms = map[string]*offered{}
			l.offers[c.Key] = vms
		}
		o := vms[vm]
		if o == nil {
			o = &offered{at: now}
			vms[vm] = o
		}
		o.jobs = o.lately(now) + float64(max(0, c.Admitted)+max(0, c.Referred))
		o.at = now
		if t := l.limited[c.Key]; t != nil && t.weight > 0 {
			m := l.meter(now, c.Key, t.weight)
			for range min(c.Admitted, maxReported) {
				m.add(0, t.weight)
			}
		}
	}
}

// lately returns the number of jobs, of which each counts less the older it is.
func (o *offered) lately(now time.Time) float64 {
	return o.jobs * math.Exp(-now.Sub(o.at).Seconds()/NewsLifetime.Seconds())
}

// Limits returns the limits for one of the given number of VMs, sorted.
func (l *Limiter) Limits(now time.Time, vm string, vms int) []Limit {
	var list []Limit
	for k, t := range l.limited {
		list = append(list, Limit{Key: k, Rate: t.weight * l.part(now, k, vm, vms), Backlogs: t.backlogs})
	}
	slices.SortFunc(list, func(a, b Limit) int { return compareKeys(a.Key, b.Key) })
	return list
}

// part returns the part of a team's rate that a VM gets, and grants it. The parts that are in force at the
// same time sum up to 1 at most.
func (l *Limiter) part(now time.Time, k Key, vm string, vms int) float64 {
	offers := l.offers[k]
	even := 1 / float64(max(1, vms, len(offers)))
	sum, others := 0.0, 0.0
	for _, name := range slices.Sorted(maps.Keys(offers)) {
		o := offers[name]
		sum += o.lately(now)
		if name != vm && now.Sub(o.grantedAt) <= NewsLifetime {
			others += o.granted
		}
	}
	own := offers[vm]
	if own == nil || sum <= 0 {
		return evenShare * even
	}
	own.granted = max(0, min((1-evenShare)*own.lately(now)/sum, 1-evenShare-others))
	own.grantedAt = now
	return evenShare*even + own.granted
}

// Turn gives the caller of an offer a turn, which a VM would refuse for the given cause. It is ready if the caller has
// returned in a turn that it was promised, or if the VM's part of the rate is used up and the team's whole rate is
// not.
func (l *Limiter) Turn(now time.Time, o Offer, cause Cause) Turn {
	wait := time.Duration(0)
	if t := l.limited[o.Key]; t != nil {
		wait = max(0, t.backlogs[o.Class]-o.Due)
	}
	if o.Weight <= 0 {
		return l.turns.give(now, o, wait, 0)
	}
	m := l.meter(now, o.Key, o.Weight)
	turn := Turn{Ready: cause == Rate && wait <= max(o.Allowance, shortestReturn) && m.excess(o.Class, o.Weight) == 0}
	if !turn.Ready {
		turn = l.turns.give(now, o, wait, o.Weight)
	}
	if turn.Ready {
		m.add(0, o.Weight)
	}
	return turn
}

// meter returns the meter of what all VMs have admitted of a team's jobs.
func (l *Limiter) meter(now time.Time, k Key, weight float64) *meter {
	m := l.admitted[k]
	if m == nil {
		m = &meter{}
		l.admitted[k] = m
	}
	m.drain(now, weight)
	return m
}

// forget drops VMs and teams of which no offers were reported for a while.
func (l *Limiter) forget(now time.Time) {
	for k, vms := range l.offers {
		for name, o := range vms {
			if now.Sub(o.at) > limitLifetime {
				delete(vms, name)
			}
		}
		if len(vms) == 0 {
			delete(l.offers, k)
			delete(l.admitted, k)
		}
	}
}

// Plus returns the sum of two amounts.
func (a Amount) Plus(b Amount) Amount {
	for r := range a {
		a[r] += b[r]
	}
	return a
}
