package ladderreport

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"path/filepath"
	"text/tabwriter"
	"time"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderdemo"
	"lacewingladder/laddermodel"
	"lacewingladder/ladderplacement"
	"lacewingladder/laddertrace"
)

const (
	// meanRunTime is the mean run time of a request.
	meanRunTime = 400 * time.Millisecond
	// requestDeadline is the deadline that each request states, in place of that of its class.
	requestDeadline = 2 * time.Second
	// traceSeed is the seed of the random numbers from which traces are generated.
	traceSeed = 3
)

// loads holds the offered loads: the mean number of slots that the requests would
// use if none of them had to wait, as a share of all slots.
var loads = []float64{0.5, 0.8, 0.95, 1.2}

// rules holds the rules for choosing holders that are compared, with their names
// in the results.
var rules = []struct {
	name string
	rule ladderplacement.RackRule
}{
	{"corrected", ladderplacement.TwoChoicesCorrected},
	{"uncorrected", ladderplacement.TwoChoicesUncorrected},
	{"random", ladderplacement.RandomRack},
	{"round robin", ladderplacement.RoundRobinRack},
}

// Options are the options of an experiment.
type Options struct {
	// Dir is a directory for the certificates and keys of the fleets.
	Dir string
	// Length is the length of the trace that is replayed at each load.
	Length time.Duration
	// Progress, if not nil, receives a line for each point that has been measured.
	Progress io.Writer
}

// Point is the result of one rule at one load.
type Point struct {
	Rule string
	// Load is the offered load as a share of all slots.
	Load float64
	// P50 and P99 are percentiles of the waiting times of the requests that ran.
	P50 time.Duration
	P99 time.Duration
	// Packing is the mean share of the slots that were in use, and Peak the largest.
	Packing float64
	Peak    float64
	// Ran, NotRun and Unknown are the numbers of requests with the outcomes ran,
	// notrun and unknown.
	Ran     int
	NotRun  int
	Unknown int
	// Late is the number of requests that ran and whose response came after their
	// deadline.
	Late int
	// Useful is the share of the time of all slots during which requests ran whose
	// callers received the response.
	Useful float64
}

// Measure runs the experiment and returns a point for each rule and load.
func Measure(ctx context.Context, o Options) ([]Point, error) {
	var points []Point
	for _, r := range rules {
		fleet, err := ladderdemo.Start(ctx, ladderdemo.Options{Dir: filepath.Join(o.Dir, r.name), Rule: r.rule})
		if err != nil {
			return nil, fmt.Errorf("fleet for rule %s: %w", r.name, err)
		}
		for _, load := range loads {
			p := measureLoad(ctx, fleet, load, o.Length)
			p.Rule = r.name
			points = append(points, p)
			if o.Progress != nil {
				_, _ = fmt.Fprintf(o.Progress, "%s at %.0f%%\n", r.name, 100*load)
			}
		}
		fleet.Close()
	}
	return points, nil
}

// measureLoad replays a trace with the given load on a fleet. It leaves the name
// of the rule in the point empty.
func measureLoad(ctx context.Context, fleet *ladderdemo.Fleet, load float64, length time.Duration) Point {
	slots := float64(fleet.Slots())
	trace := fitcheckTrace(load*slots/meanRunTime.Seconds(), length)
	meter := laddertrace.StartMeter(ctx, fleet.Operators())
	report := laddertrace.Replay{Trace: trace, Targets: fleet.Callers(), Clock: ladderclock.System{}}.Run(ctx)
	cost := meter.Stop(ctx)
	p := Point{
		Load: load, Packing: cost.Packing, Peak: cost.Peak,
		Ran: report.Outcomes["ran"], NotRun: report.Outcomes["notrun"], Unknown: report.Outcomes["unknown"], Late: report.Late,
		Useful: report.Useful.Seconds() / (slots * report.Elapsed.Seconds()),
	}
	for _, wait := range report.RanWaits {
		if wait.Kind == laddermodel.Urgent {
			p.P50, p.P99 = wait.P50, wait.P99
		}
	}
	return p
}

// fitcheckTrace returns a trace of requests of the class fitcheck that arrive at
// random times, with a mean of rate requests per second.
func fitcheckTrace(rate float64, length time.Duration) []laddertrace.Entry {
	random := rand.New(rand.NewPCG(traceSeed, traceSeed))
	var trace []laddertrace.Entry
	for at := time.Duration(0); at < length; {
		trace = append(trace, laddertrace.Entry{
			At: at, Member: "jadewing", Kind: laddermodel.Urgent, Class: "fitcheck",
			Run: meanRunTime/2 + time.Duration(random.Int64N(int64(meanRunTime))), Deadline: requestDeadline,
		})
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
	}
	return trace
}

// WriteTable writes the points as a table of text.
func WriteTable(w io.Writer, points []Point) error {
	out := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(out, "RULE\tLOAD\tP50\tP99\tPACKING\tPEAK\tUSEFUL\tRAN\tTURNED AWAY\tUNKNOWN\tLATE")
	for _, p := range points {
		_, _ = fmt.Fprintf(out, "%s\t%.0f%%\t%v\t%v\t%.1f%%\t%.1f%%\t%.1f%%\t%d\t%d\t%d\t%d\n", p.Rule, 100*p.Load,
			p.P50.Round(100*time.Microsecond), p.P99.Round(100*time.Microsecond),
			100*p.Packing, 100*p.Peak, 100*p.Useful, p.Ran, p.NotRun, p.Unknown, p.Late)
	}
	return out.Flush()
}
