package ladderaudit

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"
)

// Event is one record that a worker wrote.
type Event struct {
	// At is the time of the event in nanoseconds since the Unix epoch.
	At     int64  `json:"at"`
	Worker string `json:"worker"`
	// Name is the kind of event: claim, start, refuse, end, stop, revoke, throttle,
	// checkpoint or leave.
	Name string `json:"event"`
	// Task is the ID of the task. For a request it is MEMBER/KEY/REQUEST.ATTEMPT, or
	// REQUEST.ATTEMPT if the request has no key. For a task of a job it is
	// JOB/INDEX/ATTEMPT.
	Task string `json:"task"`
	// Kind is the kind of work: urgent, batch, gang or service.
	Kind string `json:"kind"`
	// Class is the class of an urgent request.
	Class string `json:"class"`
	// Slots, Cores, Memory and Accel are the resources that the task uses: slots,
	// thousandths of a processor core, bytes and accelerators.
	Slots  int   `json:"slots"`
	Cores  int   `json:"cores"`
	Memory int64 `json:"memory"`
	Accel  int   `json:"accel"`
}

// ReadEvents reads the records of workers, one JSON object on each line.
func ReadEvents(r io.Reader) ([]Event, error) {
	var events []Event
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for line := 1; lines.Scan(); line++ {
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
		events = append(events, e)
	}
	return events, lines.Err()
}

// request returns the part of the task's ID that names the request.
func (e Event) request() string {
	last := e.Task[strings.LastIndexByte(e.Task, '/')+1:]
	name, _, _ := strings.Cut(last, ".")
	return name
}

// key returns the part of the task's ID that names the member and the idempotency
// key, or the request if it has no key.
func (e Event) key() string {
	if i := strings.LastIndexByte(e.Task, '/'); i >= 0 {
		return e.Task[:i]
	}
	return e.request()
}

// Size is the capacity of a worker, in the units of an [Event].
type Size struct {
	Slots  int
	Cores  int
	Memory int64
	Accel  int
}

// Exchange is one request and its response, as the caller recorded them.
type Exchange struct {
	// Request is the ID of the request.
	Request string
	Member  string
	// Key is the idempotency key of the request, or empty.
	Key   string
	Class string
	// Outcome is the outcome that the response states: ran, notrun or unknown.
	Outcome string
	// Want is the response body that belongs to this request, and Got the one that
	// the caller received.
	Want string
	Got  string
	// AnsweredAt is the time at which the caller received the response.
	AnsweredAt time.Time
}

// Job is an accepted job, as its caller recorded it.
type Job struct {
	ID string
	// State is the last state that the caller received.
	State string
}

// VersionSample is the version of the configuration that an entry VM reported at some time.
type VersionSample struct {
	VM      string
	Version uint64
	At      time.Time
}

// Evidence holds all records that [Check] examines.
type Evidence struct {
	Events    []Event
	Exchanges []Exchange
	Jobs      []Job
	Versions  []VersionSample
	// Sizes holds the capacities of the workers, by the worker's name. The capacity
	// of a worker that is not listed is not checked.
	Sizes map[string]Size
	// RunOnceClasses holds the classes whose requests must not run twice.
	RunOnceClasses map[string]bool
	// LeaveGrace is how long after its leave event a worker may still get new work.
	LeaveGrace time.Duration
}

// Violation is one breach of a guarantee.
type Violation struct {
	// Rule is the name of the breached guarantee: capacity, place, once, answer,
	// notrun, leaving, gang, job or configuration.
	Rule string
	// Text describes the breach.
	Text string
}

// String returns the violation as "rule: text".
func (v Violation) String() string { return v.Rule + ": " + v.Text }
