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

// keys is the subcommand that creates certificates for trying the system out.
type keys struct {
	streams
	dir string
	// names holds the names of the entry VMs, separated by commas.
	names string
}

func (*keys) Name() string     { return "keys" }
func (*keys) Synopsis() string { return "create a set of certificates for trying it out" }
func (*keys) Usage() string {
	return `keys -dir DIR -names NAME[,NAME...]
  Create a certificate authority and a certificate for each entry VM. The private
  key of the authority is not stored: to add a VM, create the whole set again in
  another directory.
`
}

func (k *keys) SetFlags(f *flag.FlagSet) {
	f.StringVar(&k.dir, "dir", "keys", "`directory` to write the certificates to")
	f.StringVar(&k.names, "names", "", "`names` of the entry VMs, separated by commas")
}

func (k *keys) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if k.names == "" || f.NArg() > 0 {
		return k.usageError("keys: give -names NAME[,NAME...] and no arguments")
	}
	names := strings.Split(k.names, ",")
	if err := laddercert.Generate(k.dir, names, []netip.Addr{netip.MustParseAddr("127.0.0.1")}, time.Now()); err != nil {
		return k.fail(err)
	}
	_, _ = fmt.Fprintf(k.out, "%d certificates in %s\n", len(names), k.dir)
	return subcommands.ExitSuccess
}
