package ladderaudit

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"
)

// Event is one record of a worker.
type Event struct {
	// At is nanoseconds since 1970.
	At     int64  `json:"at"`
	Worker string `json:"worker"`
	// Event is claim, start, refuse, end, stop, revoke, throttle,
	// checkpoint or leave.
	Event  string `json:"event"`
	Task   string `json:"task"`
	Kind   string `json:"kind"`
	Class  string `json:"class"`
	Slots  int    `json:"slots"`
	Cores  int    `json:"cores"`
	Memory int64  `json:"memory"`
	Accel  int    `json:"accel"`
}

// ReadEvents reads records as workers write them, one JSON object on each line.
func ReadEvents(r io.Reader) ([]Event, error) {
	var events []Event
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for n := 1; lines.Scan(); n++ {
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		events = append(events, e)
	}
	return events, lines.Err()
}

// request returns the part of a task's id that names the exchange.
func (e Event) request() string {
	last := e.Task[strings.LastIndexByte(e.Task, '/')+1:]
	name, _, _ := strings.Cut(last, ".")
	return name
}

// key returns the part of a task's id that names the member and the key, or the
// exchange when there is no key.
func (e Event) key() string {
	if i := strings.LastIndexByte(e.Task, '/'); i >= 0 {
		return e.Task[:i]
	}
	return e.request()
}

// Size is what a worker has.
type Size struct {
	Slots  int
	Cores  int
	Memory int64
	Accel  int
}

// Exchange is what a caller saw of one request.
type Exchange struct {
	Request string
	Member  string
	Key     string
	Class   string
	Outcome string
	// Want is the answer that was made for this request, and Got the one that the
	// caller received.
	Want string
	Got  string
	// Answered is when the caller had the answer.
	Answered time.Time
}

// Job is what a caller saw of one accepted job.
type Job struct {
	ID    string
	State string
}

// Seen is one look at the configuration's version on an entry VM.
type Seen struct {
	VM      string
	Version uint64
	At      time.Time
}

// Evidence is what the records say.
type Evidence struct {
	Events    []Event
	Exchanges []Exchange
	Jobs      []Job
	Versions  []Seen
	// Sizes are those of the workers, by name.
	Sizes map[string]Size
	// Once names the classes whose requests must not be repeated.
	Once map[string]bool
	// Grace is how long a leaving worker may still get new work.
	Grace time.Duration
}

// Violation is one broken promise.
type Violation struct {
	// Rule names the promise: capacity, place, once, answer, notrun, leaving,
	// gang, job or configuration.
	Rule string
	Text string
}

// String returns the violation as "rule: text".
func (v Violation) String() string { return v.Rule + ": " + v.Text }
