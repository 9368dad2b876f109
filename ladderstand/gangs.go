package ladderstand

import (
	"sync"
	"time"

	"lacewingladder/ladderflow"
)

// Gangs lets the members of a gang on several [PlatformWorker]s work only together. A member waits until
// all members of its run are present, and ends as alone if they do not come within the timeout. Once a
// member has ended otherwise, the others end as broken. Members that work end together. It is safe for
// concurrent use.
type Gangs struct {
	timeout time.Duration
	// members returns how many members the gang of a task has, or 0 if the task belongs to none.
	members func(ladderflow.Task) int
	// alone, if set, is called for each run that ends alone, with the time at which it had begun to wait. It must not
	// call the worker.
	alone func(ladderflow.Run, time.Time)

	mu   sync.Mutex
	runs map[gangRun]*gang
	// longest is the longest time that a member has waited.
	longest time.Duration
}

// gangRun is one run of a gang.
type gangRun struct {
	step   ladderflow.StepRef
	number int
}

// gang is what has become of one run of a gang.
type gang struct {
	// since is when the first member came.
	since   time.Time
	present map[ladderflow.Task]gangMember
	// duration is the longest one of the members, and failing holds the members that fail.
	duration time.Duration
	failing  []ladderflow.Task
	// complete is true from the moment when all members were present.
	complete bool
	// done is true once the gang has succeeded, and broken once a member has ended otherwise.
	done, broken bool
}

// gangMember is a member that runs on an incarnation of a worker.
type gangMember struct {
	worker      *PlatformWorker
	incarnation int64
}

// NewGangs returns gangs without members. Timeout is how long a member waits for the others. Members returns
// how many members the gang of a task has, or 0 if the task belongs to none. Alone, if not nil, is called
// for each run that ends alone, with the time at which it had begun to wait. It must not call the worker.
func NewGangs(timeout time.Duration, members func(ladderflow.Task) int, alone func(ladderflow.Run, time.Time)) *Gangs {
	return &Gangs{timeout: timeout, members: members, alone: alone, runs: map[gangRun]*gang{}}
}

// SetGangs makes the runs that start from now on members of gangs.
func (p *PlatformWorker) SetGangs(g *Gangs) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gangs = g
}

// giveUpGang ends a run that still waits for the other members of its gang.
func (p *PlatformWorker) giveUpGang(run ladderflow.Run, active *activeRun) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLease()
	if p.current.running[run] == active && p.gangs.waits(run) {
		p.endRun(run, ladderflow.EndGangIncomplete)
	}
}

// finishMember ends a run of an incarnation of the worker together with the other members of its gang.
func (p *PlatformWorker) finishMember(run ladderflow.Run, incarnation int64, reason ladderflow.EndReason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current.number == incarnation {
		p.expireLease()
		p.endRun(run, reason)
	}
}

// LongestWait returns the longest time that a member has waited for the others, successfully or not.
func (g *Gangs) LongestWait() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.longest
}

// key returns the run of a gang to which a run belongs.
func (*Gangs) key(run ladderflow.Run) gangRun {
	t := run.Task
	return gangRun{ladderflow.StepRef{Job: t.Job, Round: t.Round, Step: t.Step}, run.Number}
}

// has reports whether a run belongs to a gang. Without gangs, no run does.
func (g *Gangs) has(run ladderflow.Run) bool { return g != nil && g.members(run.Task) > 0 }

// join adds a run that has started on a worker. The mutex of the worker must be held.
func (g *Gangs) join(p *PlatformWorker, run ladderflow.Run, duration time.Duration, fails bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := g.key(run)
	a := g.runs[key]
	if a == nil {
		a = &gang{since: p.clock.Now(), present: map[ladderflow.Task]gangMember{}}
		g.runs[key] = a
	}
	a.present[run.Task] = gangMember{p, p.current.number}
	a.duration = max(a.duration, duration)
	if fails {
		a.failing = append(a.failing, run.Task)
	}
	if len(a.present) == g.members(run.Task) && !a.broken {
		a.complete = true
		g.longest = max(g.longest, p.clock.Now().Sub(a.since))
		time.AfterFunc(a.duration, func() { g.finish(run, a) })
	}
}

// waits reports whether a run still waits for other members.
func (g *Gangs) waits(run ladderflow.Run) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.runs[g.key(run)]
	return a != nil && !a.complete
}

// finish ends a gang whose members have worked for its duration. If some fail, the others end as broken.
func (g *Gangs) finish(run ladderflow.Run, a *gang) {
	g.mu.Lock()
	if a.broken {
		g.mu.Unlock()
		return
	}
	members, reason := a.list(), ladderflow.EndDone
	if len(a.failing) > 0 {
		failing := map[ladderflow.Task]gangMember{}
		for _, t := range a.failing {
			failing[t] = members[t]
		}
		members, reason = failing, ladderflow.EndFailed
	}
	a.done = reason == ladderflow.EndDone
	g.mu.Unlock()
	finishMembers(members, run.Number, reason)
}

// end takes note of the end of a run that has begun at a time, and returns why it ends: after the gang has succeeded, all members
// have. The other members end as well, unless this one has waited in vain. The mutex of the worker must be
// held.
func (g *Gangs) end(run ladderflow.Run, reason ladderflow.EndReason, since, now time.Time) ladderflow.EndReason {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.runs[g.key(run)]
	if a == nil {
		return reason
	}
	delete(a.present, run.Task)
	if !a.complete {
		g.longest = max(g.longest, now.Sub(since))
	}
	switch {
	case a.done:
		return ladderflow.EndDone
	case reason == ladderflow.EndGangIncomplete:
		if g.alone != nil {
			g.alone(run, since)
		}
	case !a.broken && reason != ladderflow.EndDone:
		a.broken = true
		go finishMembers(a.list(), run.Number, ladderflow.EndGangBroken)
	}
	return reason
}

// list returns the members that are present. The mutex of the gangs must be held.
func (a *gang) list() map[ladderflow.Task]gangMember {
	members := map[ladderflow.Task]gangMember{}
	for t, m := range a.present {
		members[t] = m
	}
	return members
}

// finishMembers ends the runs with a number of some members.
func finishMembers(members map[ladderflow.Task]gangMember, number int, reason ladderflow.EndReason) {
	for t, m := range members {
		m.worker.finishMember(ladderflow.Run{Task: t, Number: number}, m.incarnation, reason)
	}
}
