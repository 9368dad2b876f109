package laddercommand

import (
	"context"
	"flag"
	"os"
	"time"

	"github.com/google/subcommands"

	"lacewingladder/ladderreport"
)

// report measures waiting time and packing against load.
type report struct {
	streams
	dir    string
	length time.Duration
}

func (*report) Name() string { return "report" }
func (*report) Synopsis() string {
	return "measure waiting time and packing against load, and plot them"
}

func (*report) Usage() string {
	return `report [-out DIR] [-for 6s]
  Run small fleets on loopback, one for each rule of choosing holders, at loads of
  50, 80, 95 and 120 percent. Print a table and write wait.png and packing.png.
`
}

func (r *report) SetFlags(f *flag.FlagSet) {
	f.StringVar(&r.dir, "out", "report", "the directory to write the plots to")
	f.DurationVar(&r.length, "for", 6*time.Second, "how long each load lasts")
}

func (r *report) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return r.misuse("report: give no arguments")
	}
	dir, err := os.MkdirTemp("", "lacewingladder-report-")
	if err != nil {
		return r.fail(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	points, err := ladderreport.Measure(ctx, ladderreport.Options{Dir: dir, Length: r.length, Progress: r.err})
	if err != nil {
		return r.fail(err)
	}
	if err := ladderreport.Table(r.out, points); err != nil {
		return r.fail(err)
	}
	if err := ladderreport.Plot(r.dir, points); err != nil {
		return r.fail(err)
	}
	return subcommands.ExitSuccess
}
