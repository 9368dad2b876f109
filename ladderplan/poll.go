package ladderplan

import (
	"slices"
	"time"

	"lacewingladder/ladderflow"
)

const (
	// maxClockDriftPercent bounds how much slower a worker's clock runs than the leader's.
	maxClockDriftPercent = 2
	// leaseEndMargin covers the time between the end of a lease and the end of the worker's runs.
	leaseEndMargin = 200 * time.Millisecond
	// unresponsiveAfter is the time without an answered poll after which a worker gets no new
	// tasks. It is more than the longest time that a poll waits.
	unresponsiveAfter = 1600 * time.Millisecond
)

// SetWorkers sets the workers that the platform's store lists. It drops workers that are no longer
// listed and have no runs, and evacuates workers that have started to drain.
func (p *Planner) SetWorkers(now time.Time, list []ladderflow.Worker) {
	p.placementDue, p.pools.stale = true, true
	listed := map[string]bool{}
	for _, spec := range list {
		listed[spec.ID] = true
		w, ok := p.workers[spec.ID]
		if !ok {
			w = p.addWorker(spec)
		}
		w.listed = true
		w.setSpec(spec)
		if spec.Draining && w.leavesAt.IsZero() {
			w.leavesAt = now.Add(spec.RemainingTime)
			p.log.Info("worker is draining", "worker", spec.ID, "remaining", spec.RemainingTime)
			p.evacuate(now, w)
		}
		if !spec.Draining {
			w.leavesAt = time.Time{}
		}
	}
	for _, w := range p.allWorkers() {
		if listed[w.spec.ID] {
			continue
		}
		if w.listed {
			w.listed, p.hasIrregular = false, true
		}
		if p.holdsNothing(w) {
			p.dropWorker(w.spec.ID)
		}
	}
}

// holdsNothing reports whether nothing of what is known of a worker matters once it is not listed.
func (p *Planner) holdsNothing(w *worker) bool {
	return len(w.runs) == 0 && len(w.unknownEnds) == 0 && !p.unseenWorkers[w.spec.ID]
}

// SetStoreServing records whether the platform's store serves calls now. While it does not, the list
// of workers is not current, and workers can't renew their entries in it.
func (p *Planner) SetStoreServing(now time.Time, serving bool) {
	switch {
	case !serving:
		p.storeServingSince, p.storeWasAway = time.Time{}, true
	case p.storeServingSince.IsZero():
		p.storeServingSince = now
	}
}

// earlierLeasesExpired reports whether each lease that an earlier leader has granted must have expired.
func (p *Planner) earlierLeasesExpired(now time.Time) bool {
	ended := p.options.ElectedAt.Add(p.options.EarlierLeaderTimeout)
	if at := p.earlierLeadersEnded; !at.IsZero() && at.Before(ended) {
		ended = at
	}
	return now.After(ended.Add(p.options.LeaseDuration*(100+maxClockDriftPercent)/100 + leaseEndMargin))
}

// EarlierLeadersEnded records that no earlier leader, nor a delegate of one, acts after a time.
func (p *Planner) EarlierLeadersEnded(at time.Time) { p.earlierLeadersEnded = at }

// AddEarlierWorker adds a worker on which an earlier leader may have started tasks.
func (p *Planner) AddEarlierWorker(spec ladderflow.Worker) {
	w, ok := p.workers[spec.ID]
	if !ok {
		w = p.addWorker(spec)
	}
	w.mostCapacity = largestSize(w.mostCapacity, spec.Capacity)
	p.unseenWorkers[spec.ID] = true
}

// SetRoster sets the roster: the stored set of workers on which a leader may start tasks. No task
// starts on other workers, since the next leader would not know that they may have runs.
func (p *Planner) SetRoster(ids map[string]bool) {
	p.roster, p.placementDue, p.pools.stale = ids, true, true
	for id, w := range p.workers {
		w.inRoster = ids[id]
	}
}

// Workers returns the workers to poll.
func (p *Planner) Workers() []ladderflow.Worker {
	list := make([]ladderflow.Worker, 0, len(p.workers))
	for _, w := range p.allWorkers() {
		list = append(list, w.spec)
	}
	return list
}

