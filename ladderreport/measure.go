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
	// meanRun is the mean run time of a request.
	meanRun = 400 * time.Millisecond
	// deadline is the deadline of each request.
	deadline = 2 * time.Second
	// traceSeed seeds the traces.
	traceSeed = 3
)

// loads are the offered loads, as shares of all slots.
var loads = []float64{0.5, 0.8, 0.95, 1.2}

// rules are the ways of choosing holders that are compared.
var rules = []struct {
	name string
	rule ladderplacement.Rule
}{
	{"corrected", ladderplacement.Corrected},
	{"uncorrected", ladderplacement.Uncorrected},
	{"random", ladderplacement.Blind},
	{"round robin", ladderplacement.Turns},
}

// Options are the conditions of an experiment.
type Options struct {
	// Dir is a directory for keys.
	Dir string
	// Length is how long each load lasts.
	Length time.Duration
	// Progress, if any, is told of each point.
	Progress io.Writer
}

// Point is what one rule did at one load.
type Point struct {
	Rule string
	// Load is the offered load as a share of all slots.
	Load float64
	P50  time.Duration
	P99  time.Duration
	// Packing is the mean and Peak the largest share of slots in use.
	Packing float64
	Peak    float64
	// Ran, Refused and Unknown count the outcomes.
	Ran     int
	Refused int
	Unknown int
	// Late counts the requests that ran and were answered after their deadline.
	Late int
	// Useful is the share of all slots' time that answered requests ran for.
	Useful float64
}

// Measure carries out the experiment.
func Measure(ctx context.Context, o Options) ([]Point, error) {
	var points []Point
	for _, r := range rules {
		fleet, err := ladderdemo.Start(ctx, ladderdemo.Options{Dir: filepath.Join(o.Dir, r.name), Rule: r.rule})
		if err != nil {
			return nil, fmt.Errorf("fleet for rule %s: %w", r.name, err)
		}
		for _, load := range loads {
			p := measure(ctx, fleet, load, o.Length)
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

// measure replays one load on a fleet.
func measure(ctx context.Context, fleet *ladderdemo.Fleet, load float64, length time.Duration) Point {
	slots := float64(fleet.Slots())
	trace := requests(load*slots/meanRun.Seconds(), length)
	meter := laddertrace.Measure(ctx, fleet.Operators())
	report := laddertrace.Replay{Trace: trace, Targets: fleet.Callers(), Clock: ladderclock.System{}}.Run(ctx)
	cost := meter.Stop(ctx)
	p := Point{
		Load: load, Packing: cost.Packing, Peak: cost.Peak,
		Ran: report.Outcomes["ran"], Refused: report.Outcomes["notrun"], Unknown: report.Outcomes["unknown"], Late: report.Late,
		Useful: report.Useful.Seconds() / (slots * report.Took.Seconds()),
	}
	for _, w := range report.Ran {
		if w.Kind == laddermodel.Urgent {
			p.P50, p.P99 = w.P50, w.P99
		}
	}
	return p
}

// requests returns a trace of fit checks at a rate a second.
func requests(rate float64, length time.Duration) []laddertrace.Entry {
	r := rand.New(rand.NewPCG(traceSeed, traceSeed))
	var trace []laddertrace.Entry
	for at := time.Duration(0); at < length; {
		trace = append(trace, laddertrace.Entry{
			At: at, Member: "jadewing", Kind: laddermodel.Urgent, Class: "fitcheck",
			Run: meanRun/2 + time.Duration(r.Int64N(int64(meanRun))), Deadline: deadline,
		})
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
	}
	return trace
}

// Table writes the points for people.
func Table(w io.Writer, points []Point) error {
	out := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(out, "RULE\tLOAD\tP50\tP99\tPACKING\tPEAK\tUSEFUL\tRAN\tTURNED AWAY\tUNKNOWN\tLATE")
	for _, p := range points {
		_, _ = fmt.Fprintf(out, "%s\t%.0f%%\t%v\t%v\t%.1f%%\t%.1f%%\t%.1f%%\t%d\t%d\t%d\t%d\n", p.Rule, 100*p.Load,
			p.P50.Round(100*time.Microsecond), p.P99.Round(100*time.Microsecond),
			100*p.Packing, 100*p.Peak, 100*p.Useful, p.Ran, p.Refused, p.Unknown, p.Late)
	}
	return out.Flush()
}
