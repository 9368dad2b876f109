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

// maxRecordedWait is the longest waiting time that a report distinguishes. Longer
// ones count as this one.
const maxRecordedWait = 10 * time.Minute

// Report holds the results of a replay.
type Report struct {
	// Entries is the number of entries of the trace.
	Entries int
	// Elapsed is the time from the start of the replay to the end of its last entry.
	Elapsed time.Duration
	// Outcomes is the number of entries with each outcome.
	Outcomes map[string]int
	// Differences describes the entries that did not end as expected.
	Differences []string
	// Waits holds the waiting times of all entries, by kind of work.
	Waits []Wait
	// RanWaits holds the waiting times of only the requests that ran.
	RanWaits []Wait
	// Late is the number of requests that ran and whose response came after the
	// deadline that the entry states.
	Late int
	// Useful is the sum of the run times of the requests that ran.
	Useful time.Duration
	// Cost is what scheduling cost during the replay, or nil if it was not measured.
	Cost *Cost
}

// Wait summarizes the waiting times of one kind of work.
type Wait struct {
	Kind laddermodel.Kind
	// Count is the number of entries.
	Count int64
	P50   time.Duration
	P99   time.Duration
	Max   time.Duration
}

// Cost is what scheduling cost during a replay, summed over all entry VMs, and how
// well the slots were used.
type Cost struct {
	// VMs is the number of entry VMs.
	VMs int
	// Packing is the mean share of the slots that were in use.
	Packing float64
	// Peak is the largest share of the slots that were in use at once.
	Peak float64
	// StoreCalls is the number of calls to the platform's store.
	StoreCalls float64
	// PeerBytes is the number of bytes that entry VMs sent to each other.
	PeerBytes float64
	// Attempts is the number of starts that were sent to workers for requests, and
	// Requests is the number of requests.
	Attempts float64
	Requests float64
	// CPUTime is the processor time that the entry VMs used.
	CPUTime time.Duration
}

// newReport summarizes the results of the entries of a trace.
func newReport(results []Result, elapsed time.Duration) Report {
	r := Report{Elapsed: elapsed, Outcomes: map[string]int{}}
	waits, ran := waitHistograms{}, waitHistograms{}
	for i, result := range results {
		r.Entries++
		r.Outcomes[result.Outcome]++
		if difference := result.difference(); difference != "" {
			r.Differences = append(r.Differences, fmt.Sprintf("entry %d: %s", i, difference))
		}
		waits.record(result)
		if result.Outcome == laddermodel.Ran.String() {
			ran.record(result)
			r.Useful += result.Entry.Run
			if result.Entry.Deadline > 0 && result.Elapsed > result.Entry.Deadline {
				r.Late++
			}
		}
	}
	r.Waits, r.RanWaits = waits.summary(), ran.summary()
	return r
}

// waitHistograms holds the waiting times of each kind of work, in microseconds.
type waitHistograms map[laddermodel.Kind]*hdrhistogram.Histogram

// record adds the waiting time of a result.
func (w waitHistograms) record(r Result) {
	h, ok := w[r.Entry.Kind]
	if !ok {
		h = hdrhistogram.New(1, int64(maxRecordedWait/time.Microsecond), 3)
		w[r.Entry.Kind] = h
	}
	_ = h.RecordValue(min(r.Wait, maxRecordedWait).Microseconds())
}

// summary returns a summary for each kind of work, ordered by kind.
func (w waitHistograms) summary() []Wait {
	var all []Wait
	for kind, h := range w {
		percentile := func(p float64) time.Duration { return time.Duration(h.ValueAtQuantile(p)) * time.Microsecond }
		all = append(all, Wait{
			Kind: kind, Count: h.TotalCount(), P50: percentile(50), P99: percentile(99),
			Max: time.Duration(h.Max()) * time.Microsecond,
		})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Kind < all[j].Kind })
	return all
}

