package ladderstand

import (
	"time"

	"lacewingladder/laddermodel"
)

// Event is the kind of event that a [Record] describes.
type Event string

// The events of a worker.
const (
	// EventClaim means that a holder was granted a new claim on the worker.
	EventClaim Event = "claim"
	// EventStart means that a start was accepted, EventRefuse that it was refused.
	EventStart  Event = "start"
	EventRefuse Event = "refuse"
	// EventEnd means that a task ended by itself, EventStop that it was stopped because
	// its lease expired or it was revoked.
	EventEnd  Event = "end"
	EventStop Event = "stop"
	// EventRevoke means that the worker did not know a task when it was revoked.
	EventRevoke Event = "revoke"
	// EventLeave means that the worker began to refuse new tasks.
	EventLeave Event = "leave"
	// EventThrottle means that a running task was reduced to the record's size.
	EventThrottle Event = "throttle"
	// EventCheckpoint means that the work of a running task was saved.
	EventCheckpoint Event = "checkpoint"
)

// Record is an event on a worker. Fields that do not apply to the event are zero.
type Record struct {
	At     time.Time
	Worker string
	Event  Event
	Task   string
	Member string
	Class  string
	Kind   laddermodel.Kind
	Size   laddermodel.Size
	Holder string
	Epoch  uint64
	// Reason is why a start was refused.
	Reason string
	// OverCapacity is true for a start after which the running tasks exceed the worker's size.
	OverCapacity bool
	// Failed is true for a task that ended with a failure.
	Failed bool
}

// recordJSON is the JSON form of a [Record]. At is in nanoseconds since 1970; the key cores
// holds millicores.
type recordJSON struct {
	At           int64  `json:"at"`
	Worker       string `json:"worker"`
	Event        string `json:"event"`
	Task         string `json:"task,omitempty"`
	Member       string `json:"member,omitempty"`
	Class        string `json:"class,omitempty"`
	Kind         string `json:"kind,omitempty"`
	Slots        int    `json:"slots,omitempty"`
	Millicores   int    `json:"cores,omitempty"`
	Memory       int64  `json:"memory,omitempty"`
	Accelerators int    `json:"accel,omitempty"`
	Holder       string `json:"holder,omitempty"`
	Epoch        uint64 `json:"epoch,omitempty"`
	Reason       string `json:"reason,omitempty"`
	Over         bool   `json:"over,omitempty"`
	Failed       bool   `json:"failed,omitempty"`
}

func toRecordJSON(r Record) recordJSON {
	return recordJSON{
		At: r.At.UnixNano(), Worker: r.Worker, Event: string(r.Event), Task: r.Task, Member: r.Member,
		Class: r.Class, Kind: r.Kind.String(), Slots: r.Size.Slots, Millicores: r.Size.Millicores,
		Memory: r.Size.Memory, Accelerators: r.Size.Accelerators, Holder: r.Holder, Epoch: r.Epoch,
		Reason: r.Reason, Over: r.OverCapacity, Failed: r.Failed,
	}
}
