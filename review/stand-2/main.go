// Command stand-2 holds the stand-ins and the cases of a review, each of which starts a small deployment.
package main

import (
	"errors"
	"fmt"
	"net"
	"os"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderstand"
)

// The exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases holds the cases by name. Each gets the cluster's record and whether the disruption comes.
var cases = map[string]func(record *os.File, trouble bool) error{
	"cancelled": cancelled,
}

func main() {
	err := run(os.Args[1:])
	switch {
	case err == nil:
		os.Exit(held)
	case errors.Is(err, errBroken):
		fmt.Println(err)
		os.Exit(broken)
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(couldNot)
}

func run(args []string) error {
	if len(args) < 2 {
		return errors.New("usage: stand-2 platform ADDRESS | worker SPEC | CASE RECORD")
	}
	switch args[0] {
	case "platform":
		listener, err := net.Listen("tcp", args[1])
		if err != nil {
			return err
		}
		return ladderstand.NewHTTPServer(ladderstand.NewPlatform(ladderclock.System{}).Handler()).Serve(listener)
	case "worker":
		return runWorker(args[1])
	}
	f, ok := cases[args[0]]
	if !ok {
		return fmt.Errorf("there is no case %q", args[0])
	}
	record, err := os.Create(args[1])
	if err != nil {
		return err
	}
	defer func() { _ = record.Close() }()
	err = f(record, os.Getenv("TROUBLE") != "0")
	result := "the rule held"
	if err != nil {
		result = err.Error()
	}
	_, _ = fmt.Fprintln(record, result)
	return err
}
