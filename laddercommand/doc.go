// Package laddercommand implements the subcommands of the lacewingladder program.
//
// Each subcommand is a type that implements [subcommands.Command]. All subcommands follow
// the same conventions: a usage error gives exit status 2, a failure gives exit status 1,
// and all findings in an input file are printed together.
//
// # Usage
//
//	commander := laddercommand.New(flag.CommandLine, os.Stdout, os.Stderr)
//	flag.Parse()
//	os.Exit(int(commander.Execute(ctx)))
package laddercommand
