package ladderholder

import (
	"fmt"
	"time"

	"lacewingladder/laddermodel"
)

// Ask is a wish for room.
type Ask struct {
	// Task identifies the attempt.
	Task string
	// Source is what may be to blame when the task fails: a class or a job.
	Source string
	Kind   laddermodel.Kind
	Size   laddermodel.Size
	// Policy names how to pick the worker.
	Policy string
	// Patience is how long the task may wait for room.
	Patience time.Duration
	// Rack restricts the choice to one rack, unless it is empty.
	Rack string
	// Avoid names a worker that must not be chosen, or is empty.
	Avoid string
}

// End is the end of a task's need for room.
type End struct {
	Worker string
	Task   string
	Source string
	// Ran is true when the task ran, and Failed when it reported a failure.
	Ran    bool
	Failed bool
	// Fenced is true when the worker refused the start as not covered by the
	// grant.
	Fenced bool
	// Leaving is true when the worker refused the start because it leaves.
	Leaving bool
}

// NoRoom is the error of an ask that found no room.
type NoRoom struct {
	Reason string
	// RetryAfter says when asking again makes sense.
	RetryAfter time.Duration
}

// Error returns the reason.
func (e *NoRoom) Error() string {
	return fmt.Sprintf("no room: %s", e.Reason)
}

// Finished is the end of a job's task, as the holder learned of it.
type Finished struct {
	// Seq numbers the ends that this holder learned of, from 1.
	Seq    uint64
	Task   string
	Worker string
	// Known is false when the task is gone without a word.
	Known   bool
	Failed  bool
	Stopped bool
}
