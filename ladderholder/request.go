package ladderholder

import (
	"fmt"
	"time"

	"lacewingladder/laddermodel"
)

// Ask is a request to reserve capacity for a task.
type Ask struct {
	// Task identifies the attempt.
	Task string
	// Source is the job or class that may be at fault, instead of the worker, if
	// the task fails.
	Source string
	Kind   laddermodel.Kind
	Size   laddermodel.Size
	// Policy names the placement policy that selects the worker.
	Policy string
	// Patience is how long the task may wait for capacity.
	Patience time.Duration
	// Rack limits the choice to the workers of one rack. If empty, all racks are
	// considered.
	Rack string
	// Avoid names a worker that must not be selected, or is empty.
	Avoid string
}

// End describes a task whose capacity is released, and how it ended.
type End struct {
	Worker string
	Task   string
	Source string
	// Ran is true if the task ran. Failed is true if it ran and reported a
	// failure.
	Ran    bool
	Failed bool
	// Fenced is true if the worker refused the start because the grant did not
	// cover it.
	Fenced bool
	// Leaving is true if the worker refused the start because it is leaving.
	Leaving bool
}

// NoRoom is the error that is returned if no capacity could be reserved.
type NoRoom struct {
	Reason string
	// RetryAfter is the time after which a retry may succeed.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *NoRoom) Error() string {
	return fmt.Sprintf("no room: %s", e.Reason)
}

// Finished records that a job's task ended.
type Finished struct {
	// Seq is the sequence number of this end at its holder. Numbers start at 1.
	Seq    uint64
	Task   string
	Worker string
	// Known is true if the holder knows how the task ended. It is false if the
	// worker no longer lists the task and did not report its end.
	Known   bool
	Failed  bool
	Stopped bool
}
