// Package ladderhealth distinguishes failing workers from failing work.
//
// A worker that fails each task quickly is soon free again, and so receives more
// and more tasks. A [Detector] records how tasks end. It suspects a worker after
// several failures in a row, unless their source is itself faulty. A suspect
// worker gets one task at a time as a probe, at growing intervals, until a probe
// succeeds.
//
// A source is the origin of a task, which may be at fault instead of the worker:
// a job, or a class of requests. A source that fails on several workers is
// faulty, and its failures do not count against any worker.
//
// # Usage
//
//	if detector.Allows(now, worker) {
//		detector.Started(now, worker)
//		// run the task
//		detector.Ended(now, worker, source, failed)
//	}
//
// A Detector is not safe for concurrent use. The caller must hold a lock.
package ladderhealth
