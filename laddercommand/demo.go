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
}

func (*demo) Name() string     { return "demo" }
func (*demo) Synopsis() string { return "run a whole small deployment and replay a trace on it" }
func (*demo) Usage() string {
	return `demo [-for 10s] [-log LEVEL] [-json]
  In one process, on free ports of loopback: a stand-in platform, 48 stand-in
  workers in 3 zones, and 6 entry VMs. A bundled trace is replayed through them.
  Succeeds when all outcomes are as the trace states.
`
}

func (d *demo) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&d.length, "for", 10*time.Second, "how much of the trace to replay")
	f.StringVar(&d.level, "log", "", "show log lines of this level: debug, info, warn or error")
	f.BoolVar(&d.json, "json", false, "print JSON")
}

func (d *demo) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return d.misuse("demo: give no arguments")
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
