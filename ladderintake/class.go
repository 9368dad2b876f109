package ladderintake

import (
	"math"
	"time"

	"lacewingladder/ladderflow"
)

const (
	// Classes is the number of horizons by which jobs are told apart.
	Classes = 14
	// shortestHorizon is the horizon of the first class. The horizon of each class is horizonRatio times
	// that of the one before it.
	shortestHorizon = 500 * time.Millisecond
	horizonRatio    = math.Sqrt2
)

// Class is a set of jobs whose first tasks must end by about the same time. Classes are numbered from 0 by
// rising horizon.
type Class int

var horizons = func() (h [Classes]time.Duration) {
	for i := range h {
		h[i] = time.Duration(float64(shortestHorizon) * math.Pow(horizonRatio, float64(i))).Round(time.Millisecond)
	}
	return h
}()

// ClassOf returns the class for work that must be done within the given time: the one with the longest
// horizon that is no longer, or the first one.
func ClassOf(due time.Duration) Class {
	for i := Class(Classes - 1); i > 0; i-- {
		if due >= horizons[i] {
			return i
		}
	}
	return 0
}

// Horizon returns the time within which the most urgent work of the class must be done.
func (c Class) Horizon() time.Duration { return horizons[c] }

// Key names a team's jobs on one service.
type Key struct {
	Service, Team string
}

// Offer is a job that a caller submits.
type Offer struct {
	Key
	// Job is the job's ID.
	Job string
	// Weight is the team's weight: the number of its jobs per second that are owed. Zero means that no rate
	// is stated.
	Weight float64
	// Path is how long the job is expected to take. Objective is the time within which it should end.
	// Allowance is by how much longer than expected it may take. Slack is by how much later its first tasks may start if it does, and Due when they must
	// have ended then, from which Class follows.
	Path      time.Duration
	Objective time.Duration
	Allowance time.Duration
	Slack     time.Duration
	Due       time.Duration
	Class     Class
}

// NewOffer returns the offer of a team's job under the rules of its queue. Like the planner, it allows for a
// job that takes half as long again as its caller's estimates say. A step whose tasks do not fit into the team's
// quota together takes as many times as long as it needs turns.
func NewOffer(job *ladderflow.Job, q *ladderflow.Queue, team *ladderflow.Team) Offer {
	path, first := time.Duration(0), time.Duration(0)
	paths := make([]time.Duration, len(job.Steps))
	for i := range job.Steps {
		s := &job.Steps[i]
		before := time.Duration(0)
		for _, d := range s.DependsOn {
			if d >= 0 && d < i {
				before = max(before, paths[d])
			}
		}
		paths[i] = before + s.Estimate*turnsOf(s, team.Quota) + q.AdviceTime()
		path = max(path, paths[i])
		if before == 0 {
			first = max(first, paths[i])
		}
	}
	o := Offer{
		Key: Key{Service: job.Service, Team: job.Team}, Job: job.ID, Weight: team.Weight,
		Objective: time.Duration(q.ObjectiveFactor*float64(path)) + q.BaseObjective,
	}
	o.Path, o.Allowance = path, path/2
	o.Slack = max(0, o.Objective-path-o.Allowance)
	o.Due = o.Slack + first
	o.Class = ClassOf(o.Due)
	return o
}

// turnsOf returns how many times the tasks of a step must run one after the other under a quota. A task that
// does not fit alone counts as if it did.
func turnsOf(s *ladderflow.Step, quota ladderflow.Size) time.Duration {
	for _, r := range []*int{&quota.Processor, &quota.Memory, &quota.Accelerators} {
		if *r == 0 {
			*r = math.MaxInt // An amount of zero means that there is no limit.
		}
	}
	fit := max(1, s.Demand().FitCount(quota, s.Tasks))
	return time.Duration(max(1, (s.Tasks+fit-1)/fit))
}
