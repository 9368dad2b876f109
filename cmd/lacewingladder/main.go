// Command lacewingladder is the cluster scheduler and its tools. Its subcommands run the
// scheduler on an entry VM, let operators manage it and callers submit jobs, and start
// simulations and a demo.
//
// # Usage
//
//	lacewingladder help
//	lacewingladder demo
//	lacewingladder serve -settings entry.yaml
package main

import (
	"context"
	"flag"
	"os"

	"lacewingladder/laddercommand"
)

func main() {
	commander := laddercommand.New(flag.CommandLine, os.Stdout, os.Stderr)
	flag.Parse()
	os.Exit(int(commander.Execute(context.Background())))
}
