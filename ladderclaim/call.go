package ladderclaim

import (
	"time"

	"lacewingladder/laddermodel"
)

// Verb is the action that a [Call] requests from a worker.
type Verb int

// The verbs of a call.
const (
	// Renew requests the claim or extends it.
	Renew Verb = iota
	// Release gives up the claim.
	Release
)

// Call is a message to a worker about its claim.
type Call struct {
	Worker laddermodel.Worker
	Verb   Verb
	// Holder is the name and incarnation of the calling entry VM.
	Holder string
	// Epoch is the epoch of the last answer from this worker, or zero.
	Epoch uint64
	// Lease is the requested length of the claim.
	Lease time.Duration
	// Since is the time, on the worker's clock, of the newest report that the
	// holder has processed.
	Since time.Duration
	// Version is the version of the newest report that the holder has processed,
	// or zero.
	Version uint64
	// Sent is the time on the holder's clock at which the call was sent.
	Sent time.Time
}

// Answer is a worker's answer to a [Call]. Its times are on the worker's clock.
type Answer struct {
	// Granted is true if the caller holds the claim.
	Granted bool
	// Holder and Epoch identify the current claim.
	Holder string
	Epoch  uint64
	// Boot identifies the incarnation of the worker's process, and Uptime is the
	// time since the process started.
	Boot   uint64
	Uptime time.Duration
	// Until is the end of the current claim, and Remaining is the time until then.
	Until     time.Duration
	Remaining time.Duration
	// Leaving is true if the worker accepts no new work because it will shut down.
	Leaving bool
	Report  Report
}

// Report lists the tasks of a worker at one moment. It may be out of date when
// it arrives.
type Report struct {
	// Epoch is the worker's epoch when the report was made.
	Epoch uint64
	// At is the time on the worker's clock when the report was made.
	At time.Duration
	// Version changes whenever a task begins or ends.
	Version uint64
	// Unchanged is true if the version equals the one in the call. The holder
	// then has the list of running tasks already, and Running is left empty.
	Unchanged bool
	Running   []Running
	// Ended lists the jobs' tasks that ended after the call's Since.
	Ended []Ended
}

// Running is one running task in a [Report].
type Running struct {
	Task string
	Kind laddermodel.Kind
	// Size is the declared size.
	Size laddermodel.Size
	// Memory is the observed memory in bytes.
	Memory int64
}

// Ended is one ended task in a [Report].
type Ended struct {
	Task string
	// Failed is true if the task itself reported a failure.
	Failed bool
	// Stopped is true if the task was stopped from outside.
	Stopped bool
}
