package laddercommand

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderdemo"
	"lacewingladder/ladderlog"
	"lacewingladder/laddertrace"
)

// demo is the subcommand that runs a whole small deployment in one process.
type demo struct {
	streams
	traceLength time.Duration
	// level is the level of the log lines to print. If it is empty, none are printed.
	level string
	json  bool
	// jobs is the number of jobs to run instead of the trace, or 0 to replay the trace.
	jobs int
}

func (*demo) Name() string     { return "demo" }
func (*demo) Synopsis() string { return "run a whole small deployment and replay a trace on it" }
func (*demo) Usage() string {
	return `demo [-for 10s] [-log LEVEL] [-json] [-jobs N]
  Run a stand-in platform, 48 stand-in workers in 3 zones and 6 entry VMs in one
  process, on free ports of the loopback interface, and replay a bundled trace on
  them. The command succeeds if all outcomes are as the trace states.
  With -jobs N, run N jobs that consist of steps on a stand-in of the members'
  platform instead, with 12 workers and 3 entry VMs, one of which leaves half way
  through. The command succeeds if all jobs are done and no task started twice.
`
}

func (d *demo) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&d.traceLength, "for", 10*time.Second, "length of the trace to replay")
	f.StringVar(&d.level, "log", "", "print log lines of at least this `level`: debug, info, warn or error")
	f.BoolVar(&d.json, "json", false, "print the report as JSON")
	f.IntVar(&d.jobs, "jobs", 0, "`number` of jobs that consist of steps to run instead of the trace")
}

func (d *demo) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || d.jobs < 0 {
		return d.usageError("demo: give no arguments, and no negative number of jobs")
	}
	tempDir, err := os.MkdirTemp("", "lacewingladder-demo-")
	if err != nil {
		return d.fail(err)
	}
	defer func() { _ = os.RemoveAll(tempDir) }()
	logs := ladderlog.Discard()
	if d.level != "" {
		logs = ladderlog.New(d.err, d.level)
	}
	if d.jobs > 0 {
		return d.runJobs(ctx, logs)
	}
	fleet, err := ladderdemo.Start(ctx, ladderdemo.Options{Dir: tempDir, Logs: logs})
	if err != nil {
		return d.fail(err)
	}
	defer fleet.Close()
	if !d.json {
		_, _ = fmt.Fprintf(d.out, "fleet         %d entry VMs, %d workers; callers at %v\n",
			len(fleet.Entries), len(fleet.Workers), fleet.Callers()[0])
	}
	report := runTrace(ctx, laddertrace.Replay{
		Trace: ladderdemo.Trace(d.traceLength), Targets: fleet.Callers(), Clock: ladderclock.System{},
		Progress: progressPrinter(d.err),
	}, fleet.Operators())
	if over := fleet.OverCapacityStarts(); over > 0 {
		return d.fail(errors.New(fmt.Sprint(over, " starts went beyond a worker's size")))
	}
	return d.printReport(report, d.json)
}

// runJobs runs jobs that consist of steps on a stand-in of the members' platform.
func (d *demo) runJobs(ctx context.Context, logs *ladderlog.Loggers) subcommands.ExitStatus {
	r, err := ladderdemo.RunJobs(ctx, d.jobs, logs)
	if err != nil {
		return d.fail(err)
	}
	_, _ = fmt.Fprint(d.out, r)
	if r.Done < r.Jobs || r.StartedTwice > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
