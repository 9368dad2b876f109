package laddercommand

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"

	"lacewingladder/ladderconfig"
	"lacewingladder/laddersettings"
	"lacewingladder/laddertrace"
	"lacewingladder/ladderyaml"
	"lacewingladder/platform"
)

// check is the subcommand that validates input files.
type check struct {
	streams
}

func (*check) Name() string     { return "check" }
func (*check) Synopsis() string { return "validate settings, configurations and traces" }
func (*check) Usage() string {
	return `check FILE...
  Validate files and print every finding with its position. A file whose name ends
  in .jsonl is a trace, a file with the key "defaults" is a configuration, one with
  the key "` + platform.FleetField + `" is the operators' configuration on the members' platform, as the
  store holds it under ` + platform.FleetKey + `, and any other file contains the settings of an
  entry VM. No finding shows a key of a team.
`
}

func (*check) SetFlags(*flag.FlagSet) {}

func (c *check) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return c.usageError("check: name at least one file")
	}
	status := subcommands.ExitSuccess
	for _, file := range f.Args() {
		if err := checkFile(file); err != nil {
			_, _ = fmt.Fprintln(c.out, err)
			status = subcommands.ExitFailure
		}
	}
	return status
}

// checkFile returns all findings in a file as one error.
func checkFile(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if strings.HasSuffix(file, ".jsonl") {
		_, err := laddertrace.Parse(file, data)
		return err
	}
	document := ladderyaml.Parse(file, data)
	switch {
	case document.HasKey("defaults"):
		_, err := ladderconfig.Parse(file, data)
		return err
	case document.HasKey(platform.FleetField):
		return platform.CheckFleet(file, data)
	}
	_, err = laddersettings.Parse(file, data)
	return err
}