// InRoster reports whether the stored roster must name a worker: it has answered this leader, so that tasks
// may start on it, or an earlier leader may have started tasks on it. An entry in the platform's list alone
// may name a worker that does not exist, for which the next leader would wait. A draining worker leaves the
// roster when its last run has ended and the store holds that, since nothing more starts on it.
func (p *Planner) InRoster(id string) bool {
	w, ok := p.workers[id]
	if !ok || !w.seenByLeader {
		return ok && p.unseenWorkers[id]
	}
	empty := len(w.runs) == 0 && w.lastStoredEnd >= w.lastSeenEnd && !p.unseenWorkers[id]
	return !w.spec.Draining || !empty
}

// PollParams holds the parameters of the next status poll of a worker.
type PollParams struct {
	// Acknowledged is the number up to which the store holds the worker's ends. The poll
	// acknowledges them.
	Acknowledged int64
	// Incarnation, unless it is zero, is the only incarnation of the worker that the poll may reach.
	// Acknowledged and LeaseUntil refer to it.
	Incarnation int64
	// LeaseUntil is the new end of the worker's lease. Zero leaves the lease unchanged.
	LeaseUntil time.Duration
	// HasUnstoredEnds is true while the worker lists ends that the store does not hold yet.
	HasUnstoredEnds bool
	// AwaitsStarts is true if the poll may acknowledge no ends before the starts that were sent to
	// the worker are answered.
	AwaitsStarts bool
}

// NextPoll returns the parameters of the next status poll of a worker. It returns false if the
// worker is unknown.
func (p *Planner) NextPoll(now time.Time, id string) (PollParams, bool) {
	w, ok := p.workers[id]
	if !ok {
		return PollParams{}, false
	}
	n := PollParams{HasUnstoredEnds: w.lastSeenEnd > w.lastStoredEnd}
	if w.seenByLeader && !w.unresponsive {
		n.Incarnation, n.LeaseUntil = w.incarnation, p.extendLease(now, w)
		// A worker that did not answer may have restarted. The number would then acknowledge ends
		// of the new incarnation, which counts from one again.
		if w.acknowledgeGuard.MayAcknowledge() {
			n.Acknowledged = w.lastStoredEnd
		} else {
			n.AwaitsStarts = w.lastStoredEnd > 0
		}
	}
	return n, true
}

// Acknowledged returns the worker's present incarnation and the highest number of its ends that the
// store holds.
func (p *Planner) Acknowledged(id string) (incarnation, lastEnd int64) {
	w, ok := p.workers[id]
	if !ok {
		return 0, 0
	}
	return w.incarnation, w.lastStoredEnd
}

// DelegateLease records that a delegate may renew a worker's lease during span from now on. It changes
// nothing while the worker is unresponsive: the delegate does not renew the worker's lease until the
// worker answers again. The delegate reports that answer within a second. The span that was recorded
// before the failure covers the renewals of that second.
func (p *Planner) DelegateLease(now time.Time, id string, span time.Duration) {
	if w, ok := p.workers[id]; ok && w.seenByLeader && !w.unresponsive {
		w.leaseEnd = max(w.leaseEnd, w.clock+now.Sub(w.polledAt)+span+p.options.LeaseDuration)
	}
}

// extendLease records a new end of a worker's lease and returns it.
func (p *Planner) extendLease(now time.Time, w *worker) time.Duration {
	end := w.clock + now.Sub(w.polledAt) + p.options.LeaseDuration
	w.leaseEnd = max(w.leaseEnd, end)
	return end
}

