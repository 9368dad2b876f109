package laddervm

import (
	"fmt"
	"time"

	"lacewingladder/ladderplan"
)

// placementLogInterval is the time between two summaries of the placement in the log.
const placementLogInterval = time.Second

// placementLog sums up, for the log, what the planner did since the last summary and how long starts
// took to be answered.
type placementLog struct {
	since time.Time
	plans int
	// atLimit is the number of plans that left tasks waiting because too many starts were unanswered.
	atLimit  int
	planTime time.Duration
	// answers is the number of starts that were answered or given up, answerTime the sum of the times
	// that took, and maxAnswerTime the longest.
	answers       int
	answerTime    time.Duration
	maxAnswerTime time.Duration
}

func (l *placementLog) planned(took time.Duration, o ladderplan.Orders) {
	l.plans++
	l.planTime += took
	l.atLimit += boolToInt(o.AtStartLimit)
}

func (l *placementLog) answered(took time.Duration) {
	l.answers++
	l.answerTime += took
	l.maxAnswerTime = max(l.maxAnswerTime, took)
}

// logPlacement logs a summary of the placement if the last one is old enough.
func (t *term) logPlacement(now time.Time) {
	l := t.placement
	elapsed := now.Sub(l.since)
	if elapsed < placementLogInterval {
		return
	}
	t.placement = placementLog{since: now}
	if l.since.IsZero() {
		return
	}
	unanswered, limit := t.planner.StartLimit()
	t.log.Info("placement", "elapsed", elapsed.Round(time.Millisecond), "plans", l.plans, "planTime", l.planTime.Round(time.Millisecond),
		"atLimit", l.atLimit, "limit", limit, "unanswered", unanswered, "answers", l.answers,
		"meanAnswer", (l.answerTime / time.Duration(max(1, l.answers))).Round(time.Millisecond),
		"maxAnswer", l.maxAnswerTime.Round(time.Millisecond), "inbox", len(t.inbox), "delegates", len(t.delegates))
	t.logLoad(elapsed)
	for _, b := range t.planner.Backlogs() {
		t.log.Info("steps wait", "queue", b.Queue, "steps", b.Steps, "tasks", b.Tasks, "awaitingAdvice", b.AwaitingAdvice)
	}
	if g, ok := t.planner.GangBacklog(now); ok {
		t.logGangs(g)
	}
}

// logGangs logs what holds up the gangs that wait, and in detail the oldest of them.
func (t *term) logGangs(b ladderplan.GangBacklog) {
	g := b.Oldest
	t.log.Info("gangs wait", "steps", b.Steps, "reasons", fmt.Sprint(b.Reasons))
	t.log.Info("oldest gang waits", "step", g.Step, "queue", g.Queue, "reason", g.Reason, "age", g.Age.Round(time.Millisecond),
		"members", g.Members, "need", g.Need, "allowed", g.Allowed, "denied", g.Denied, "querying", g.Querying,
		"slots", g.Slots, "allowedSlots", g.AllowedSlots, "unreservedSlots", g.UnreservedSlots, "ticketSlots", g.TicketSlots,
		"reserved", g.Reserved, "startsIn", g.StartsIn.Round(time.Millisecond))
}
