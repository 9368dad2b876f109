package ladderplan

import (
	"math"
	"slices"
	"time"
)

const (
	// gangOrderMargin is the time allowed for a stop on its way to the worker, through a delegate that is not late.
	gangOrderMargin = 500 * time.Millisecond
	// progressTime is the least time for which a gang of an earlier leader is known before it may be stopped because
	// it shows no progress. A member is polled progressPollTime before that: a worker may delay its response to a
	// regular poll for longer.
	progressTime     = 400 * time.Millisecond
	progressPollTime = 200 * time.Millisecond
)

// lateGang says why a gang is stopped that is not known to be whole by its deadline.
const lateGang = "it is not whole in time"

// watchGang adds a gang that has runs to those that are not known to be whole.
func (p *Planner) watchGang(now time.Time, s *step) {
	if !s.gang.watched {
		s.gang.watched, s.gang.watchedAt = true, now
		p.watchedGangs = append(p.watchedGangs, s)
	}
}

// checkGangs stops the gangs that cannot become whole, or have not become so in time. A worker ends a member
// that waits for the others for longer than [Options.GangTimeout], and the run then counts as a fault.
func (p *Planner) checkGangs(now time.Time) {
	p.watchedGangs = slices.DeleteFunc(p.watchedGangs, func(s *step) bool {
		if !s.mayBeIncomplete() {
			s.gang.watched = false
			return true
		}
		m := s.countMembers()
		if m.earlier {
			p.stopGangRun(now, s, s.gang.lastRun-1)
		}
		if m.whole(s) {
			s.gang.watched = false
			return true
		}
		if why := p.whyIncomplete(now, s, m); why != "" {
			s.gang.stoppedLate = s.gang.stoppedLate || why == lateGang
			p.stopIncomplete(now, s, m, why)
		} else {
			p.pollMember(now, s, m)
		}
		return false
	})
}

// StopIncompleteGangs stops the gangs that are not known to be whole, except those that seem to be at work. It is for
// a leader that resigns: the next one may learn of the members too late. The next plan returns the orders.
func (p *Planner) StopIncompleteGangs(now time.Time) {
	for _, s := range p.watchedGangs {
		if !s.mayBeIncomplete() {
			continue
		}
		if m := s.countMembers(); !m.whole(s) && !p.mayBeWhole(s, m) {
			p.stopIncomplete(now, s, m, "the leader resigns")
		}
	}
}

// mayBeIncomplete reports whether the gang has runs, and its job still needs them.
func (s *step) mayBeIncomplete() bool {
	return s.round.job.active() && !s.finished() && slices.ContainsFunc(s.tasks, func(t *task) bool { return len(t.runs) > 0 })
}

// gangMembers describes the runs of a gang with the gang's last number.
type gangMembers struct {
	// present is the number of tasks with such a run, confirmed the number of those on which a worker has it, and
	// stopping the number of those that are stopped.
	present, confirmed, stopping int
	// ended is true if such a run of some task has ended.
	ended bool
	// atWork is true if the progress of a member shows that all were present.
	atWork bool
	// unstopped is true if any run of the gang is not stopped, and earlier if any has an earlier number.
	unstopped, earlier bool
}

func (s *step) countMembers() gangMembers {
	m := gangMembers{}
	for _, t := range s.tasks {
		present, confirmed := false, false
		for _, x := range t.runs {
			m.unstopped = m.unstopped || x.phase != phaseStopping
			if x.name.Number != s.gang.lastRun {
				m.earlier = m.earlier || x.phase != phaseStopping
				continue
			}
			present = true
			confirmed = confirmed || x.confirmed
			m.stopping += boolToInt(x.phase == phaseStopping)
			m.atWork = m.atWork || x.atWork()
		}
		m.present += boolToInt(present)
		m.confirmed += boolToInt(confirmed)
		m.ended = m.ended || t.lastClosedRun >= s.gang.lastRun
	}
	return m
}

