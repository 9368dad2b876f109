// Package ladderplacement selects the rack and the worker for a task.
//
// A placement takes two steps. First, an entry VM uses a [Router] to select a
// rack, and asks the entry VM that holds the rack's workers, its holder, for
// capacity. The router works on digests: small and slightly outdated summaries
// of each rack's free capacity (router.go). Then the holder uses a [Policy] to
// select one of its workers by their exact free capacity (policy.go). Each class
// of work can have its own policy. Some policies serve as baselines for
// comparison.
//
// # Usage
//
//	policy, err := ladderplacement.NewPolicy("pack", seed)
//	i := policy.Pick(task.Size, candidates)
//	if i < 0 {
//		// the task fits on no candidate
//	}
//
//	router.Update(now, digest)
//	target, ok := router.Route(now, task.Size, tried, class.CrossRegion)
//
// Random choices come from a seeded generator, so that a run can be reproduced.
package ladderplacement
