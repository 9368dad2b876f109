package ladderplan

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"lacewingladder/ladderflow"
)

// waitReason is what held a step's waiting tasks up in the last placement pass.
type waitReason uint8

const (
	waitUntried waitReason = iota
	waitEarlierRuns
	waitUnconfirmed
	waitStartLimit
	waitEarlierAttempt
	waitFirstTickets
	waitTooLarge
	waitReservingGangs
	waitAllowed
	waitReserved
	waitCapacity
	waitTickets
	waitRack
	waitQuota
	waitQuotaKept
	waitQuotaTooSmall
)

// ofQuota reports whether the quota of the step's team holds it back.
func (r waitReason) ofQuota() bool {
	return r == waitQuota || r == waitQuotaKept || r == waitQuotaTooSmall
}

// String returns the reason as text.
func (r waitReason) String() string {
	return [...]string{
		waitUntried:        "not tried yet",
		waitEarlierRuns:    "runs of earlier leaders are unknown",
		waitUnconfirmed:    "the leadership is not confirmed",
		waitStartLimit:     "too many starts are unanswered",
		waitEarlierAttempt: "an earlier attempt is not over",
		waitFirstTickets:   "no advice yet",
		waitTooLarge:       "too large for its workers",
		waitReservingGangs: "too many gangs have reservations",
		waitAllowed:        "allowed on too few workers",
		waitReserved:       "its workers are reserved for other gangs",
		waitCapacity:       "its workers have too little room",
		waitTickets:        "tickets are missing",
		waitRack:           "a single rack has too little room",
		waitQuota:          "the team's quota is in use",
		waitQuotaKept:      "the rest of the team's quota is kept for earlier work",
		waitQuotaTooSmall:  "it needs more at once than the team's quota",
	}[r]
}

// GangBacklog describes the ready gangs that wait.
type GangBacklog struct {
	Steps int
	// Reasons counts them by what held them up in the last placement pass, the most frequent first.
	Reasons []ReasonCount
	// Oldest is the one whose job was accepted first.
	Oldest WaitingGang
}

// ReasonCount is the number of steps that wait for a reason.
type ReasonCount struct {
	Reason string
	Steps  int
}

// String returns the count and the reason.
func (r ReasonCount) String() string { return fmt.Sprintf("%d: %s", r.Steps, r.Reason) }

// WaitingGang describes what holds a gang up. The slots are the numbers of its members that fit now on
// workers that accept tasks: on any of them, on those that are known to be allowed, on those of them that
// are not reserved for other gangs, and on those of these that have valid tickets.
type WaitingGang struct {
	Step   ladderflow.StepRef
	Queue  string
	Reason string
	// Age is the time since the job was accepted.
	Age     time.Duration
	Members int
	Need    ladderflow.Size
	// Allowed and Denied count the workers by the answers of the advice service. Querying is true while a
	// query is outstanding.
	Allowed, Denied int
	Querying        bool

	Slots, AllowedSlots, UnreservedSlots, TicketSlots int
	// Reserved is the number of workers that are reserved for the gang, and StartsIn the time until it is
	// expected to start on them. Both are zero if it has no reservation.
	Reserved int
	StartsIn time.Duration
}

// GangBacklog returns the backlog of gangs. It returns false if no gang waits.
func (p *Planner) GangBacklog(now time.Time) (GangBacklog, bool) {
	var b GangBacklog
	var oldest *step
	counts := map[waitReason]int{}
	p.refreshPools(now)
	for _, s := range p.readySteps {
		if !s.spec.Gang || s.waiting == 0 || s.finished() || !s.round.job.active() {
			continue
		}
		b.Steps++
		sp := p.stepPlacement(now, s)
		counts[sp.waitReason()]++
		if oldest == nil || cmp.Or(s.round.job.spec.Accepted.Compare(oldest.round.job.spec.Accepted),
			strings.Compare(s.round.job.spec.ID, oldest.round.job.spec.ID)) < 0 {
			oldest = s
		}
	}
	if oldest == nil {
		return b, false
	}
	for r, n := range counts {
		b.Reasons = append(b.Reasons, ReasonCount{r.String(), n})
	}
	slices.SortFunc(b.Reasons, func(a, b ReasonCount) int {
		return cmp.Or(cmp.Compare(b.Steps, a.Steps), strings.Compare(a.Reason, b.Reason))
	})
	sp := p.stepPlacement(now, oldest)
	b.Oldest = sp.waitingGang()
	return b, true
}

// waitReason returns what held the step's waiting tasks up in the last placement pass.
func (sp *stepPlacement) waitReason() waitReason {
	if sp.step.waitReason != waitReserved {
		return sp.step.waitReason
	}
	slots := 0
	for w := range sp.knownAllowed() {
		if sp.usable(w) && !w.probation {
			slots += sp.step.maxTasksOn(w)
		}
	}
	if slots < len(sp.step.tasks) {
		return waitAllowed
	}
	return waitReserved
}

// waitingGang describes what holds the step up, which is a gang.
func (sp *stepPlacement) waitingGang() WaitingGang {
	s := sp.step
	g := WaitingGang{
		Step: s.ref(), Queue: sp.queue.Name, Reason: sp.waitReason().String(), Age: sp.now.Sub(s.round.job.spec.Accepted),
		Members: len(s.tasks), Need: s.spec.Need, Allowed: len(s.tickets.rows), Denied: s.tickets.denied, Querying: s.tickets.outstanding > 0,
	}
	own := map[*worker]bool{}
	for _, o := range s.gang.reservation.slots {
		own[o.worker] = true
	}
	if len(own) > 0 {
		g.Reserved, g.StartsIn = len(own), s.gang.reservation.startAt().Sub(sp.now)
	}
	for _, w := range sp.pool() {
		if !sp.usable(w) || w.probation {
			continue
		}
		n := sp.freeSlots(w)
		g.Slots += n
		if sp.needsTickets() && s.tickets.answer(w) != answerAllowed {
			continue
		}
		g.AllowedSlots += n
		if w.reservedPass == sp.planner.reservationPass && !own[w] {
			continue
		}
		g.UnreservedSlots += n
		if !sp.needsTickets() || s.tickets.valid(w, sp.now) {
			g.TicketSlots += n
		}
	}
	return g
}