// difference describes how a result differs from the expected one. It returns an
// empty string if there is no difference.
func (r Result) difference() string {
	switch {
	case !r.OwnResponse:
		return "the answer is not the one made for this request"
	case r.Entry.Outcome != "" && r.Entry.Outcome != r.Outcome:
		return fmt.Sprintf("stated %s, got %s (%s)", r.Entry.Outcome, r.Outcome, r.Reason)
	}
	return ""
}

// maxPrintedDifferences is the number of differences that Print writes.
const maxPrintedDifferences = 20

// Print writes the report as text.
func (r Report) Print(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(out, "entries\t%d in %v\n", r.Entries, r.Elapsed.Round(time.Millisecond))
	names := make([]string, 0, len(r.Outcomes))
	for name := range r.Outcomes {
		names = append(names, name)
	}
	sort.Strings(names)
	for i, name := range names {
		names[i] = fmt.Sprintf("%s %d", name, r.Outcomes[name])
	}
	_, _ = fmt.Fprintf(out, "outcomes\t%s\n", strings.Join(names, ", "))
	for _, wait := range r.Waits {
		_, _ = fmt.Fprintf(out, "wait %v\tp50 %v\tp99 %v\tmax %v\t%d entries\n", wait.Kind, wait.P50, wait.P99, wait.Max, wait.Count)
	}
	if cost := r.Cost; cost != nil {
		vmSeconds := max(r.Elapsed.Seconds(), 1e-9) * float64(max(1, cost.VMs))
		_, _ = fmt.Fprintf(out, "packing\t%.1f%% of slots in use on average, %.1f%% at the peak\n", 100*cost.Packing, 100*cost.Peak)
		_, _ = fmt.Fprintf(out, "cost per VM\t%.2f store calls/s\t%.1f peer KB/s\n",
			cost.StoreCalls/vmSeconds, cost.PeerBytes/vmSeconds/1000)
		_, _ = fmt.Fprintf(out, "attempts\t%.0f for %.0f requests\n", cost.Attempts, cost.Requests)
	}
	_, _ = fmt.Fprintf(out, "differences\t%d\n", len(r.Differences))
	if err := out.Flush(); err != nil {
		return err
	}
	for _, difference := range r.Differences[:min(maxPrintedDifferences, len(r.Differences))] {
		if _, err := fmt.Fprintln(w, " ", difference); err != nil {
			return err
		}
	}
	return nil
}

// reportWire is the JSON form of a [Report]. Times are in milliseconds.
type reportWire struct {
	Entries     int            `json:"entries"`
	Took        float64        `json:"took"`
	Outcomes    map[string]int `json:"outcomes"`
	Differences []string       `json:"differences"`
	Waits       []waitWire     `json:"waits"`
	Cost        *costWire      `json:"cost,omitempty"`
}

// waitWire is the JSON form of a [Wait]. Times are in milliseconds.
type waitWire struct {
	Kind  string  `json:"kind"`
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// costWire is the JSON form of a [Cost]. Processor is in milliseconds.
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

// JSON writes the report as JSON.
func (r Report) JSON(w io.Writer) error {
	out := reportWire{
		Entries: r.Entries, Took: milliseconds(r.Elapsed), Outcomes: r.Outcomes, Differences: r.Differences,
	}
	for _, wait := range r.Waits {
		out.Waits = append(out.Waits, waitWire{
			Kind: wait.Kind.String(), Count: wait.Count, P50: milliseconds(wait.P50), P99: milliseconds(wait.P99),
			Max: milliseconds(wait.Max),
		})
	}
	if cost := r.Cost; cost != nil {
		out.Cost = &costWire{
			VMs: cost.VMs, Packing: cost.Packing, Peak: cost.Peak, Calls: cost.StoreCalls, Bytes: cost.PeerBytes, Attempts: cost.Attempts,
			Requests: cost.Requests, Processor: milliseconds(cost.CPUTime),
		}
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(out)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
