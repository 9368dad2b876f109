// Package ladderjob holds jobs: what members submit for work that may wait.
//
// A job has one kind. Batch jobs run each of their tasks once, in any order.
// Gangs start all of their tasks together or none. Services keep all of their
// tasks running until they are cancelled. [Parse] reads a job from YAML or JSON;
// a [Record] is its durable form in the platform's store.
//
// # Usage
//
//	job, err := ladderjob.Parse("job.yaml", data)
//	record := ladderjob.Record{Job: job}
//	value, err := ladderjob.Encode(record)
package ladderjob
