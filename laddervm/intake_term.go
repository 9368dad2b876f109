package laddervm

import (
	"time"

	"lacewingladder/ladderintake"
	"lacewingladder/laddermessage"
)

// intakePauseFactor times the duration of the last decision on limits is the shortest time until the next one,
// so that a leader with a small processor spends a twentieth of it on them at most.
const intakePauseFactor = 20

// intakeLimits handles a VM's report on the control goroutine and returns the limits for it.
func (t *term) intakeLimits(m laddermessage.IntakeReport) laddermessage.Message {
	now := t.vm.clock.Now()
	for _, id := range m.Unsettled {
		t.unsettled.Unknown(now, id)
	}
	if !t.updateIntake(now) {
		return laddermessage.NotLeader{}
	}
	t.intake.Report(now, m.VM, m.Counts)
	return laddermessage.IntakeLimits{Limits: t.intake.Limits(now, m.VM, t.vm.vmCount())}
}

// intakeTurn handles a query about a job that a VM would refuse, on the control goroutine.
func (t *term) intakeTurn(m laddermessage.IntakeQuery) laddermessage.Message {
	now := t.vm.clock.Now()
	if t.planner.Knows(m.Offer.Job) || t.unsettled.Has(now, m.Offer.Job) {
		return laddermessage.IntakeTurn{Found: true}
	}
	if !t.updateIntake(now) {
		return laddermessage.NotLeader{}
	}
	turn := t.intake.Turn(now, m.Offer, m.Cause)
	return laddermessage.IntakeTurn{Promised: turn.Promised, Ready: turn.Ready, Wait: turn.Wait}
}

// updateIntake decides which teams are limited, if the last decision is not recent. It returns false while
// the leader does not know what runs: it would take tasks that run for tasks that wait.
func (t *term) updateIntake(now time.Time) bool {
	if now.Before(t.intakeDue) {
		return true
	}
	loads, ok := t.planner.Pressure(now)
	if !ok {
		return false
	}
	defer func() {
		took := t.vm.clock.Now().Sub(now)
		t.intakeDue = now.Add(max(ladderintake.UpdateInterval, intakePauseFactor*took))
	}()
	for _, c := range t.intake.Update(now, loads) {
		t.log.Info("limit of a team changed", "team", c.Team, "service", c.Service, "limited", c.Limited,
			"horizon", c.Class.Horizon(), "backlog", c.Backlog.Round(time.Millisecond))
	}
	return true
}
