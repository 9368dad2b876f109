package laddermodel

import (
	"fmt"
	"time"
)

// Outcome states whether a request ran.
type Outcome int

// The outcomes of a request.
const (
	// Unknown means that the request may have run.
	Unknown Outcome = iota
	// Ran means that the request ran and its complete answer was received.
	Ran
	// NotRun means that the request certainly did not run and never will.
	NotRun
)

// String returns the outcome's name in the callers' interface.
func (o Outcome) String() string {
	switch o {
	case Ran:
		return "ran"
	case NotRun:
		return "notrun"
	default:
		return "unknown"
	}
}

// ParseOutcome returns the outcome with the given name.
func ParseOutcome(name string) (Outcome, error) {
	for _, o := range []Outcome{Unknown, Ran, NotRun} {
		if o.String() == name {
			return o, nil
		}
	}
	return Unknown, fmt.Errorf("outcome %q is not ran, notrun or unknown", name)
}

// Kind is a kind of work. Each kind is scheduled differently.
type Kind int

// The kinds of work.
const (
	// Urgent work does not wait in the queue. It is started or rejected while its
	// caller waits.
	Urgent Kind = iota
	// Batch work waits in the queue and uses capacity that urgent work leaves free.
	Batch
	// Gang work starts all of its tasks together or none.
	Gang
	// Service work runs until it is canceled.
	Service
)

// String returns the kind's name, as all formats write it.
func (k Kind) String() string {
	switch k {
	case Batch:
		return "batch"
	case Gang:
		return "gang"
	case Service:
		return "service"
	default:
		return "urgent"
	}
}

// ParseKind returns the kind with the given name.
func ParseKind(name string) (Kind, error) {
	for _, k := range []Kind{Urgent, Batch, Gang, Service} {
		if k.String() == name {
			return k, nil
		}
	}
	return Urgent, fmt.Errorf("kind %q is not urgent, batch, gang or service", name)
}

// Request is a caller's request that is answered while the caller waits.
type Request struct {
	// ID is unique for each HTTP request of a caller.
	ID string
	// Key is the caller's idempotency key, or empty if there is none.
	Key    string
	Member string
	Class  string
	// Deadline is the time that the caller waits, counted from the receipt of the
	// request.
	Deadline time.Duration
	Body     []byte
	// Hops is how often entry VMs have forwarded the request.
	Hops int
}

// Answer is the scheduler's answer to a [Request].
type Answer struct {
	Outcome Outcome
	// Body is the endpoint's complete answer if Outcome is [Ran].
	Body []byte
	// Reason explains to the caller why the outcome is not [Ran].
	Reason string
	// RetryAfter is the time after which the caller may retry. Zero means that a
	// retry is not useful.
	RetryAfter time.Duration
	// Conflict is true if the idempotency key was used for a different request.
	Conflict bool
	// Worker is the name of the worker of the last attempt, or empty if there was
	// none.
	Worker string
	// Attempts is the number of times that a start was sent to a worker.
	Attempts int
}

// Task is one unit of work, which runs on one worker.
type Task struct {
	// ID is made from the ID of the request or job and the number of the attempt.
	ID     string
	Member string
	// Class is the class of the request, or the team of the job.
	Class string
	Kind  Kind
	Size  Size
	// Lease is how long the worker runs the task without a renewal of the lease.
	Lease time.Duration
	// Estimate is the expected run time, or zero if it is not known.
	Estimate time.Duration
	Body     []byte
}

// Grant is the permission to start tasks on one worker. The worker issues it with a
// claim and checks it at each start.
type Grant struct {
	Worker string
	// Boot identifies the incarnation of the worker's process.
	Boot uint64
	// Epoch is the fencing token of the claim on the worker.
	Epoch uint64
	// Until is the time, on the worker's clock, after which the worker accepts no
	// start under this grant.
	Until time.Duration
}

// Reservation is capacity of a worker that its holder has reserved for a task. The
// holder is the entry VM that has the claim on the worker.
type Reservation struct {
	// Task is the ID of the task for which the capacity is reserved.
	Task string
	// Worker is the worker on which the task is to start.
	Worker Worker
	// Grant is sent to the worker with the start.
	Grant Grant
	// Holder is the name of the entry VM that made the reservation.
	Holder string
}
