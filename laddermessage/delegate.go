package laddermessage

import (
	"net/netip"
	"time"

	"lacewingladder/ladderflow"
)

// Delegation assigns workers to a delegate, which polls them and renews their leases on behalf
// of the leader, and gives it orders to send to workers. The reply is [Ack] once the
// delegate has accepted the message, or [NotLeader] if it serves a newer leader.
//
// Points in time are given on the delegate's clock, as the time since its VM booted. That
// clock continues while the VM is suspended.
type Delegation struct {
	// Fence is the fencing token of the leader.
	Fence int64
	// RenewUntil is the time on the delegate's clock until which the delegate may renew the
	// workers' leases.
	RenewUntil time.Duration
	// SendBefore is the time on the delegate's clock before which the orders must be sent.
	// From then on the delegate does not send them.
	SendBefore time.Duration
	// LeaseDuration is the length of a worker's lease, which every poll renews.
	LeaseDuration time.Duration
	// OrderTimeout is the time limit for the worker's response to an order.
	OrderTimeout time.Duration
	// Assigned lists the workers that are newly assigned to the delegate, and assigned workers
	// for which more run ends are acknowledged.
	Assigned []Assignment
	// Unassigned names the workers that are no longer assigned to the delegate.
	Unassigned  []string
	Starts      []DelegatedStart
	Stops       []DelegatedStop
	SpeedLimits []DelegatedSpeedLimit
}

// Assignment is the assignment of a worker to a delegate.
type Assignment struct {
	Worker  string
	Address netip.AddrPort
	// Acknowledged is the highest sequence number among the run ends that the delegate
	// acknowledges to the worker. It applies only to the incarnation of the worker that
	// Incarnation identifies.
	Acknowledged int64
	Incarnation  int64
}

// DelegatedStart is an order that a delegate sends to a worker to start a run.
type DelegatedStart struct {
	Worker  string
	Address netip.AddrPort
	Start   ladderflow.Start
}

// DelegatedStop is an order that a delegate sends to a worker to stop a run.
type DelegatedStop struct {
	Worker  string
	Address netip.AddrPort
	Run     ladderflow.Run
}

// DelegatedSpeedLimit is an order that a delegate sends to a worker to limit the speed of a run.
type DelegatedSpeedLimit struct {
	Worker  string
	Address netip.AddrPort
	Run     ladderflow.Run
	// Percent is the percentage of its full speed at which the run may work.
	Percent int
}

// DelegatePoll polls a delegate for its next report. The reply is [DelegateReport], as soon as
// there is something to report or when the duration Wait has passed, or [NotLeader] if the
// delegate serves a newer leader.
type DelegatePoll struct {
	// Fence is the fencing token of the leader.
	Fence int64
	// After is the number of the last report that the leader has received.
	After int64
	// RenewUntil is the time on the delegate's clock until which the delegate may renew the
	// workers' leases, as in [Delegation].
	RenewUntil time.Duration
	Wait       time.Duration
}

// DelegateReport lists the results of a delegate's polls and orders since its previous report.
type DelegateReport struct {
	// Session identifies the period in which the delegate serves the leader. If it differs
	// from that of the previous report, the delegate has lost its earlier assignments and
	// orders.
	Session string
	Number  int64
	// ReceivedAt is the time on the delegate's clock when the [DelegatePoll] arrived, and
	// RepliedAt the time when the delegate replied.
	ReceivedAt time.Duration
	RepliedAt  time.Duration
	Polls      []PollResult
	Results    []OrderResult
}

// PollResult is the result of a status poll of a worker.
type PollResult struct {
	Worker string
	// SentAt is the time on the delegate's clock when the poll was sent.
	SentAt  time.Duration
	Outcome PollOutcome
	// Status is the worker's status report, if Outcome is [PollAnswered].
	Status ladderflow.StatusReport
}

// PollOutcome is the kind of result of a status poll.
type PollOutcome int

// The outcomes of a status poll. The values are part of the encoding.
const (
	PollAnswered PollOutcome = iota
	PollFailed
	// PollFenced means that the worker has accepted a newer leader.
	PollFenced
	// PollOtherWorker means that a worker with a different ID answers at the address.
	PollOtherWorker
	// PollUnanswered means that the poll has failed although the worker runs (see [platform.Reached]).
	PollUnanswered
)

// OrderResult is the result of an order to start or stop a run.
type OrderResult struct {
	Worker string
	Run    ladderflow.Run
	// Stop is true for an order to stop, and false for an order to start.
	Stop bool
	// Refusal is the worker's reason for refusing the order, or [ladderflow.NotRefused].
	Refusal ladderflow.Refusal
	// Unsent means that the order did not reach the worker.
	Unsent bool
	// Unknown means that the worker did not respond, so that the outcome is unknown.
	Unknown bool
	// Duration is the time that the delegate took for the order, including the wait while it
	// sent other orders.
	Duration time.Duration
}
