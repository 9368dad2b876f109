package ladderclaim

import (
	"time"

	"lacewingladder/laddermodel"
)

// Verb is what a [Call] asks of a worker.
type Verb int

// The verbs of a call.
const (
	// Renew asks for the claim, or prolongs it.
	Renew Verb = iota
	// Release gives the claim up.
	Release
)

// Call is a message to a worker about its claim.
type Call struct {
	Worker laddermodel.Worker
	Verb   Verb
	// Holder is the name and incarnation of the asking entry VM.
	Holder string
	// Epoch is the epoch under which the holder believes to hold, or zero.
	Epoch uint64
	// Lease is the wished length of the claim.
	Lease time.Duration
	// Since is the time of the newest report that the holder took in.
	Since time.Duration
	// Version is that of the newest report that the holder took in, or zero.
	Version uint64
	// Sent is the holder's time of sending.
	Sent time.Time
}

// Answer is a worker's answer to a [Call]. Its times are on the worker's clock.
type Answer struct {
	// Granted is true when the caller holds the claim.
	Granted bool
	// Holder and Epoch name the present claim.
	Holder string
	Epoch  uint64
	// Boot identifies the run of the worker's process and Age is its uptime.
	Boot uint64
	Age  time.Duration
	// Until is the end of the present claim, and Left the time until then.
	Until time.Duration
	Left  time.Duration
	// Leaving is true when the worker wants no new work.
	Leaving bool
	Report  Report
}

// Report is what a worker says that it runs. It lags behind the truth.
type Report struct {
	// Epoch is the worker's epoch when the report was made.
	Epoch uint64
	// At is when the report was made.
	At time.Duration
	// Version changes whenever a task begins or ends.
	Version uint64
	// Same is true when the version is the one that the call named. Running is
	// then left out, since the holder has it.
	Same    bool
	Running []Running
	// Ended lists tasks of jobs that ended after the call's Since.
	Ended []Ended
}

// Running is one task in a [Report].
type Running struct {
	Task string
	Kind laddermodel.Kind
	// Size is the declared size.
	Size laddermodel.Size
	// Memory is the observed memory in bytes.
	Memory int64
}

// Ended is the end of one task in a [Report].
type Ended struct {
	Task string
	// Failed is true when the task itself ended in failure.
	Failed bool
	// Stopped is true when the task was stopped from outside.
	Stopped bool
}
