package ladderintake

import (
	"cmp"
	"slices"
	"time"
)

const (
	// NewsLifetime is how long a VM relies on what the leader told it. It is how long callers wait for an
	// answer at most: what is older than that describes none of the calls that the VM answers now.
	NewsLifetime = 3 * time.Second
	// shortestReturn is the shortest time after which a refused caller comes back. A job that is owed is not
	// refused for a shorter wait.
	shortestReturn = time.Second
)

// limitLifetime is the time after which a limit that was not renewed has ended in any case. A backlog that
// can't be worked off within the objective is one of jobs whose objectives have all passed by then.
var limitLifetime = Class(Classes - 1).Horizon()

// Cause is why a job is refused.
type Cause string

// The causes of refusals.
const (
	Backlog Cause = "backlog"
	Rate    Cause = "rate"
)

// Limit limits the jobs of a team on a service.
type Limit struct {
	Key
	// Rate is the receiver's part of the team's weight, in jobs per second.
	Rate float64
	// Backlogs holds, by class, how long the work of the class and of those with shorter horizons takes in the
	// room that the team has. It is zero if that is no longer than the horizon.
	Backlogs [Classes]time.Duration
}

// Count is how many jobs of a team a VM was offered since its last report. Admitted counts those that it has
// admitted by itself, and Referred those that it has asked the leader about, or has refused.
type Count struct {
	Key
	Admitted, Referred int
}

// Decision is the decision about an offer, with the figures that decided it.
type Decision struct {
	Refused bool
	Cause   Cause
	// Wait is the time until there is room.
	Wait time.Duration
	// Rate is the rate at which the VM admits jobs of the team, and Ahead the number of jobs by which
	// the team is ahead of it.
	Rate, Ahead float64
	// Age is the age of what the VM knows.
	Age time.Duration
}

// Gate decides on the jobs that are offered to one VM. Create one with [NewGate].
type Gate struct {
	heard   bool
	heardAt time.Time
	// vms is the number of VMs among which a rate is divided.
	vms    int
	limits map[Key]Limit
	teams  map[Key]*gateTeam
	turns  *turns
}

// gateTeam is what a VM knows of a team's offers.
type gateTeam struct {
	meter meter
	count Count
}

// NewGate returns a gate that has heard of no limit.
func NewGate() *Gate {
	return &Gate{vms: 1, limits: map[Key]Limit{}, teams: map[Key]*gateTeam{}, turns: newTurns()}
}

// Heard records the limits in the leader's reply to a report that was sent at the given time, which replace
// all earlier ones, and the number of VMs that share them.
func (g *Gate) Heard(sent time.Time, limits []Limit, vms int) {
	if g.heard && sent.Before(g.heardAt) {
		return
	}
	g.heard, g.heardAt, g.vms = true, sent, max(1, vms)
	clear(g.limits)
	for _, l := range limits {
		g.limits[l.Key] = l
	}
}

// Age returns the age of what the gate knows, and false if it has heard nothing.
func (g *Gate) Age(now time.Time) (time.Duration, bool) { return now.Sub(g.heardAt), g.heard }

// Decide decides whether a job may be admitted. It changes nothing that later decisions depend on. The
// caller then calls Admitted, Returned or Turn.
func (g *Gate) Decide(now time.Time, o Offer) Decision {
	d, room, wait := g.state(now, o)
	t := g.team(o.Key)
	t.meter.drain(now, d.Rate)
	d.Ahead = t.meter.level[o.Class]
	excess := time.Duration(0)
	if d.Rate > 0 {
		excess = t.meter.excess(o.Class, d.Rate)
	}
	switch {
	case room == roomEnough, room == roomUnknown && excess == 0:
		return d
	case excess > 0:
		d.Refused, d.Cause = true, Rate
	case wait > max(o.Allowance, shortestReturn), d.Rate <= 0:
		d.Refused, d.Cause = true, Backlog
	}
	d.Wait = max(wait, excess)
	return d
}

// room is what a VM knows of the room for a job.
type room int

const (
	roomEnough room = iota
	roomUnknown
	roomMissing
)

// state returns what is known for an offer: the rate, the room, and the time until there is room if it is
// missing.
func (g *Gate) state(now time.Time, o Offer) (Decision, room, time.Duration) {
	d := Decision{Rate: o.Weight, Age: now.Sub(g.heardAt)}
	if !g.heard {
		d.Age = 0
		return d, roomUnknown, 0
	}
	l, limited := g.limits[o.Key]
	limited = limited && l.Backlogs[o.Class] > 0
	switch {
	case d.Age > limitLifetime, d.Age > NewsLifetime && !limited:
		return d, roomUnknown, 0
	case d.Age > NewsLifetime:
		d.Rate = o.Weight / float64(g.vms)
		return d, roomUnknown, 0
	case !limited:
		// Its jobs are counted as well, so that it is known how far the team is ahead once it is limited.
		d.Rate = o.Weight / float64(g.vms)
		return d, roomEnough, 0
	}
	d.Rate = l.Rate
	if wait := l.Backlogs[o.Class] - d.Age - o.Due; wait > 0 {
		return d, roomMissing, wait
	}
	return d, roomEnough, 0
}

// Admitted counts a job that was admitted.
func (g *Gate) Admitted(now time.Time, o Offer) {
	d, _, _ := g.state(now, o)
	t := g.team(o.Key)
	t.count.Admitted++
	if d.Rate > 0 {
		t.meter.drain(now, d.Rate)
		t.meter.add(o.Class, d.Rate)
	}
}

// AdmittedByLeader counts a job that was admitted since the leader said so, which has counted it then.
func (g *Gate) AdmittedByLeader(now time.Time, o Offer) {
	g.Admitted(now, o)
	t := g.team(o.Key)
	t.count.Admitted--
	t.count.Referred++
}

// Returned reports whether this VM, or the leader through it, has promised the caller of the offer a turn
// that has come.
func (g *Gate) Returned(now time.Time, o Offer) bool { return g.turns.ready(now, o) }

// Turn gives the caller of a refused offer a turn.
func (g *Gate) Turn(now time.Time, o Offer, d Decision) Turn {
	return g.turns.give(now, o, d.Wait, d.Rate)
}

// Refused counts a refused offer.
func (g *Gate) Refused(o Offer) { g.team(o.Key).count.Referred++ }

// TurnGiven records the turn that the leader has given to the caller of a refused offer.
func (g *Gate) TurnGiven(now time.Time, o Offer, t Turn) { g.turns.remember(now, o, t) }

// Report returns the counts since the last report, sorted. It forgets teams that have had no offers since.
func (g *Gate) Report(now time.Time) []Count {
	var list []Count
	for k, t := range g.teams {
		if t.count.Admitted+t.count.Referred > 0 {
			list = append(list, t.count)
			t.count = Count{Key: k}
		} else if now.Sub(t.meter.at) > limitLifetime {
			delete(g.teams, k)
		}
	}
	slices.SortFunc(list, func(a, b Count) int { return compareKeys(a.Key, b.Key) })
	return list
}

// Unreported returns the counts of a report that did not arrive to the next one.
func (g *Gate) Unreported(counts []Count) {
	for _, c := range counts {
		t := g.team(c.Key)
		t.count.Admitted += c.Admitted
		t.count.Referred += c.Referred
	}
}

func (g *Gate) team(k Key) *gateTeam {
	t := g.teams[k]
	if t == nil {
		t = &gateTeam{count: Count{Key: k}}
		g.teams[k] = t
	}
	return t
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Team, b.Team))
}
