// Package laddermodel holds the types that the whole scheduler shares: sizes,
// workers, tasks, requests and their outcomes.
//
// The types carry no encoding tags. Each codec (peer messages, worker calls,
// stored jobs, traces) maps them by hand in its own package, so that a change
// of one format touches one file.
//
// # Usage
//
// Sizes are vectors; they are added, subtracted and compared as a whole:
//
//	free := worker.Size.Sub(used)
//	if task.Size.Fits(free) {
//		used = used.Add(task.Size)
//	}
//
// A request ends in exactly one [Outcome]. [Ran] and [NotRun] are facts that
// the scheduler can prove; [Unknown] is the honest answer for all the rest.
package laddermodel
