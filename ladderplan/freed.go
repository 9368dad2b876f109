package ladderplan

import "time"

const (
	// retryInterval is the time after which a step with waiting tasks is tried again although no
	// worker that may run it has got more capacity: reservations may have ended, tickets expired.
	retryInterval = 20 * time.Millisecond
	// maxFreed bounds the entries of a freedLog. It is several times what accumulates in
	// retryInterval.
	maxFreed = 4096
)

// freedLog lists the workers that got more capacity or began to accept tasks, in that order. A step
// that could not start on any of the others needs to look only at the new entries.
type freedLog struct {
	workers []*worker
	// discarded is the number of entries that were discarded before the first of workers.
	discarded int
}

// add appends a worker.
func (l *freedLog) add(w *worker) {
	if len(l.workers) == maxFreed {
		half := maxFreed / 2
		l.discarded += half
		l.workers = append(l.workers[:0], l.workers[half:]...)
	}
	l.workers = append(l.workers, w)
}

// end returns the position behind the last entry.
func (l *freedLog) end() int { return l.discarded + len(l.workers) }

// since returns the entries from a position on. It returns false if some were discarded.
func (l *freedLog) since(position int) ([]*worker, bool) {
	if position < l.discarded {
		return nil, false
	}
	return l.workers[position-l.discarded:], true
}

// lastTry is when the planner last tried to start all waiting tasks of a step and failed.
type lastTry struct {
	at time.Time
	// freed is the position in the freedLog up to which the planner has looked.
	freed int
}

// hopeless reports whether trying to start the step's waiting tasks would fail again: the last try
// is recent, and no worker that may run the step was freed since.
func (sp *stepPlacement) hopeless() bool {
	s, log := sp.step, &sp.planner.freed
	if s.lastTry.at.IsZero() || sp.now.Sub(s.lastTry.at) >= retryInterval {
		return false
	}
	freed, ok := log.since(s.lastTry.freed)
	if !ok {
		return false
	}
	for _, w := range freed {
		if !sp.needsTickets() || s.tickets.answer(w) == answerAllowed {
			return false
		}
	}
	s.lastTry.freed = log.end()
	return true
}

// recordTry records that the step's waiting tasks could not be started, if there are any left.
func (sp *stepPlacement) recordTry() {
	sp.step.lastTry = lastTry{}
	if sp.step.waiting > 0 && !sp.planner.startLimitReached() && !sp.step.waitReason.ofQuota() {
		sp.step.lastTry = lastTry{at: sp.now, freed: sp.planner.freed.end()}
	}
}
