// Package ladderplacement picks where a task goes: first the rack's holder, then
// the worker.
//
// Two steps decide a placement, and each has its own file. A [Router] picks the
// holder to ask from small, stale digests of free room (router.go). The holder
// then picks one of its workers with a [Policy] over its exact ledger
// (policy.go). A policy is a small interface, so that each kind of work can have
// its own and baselines can stand beside them.
//
// # Usage
//
//	policy, err := ladderplacement.Named("pack", seed)
//	i := policy.Pick(task.Size, candidates)
//	if i < 0 {
//		// none fits
//	}
//
//	router.Learn(now, digest)
//	target, ok := router.Route(now, task.Size, tried, class.Far)
//
// Random choices come from a seeded generator, so that a run can be repeated.
package ladderplacement
