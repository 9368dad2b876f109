package laddercommand

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/google/subcommands"

	"lacewingladder/laddercert"
)

// keys makes certificates for trying the system out.
type keys struct {
	streams
	dir   string
	names string
}

func (*keys) Name() string     { return "keys" }
func (*keys) Synopsis() string { return "make a set of certificates for trying it out" }
func (*keys) Usage() string {
	return `keys -dir DIR -names NAME[,NAME...]
  Make an authority and a certificate for each entry VM. The authority's own key
  is not kept: to add a VM, make the whole set anew.
`
}

func (k *keys) SetFlags(f *flag.FlagSet) {
	f.StringVar(&k.dir, "dir", "keys", "the directory to write to")
	f.StringVar(&k.names, "names", "", "the names of the entry VMs, separated by commas")
}

func (k *keys) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if k.names == "" || f.NArg() > 0 {
		return k.misuse("keys: give -names NAME[,NAME...] and no arguments")
	}
	names := strings.Split(k.names, ",")
	if err := laddercert.Make(k.dir, names, []netip.Addr{netip.MustParseAddr("127.0.0.1")}, time.Now()); err != nil {
		return k.fail(err)
	}
	_, _ = fmt.Fprintf(k.out, "%d certificates in %s\n", len(names), k.dir)
	return subcommands.ExitSuccess
}
