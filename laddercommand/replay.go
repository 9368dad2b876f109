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

// replay is the subcommand that replays a recorded trace on running entry VMs.
type replay struct {
	streams
	traceFile string
	to        addresses
	operators addresses
	json      bool
}

func (*replay) Name() string     { return "replay" }
func (*replay) Synopsis() string { return "replay a recorded trace and compare the outcomes" }
func (*replay) Usage() string {
	return `replay -trace FILE -to ADDR[,ADDR...] [-operators ADDR[,ADDR...]] [-json]
  Send the entries of a trace to the entry VMs in turn, compare each outcome with
  the one that the trace states, and print the waiting times. With the operators'
  addresses, also print how full the workers were and what the scheduling cost.
  The command fails if any outcome differs.
`
}

func (r *replay) SetFlags(f *flag.FlagSet) {
	f.StringVar(&r.traceFile, "trace", "", "`file` with the trace, in JSON lines")
	f.Var(&r.to, "to", "`addresses` at which entry VMs serve callers, separated by commas")
	f.Var(&r.operators, "operators", "`addresses` at which entry VMs serve operators, separated by commas")
	f.BoolVar(&r.json, "json", false, "print the report as JSON")
}

func (r *replay) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if r.traceFile == "" || len(r.to) == 0 || f.NArg() > 0 {
		return r.usageError("replay: give -trace FILE, -to ADDR[,ADDR...] and no arguments")
	}
	data, err := os.ReadFile(r.traceFile)
	if err != nil {
		return r.fail(err)
	}
	trace, err := laddertrace.Parse(r.traceFile, data)
	if err != nil {
		return r.fail(err)
	}
	report := runTrace(ctx, laddertrace.Replay{
		Trace: trace, Targets: r.to, Clock: ladderclock.System{}, Progress: progressPrinter(r.err),
	}, r.operators)
	return r.printReport(report, r.json)
}

// runTrace replays a trace. With operators' addresses it also measures packing and the
// cost of scheduling.
func runTrace(ctx context.Context, r laddertrace.Replay, operators addresses) laddertrace.Report {
	if len(operators) == 0 {
		return r.Run(ctx)
	}
	meter := laddertrace.StartMeter(ctx, operators)
	report := r.Run(ctx)
	report.Cost = meter.Stop(ctx)
	return report
}

// printReport prints a report and returns the exit status: failure if an outcome differs
// from the trace.
func (s streams) printReport(report laddertrace.Report, asJSON bool) subcommands.ExitStatus {
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

// progressPrinter returns a function that prints progress to w, or nil if w is not a
// terminal.
func progressPrinter(w io.Writer) func(done, all int) {
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
