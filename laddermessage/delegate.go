package laddermessage

import (
	"net/netip"
	"time"

	"lacewingladder/ladderflow"
)

// Errands tells a delegate which workers to hold for the leader, and hands it orders to
// carry out. It is answered by [Done] once the delegate has taken them, or by [NotLeading]
// when it serves a newer leader. Times named of the delegate's clock count from its start
// and go on while it is suspended.
type Errands struct {
	Fence int64
	// Valid is until when, on the delegate's clock, it may prolong the workers' leases.
	Valid time.Duration
	// Void is from when on, on the delegate's clock, it must not send the orders.
	Void time.Duration
	// Hold is how long a worker's lease lasts from each look, and Within bounds an order.
	Hold   time.Duration
	Within time.Duration
	// Charges are workers that are new to the delegate or of which more ends are noted,
	// and Dismissed those that it is to leave.
	Charges   []Charge
	Dismissed []string
	Starts    []StartErrand
	Stops     []StopErrand
	Paces     []PaceErrand
}

// Charge is a worker that a delegate holds.
type Charge struct {
	Worker  string
	Address netip.AddrPort
	// Noted is the highest number of an end that need not be listed again, of the life of
	// the worker that began at Born.
	Noted int64
	Born  int64
}

// StartErrand is a start that a delegate sends.
type StartErrand struct {
	Worker  string
	Address netip.AddrPort
	Start   ladderflow.Start
}

// StopErrand is a stop that a delegate sends.
type StopErrand struct {
	Worker  string
	Address netip.AddrPort
	Run     ladderflow.Run
}

// PaceErrand is a change of pace that a delegate sends.
type PaceErrand struct {
	Worker  string
	Address netip.AddrPort
	Run     ladderflow.Run
	Percent int
}

// Inquire asks a delegate what has happened. It is answered by [Report] as soon as there
// is something, or after Wait, or by [NotLeading].
type Inquire struct {
	Fence int64
	// After is the number of the last report that the leader has.
	After int64
	Valid time.Duration
	Wait  time.Duration
}

// Report is what a delegate has seen and done since the one before.
type Report struct {
	// Session names the time since the delegate began to serve the leader. Another one
	// than before knows nothing of earlier errands.
	Session string
	Number  int64
	// Heard is when, on the delegate's clock, the question arrived, and Clock when it was
	// answered.
	Heard   time.Duration
	Clock   time.Duration
	Looks   []LookReport
	Results []OrderReport
}

// LookReport is a look at a worker.
type LookReport struct {
	Worker string
	// Sent is when it was asked for, on the delegate's clock.
	Sent    time.Duration
	Outcome LookOutcome
	Look    ladderflow.Look
}

// LookOutcome says what became of a look.
type LookOutcome int

// The outcomes of a look.
const (
	LookAnswered LookOutcome = iota
	LookFailed
	// LookFenced means that the worker obeys a newer leader, and LookOtherLife that
	// another worker answers at its address.
	LookFenced
	LookOtherLife
)

// OrderReport is what became of an order.
type OrderReport struct {
	Worker string
	Run    ladderflow.Run
	// Stop tells the answer to a stop from that to a start.
	Stop    bool
	Refusal ladderflow.Refusal
	Unsent  bool
	Unknown bool
	// Took is how long the answer took.
	Took time.Duration
}
