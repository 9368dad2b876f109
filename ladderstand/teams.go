package ladderstand

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderflow"
)

// Teams counts what teams run on several [PlatformWorker]s and finds starts that bring a team above its quota and one
// task more. A configuration may be in force until some time after the next one, and of those that may be in force
// the highest quota counts. It is safe for concurrent use.
type Teams struct {
	clock ladderclock.Clock
	// applied is how long after a configuration was stored an earlier one may be in force.
	applied time.Duration
	// task returns the team of a task and what the task occupies.
	task func(ladderflow.Task) (string, ladderflow.Size)
	// exceeded is called for each start that is found. It must not call the workers.
	exceeded func(ladderflow.Run, string)

	mu      sync.Mutex
	fleets  []storedFleet
	workers map[*PlatformWorker]*teamRuns
	most    map[string]ladderflow.Size
}

// storedFleet is a configuration and when it was stored.
type storedFleet struct {
	since time.Time
	fleet *ladderflow.FleetConfig
}

// teamRuns are the runs on a worker, which end with its lease.
type teamRuns struct {
	leaseEnd time.Time
	runs     map[ladderflow.Run]bool
}

// NewTeams returns teams without runs. Applied is how long after a configuration was stored an earlier one may be in
// force. Task returns the team of a task and what the task occupies. Exceeded is called for each start that is found,
// with a description; it must not call the workers.
func NewTeams(
	clock ladderclock.Clock, applied time.Duration, task func(ladderflow.Task) (string, ladderflow.Size), exceeded func(ladderflow.Run, string),
) *Teams {
	return &Teams{
		clock: clock, applied: applied, task: task, exceeded: exceeded, workers: map[*PlatformWorker]*teamRuns{}, most: map[string]ladderflow.Size{},
	}
}

// SetTeams makes the runs that start from now on count for their teams.
func (p *PlatformWorker) SetTeams(t *Teams) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.teams = t
}

// SetFleet records a configuration that was stored now.
func (t *Teams) SetFleet(f *ladderflow.FleetConfig) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	first := 0
	for i := 1; i < len(t.fleets); i++ {
		if now.Sub(t.fleets[i].since) > t.applied {
			first = i
		}
	}
	t.fleets = append(slices.Clone(t.fleets[first:]), storedFleet{now, f})
}

// Most returns the most that a team has had running, by each resource.
func (t *Teams) Most(team string) ladderflow.Size {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.most[team]
}

// start records a run that a worker has begun under a lease, and checks it. The mutex of the worker must be held.
func (t *Teams) start(p *PlatformWorker, run ladderflow.Run, leaseEnd time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.workers[p]
	if w == nil {
		w = &teamRuns{runs: map[ladderflow.Run]bool{}}
		t.workers[p] = w
	}
	w.runs[run], w.leaseEnd = true, leaseEnd
	team, size := t.task(run.Task)
	if team == "" {
		return
	}
	used := t.used(team)
	t.most[team] = ladderflow.Size{
		Processor: max(used.Processor, t.most[team].Processor), Memory: max(used.Memory, t.most[team].Memory),
		Accelerators: max(used.Accelerators, t.most[team].Accelerators),
	}
	var quotas []ladderflow.Size
	for i, f := range t.fleets {
		if i+1 < len(t.fleets) && t.clock.Now().Sub(t.fleets[i+1].since) > t.applied {
			continue
		}
		if x, ok := f.fleet.Team(team); ok {
			quotas = append(quotas, x.Quota)
		}
	}
	// The start is allowed if what ran before it was within a quota.
	before := used.Minus(size)
	if !slices.ContainsFunc(quotas, func(q ladderflow.Size) bool { return exceedsBy(before, q) == "" }) && len(quotas) > 0 {
		t.exceeded(run, fmt.Sprintf("team %s runs %v, above each quota that may be in force and one task more: %v", team, used, quotas))
	}
}

// end records that a run has ended. The mutex of the worker must be held.
func (t *Teams) end(p *PlatformWorker, run ladderflow.Run) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if w := t.workers[p]; w != nil {
		delete(w.runs, run)
	}
}

// extendLease records that the runs on a worker end at a later time. The mutex of the worker must be held.
func (t *Teams) extendLease(p *PlatformWorker, leaseEnd time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if w := t.workers[p]; w != nil {
		w.leaseEnd = leaseEnd
	}
}

// used returns what a team has running. The mutex must be held.
func (t *Teams) used(team string) ladderflow.Size {
	var used ladderflow.Size
	for _, w := range t.workers {
		if t.clock.Now().After(w.leaseEnd) {
			continue // The worker ends its runs at the next call.
		}
		for run := range w.runs {
			if name, size := t.task(run.Task); name == team {
				used = used.Plus(size)
			}
		}
	}
	return used
}

// exceedsBy names the resource by which an amount is above a quota, or returns an empty string.
func exceedsBy(used, quota ladderflow.Size) string {
	switch {
	case quota.Processor > 0 && used.Processor > quota.Processor:
		return "processor"
	case quota.Memory > 0 && used.Memory > quota.Memory:
		return "memory"
	case quota.Accelerators > 0 && used.Accelerators > quota.Accelerators:
		return "accelerators"
	}
	return ""
}
