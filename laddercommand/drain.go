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

// drain is the subcommand that drains an entry VM or a worker.
type drain struct {
	client
	// worker is the name of the worker to drain. If it is empty, the entry VM is drained.
	worker string
	reason string
	undo   bool
}

func (*drain) Name() string { return "drain" }
func (*drain) Synopsis() string {
	return "drain an entry VM or a worker without interrupting work"
}

func (*drain) Usage() string {
	return `drain -to ADDR
drain -to ADDR -worker NAME -reason TEXT [-undo]
  Drain the entry VM at ADDR: it rejects new work, finishes the work in progress,
  hands its racks and its leadership, if it has any, over to other entry VMs, and
  exits. With -worker, drain a worker instead: add an exception with the reason to
  the configuration, so that the worker gets no new work. With -undo, the exception
  lets the worker get new work again.
`
}

func (d *drain) SetFlags(f *flag.FlagSet) {
	d.setFlags(f)
	f.StringVar(&d.worker, "worker", "", "`name` of the worker to drain")
	f.StringVar(&d.reason, "reason", "", "`text` that says why the worker is drained")
	f.BoolVar(&d.undo, "undo", false, "let the worker get new work again")
}

func (d *drain) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if len(d.to) != 1 || f.NArg() > 0 || (d.worker != "" && d.reason == "") {
		return d.usageError("drain: give -to ADDR, with -worker NAME also -reason TEXT, and no arguments")
	}
	if d.worker != "" {
		return d.drainWorker(ctx)
	}
	if _, err := d.callBody(ctx, http.MethodPost, "/v1/drain", nil, nil); err != nil {
		return d.fail(err)
	}
	_, _ = fmt.Fprintln(d.out, "the entry VM is leaving")
	return subcommands.ExitSuccess
}

// drainWorker submits the configuration in force as a new version, with an added exception
// for the worker.
func (d *drain) drainWorker(ctx context.Context) subcommands.ExitStatus {
	current, err := d.currentVersion(ctx)
	if err != nil {
		return d.fail(err)
	}
	document, err := ladderconfig.AddException([]byte(current.Document), ladderconfig.Exception{
		Target: "worker/" + d.worker, Setting: "drain", Value: strconv.FormatBool(!d.undo), Reason: d.reason,
	})
	if err != nil {
		return d.fail(err)
	}
	accepted, err := d.putConfig(ctx, document, map[string]string{
		ladderserver.HeaderChange: ulid.Make().String(), ladderserver.HeaderOperator: operatorName(),
		ladderserver.HeaderIfMatch: entityTag(current.Number),
	})
	if err != nil {
		return d.fail(err)
	}
	_, _ = fmt.Fprintf(d.out, "version %d accepted (change %s)\n", accepted.Number, accepted.ChangeID)
	return subcommands.ExitSuccess
}
