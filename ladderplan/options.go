package ladderplan

import (
	"time"

	"lacewingladder/ladderflow"
)

// Log writes structured log messages.
type Log interface {
	Info(msg any, keyvals ...any)
	Warn(msg any, keyvals ...any)
	Debug(msg any, keyvals ...any)
}

// Options configures a [Planner].
type Options struct {
	// Fence is the leader's fencing token. It is higher than those of all earlier leaders.
	Fence int64
	// Hold is the length of a worker's lease, counted from each poll or start.
	Hold time.Duration
	// Longest bounds the lease that any leader may grant a worker.
	Longest time.Duration
	// Elected is when this leader was elected. Former is how long after that an earlier leader may
	// still act as leader.
	Elected time.Time
	Former  time.Duration
	// StopTime is how long a worker may take to stop a run.
	StopTime time.Duration
	// Remembered is how long callers can query a job after its end.
	Remembered time.Duration
	// Remote is the factor by which work takes longer away from its data, or on several racks
	// instead of one.
	Remote float64
	Log    Log
	// MaxUnanswered bounds the number of starts without a reply. Zero means that there is no bound.
	// Starts beyond the bound are left to a later plan, which knows the ranks and tickets better.
	MaxUnanswered int
	// Order is the rule by which steps are ranked. It defaults to ByAim.
	Order Order
}

// Order is a rule for which steps start first.
type Order int

const (
	// ByAim starts urgent jobs first, then jobs that can still meet their objective, by the latest
	// time at which they must start, then late jobs, and last those whose result is no longer of
	// use.
	ByAim Order = iota
	// ByArrival starts steps in the order in which they became ready. This rule and those below
	// serve for comparison with ByAim.
	ByArrival
	// ByPriority starts steps by the priority of their queues.
	ByPriority
	// ByDeadline starts the steps of the jobs that should end first.
	ByDeadline
	// ByLength starts the steps with the shortest expected tasks first.
	ByLength
)

// Orders are the actions that a [Planner] requests.
type Orders struct {
	Starts []StartOrder
	Stops  []StopOrder
	Paces  []PaceOrder
	Asks   []Ask
	// Looks names the workers to poll without delay.
	Looks []string
}

// StartOrder is an order to start a run.
type StartOrder struct {
	Worker  ladderflow.Worker
	Run     ladderflow.Run
	Payload string
	// Saved is the checkpoint from which the run resumes, if there is one.
	Saved string
	// Ticket is the ticket of the advice service, if the queue needs advice.
	Ticket string
	// Until is the new end of the worker's lease, on the worker's clock.
	Until time.Duration
	// First is true for the first start of a job. Waited is how long the step had been ready by
	// then.
	First  bool
	Waited time.Duration
}

// StopOrder is an order to stop a run.
type StopOrder struct {
	Worker ladderflow.Worker
	Run    ladderflow.Run
}

// PaceOrder is an order to limit the speed of a run to a percentage of its full speed.
type PaceOrder struct {
	Worker  ladderflow.Worker
	Run     ladderflow.Run
	Percent int
}
