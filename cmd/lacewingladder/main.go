// Command lacewingladder is the scheduler and its tools: run it on an entry VM,
// drive it as an operator, hand in jobs, and try it out.
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
