package laddermessage

import (
	"time"

	"lacewingladder/ladderintake"
)

// IntakeReport informs the leader of the jobs of teams that the sender was offered since its last report.
// The reply is [IntakeLimits], or [NotLeader] if the receiver is not the leader or does not know yet what
// runs.
type IntakeReport struct {
	// VM is the name of the sender.
	VM     string
	Counts []ladderintake.Count
	// Unsettled holds the IDs of jobs whose submission to the sender has an unknown outcome, so that no VM
	// must refuse them.
	Unsettled []string
}

// IntakeLimits states which teams are limited. All others are not.
type IntakeLimits struct {
	Limits []ladderintake.Limit
}

// IntakeQuery asks the leader about a job that the sender would refuse. The reply is [IntakeTurn] or
// [NotLeader].
type IntakeQuery struct {
	Offer ladderintake.Offer
	// Cause is why the sender would refuse it.
	Cause ladderintake.Cause
}

// IntakeTurn tells when the caller of a refused job should come back.
type IntakeTurn struct {
	// Found is true if the leader knows the job, or that it may have been accepted, so that it must not be
	// refused.
	Found bool
	// Promised is true if the caller will be admitted after Wait, and Ready if the job is to be admitted now.
	Promised, Ready bool
	Wait            time.Duration
}
