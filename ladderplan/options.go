package ladderplan

import (
	"time"

	"lacewingladder/ladderflow"
)

// Log takes structured lines.
type Log interface {
	Info(msg any, keyvals ...any)
	Warn(msg any, keyvals ...any)
	Debug(msg any, keyvals ...any)
}

// Options are what a [Planner] is made of.
type Options struct {
	// Fence outranks the orders of all earlier leaders.
	Fence int64
	// Hold is how long a worker's lease lasts from each look.
	Hold time.Duration
	// Longest bounds the lease that any leader may give a worker.
	Longest time.Duration
	// Elected is when the lead was won, and Former how long after that an earlier
	// leader may still believe that it leads.
	Elected time.Time
	Former  time.Duration
	// StopTime bounds the stopping of a run at a worker.
	StopTime time.Duration
	// Remembered is how long an ended job is known.
	Remembered time.Duration
	// Remote times a task's work away from its data.
	Remote float64
	Log    Log
	// MaxUnanswered bounds the starts that are sent and not answered yet. Zero sets no
	// bound. What waits beyond it is decided later, when its turn and its tickets are
	// known better.
	MaxUnanswered int
	// Order says which steps come first. It defaults to ByAim.
	Order Order
}

// Order is a rule for which steps come first.
type Order int

const (
	// ByAim puts urgent jobs first, then those that can still be in time, by the
	// latest time to begin, then late ones, and last those that are worth nothing.
	ByAim Order = iota
	// ByArrival serves first what came first. This rule and those below are what
	// ByAim is compared with.
	ByArrival
	// ByPriority serves first what the operators rank first.
	ByPriority
	// ByDeadline serves first what should end first.
	ByDeadline
	// ByLength serves the shortest first.
	ByLength
)

// Orders are what a [Planner] wants done.
type Orders struct {
	Starts []StartOrder
	Stops  []StopOrder
	Paces  []PaceOrder
	Asks   []Ask
	// Looks names workers to look at without delay.
	Looks []string
}

// StartOrder is an order to begin a run.
type StartOrder struct {
	Worker  ladderflow.Worker
	Run     ladderflow.Run
	Payload string
	Saved   string
	Ticket  string
	Until   time.Duration
	// First is true for a job's first start, and Waited how long the step has waited then.
	First  bool
	Waited time.Duration
}

// StopOrder is an order to end a run.
type StopOrder struct {
	Worker ladderflow.Worker
	Run    ladderflow.Run
}

// PaceOrder is an order to let a run work at a share of its speed.
type PaceOrder struct {
	Worker  ladderflow.Worker
	Run     ladderflow.Run
	Percent int
}
