package laddercommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"lacewingladder/ladderclock"
	"lacewingladder/laddertrace"
)

// replay sends a recorded trace.
type replay struct {
	streams
	trace     string
	to        addresses
	operators addresses
	json      bool
}

func (*replay) Name() string     { return "replay" }
func (*replay) Synopsis() string { return "send a recorded trace and compare the outcomes" }
func (*replay) Usage() string {
	return `replay -trace FILE -to ADDR[,ADDR...] [-operators ADDR[,ADDR...]] [-json]
  Send a trace to the entry VMs in turn, compare each outcome with the one that
  the trace states, and print waiting times. With the operators' addresses it
  also prints packing and control cost. Any difference makes it fail.
`
}

func (r *replay) SetFlags(f *flag.FlagSet) {
	f.StringVar(&r.trace, "trace", "", "the trace, a file of JSON lines")
	f.Var(&r.to, "to", "the callers' `addresses` of entry VMs")
	f.Var(&r.operators, "operators", "the operators' `addresses` of entry VMs")
	f.BoolVar(&r.json, "json", false, "print JSON")
}

func (r *replay) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if r.trace == "" || len(r.to) == 0 || f.NArg() > 0 {
		return r.misuse("replay: give -trace FILE, -to ADDR[,ADDR...] and no arguments")
	}
	data, err := os.ReadFile(r.trace)
	if err != nil {
		return r.fail(err)
	}
	trace, err := laddertrace.Parse(r.trace, data)
	if err != nil {
		return r.fail(err)
	}
	report := runTrace(ctx, laddertrace.Replay{
		Trace: trace, Targets: r.to, Clock: ladderclock.System{}, Progress: progress(r.err),
	}, r.operators)
	return r.show(report, r.json)
}

// runTrace replays a trace, and measures the control cost when it can.
func runTrace(ctx context.Context, r laddertrace.Replay, operators addresses) laddertrace.Report {
	if len(operators) == 0 {
		return r.Run(ctx)
	}
	meter := laddertrace.Measure(ctx, operators)
	report := r.Run(ctx)
	report.Cost = meter.Stop(ctx)
	return report
}

// show prints a report and returns the status that it deserves.
func (s streams) show(report laddertrace.Report, asJSON bool) subcommands.ExitStatus {
	write := report.Print
	if asJSON {
		write = report.JSON
	}
	if err := write(s.out); err != nil {
		return s.fail(err)
	}
	if len(report.Differences) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// progress returns a function that shows progress on a terminal, or nil when w
// is none.
func progress(w io.Writer) func(done, all int) {
	file, ok := w.(*os.File)
	if !ok {
		return nil
	}
	info, err := file.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(done, all int) {
		_, _ = fmt.Fprintf(file, "\r%d of %d", done, all)
		if done == all {
			_, _ = fmt.Fprintln(file)
		}
	}
}
