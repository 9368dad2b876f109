// Package laddercommand holds the subcommands of the lacewingladder program.
//
// Each subcommand is a type of its own in a file of its name. They share the
// conventions of the program: usage errors end with status 2, failures with
// status 1, and all findings of an input are printed together.
//
// # Usage
//
//	commander := laddercommand.New(flag.CommandLine, os.Stdout, os.Stderr)
//	flag.Parse()
//	os.Exit(int(commander.Execute(ctx)))
package laddercommand
