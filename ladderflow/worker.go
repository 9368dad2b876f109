package ladderflow

import (
	"net/netip"
	"time"
)

// Worker is what a worker says of itself in the platform's store.
type Worker struct {
	ID      string
	Address netip.AddrPort
	Service string
	Zone    string
	// Born tells the lives of a worker apart. It is zero where it is not known.
	Born     int64
	Capacity Size
	Labels   []string
	// Draining is true once the worker is about to leave, Leaves after at least
	// that time.
	Draining bool
	Leaves   time.Duration
}

// Run names one run of a task.
type Run struct {
	Task   Task
	Number int
}

// LiveRun is a run that a worker lists as under way.
type LiveRun struct {
	Run Run
	// Saved is the newest checkpoint, or empty.
	Saved string
	// Percent is how much of the work is done; for a lasting task 100 means that
	// it is at work.
	Percent int
	// Tail is the tail of a lasting task's response times.
	Tail time.Duration
	// Used is the processor time in use, in thousandths of a core.
	Used int
}

// How says how a run ended.
type How string

// The ways in which a run ends.
const (
	EndDone    How = "done"
	EndFailed  How = "failed"
	EndStopped How = "stopped"
	EndLapsed  How = "lapsed"
	// EndBroken means that another member of the gang ended.
	EndBroken How = "broken"
	// EndAlone means that the run waited too long for the rest of its gang.
	EndAlone How = "alone"
)

// EndedRun is a run that a worker lists as ended.
type EndedRun struct {
	// Number counts the ends of one life of the worker from 1.
	Number int64
	Run    Run
	How    How
	Saved  string
}

// Look is a worker's account of itself.
type Look struct {
	Born int64
	// Clock is the worker's own steady clock.
	Clock   time.Duration
	Running []LiveRun
	Ended   []EndedRun
}

// Start is an order to begin a run.
type Start struct {
	Run     Run
	Payload string
	Saved   string
	Ticket  string
	// Until is when all that runs on the worker is killed, on its own clock.
	Until time.Duration
	Fence int64
}

// Refusal says why a worker did not begin a run.
type Refusal string

// The reasons of a worker.
const (
	NotRefused    Refusal = ""
	RefusedFence  Refusal = "fence"
	RefusedOld    Refusal = "old"
	RefusedLate   Refusal = "late"
	RefusedRoom   Refusal = "room"
	RefusedTicket Refusal = "ticket"
	// RefusedOther stands for a worker that is sick, is another life than the one
	// meant, or can't read the order. It has done nothing.
	RefusedOther Refusal = "other"
)

// Ticket allows a step on a worker.
type Ticket struct {
	Worker string
	Text   string
}
