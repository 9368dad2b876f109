// Package laddertest holds the tests of the whole system as separate processes.
//
// The tests build the programs, start a platform, workers and entry VMs as
// processes on loopback, and send them traffic, signals and faults. The package
// has no code of its own.
//
// # Usage
//
//	go test ./laddertest
package laddertest
