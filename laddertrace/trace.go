package laddertrace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"sort"
	"time"

	"lacewingladder/ladderfinding"
	"lacewingladder/laddermodel"
)

// maxLineBytes is the length of the longest line that is read of a trace, in bytes.
const maxLineBytes = 256 << 10

// GenerateKey is the key of a request for which a replay generates a new idempotency
// key.
const GenerateKey = "mint"

// Entry is one request or job of a trace.
type Entry struct {
	// At is the time at which the entry is sent, counted from the start of the trace.
	At time.Duration
	// Member is the name of the member on whose behalf the entry is sent.
	Member string
	Kind   laddermodel.Kind
	// Class is the class of an urgent request.
	Class string
	// Team is the name of the team that submits a job.
	Team string
	// Size is what each task of a job needs of a worker.
	Size laddermodel.Size
	// Tasks is the number of tasks of a job.
	Tasks int
	// Estimate is the expected run time of each task of a job, as stated in the job.
	Estimate time.Duration
	// Run is the run time of a request, or of each task of a job.
	Run time.Duration
	// Deadline is the deadline of a request. Zero means the deadline of its class.
	Deadline time.Duration
	// Key is the idempotency key of a request, or empty for none. [GenerateKey] means
	// a new key, which is generated when the request is sent.
	Key string
	// Outcome is the expected outcome: ran, notrun or unknown for a request, the
	// final state for a job, and running for a service. If it is empty, any outcome
	// is accepted.
	Outcome string
}

// entryWire is the JSON form of an [Entry].
type entryWire struct {
	At       string `json:"at"`
	Member   string `json:"member"`
	Kind     string `json:"kind"`
	Class    string `json:"class,omitempty"`
	Team     string `json:"team,omitempty"`
	Slots    int    `json:"slots,omitempty"`
	Cores    int    `json:"cores,omitempty"`
	Memory   int64  `json:"memory,omitempty"`
	Accel    int    `json:"accel,omitempty"`
	Tasks    int    `json:"tasks,omitempty"`
	Estimate string `json:"estimate,omitempty"`
	Run      string `json:"run,omitempty"`
	Deadline string `json:"deadline,omitempty"`
	Key      string `json:"key,omitempty"`
	Outcome  string `json:"outcome,omitempty"`
}

// Parse reads a trace and returns its entries ordered by time. The error, if any,
// is a [*ladderfinding.Error] that holds all findings.
func Parse(file string, data []byte) ([]Entry, error) {
	var findings ladderfinding.List
	var trace []Entry
	lines := bufio.NewScanner(bytes.NewReader(data))
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	number := 0
	for lines.Scan() {
		number++
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		place := ladderfinding.Place{File: file, Line: number, Column: 1}
		trace = append(trace, parseLine(place, line, &findings))
	}
	if err := lines.Err(); err != nil {
		findings.Add(ladderfinding.Place{File: file, Line: number + 1, Column: 1}, "%v", err)
	}
	return Sort(trace), findings.Err()
}

// Sort orders a trace by time and returns it.
func Sort(trace []Entry) []Entry {
	sort.SliceStable(trace, func(i, j int) bool { return trace[i].At < trace[j].At })
	return trace
}

// parseLine parses one line of a trace and adds a finding for each mistake in it.
func parseLine(place ladderfinding.Place, line []byte, findings *ladderfinding.List) Entry {
	var w entryWire
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&w); err != nil {
		findings.Add(errorPlace(place, err), "%v", err)
		return Entry{}
	}
	duration := func(name, text string) time.Duration {
		if text == "" {
			return 0
		}
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 {
			findings.Add(place, "%s: %q is not a duration such as 150ms", name, text)
		}
		return d
	}
	e := Entry{
		At: duration("at", w.At), Member: w.Member, Class: w.Class, Team: w.Team,
		Size:  laddermodel.Size{Slots: w.Slots, Millicores: w.Cores, Memory: w.Memory, Accelerators: w.Accel},
		Tasks: w.Tasks, Estimate: duration("estimate", w.Estimate), Run: duration("run", w.Run),
		Deadline: duration("deadline", w.Deadline), Key: w.Key, Outcome: w.Outcome,
	}
	kind, err := laddermodel.ParseKind(w.Kind)
	if err != nil {
		findings.Add(place, "%v", err)
	}
	e.Kind = kind
	checkEntry(place, e, findings)
	return e
}

// errorPlace returns the place of a JSON error, given the place of its line. The
// column is that of the line if the error has no position.
func errorPlace(place ladderfinding.Place, err error) ladderfinding.Place {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		place.Column = int(syntax.Offset)
	case errors.As(err, &wrongType):
		place.Column = int(wrongType.Offset)
	}
	return place
}

// checkEntry adds a finding for each reason why an entry could not be sent.
func checkEntry(place ladderfinding.Place, e Entry, findings *ladderfinding.List) {
	if e.Member == "" {
		findings.Add(place, "member: it is missing")
	}
	if e.Kind == laddermodel.Urgent {
		if e.Class == "" {
			findings.Add(place, "class: an urgent request needs one")
		}
		if e.Outcome != "" {
			if _, err := laddermodel.ParseOutcome(e.Outcome); err != nil {
				findings.Add(place, "%v", err)
			}
		}
		return
	}
	if e.Team == "" {
		findings.Add(place, "team: a job needs one")
	}
	if e.Tasks < 1 || e.Size.Slots < 1 {
		findings.Add(place, "a job needs at least one task of at least one slot")
	}
}

// Encode returns the contents of a file that holds the trace.
func Encode(trace []Entry) ([]byte, error) {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	for _, e := range trace {
		w := entryWire{
			At: e.At.String(), Member: e.Member, Kind: e.Kind.String(), Class: e.Class, Team: e.Team,
			Slots: e.Size.Slots, Cores: e.Size.Millicores, Memory: e.Size.Memory, Accel: e.Size.Accelerators,
			Tasks: e.Tasks, Run: e.Run.String(), Key: e.Key, Outcome: e.Outcome,
		}
		if e.Estimate > 0 {
			w.Estimate = e.Estimate.String()
		}
		if e.Deadline > 0 {
			w.Deadline = e.Deadline.String()
		}
		if err := encoder.Encode(w); err != nil {
			return nil, err
		}
	}
	return out.Bytes(), nil
}
