// Package laddermodel holds the types that the whole scheduler shares: sizes,
// workers, tasks, requests and their outcomes.
//
// The types have no encoding tags. Each package that encodes them (peer messages,
// worker calls, stored jobs, traces) converts them to types of its own, so that a
// change to one format affects one file.
//
// # Usage
//
// A [Size] is a vector of resources. Add, Sub and Fits work on all of its parts:
//
//	free := worker.Size.Sub(used)
//	if task.Size.Fits(free) {
//		used = used.Add(task.Size)
//	}
//
// A request ends in exactly one [Outcome]. [Ran] and [NotRun] are reported only if
// the scheduler can prove them; in all other cases the outcome is [Unknown].
package laddermodel
