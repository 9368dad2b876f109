// Command stand plays the cases of the independent review that are scripts. It serves stand-ins for the
// platform's store, the workers and the clients, and starts the project's entry VMs as processes.
//
// # Usage
//
//	review/bin/stand -case service -record review/1/record.txt
//
// It is run in the repository, after the build of the deploy file. With TROUBLE=0 in the environment it leaves the
// disruption out. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	held       = 0
	wasBroken  = 1
	couldNot   = 2
	workers    = 48
	entryVMs   = 6
	noTroubles = "0"
)

func main() {
	name := flag.String("case", "", "`name` of the case")
	record := flag.String("record", "", "`file` to which the case writes what was sent, answered and run")
	flag.Parse()
	os.Exit(playCase(*name, *record))
}

// playCase plays a case and returns the exit status.
func playCase(name, record string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Println("there is no case", name)
		return couldNot
	}
	file, err := os.Create(record)
	if err != nil {
		fmt.Println(err)
		return couldNot
	}
	defer func() { _ = file.Close() }()
	x, err := newWorld(file, os.Getenv("TROUBLE") != noTroubles, workers)
	if err != nil {
		fmt.Println("the stand-ins can not be started:", err)
		return couldNot
	}
	defer x.close()
	result := make(chan error, 1)
	go func() {
		x.configure(1, deeds, reminders, holds)
		err := x.addVMs(entryVMs)
		if err == nil {
			err = play(x)
		}
		result <- err
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err = <-result:
	case s := <-interrupted:
		err = fmt.Errorf("interrupted: %v", s)
	}
	if err != nil {
		fmt.Println("the case could not run:", err)
		return couldNot
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.broken) > 0 {
		fmt.Printf("broken %d times; the first: %s\n", len(x.broken), x.broken[0])
		return wasBroken
	}
	fmt.Println("held")
	return held
}
