// Package ladderflow defines the scheduler's domain model: jobs and their steps,
// queues, workers, runs, machines and the operators' configuration.
//
// A job consists of steps, and a step of identical tasks. A step becomes ready when
// every task of each step that it depends on has succeeded. A job may repeat on a
// schedule; each repetition is a round, which runs all steps again. A run is one
// attempt to execute a task on a worker. The runs of a task are numbered from 1.
//
// The types have no encoding tags. Package platform converts them to and from the
// messages of callers, operators and workers, and package ladderjournal to and from
// the values in the store.
//
// # Usage
//
//	if findings := job.Check(file); findings.Err() != nil {
//		return findings.Err() // one finding on each line
//	}
//	queue, ok := fleet.Route(host, path)
package ladderflow