// RecordReport records a worker's status report, which was requested at sentAt.
func (p *Planner) RecordReport(now time.Time, id string, sentAt time.Time, report ladderflow.StatusReport) {
	w, ok := p.workers[id]
	if !ok {
		return
	}
	restarted := report.Incarnation != w.incarnation || w.incarnationSeenAt.IsZero()
	if w.isOutdated(sentAt, report) {
		p.log.Debug("outdated status report ignored", "worker", id, "incarnation", report.Incarnation, "clock", report.Clock)
		return
	}
	w.reportSentAt = sentAt
	if restarted || report.Clock > w.clock {
		clear(w.justEnded)
	}
	if restarted {
		p.resolveDeparted(now, w, report.Incarnation)
		if w.incarnation != 0 {
			p.recordCrash(now, w, func(x *run) bool { return !x.startSettledAt.Before(sentAt) || lists(report, x.name) })
		}
		p.resetIncarnation(now, w, report.Incarnation, report.Clock)
	}
	w.expired = nil
	w.acknowledgeGuard.PollAnswered(sentAt, report.Clock, restarted)
	if restarted || w.unresponsive || !w.seenByLeader || now.Sub(w.polledAt) >= unresponsiveAfter {
		p.pools.stale = true
	}
	w.clock, w.polledAt, w.unresponsive = report.Clock, now, false
	if !w.seenByLeader {
		w.seenByLeader, p.placementDue = true, true
		// An earlier leader may have granted a lease of the maximum length just before.
		w.leaseEnd = max(w.leaseEnd, report.Clock+p.options.MaxLeaseDuration)
		p.log.Debug("worker answered its first poll", "worker", id, "fence", p.options.Fence, "running", len(report.Running))
	}
	present := make(map[ladderflow.Run]bool, len(report.Running))
	for _, r := range report.Running {
		present[r.Run] = true
	}
	for _, e := range report.Ended {
		if e.Sequence > w.lastSeenEnd {
			p.logReturned(now, w, e.Run, string(e.Reason))
			p.endRun(now, w, e)
			w.lastSeenEnd = e.Sequence
			w.justEnded[e.Run] = true
		}
	}
	for _, r := range report.Running {
		p.recordActiveRun(now, w, r)
	}
	// A run that a full list lacks may have ended behind it.
	if len(report.Ended) < ladderflow.MaxListedEnds {
		for _, x := range slices.Clone(w.runOrder) {
			if !present[x.name] {
				p.handleMissingRun(now, sentAt, w, x)
			}
		}
		delete(p.unseenWorkers, id)
	}
	p.stopStalledRuns(now, w)
}

// isOutdated reports whether a status report that was requested at sentAt shows an earlier state of
// the worker than the last one. Reports of polls on different ways overtake each other.
func (w *worker) isOutdated(sentAt time.Time, report ladderflow.StatusReport) bool {
	switch {
	case w.incarnationSeenAt.IsZero():
		return false
	case report.Incarnation == w.incarnation:
		return report.Clock < w.clock
	}
	return sentAt.Before(w.reportSentAt)
}

// resetIncarnation discards the state that belongs to an earlier incarnation of a worker.
func (p *Planner) resetIncarnation(now time.Time, w *worker, incarnation int64, clock time.Duration) {
	if w.incarnation != 0 {
		p.log.Info("worker restarted", "worker", w.spec.ID, "incarnation", incarnation, "runs", len(w.runs))
		p.invalidateTickets(w)
		w.excludedUntil, w.backOffs, w.slowdown = now, 0, slowdown{}
	}
	w.incarnation, w.lastSeenEnd, w.lastStoredEnd, w.leaseEnd, w.incarnationSeenAt = incarnation, 0, 0, 0, now
	w.unknownEnds, w.lost = nil, nil
	if w.seenByLeader {
		// The poll that revealed the restart may have extended the lease to a time computed from
		// the clock of the old incarnation.
		w.leaseEnd = clock + p.options.MaxLeaseDuration
	}
}

// recordActiveRun records a run that a worker lists as under way.
func (p *Planner) recordActiveRun(now time.Time, w *worker, r ladderflow.ActiveRun) {
	x, ok := w.runs[r.Run]
	if !ok {
		p.logReturned(now, w, r.Run, "running")
		p.adoptOrStop(now, w, r)
		return
	}
	if x.phase == phaseSent || x.phase == phaseUnconfirmed {
		x.phase, x.startSettledAt = phaseRunning, now
		x.confirm()
	}
	x.recordProgress(now, r)
	if x.phase == phaseStopping {
		p.stopRun(now, x, "it is still running")
	}
	if x.phase == phaseRunning && x.sizeUnknown && p.staysUnknown(x.name.Task, x.startedAt) {
		p.stopRun(now, x, "its job is unknown")
	}
	if t := x.task; t != nil {
		t.recordCheckpoint(r.Checkpoint, r.Run.Number)
	}
}

// handleMissingRun handles a run that a status report does not list. The report was requested at
// sentAt.
func (p *Planner) handleMissingRun(now, sentAt time.Time, w *worker, x *run) {
	switch {
	case x.phase == phaseSent:
	case x.confirmed && x.startSettledAt.Before(sentAt):
		p.dropLostRuns(now, w, "the worker no longer lists it", x)
	case x.phase == phaseStopping && !x.stopAnsweredAt.IsZero() && x.stopAnsweredAt.Before(sentAt):
		p.dropLostRuns(now, w, "it was stopped before it started", x)
	case x.phase == phaseUnconfirmed && x.startSettledAt.Before(sentAt):
		p.stopRun(now, x, "its start was not answered")
	case x.phase == phaseStopping && !x.confirmed && x.stopAnsweredAt.IsZero():
		p.stopRun(now, x, "its stop was not answered")
	}
}