// whole reports whether all members are present, so that none waits for another.
func (m gangMembers) whole(s *step) bool { return m.confirmed == len(s.tasks) && m.stopping == 0 }

// atWork reports whether the progress of a gang's member shows that it does not wait for the others. One that
// resumes from a checkpoint shows the progress of the checkpoint while it waits.
func (x *run) atWork() bool {
	fromStart := x.name.Number == 1 || !x.task.step.spec.Checkpointable
	return x.percent > 0 && (fromStart || x.progressedAt.After(x.startedAt))
}

// whyIncomplete returns why a gang must stop that is not known to be whole, or "" if it may still become so.
func (p *Planner) whyIncomplete(now time.Time, s *step, m gangMembers) string {
	switch {
	case m.stopping > 0 || m.ended:
		return "a member has stopped"
	case p.earlierRunsKnown && m.present < len(s.tasks):
		return "a member is missing"
	case p.options.GangTimeout == 0 || p.mayBeWhole(s, m):
		return ""
	case !now.Before(p.gangDeadline(s)):
		return lateGang
	}
	return ""
}

// mayBeWhole reports whether a gang that an earlier leader has started seems to be at work. The members that are not
// known may be on workers that have not answered yet.
func (p *Planner) mayBeWhole(s *step, m gangMembers) bool {
	return s.gang.orderedAt.IsZero() && !p.earlierRunsKnown && m.atWork
}

// pollMember polls a member of a gang that an earlier leader has started, to learn whether the gang is at work.
func (p *Planner) pollMember(now time.Time, s *step, m gangMembers) {
	if !s.gang.orderedAt.IsZero() || s.gang.polled || m.atWork || now.Before(p.gangDeadline(s).Add(-progressPollTime)) {
		return
	}
	s.gang.polled = true
	for _, t := range s.tasks {
		for _, x := range t.runs {
			if x.name.Number == s.gang.lastRun && !x.worker.unresponsive {
				p.orders.Polls = append(p.orders.Polls, x.worker.spec.ID)
				return
			}
		}
	}
}

// recordLateRun records, before the next run, whether the last one was stopped only because its leader was late.
func (g *gang) recordLateRun(members int) {
	switch {
	case g.stoppedLate && g.confirmed == members:
		g.lateRuns++
	case g.stoppedLate:
		g.lateRuns = 0
	}
	g.stoppedLate, g.confirmed = false, 0
}

// gangSince returns the time from which the wait of a gang's members is counted.
func (p *Planner) gangSince(s *step) time.Time {
	if at := s.gang.orderedAt; !at.IsZero() {
		return at
	}
	return p.options.ElectedAt
}

// gangDeadline returns when a gang that is not known to be whole is stopped, so that its members have ended before a
// worker gives up waiting. A leader that learns of its own starts too late, although all have arrived, allows more
// time for the next run: the gang would otherwise be stopped each time.
func (p *Planner) gangDeadline(s *step) time.Time {
	timeout := p.options.GangTimeout
	wait := max(timeout-p.options.StopTimeout-gangOrderMargin, timeout/2)
	if s.gang.orderedAt.IsZero() {
		return later(p.options.ElectedAt.Add(wait), s.gang.watchedAt.Add(progressTime))
	}
	return s.gang.orderedAt.Add(wait * time.Duration(1+s.gang.lateRuns))
}

// stopIncomplete stops the runs of a gang that are not stopped yet.
func (p *Planner) stopIncomplete(now time.Time, s *step, m gangMembers, why string) {
	if !m.unstopped {
		return
	}
	p.log.Info("stopping incomplete gang", "step", s.ref(), "run", s.gang.lastRun, "members", len(s.tasks), "confirmed", m.confirmed,
		"missing", len(s.tasks)-m.present, "adopted", s.gang.orderedAt.IsZero(), "age", now.Sub(p.gangSince(s)).Round(time.Millisecond), "why", why)
	p.stopGangRun(now, s, math.MaxInt)
}
