package laddermessage

import (
	"net/netip"
	"time"

	"lacewingladder/ladderflow"
)

// Errands assigns workers to a delegate, which polls them and renews their leases on behalf
// of the leader, and gives it orders to send to workers. The reply is [Done] once the
// delegate has accepted the message, or [NotLeading] if it serves a newer leader.
//
// Points in time are given on the delegate's clock, as the time since its VM booted. That
// clock continues while the VM is suspended.
type Errands struct {
	// Fence is the fencing token of the leader.
	Fence int64
	// Valid is the time on the delegate's clock until which the delegate may renew the
	// workers' leases.
	Valid time.Duration
	// Void is the time on the delegate's clock from which on the delegate must not send the
	// orders.
	Void time.Duration
	// Hold is the length of a worker's lease, which every poll renews.
	Hold time.Duration
	// Within is the time limit for the worker's response to an order.
	Within time.Duration
	// Charges lists the workers that are newly assigned to the delegate, and assigned workers
	// for which more run ends are acknowledged.
	Charges []Charge
	// Dismissed names the workers that are no longer assigned to the delegate.
	Dismissed []string
	Starts    []StartErrand
	Stops     []StopErrand
	Paces     []PaceErrand
}

// Charge is the assignment of a worker to a delegate.
type Charge struct {
	Worker  string
	Address netip.AddrPort
	// Noted is the highest number among the run ends that the delegate acknowledges to the
	// worker. It applies only to the worker's incarnation that began at Born.
	Noted int64
	Born  int64
}

// StartErrand is an order that a delegate sends to a worker to start a run.
type StartErrand struct {
	Worker  string
	Address netip.AddrPort
	Start   ladderflow.Start
}

// StopErrand is an order that a delegate sends to a worker to stop a run.
type StopErrand struct {
	Worker  string
	Address netip.AddrPort
	Run     ladderflow.Run
}

// PaceErrand is an order that a delegate sends to a worker to limit the speed of a run.
type PaceErrand struct {
	Worker  string
	Address netip.AddrPort
	Run     ladderflow.Run
	// Percent is the percentage of its full speed at which the run may work.
	Percent int
}

// Inquire polls a delegate for its next report. The reply is [Report], as soon as there is
// something to report or when the duration Wait has passed, or [NotLeading] if the delegate
// serves a newer leader.
type Inquire struct {
	// Fence is the fencing token of the leader.
	Fence int64
	// After is the number of the last report that the leader has received.
	After int64
	// Valid is the time on the delegate's clock until which the delegate may renew the
	// workers' leases, as in [Errands].
	Valid time.Duration
	Wait  time.Duration
}

// Report lists the results of a delegate's polls and orders since its previous report.
type Report struct {
	// Session identifies the period in which the delegate serves the leader. If it differs
	// from that of the previous report, the delegate has lost its earlier assignments and
	// orders.
	Session string
	Number  int64
	// Heard is the time on the delegate's clock when the [Inquire] arrived, and Clock the
	// time when the delegate replied.
	Heard   time.Duration
	Clock   time.Duration
	Looks   []LookReport
	Results []OrderReport
}

// LookReport is the result of a status poll of a worker.
type LookReport struct {
	Worker string
	// Sent is the time on the delegate's clock when the poll was sent.
	Sent    time.Duration
	Outcome LookOutcome
	// Look is the worker's status report, if Outcome is [LookAnswered].
	Look ladderflow.Look
}

// LookOutcome is the kind of result of a status poll.
type LookOutcome int

// The outcomes of a status poll. The values are part of the encoding.
const (
	LookAnswered LookOutcome = iota
	LookFailed
	// LookFenced means that the worker has accepted a newer leader.
	LookFenced
	// LookOtherLife means that a worker with a different ID answers at the address.
	LookOtherLife
)

// OrderReport is the result of an order to start or stop a run.
type OrderReport struct {
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
	// Took is the time from sending the order until the result, including any wait for the
	// delegate's other orders.
	Took time.Duration
}