// PollFailed records that a worker did not answer a poll. If fenced is true, the worker rejected
// the poll because it has seen a newer fencing token.
func (p *Planner) PollFailed(id string, fenced bool) {
	if fenced {
		p.superseded = true
	}
	if w, ok := p.workers[id]; ok {
		w.unresponsive, p.pools.stale, p.hasIrregular = true, true, true
	}
}

// WorkerLeft records that a draining worker has left, and its runs have ended: it has deleted its entry in the
// store. The entry was written and deleted after the time since. It is ignored if the store was away since, which
// may have removed the entry as well.
func (p *Planner) WorkerLeft(now time.Time, id string, since time.Time) {
	w, ok := p.workers[id]
	if !ok || w.leavesAt.IsZero() || p.storeServingSince.IsZero() || p.storeServingSince.After(since) {
		return
	}
	w.unresponsive, p.pools.stale, p.hasIrregular = true, true, true
	delete(p.unseenWorkers, id)
	p.dropLostRuns(now, w, "the worker has left", slices.Clone(w.runOrder)...)
}

// WorkerReplaced records that a worker has ended beyond doubt, because a different one answers at its
// address.
func (p *Planner) WorkerReplaced(now time.Time, id string) {
	w, ok := p.workers[id]
	if !ok {
		return
	}
	w.unresponsive, p.pools.stale, p.hasIrregular = true, true, true
	delete(p.unseenWorkers, id)
	p.recordCrash(now, w, notListed)
	p.dropLostRuns(now, w, "a different worker answers at the address", slices.Clone(w.runOrder)...)
}

// expireLeases drops the runs of workers that are gone or whose lease has expired beyond doubt, and
// then the workers that are no longer listed. It also ends the wait for the runs of earlier leaders,
// once all their workers were seen or are gone, or all their leases must have expired.
func (p *Planner) expireLeases(now time.Time) {
	p.expireIrregular(now)
	if p.earlierRunsKnown {
		return
	}
	if len(p.unseenWorkers) == 0 || p.earlierLeasesExpired(now) {
		p.earlierRunsKnown, p.placementDue = true, true
		p.quotas.heard = true
		p.log.Info("all runs of earlier leaders are known", "unseen", len(p.unseenWorkers),
			"after", now.Sub(p.options.ElectedAt).Round(time.Millisecond))
		clear(p.unseenWorkers)
	}
}

// regular reports whether a worker is listed, has answered its last poll, and has no ends that are
// held. Nothing of it expires then.
func (w *worker) regular() bool { return w.listed && !w.unresponsive && len(w.unknownEnds) == 0 }

// expireIrregular does the part of expireLeases that concerns the workers that are not regular.
func (p *Planner) expireIrregular(now time.Time) {
	if !p.hasIrregular {
		return
	}
	p.hasIrregular = false
	for _, w := range p.allWorkers() {
		if w.regular() {
			continue
		}
		p.hasIrregular = true
		p.dropHeldEnds(w)
		if w.unresponsive && w.seenByLeader && p.leaseExpired(now, w) {
			delete(p.unseenWorkers, w.spec.ID)
			if len(w.runs) > 0 {
				w.expired = append(w.expired, w.runOrder...)
				p.dropLostRuns(now, w, "the worker's lease has expired", slices.Clone(w.runOrder)...)
			}
		}
		if !w.listed && p.holdsNothing(w) && now.Sub(w.polledAt) > unresponsiveAfter {
			p.dropWorker(w.spec.ID)
		}
	}
}

func (p *Planner) leaseExpired(now time.Time, w *worker) bool { return p.leaseLeft(now, w) < 0 }

// leaseLeft returns how much longer the runs of a worker that is not polled may last.
func (p *Planner) leaseLeft(now time.Time, w *worker) time.Duration {
	passed := now.Sub(w.polledAt) * (100 - maxClockDriftPercent) / 100
	return w.leaseEnd + leaseEndMargin - w.clock - passed
}
