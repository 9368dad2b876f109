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

// demo runs a whole deployment in one process.
type demo struct {
	streams
	length time.Duration
	level  string
	json   bool
	jobs   int
}

func (*demo) Name() string     { return "demo" }
func (*demo) Synopsis() string { return "run a whole small deployment and replay a trace on it" }
func (*demo) Usage() string {
	return `demo [-for 10s] [-log LEVEL] [-json] [-jobs N]
  In one process, on free ports of loopback: a stand-in platform, 48 stand-in
  workers in 3 zones, and 6 entry VMs. A bundled trace is replayed through them.
  Succeeds when all outcomes are as the trace states.
  With -jobs N, N jobs of steps go through the members' platform's protocol instead:
  a stand-in of its store, 12 workers and 3 entry VMs, of which one leaves half way.
  Succeeds when all are done and no task has begun twice.
`
}

func (d *demo) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&d.length, "for", 10*time.Second, "how much of the trace to replay")
	f.StringVar(&d.level, "log", "", "show log lines of this level: debug, info, warn or error")
	f.BoolVar(&d.json, "json", false, "print JSON")
	f.IntVar(&d.jobs, "jobs", 0, "run that many jobs of steps instead of the trace")
}

func (d *demo) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || d.jobs < 0 {
		return d.misuse("demo: give no arguments, and no negative number of jobs")
	}
	dir, err := os.MkdirTemp("", "lacewingladder-demo-")
	if err != nil {
		return d.fail(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	logs := ladderlog.Discard()
	if d.level != "" {
		logs = ladderlog.New(d.err, d.level)
	}
	if d.jobs > 0 {
		return d.runJobs(ctx, logs)
	}
	fleet, err := ladderdemo.Start(ctx, ladderdemo.Options{Dir: dir, Logs: logs})
	if err != nil {
		return d.fail(err)
	}
	defer fleet.Close()
	if !d.json {
		_, _ = fmt.Fprintf(d.out, "fleet         %d entry VMs, %d workers; callers at %v\n",
			len(fleet.Entries), len(fleet.Workers), fleet.Callers()[0])
	}
	report := runTrace(ctx, laddertrace.Replay{
		Trace: ladderdemo.Trace(d.length), Targets: fleet.Callers(), Clock: ladderclock.System{},
		Progress: progress(d.err),
	}, fleet.Operators())
	if over := fleet.Over(); over > 0 {
		return d.fail(errors.New(fmt.Sprint(over, " starts went beyond a worker's size")))
	}
	return d.show(report, d.json)
}

// runJobs runs jobs of steps on a stand-in of the members' platform.
func (d *demo) runJobs(ctx context.Context, logs *ladderlog.Logs) subcommands.ExitStatus {
	r, err := ladderdemo.RunJobs(ctx, d.jobs, logs)
	if err != nil {
		return d.fail(err)
	}
	_, _ = fmt.Fprint(d.out, r)
	if r.Done < r.Jobs || r.Twice > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
