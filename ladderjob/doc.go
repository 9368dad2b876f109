// Package ladderjob holds the types of jobs. A job is work that a member submits to
// the queue, as opposed to an urgent request, whose caller waits for the answer.
//
// A job has one kind. Batch jobs run each of their tasks once, in any order. Gangs
// start all of their tasks together or none. Services keep all of their tasks
// running until they are canceled. [Parse] reads a job from YAML or JSON,
// [CheckFeasible] finds out whether it can ever run, and a [Record] is its form in
// the platform's store.
//
// # Usage
//
//	job, err := ladderjob.Parse("job.yaml", data)
//	record := ladderjob.Record{Job: job}
//	value, err := ladderjob.Encode(record)
package ladderjob
