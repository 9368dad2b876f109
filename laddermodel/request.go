package laddermodel

import (
	"fmt"
	"time"
)

// Outcome is what became of a request.
type Outcome int

// The outcomes of a request.
const (
	// Unknown means that the request may have run.
	Unknown Outcome = iota
	// Ran means that the request ran and its whole answer is at hand.
	Ran
	// NotRun means that the request is proved not to have run.
	NotRun
)

// String returns the outcome's word in the callers' interface.
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

// ParseOutcome returns the outcome for a word of the callers' interface.
func ParseOutcome(word string) (Outcome, error) {
	for _, o := range []Outcome{Unknown, Ran, NotRun} {
		if o.String() == word {
			return o, nil
		}
	}
	return Unknown, fmt.Errorf("outcome %q is not ran, notrun or unknown", word)
}

// Kind is a kind of work. Each has its own policy.
type Kind int

// The kinds of work.
const (
	// Urgent work is placed at once or answered at once.
	Urgent Kind = iota
	// Batch work waits and fills gaps.
	Batch
	// Gang work starts all of its tasks at once or none.
	Gang
	// Service work stays until it is cancelled.
	Service
)

// String returns the kind's word in our formats.
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

// ParseKind returns the kind for a word of our formats.
func ParseKind(word string) (Kind, error) {
	for _, k := range []Kind{Urgent, Batch, Gang, Service} {
		if k.String() == word {
			return k, nil
		}
	}
	return Urgent, fmt.Errorf("kind %q is not urgent, batch, gang or service", word)
}

// Request is a caller's request for an immediate answer.
type Request struct {
	// ID is unique for each exchange with a caller.
	ID string
	// Key is the caller's idempotency key, or empty.
	Key    string
	Member string
	Class  string
	// Deadline is the time left when the request was received.
	Deadline time.Duration
	Body     []byte
	// Hops is how often entry VMs have handed the request on.
	Hops int
}

// Answer is the scheduler's answer to a [Request].
type Answer struct {
	Outcome Outcome
	// Body is the endpoint's whole answer when Outcome is [Ran].
	Body []byte
	// Reason says in plain words why the request did not run or may have run.
	Reason string
	// RetryAfter says when asking again makes sense. Zero means that it does not.
	RetryAfter time.Duration
	// Conflict is true when the key belongs to a different request.
	Conflict bool
	// Worker is where the last attempt went, or empty.
	Worker string
	// Attempts is the number of starts that were sent to workers.
	Attempts int
}

// Task is one unit of work on one worker.
type Task struct {
	// ID derives from the request or job and the attempt.
	ID     string
	Member string
	Class  string
	Kind   Kind
	Size   Size
	// Lease is how long the worker runs the task without a renewal.
	Lease time.Duration
	// Estimate is the expected run time, or zero.
	Estimate time.Duration
	Body     []byte
}

// Grant is a right to start tasks on one worker. It was issued by that worker
// and is checked by it at each start.
type Grant struct {
	Worker string
	// Boot identifies the run of the worker's process.
	Boot uint64
	// Epoch is the fencing token of the claim.
	Epoch uint64
	// Until is the time, on the worker's own clock, after which it accepts no
	// start under this grant.
	Until time.Duration
}

// Reservation is room on a worker that the ledger of its holder set aside.
type Reservation struct {
	// Task is the task for which the room is set aside.
	Task string
	// Worker is where the task is to start.
	Worker Worker
	// Grant goes with the start.
	Grant Grant
	// Holder is the entry VM whose ledger has the reservation.
	Holder string
}
