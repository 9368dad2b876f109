package laddercommand

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
)

// drain makes an entry VM leave.
type drain struct {
	client
}

func (*drain) Name() string     { return "drain" }
func (*drain) Synopsis() string { return "make an entry VM leave without interrupting requests" }
func (*drain) Usage() string {
	return `drain -to ADDR
  Make the entry VM at ADDR leave: it takes no new work, ends what is under way,
  hands over what it holds, and exits. To drain a worker, apply an exception
  with the target worker/NAME that sets drain to true, with its reason.
`
}

func (d *drain) SetFlags(f *flag.FlagSet) { d.setFlags(f) }

func (d *drain) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if len(d.to) != 1 || f.NArg() > 0 {
		return d.misuse("drain: give -to ADDR and no arguments")
	}
	if _, err := d.must(ctx, "POST", "/v1/drain", nil, nil); err != nil {
		return d.fail(err)
	}
	_, _ = fmt.Fprintln(d.out, "the entry VM is leaving")
	return subcommands.ExitSuccess
}
