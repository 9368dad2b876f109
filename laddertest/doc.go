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
// The package contains only tests.
//
// # Usage
//
//	go test ./laddertest
package laddertest
