package laddercommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"strings"

	"github.com/google/subcommands"
)

// Version is the version of the program.
const Version = "0.1.0"

// streams holds the writers for the output and the errors of a subcommand.
type streams struct {
	out io.Writer
	err io.Writer
}

// fail prints an error and returns the exit status of a failure.
func (s streams) fail(err error) subcommands.ExitStatus {
	_, _ = fmt.Fprintln(s.err, err)
	return subcommands.ExitFailure
}

// usageError prints what is wrong with the arguments and returns the exit status of a
// usage error.
func (s streams) usageError(format string, args ...any) subcommands.ExitStatus {
	_, _ = fmt.Fprintf(s.err, format+"\n", args...)
	return subcommands.ExitUsageError
}

// New returns a commander with all subcommands. The flags are the top-level flags of the
// program; the subcommands write to out and err.
func New(flags *flag.FlagSet, out, err io.Writer) *subcommands.Commander {
	c := subcommands.NewCommander(flags, "lacewingladder")
	c.Output, c.Error = out, err
	s := streams{out: out, err: err}
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	c.Register(&version{streams: s}, "")
	for _, command := range []subcommands.Command{&entry{streams: s}, &serve{streams: s}, &check{streams: s}, &keys{streams: s}} {
		c.Register(command, "an entry VM")
	}
	for _, command := range []subcommands.Command{
		&apply{client: client{streams: s}}, &status{client: client{streams: s}}, &drain{client: client{streams: s}},
		&explain{operatorQuery: operatorQuery{streams: s}}, &top{operatorQuery: operatorQuery{streams: s}},
	} {
		c.Register(command, "operators")
	}
	for _, command := range []subcommands.Command{&submit{client: client{streams: s}}, &cancel{client: client{streams: s}}} {
		c.Register(command, "callers")
	}
	for _, command := range []subcommands.Command{&simulate{streams: s}, &replay{streams: s}, &demo{streams: s}, &report{streams: s}} {
		c.Register(command, "trying it out")
	}
	return c
}

// version is the subcommand that prints the program's version.
type version struct {
	streams
}

func (*version) Name() string           { return "version" }
func (*version) Synopsis() string       { return "print the program's version" }
func (*version) Usage() string          { return "version\n  Print the program's version.\n" }
func (*version) SetFlags(*flag.FlagSet) {}
func (v *version) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	_, _ = fmt.Fprintln(v.out, "lacewingladder", Version)
	return subcommands.ExitSuccess
}

// addresses is the value of a flag that takes one or more addresses, separated by commas.
// If the flag is repeated, the addresses are added.
type addresses []netip.AddrPort

// String implements [flag.Value].
func (a *addresses) String() string {
	var texts []string
	for _, address := range *a {
		texts = append(texts, address.String())
	}
	return strings.Join(texts, ",")
}

// Set implements [flag.Value].
func (a *addresses) Set(text string) error {
	for _, field := range strings.Split(text, ",") {
		address, err := netip.ParseAddrPort(strings.TrimSpace(field))
		if err != nil {
			return err
		}
		*a = append(*a, address)
	}
	return nil
}
