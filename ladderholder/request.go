package ladderholder

import (
	"fmt"
	"time"

	"lacewingladder/laddermodel"
)

// CapacityRequest is a request to reserve capacity for a task.
type CapacityRequest struct {
	// Task identifies the attempt.
	Task string
	// Source is the job or class that may be at fault, instead of the worker, if
	// the task fails.
	Source string
	Kind   laddermodel.Kind
	Size   laddermodel.Size
	// Policy names the placement policy that selects the worker.
	Policy string
	// MaxWait is how long the task may wait for capacity.
	MaxWait time.Duration
	// Rack limits the choice to the workers of one rack. If empty, all racks are
	// considered.
	Rack string
	// ExcludedWorker names a worker that must not be selected, or is empty.
	ExcludedWorker string
}

// TaskEnd describes a task whose capacity is released, and how it ended.
type TaskEnd struct {
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

// NoCapacityError is the error that is returned if no capacity could be reserved.
type NoCapacityError struct {
	Reason string
	// RetryAfter is the time after which a retry may succeed.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *NoCapacityError) Error() string {
	return fmt.Sprintf("no room: %s", e.Reason)
}

// FinishedTask records that a job's task ended.
type FinishedTask struct {
	// Seq is the sequence number of this end at its holder. Numbers start at 1.
	Seq    uint64
	Task   string
	Worker string
	// EndReported is true if the holder knows how the task ended. It is false if
	// the worker no longer lists the task and did not report its end.
	EndReported bool
	Failed      bool
	Stopped     bool
}
