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

// maxLine bounds a line of a trace in bytes.
const maxLine = 256 << 10

// MintKey stands for a new idempotency key in a trace.
const MintKey = "mint"

// Entry is one request or job of a trace.
type Entry struct {
	// At is when it is sent, from the beginning of the trace.
	At     time.Duration
	Member string
	Kind   laddermodel.Kind
	// Class is the class of an urgent request.
	Class string
	// Team, Size, Tasks and Estimate are those of a job.
	Team     string
	Size     laddermodel.Size
	Tasks    int
	Estimate time.Duration
	// Run is how long each task runs.
	Run time.Duration
	// Deadline is that of a request, or zero for its class's.
	Deadline time.Duration
	// Key is the idempotency key of a request, or empty. [MintKey] asks for a new
	// one at the time of sending.
	Key string
	// Outcome is what must come of it: ran, notrun or unknown for requests, and
	// a job's final state for jobs. An empty one allows anything.
	Outcome string
}

// entryWire is an entry in a trace's file.
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

// Parse reads a trace, ordered by time. The error, if any, holds all findings.
func Parse(file string, data []byte) ([]Entry, error) {
	var list ladderfinding.List
	var trace []Entry
	lines := bufio.NewScanner(bytes.NewReader(data))
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	number := 0
	for lines.Scan() {
		number++
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		p := ladderfinding.Place{File: file, Line: number, Column: 1}
		trace = append(trace, parseLine(p, line, &list))
	}
	if err := lines.Err(); err != nil {
		list.Add(ladderfinding.Place{File: file, Line: number + 1, Column: 1}, "%v", err)
	}
	return Sort(trace), list.Err()
}

// Sort orders a trace by time and returns it.
func Sort(trace []Entry) []Entry {
	sort.SliceStable(trace, func(i, j int) bool { return trace[i].At < trace[j].At })
	return trace
}

func parseLine(p ladderfinding.Place, line []byte, list *ladderfinding.List) Entry {
	var w entryWire
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&w); err != nil {
		list.Add(at(p, err), "%v", err)
		return Entry{}
	}
	duration := func(name, text string) time.Duration {
		if text == "" {
			return 0
		}
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 {
			list.Add(p, "%s: %q is not a duration such as 150ms", name, text)
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
		list.Add(p, "%v", err)
	}
	e.Kind = kind
	check(p, e, list)
	return e
}

// at adds the column of a JSON error to a line's place.
func at(p ladderfinding.Place, err error) ladderfinding.Place {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		p.Column = int(syntax.Offset)
	case errors.As(err, &kind):
		p.Column = int(kind.Offset)
	}
	return p
}

// check finds fault with an entry that could not be sent.
func check(p ladderfinding.Place, e Entry, list *ladderfinding.List) {
	if e.Member == "" {
		list.Add(p, "member: it is missing")
	}
	if e.Kind == laddermodel.Urgent {
		if e.Class == "" {
			list.Add(p, "class: an urgent request needs one")
		}
		if e.Outcome != "" {
			if _, err := laddermodel.ParseOutcome(e.Outcome); err != nil {
				list.Add(p, "%v", err)
			}
		}
		return
	}
	if e.Team == "" {
		list.Add(p, "team: a job needs one")
	}
	if e.Tasks < 1 || e.Size.Slots < 1 {
		list.Add(p, "a job needs at least one task of at least one slot")
	}
}

// Encode returns a trace in the form of its file.
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
