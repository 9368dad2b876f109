package ladderstand

import (
	"time"

	"lacewingladder/laddermodel"
)

// Event is what a [Record] tells of.
type Event string

// The events of a worker.
const (
	EventClaim  Event = "claim"
	EventStart  Event = "start"
	EventRefuse Event = "refuse"
	EventEnd    Event = "end"
	EventStop   Event = "stop"
	EventRevoke Event = "revoke"
	EventLeave  Event = "leave"
	// EventThrottle tells that a task was lowered to the record's size.
	EventThrottle Event = "throttle"
	// EventCheckpoint tells that a running task's work was saved.
	EventCheckpoint Event = "checkpoint"
)

// Record is one thing that happened on a worker.
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
	Reason string
	// Over is true for a start beyond the worker's size.
	Over   bool
	Failed bool
}

// recordWire is a record in JSON.
type recordWire struct {
	At     int64  `json:"at"`
	Worker string `json:"worker"`
	Event  string `json:"event"`
	Task   string `json:"task,omitempty"`
	Member string `json:"member,omitempty"`
	Class  string `json:"class,omitempty"`
	Kind   string `json:"kind,omitempty"`
	Slots  int    `json:"slots,omitempty"`
	Cores  int    `json:"cores,omitempty"`
	Memory int64  `json:"memory,omitempty"`
	Accel  int    `json:"accel,omitempty"`
	Holder string `json:"holder,omitempty"`
	Epoch  uint64 `json:"epoch,omitempty"`
	Reason string `json:"reason,omitempty"`
	Over   bool   `json:"over,omitempty"`
	Failed bool   `json:"failed,omitempty"`
}

func fromRecord(r Record) recordWire {
	return recordWire{
		At: r.At.UnixNano(), Worker: r.Worker, Event: string(r.Event), Task: r.Task, Member: r.Member,
		Class: r.Class, Kind: r.Kind.String(), Slots: r.Size.Slots, Cores: r.Size.Millicores,
		Memory: r.Size.Memory, Accel: r.Size.Accelerators, Holder: r.Holder, Epoch: r.Epoch,
		Reason: r.Reason, Over: r.Over, Failed: r.Failed,
	}
}
