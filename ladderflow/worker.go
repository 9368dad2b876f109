package ladderflow

import (
	"net/netip"
	"time"
)

// Worker is a worker's registration in the platform's store.
type Worker struct {
	ID      string
	Address netip.AddrPort
	Service string
	Zone    string
	// Incarnation identifies the worker's incarnation: it changes when the worker restarts.
	// It is zero if it is not known.
	Incarnation int64
	Capacity    Size
	// Labels holds the worker's labels. The last one names its rack.
	Labels []string
	// Draining is true once the worker is about to leave. RemainingTime is the minimum
	// time until it leaves.
	Draining      bool
	RemainingTime time.Duration
}

// Run identifies one run of a task.
type Run struct {
	Task   Task
	Number int
}

// ActiveRun is a run that a worker's status report lists as running.
type ActiveRun struct {
	Run Run
	// Checkpoint is the latest checkpoint, or empty if there is none.
	Checkpoint string
	// Percent is the finished share of the work. For a long-running task, 100 means
	// that it has started up and is serving.
	Percent int
	// TailLatency is the tail latency of a long-running task's responses.
	TailLatency time.Duration
	// ProcessorUsed is the processor usage, in thousandths of a core.
	ProcessorUsed int
}

// EndReason is the reason why a run ended.
type EndReason string

// The reasons why a run ends.
const (
	EndDone   EndReason = "done"
	EndFailed EndReason = "failed"
	// EndStopped means that the run was stopped by a stop order.
	EndStopped EndReason = "stopped"
	// EndLeaseExpired means that the worker's lease expired.
	EndLeaseExpired EndReason = "lapsed"
	// EndGangBroken means that the run of another member of the gang ended.
	EndGangBroken EndReason = "broken"
	// EndGangIncomplete means that the other members of the gang did not start in time.
	EndGangIncomplete EndReason = "alone"
)

// EndedRun is a run that a worker's status report lists as ended.
type EndedRun struct {
	// Sequence is the sequence number of the end. Each incarnation of a worker numbers
	// its ends from 1.
	Sequence int64
	Run      Run
	Reason   EndReason
	// Checkpoint is the latest checkpoint, or empty if there is none.
	Checkpoint string
}

// MaxListedEnds is the number of ends that a status report lists at most. The worker lists further
// ones once these are acknowledged.
const MaxListedEnds = 500

// StatusReport is a worker's response to a status poll.
type StatusReport struct {
	// Incarnation identifies the worker's incarnation, as in [Worker].
	Incarnation int64
	// Clock is the reading of the worker's monotonic clock.
	Clock   time.Duration
	Running []ActiveRun
	Ended   []EndedRun
}

// Start is an order to start a run.
type Start struct {
	Run     Run
	Payload string
	// Incarnation, if set, is the only incarnation of the worker that may carry out the order:
	// LeaseUntil is a time on its clock.
	Incarnation int64
	// Checkpoint is the checkpoint from which the run resumes, or empty.
	Checkpoint string
	// Ticket is the text of the ticket that allows the task on the worker, or empty.
	Ticket string
	// LeaseUntil is the time, on the worker's clock, at which the worker's lease expires
	// and the worker kills all its runs.
	LeaseUntil time.Duration
	// Fence is the fencing token of the leader that sends the order.
	Fence int64
}

// StartReply is a worker's reply to an order to start a run.
type StartReply struct {
	Refusal Refusal
	// Clock is the reading of the worker's monotonic clock, or zero if the reply does not show it.
	Clock time.Duration
}

// Refusal is the reason why a worker refused an order.
type Refusal string

// The reasons for a refusal.
const (
	NotRefused Refusal = ""
	// RefusedFenced means that the worker has seen a higher fencing token.
	RefusedFenced Refusal = "fence"
	// RefusedOldRun means that this run of the task, or a later one, has ended or was
	// stopped on the worker.
	RefusedOldRun Refusal = "old"
	// RefusedExpired means that the lease named in the order had expired.
	RefusedExpired Refusal = "late"
	// RefusedNoCapacity means that the worker lacks free capacity.
	RefusedNoCapacity Refusal = "room"
	// RefusedTicket means that the worker did not accept the ticket.
	RefusedTicket Refusal = "ticket"
	// RefusedOther means that the worker is unhealthy, that it cannot decode the order
	// or that a different worker answers at the address. Nothing was done.
	RefusedOther Refusal = "other"
)

// Ticket is the permission of the advice service to run a step's tasks on a worker.
type Ticket struct {
	Worker string
	Text   string
}
