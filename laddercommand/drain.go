package laddercommand

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"strconv"

	"github.com/google/subcommands"
	"github.com/oklog/ulid/v2"

	"lacewingladder/ladderconfig"
	"lacewingladder/ladderserver"
)

// drain makes an entry VM or a worker leave.
type drain struct {
	client
	worker string
	reason string
	undo   bool
}

func (*drain) Name() string { return "drain" }
func (*drain) Synopsis() string {
	return "make an entry VM or a worker leave without interrupting work"
}

func (*drain) Usage() string {
	return `drain -to ADDR
drain -to ADDR -worker NAME -reason TEXT [-undo]
  Make the entry VM at ADDR leave: it takes no new work, ends what is under way,
  hands over what it holds, and exits. With -worker, make a worker get no new work
  instead, by an exception in the configuration that carries the reason.
`
}

func (d *drain) SetFlags(f *flag.FlagSet) {
	d.setFlags(f)
	f.StringVar(&d.worker, "worker", "", "the worker to drain")
	f.StringVar(&d.reason, "reason", "", "why the worker is drained")
	f.BoolVar(&d.undo, "undo", false, "let the worker take work again")
}

func (d *drain) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if len(d.to) != 1 || f.NArg() > 0 || (d.worker != "" && d.reason == "") {
		return d.misuse("drain: give -to ADDR, with -worker NAME also -reason TEXT, and no arguments")
	}
	if d.worker != "" {
		return d.drainWorker(ctx)
	}
	if _, err := d.must(ctx, http.MethodPost, "/v1/drain", nil, nil); err != nil {
		return d.fail(err)
	}
	_, _ = fmt.Fprintln(d.out, "the entry VM is leaving")
	return subcommands.ExitSuccess
}

// drainWorker adds the exception to the version in force.
func (d *drain) drainWorker(ctx context.Context) subcommands.ExitStatus {
	held, err := d.held(ctx)
	if err != nil {
		return d.fail(err)
	}
	document, err := ladderconfig.AddException([]byte(held.Document), ladderconfig.Exception{
		Target: "worker/" + d.worker, Set: "drain", Value: strconv.FormatBool(!d.undo), Reason: d.reason,
	})
	if err != nil {
		return d.fail(err)
	}
	accepted, err := d.put(ctx, document, map[string]string{
		ladderserver.HeaderChange: ulid.Make().String(), ladderserver.HeaderOperator: operatorName(),
		ladderserver.HeaderBase: quote(held.Number),
	})
	if err != nil {
		return d.fail(err)
	}
	_, _ = fmt.Fprintf(d.out, "version %d accepted (change %s)\n", accepted.Number, accepted.Change)
	return subcommands.ExitSuccess
}
