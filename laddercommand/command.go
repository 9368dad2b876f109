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

// Version is the program's version.
const Version = "0.1.0"

// streams are where a subcommand writes.
type streams struct {
	out io.Writer
	err io.Writer
}

// fail prints an error and returns the status of a failure.
func (s streams) fail(err error) subcommands.ExitStatus {
	_, _ = fmt.Fprintln(s.err, err)
	return subcommands.ExitFailure
}

// misuse prints what is wrong with the arguments and returns the status for it.
func (s streams) misuse(format string, args ...any) subcommands.ExitStatus {
	_, _ = fmt.Fprintf(s.err, format+"\n", args...)
	return subcommands.ExitUsageError
}

// New returns a commander with all subcommands, for the flags of a program.
func New(flags *flag.FlagSet, out, err io.Writer) *subcommands.Commander {
	c := subcommands.NewCommander(flags, "lacewingladder")
	c.Output, c.Error = out, err
	s := streams{out: out, err: err}
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	c.Register(&version{streams: s}, "")
	for _, x := range []subcommands.Command{&entry{streams: s}, &serve{streams: s}, &check{streams: s}, &keys{streams: s}} {
		c.Register(x, "an entry VM")
	}
	for _, x := range []subcommands.Command{
		&apply{client: client{streams: s}}, &status{client: client{streams: s}}, &drain{client: client{streams: s}},
		&explain{asking: asking{streams: s}}, &top{asking: asking{streams: s}},
	} {
		c.Register(x, "operators")
	}
	for _, x := range []subcommands.Command{&submit{client: client{streams: s}}, &cancel{client: client{streams: s}}} {
		c.Register(x, "callers")
	}
	for _, x := range []subcommands.Command{&simulate{streams: s}, &replay{streams: s}, &demo{streams: s}, &report{streams: s}} {
		c.Register(x, "trying it out")
	}
	return c
}

// version prints the program's version.
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

// addresses is a flag that holds one or more addresses, separated by commas.
type addresses []netip.AddrPort

// String implements [flag.Value].
func (a *addresses) String() string {
	var texts []string
	for _, x := range *a {
		texts = append(texts, x.String())
	}
	return strings.Join(texts, ",")
}

// Set implements [flag.Value].
func (a *addresses) Set(text string) error {
	for _, one := range strings.Split(text, ",") {
		x, err := netip.ParseAddrPort(strings.TrimSpace(one))
		if err != nil {
			return err
		}
		*a = append(*a, x)
	}
	return nil
}
