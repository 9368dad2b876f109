// Package ladderflow describes jobs made of steps, and the fleet's rules for them.
//
// A job has steps. A step has tasks, which are alike. A step becomes ready once
// all tasks of the steps that it comes after have ended well. A job may repeat at
// set times; each repetition is a round with the same steps. One attempt to run a
// task on a worker is a run; the runs of a task are numbered from 1.
//
// The types hold what callers and operators asked for, in the product's own
// words. They carry no tags: package platform maps them to what callers send,
// and package ladderjournal to what the store keeps.
//
// # Usage
//
//	if findings := job.Check(); findings.Err() != nil {
//		return findings.Err() // one finding on each line
//	}
//	queue, ok := fleet.Route(host, path)
package ladderflow
