package laddertrace

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lacewingladder/laddermodel"
)

// maxRecorded is the longest wait that a report tells apart.
const maxRecorded = 10 * time.Minute

// Report is what a replay found.
type Report struct {
	Entries int
	Took    time.Duration
	// Outcomes counts what came of the entries.
	Outcomes map[string]int
	// Differences are the entries that did not end as stated.
	Differences []string
	Waits       []Wait
	// Ran holds the waiting times of just the entries that ran.
	Ran []Wait
	// Late is the number of requests that ran and were answered after their
	// stated deadline.
	Late int
	// Useful is the sum of the run times of the requests that ran.
	Useful time.Duration
	// Cost is the control cost, when it was read.
	Cost *Cost
}

// Wait is the waiting time of one kind of work.
type Wait struct {
	Kind  laddermodel.Kind
	Count int64
	P50   time.Duration
	P99   time.Duration
	Max   time.Duration
}

// Cost is what scheduling itself took during a replay, over all entry VMs.
type Cost struct {
	VMs int
	// Packing is the mean share of the slots that were in use.
	Packing float64
	// Peak is the largest share of the slots that was in use.
	Peak float64
	// Calls is the number of calls to the platform's store.
	Calls float64
	// PeerBytes is the number of bytes between entry VMs.
	PeerBytes float64
	// Attempts and Requests are the starts that were sent and the requests.
	Attempts float64
	Requests float64
	// Processor is processor time.
	Processor time.Duration
}

func newReport(results []Result, took time.Duration) Report {
	r := Report{Took: took, Outcomes: map[string]int{}}
	waits, ran := waitsOf{}, waitsOf{}
	for i, got := range results {
		r.Entries++
		r.Outcomes[got.Outcome]++
		if why := got.difference(); why != "" {
			r.Differences = append(r.Differences, fmt.Sprintf("entry %d: %s", i, why))
		}
		waits.record(got)
		if got.Outcome == laddermodel.Ran.String() {
			ran.record(got)
			r.Useful += got.Entry.Run
			if got.Entry.Deadline > 0 && got.Took > got.Entry.Deadline {
				r.Late++
			}
		}
	}
	r.Waits, r.Ran = waits.summary(), ran.summary()
	return r
}

// waitsOf holds the waiting times of each kind, in microseconds.
type waitsOf map[laddermodel.Kind]*hdrhistogram.Histogram

func (w waitsOf) record(r Result) {
	h, ok := w[r.Entry.Kind]
	if !ok {
		h = hdrhistogram.New(1, int64(maxRecorded/time.Microsecond), 3)
		w[r.Entry.Kind] = h
	}
	_ = h.RecordValue(min(r.Waited, maxRecorded).Microseconds())
}

func (w waitsOf) summary() []Wait {
	var all []Wait
	for kind, h := range w {
		at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
		all = append(all, Wait{
			Kind: kind, Count: h.TotalCount(), P50: at(50), P99: at(99),
			Max: time.Duration(h.Max()) * time.Microsecond,
		})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Kind < all[j].Kind })
	return all
}

// difference says how a result differs from what was stated, or is empty.
func (r Result) difference() string {
	switch {
	case !r.Whole:
		return "the answer is not the one made for this request"
	case r.Entry.Outcome != "" && r.Entry.Outcome != r.Outcome:
		return fmt.Sprintf("stated %s, got %s (%s)", r.Entry.Outcome, r.Outcome, r.Reason)
	}
	return ""
}

// maxShown bounds the differences that are printed.
const maxShown = 20

// Print writes the report for people.
func (r Report) Print(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(out, "entries\t%d in %v\n", r.Entries, r.Took.Round(time.Millisecond))
	names := make([]string, 0, len(r.Outcomes))
	for name := range r.Outcomes {
		names = append(names, name)
	}
	sort.Strings(names)
	for i, name := range names {
		names[i] = fmt.Sprintf("%s %d", name, r.Outcomes[name])
	}
	_, _ = fmt.Fprintf(out, "outcomes\t%s\n", strings.Join(names, ", "))
	for _, x := range r.Waits {
		_, _ = fmt.Fprintf(out, "wait %v\tp50 %v\tp99 %v\tmax %v\t%d entries\n", x.Kind, x.P50, x.P99, x.Max, x.Count)
	}
	if c := r.Cost; c != nil {
		seconds := max(r.Took.Seconds(), 1e-9) * float64(max(1, c.VMs))
		_, _ = fmt.Fprintf(out, "packing\t%.1f%% of slots in use on average, %.1f%% at the peak\n", 100*c.Packing, 100*c.Peak)
		_, _ = fmt.Fprintf(out, "cost per VM\t%.2f store calls/s\t%.1f peer KB/s\n",
			c.Calls/seconds, c.PeerBytes/seconds/1000)
		_, _ = fmt.Fprintf(out, "attempts\t%.0f for %.0f requests\n", c.Attempts, c.Requests)
	}
	_, _ = fmt.Fprintf(out, "differences\t%d\n", len(r.Differences))
	if err := out.Flush(); err != nil {
		return err
	}
	for _, d := range r.Differences[:min(maxShown, len(r.Differences))] {
		if _, err := fmt.Fprintln(w, " ", d); err != nil {
			return err
		}
	}
	return nil
}

// reportWire is a report in JSON. Times are in milliseconds.
type reportWire struct {
	Entries     int            `json:"entries"`
	Took        float64        `json:"took"`
	Outcomes    map[string]int `json:"outcomes"`
	Differences []string       `json:"differences"`
	Waits       []waitWire     `json:"waits"`
	Cost        *costWire      `json:"cost,omitempty"`
}

type waitWire struct {
	Kind  string  `json:"kind"`
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

type costWire struct {
	VMs       int     `json:"vms"`
	Packing   float64 `json:"packing"`
	Peak      float64 `json:"peak"`
	Calls     float64 `json:"calls"`
	Bytes     float64 `json:"bytes"`
	Attempts  float64 `json:"attempts"`
	Requests  float64 `json:"requests"`
	Processor float64 `json:"processor"`
}

// JSON writes the report for machines.
func (r Report) JSON(w io.Writer) error {
	out := reportWire{
		Entries: r.Entries, Took: milliseconds(r.Took), Outcomes: r.Outcomes, Differences: r.Differences,
	}
	for _, x := range r.Waits {
		out.Waits = append(out.Waits, waitWire{
			Kind: x.Kind.String(), Count: x.Count, P50: milliseconds(x.P50), P99: milliseconds(x.P99),
			Max: milliseconds(x.Max),
		})
	}
	if c := r.Cost; c != nil {
		out.Cost = &costWire{
			VMs: c.VMs, Packing: c.Packing, Peak: c.Peak, Calls: c.Calls, Bytes: c.PeerBytes, Attempts: c.Attempts,
			Requests: c.Requests, Processor: milliseconds(c.Processor),
		}
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(out)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
