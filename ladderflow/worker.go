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
	// Born identifies the worker's incarnation: it changes when the worker restarts.
	// It is zero if it is not known.
	Born     int64
	Capacity Size
	// Labels holds the worker's labels. The last one names its rack.
	Labels []string
	// Draining is true once the worker is about to leave. Leaves is the minimum time
	// until it does.
	Draining bool
	Leaves   time.Duration
}

// Run identifies one run of a task.
type Run struct {
	Task   Task
	Number int
}

// LiveRun is a run that a worker's status report lists as running.
type LiveRun struct {
	Run Run
	// Saved is the latest checkpoint, or empty if there is none.
	Saved string
	// Percent is the finished share of the work. For a long-running task, 100 means
	// that it has started up and is serving.
	Percent int
	// Tail is the tail latency of a long-running task's responses.
	Tail time.Duration
	// Used is the processor usage, in thousandths of a core.
	Used int
}

// How is the reason why a run ended.
type How string

// The reasons why a run ends.
const (
	EndDone   How = "done"
	EndFailed How = "failed"
	// EndStopped means that the run was stopped by a stop order.
	EndStopped How = "stopped"
	// EndLapsed means that the worker's lease expired.
	EndLapsed How = "lapsed"
	// EndBroken means that the run of another member of the gang ended.
	EndBroken How = "broken"
	// EndAlone means that the other members of the gang did not start in time.
	EndAlone How = "alone"
)

// EndedRun is a run that a worker's status report lists as ended.
type EndedRun struct {
	// Number is the sequence number of the end. Each incarnation of a worker numbers
	// its ends from 1.
	Number int64
	Run    Run
	How    How
	// Saved is the latest checkpoint, or empty if there is none.
	Saved string
}

// Look is a worker's status report, its response to a status poll.
type Look struct {
	// Born identifies the worker's incarnation.
	Born int64
	// Clock is the reading of the worker's monotonic clock.
	Clock   time.Duration
	Running []LiveRun
	Ended   []EndedRun
}

// Start is an order to start a run.
type Start struct {
	Run     Run
	Payload string
	// Saved is the checkpoint from which the run resumes, or empty.
	Saved string
	// Ticket is the text of the ticket that allows the task on the worker, or empty.
	Ticket string
	// Until is the time, on the worker's clock, at which the worker's lease expires
	// and the worker kills all its runs.
	Until time.Duration
	// Fence is the fencing token of the leader that sends the order.
	Fence int64
}

// Refusal is the reason why a worker refused an order.
type Refusal string

// The reasons for a refusal.
const (
	NotRefused Refusal = ""
	// RefusedFence means that the worker has seen a higher fencing token.
	RefusedFence Refusal = "fence"
	// RefusedOld means that this run of the task, or a later one, has ended or was
	// stopped on the worker.
	RefusedOld Refusal = "old"
	// RefusedLate means that the lease named in the order had expired.
	RefusedLate Refusal = "late"
	// RefusedRoom means that the worker lacks free capacity.
	RefusedRoom Refusal = "room"
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
