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
	// LeaseDuration is the length of a worker's lease, counted from each poll or start.
	LeaseDuration time.Duration
	// MaxLeaseDuration bounds the lease that any leader may grant a worker.
	MaxLeaseDuration time.Duration
	// ElectedAt is when this leader was elected. EarlierLeaderTimeout is how long after that an
	// earlier leader may still act as leader.
	ElectedAt            time.Time
	EarlierLeaderTimeout time.Duration
	// EarlierLeaseEnd is when the leases of all earlier leaders have certainly ended. Until then, they
	// may hear of jobs that this leader does not know, and start them.
	EarlierLeaseEnd time.Time
	// StopTimeout is how long a worker may take to stop a run.
	StopTimeout time.Duration
	// GangTimeout is how long a worker lets a member of a gang wait for the others before it ends the run.
	// Zero means that there is no bound.
	GangTimeout time.Duration
	// JobRetention is how long callers can query a job after its end.
	JobRetention time.Duration
	// RemoteFactor is the factor by which work takes longer away from its data, or on several racks
	// instead of one.
	RemoteFactor float64
	Log          Log
	// MaxUnansweredStarts bounds the number of starts without a reply, for each VM that sends starts
	// (see [Planner.SetSenders]). The bound of a new leader is that of one VM, and grows while starts
	// are answered in time. Zero means that there is no bound. Starts beyond the bound are left to a
	// later plan, which has more recent ranks and tickets.
	MaxUnansweredStarts int
	// Order is the rule by which steps are ranked. It defaults to ByObjective.
	Order Order
}

// MaxOrders bounds the orders in flight. A leader that sent all orders of a takeover at once would be
// too busy to read the responses. The bound is several times what 600 starts per second at 20 ms
// each keep in flight, which leaves capacity for orders that are never answered.
const MaxOrders = 64

// Order is a rule for which steps start first.
type Order int

const (
	// ByObjective starts urgent jobs first, then jobs that can still meet their objective, then late
	// jobs, and last those whose result is no longer of use. Among jobs of the same kind, the one
	// that must start earliest to meet its objective comes first.
	ByObjective Order = iota
	// ByArrival starts steps in the order in which they became ready. This rule and those below
	// serve for comparison with ByObjective.
	ByArrival
	// ByPriority starts steps by the priority of their queues.
	ByPriority
	// ByDeadline starts the steps of the jobs that should end first.
	ByDeadline
	// ByDuration starts the steps with the shortest expected tasks first.
	ByDuration
)

// Orders are the actions that a [Planner] requests.
type Orders struct {
	Starts        []StartOrder
	Stops         []StopOrder
	SpeedLimits   []SpeedLimitOrder
	AdviceQueries []AdviceQuery
	// Polls names the workers to poll without delay.
	Polls []string
	// AtStartLimit is true if tasks were left waiting because too many starts are unanswered.
	AtStartLimit bool
}

// StartOrder is an order to start a run.
type StartOrder struct {
	Worker  ladderflow.Worker
	Run     ladderflow.Run
	Payload string
	// Checkpoint is the checkpoint from which the run resumes, if there is one.
	Checkpoint string
	// Ticket is the ticket of the advice service, if the queue needs advice.
	Ticket string
	// Incarnation is the only incarnation of the worker that may carry out the order, and LeaseUntil
	// the new end of the worker's lease, on that incarnation's clock.
	Incarnation int64
	LeaseUntil  time.Duration
	// FirstOfJob is true for the first start of a job.
	FirstOfJob bool
	// Waited is the time from when the step became ready to the start.
	Waited time.Duration
}

// StopOrder is an order to stop a run.
type StopOrder struct {
	Worker ladderflow.Worker
	Run    ladderflow.Run
}

// SpeedLimitOrder is an order to limit the speed of a run to a percentage of its full speed.
type SpeedLimitOrder struct {
	Worker  ladderflow.Worker
	Run     ladderflow.Run
	Percent int
}
