// Package laddertest tests the whole system as separate processes on loopback.
//
// Most tests start a cluster: six entry VMs in three zones, workers, and a platform that
// offers the store and the list of VMs. All of them are processes. While callers send
// requests, a test stops processes with signals and turns on faults of the platform and the
// workers. Package ladderaudit then checks the workers' records and the callers' answers.
//
// Tests whose names begin with TestFlow start a flow cluster instead: three entry VMs that
// run as processes with the subcommand entry, elect a leader, and place jobs on workers.
// The platform, the workers and the advice service run inside the test.
//
// TestSoak plays random faults to a flow cluster and checks what callers and workers see. It plays
// no seed unless it is told to.
//
// The package contains only tests.
//
// # Usage
//
//	go test ./laddertest
//	go test ./laddertest -run TestSoak -soak.seeds=50 -timeout 60m
package laddertest
