package laddercommand

import (
	"context"
	"flag"
	"os"
	"time"

	"github.com/google/subcommands"

	"lacewingladder/ladderreport"
)

// report is the subcommand that measures waiting time and packing against load.
type report struct {
	streams
	dir          string
	loadDuration time.Duration
}

func (*report) Name() string { return "report" }
func (*report) Synopsis() string {
	return "measure waiting time and packing against load, and plot them"
}

func (*report) Usage() string {
	return `report [-out DIR] [-for 6s]
  Run a small fleet on the loopback interface for each rule that chooses the entry VM
  on whose workers a request runs, at loads of 50, 80, 95 and 120 percent. Print a
  table and write the plots wait.png and packing.png.
`
}

func (r *report) SetFlags(f *flag.FlagSet) {
	f.StringVar(&r.dir, "out", "report", "`directory` to write the plots to")
	f.DurationVar(&r.loadDuration, "for", 6*time.Second, "`duration` of each load")
}

func (r *report) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return r.usageError("report: give no arguments")
	}
	tempDir, err := os.MkdirTemp("", "lacewingladder-report-")
	if err != nil {
		return r.fail(err)
	}
	defer func() { _ = os.RemoveAll(tempDir) }()
	points, err := ladderreport.Measure(ctx, ladderreport.Options{Dir: tempDir, Length: r.loadDuration, Progress: r.err})
	if err != nil {
		return r.fail(err)
	}
	if err := ladderreport.WriteTable(r.out, points); err != nil {
		return r.fail(err)
	}
	if err := ladderreport.WritePlots(r.dir, points); err != nil {
		return r.fail(err)
	}
	return subcommands.ExitSuccess
}
