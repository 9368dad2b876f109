// Package ladderhealth tells failing workers from failing work.
//
// A worker that fails all that it starts is quick to be free again and so draws
// ever more work to itself. A [Detector] watches how tasks end and suspects a worker
// when several different sources of work failed there in a row while the same
// sources did not fail elsewhere. A suspected worker gets one probe at a time,
// at growing intervals, until a probe succeeds.
//
// A source is what the blame might lie with instead of the worker: a job, or a
// class of requests. A source that fails on several workers is itself held to be
// bad, and its failures then count against no worker.
//
// # Usage
//
//	if judge.Allows(now, worker) {
//		judge.Started(now, worker)
//		// run the task
//		judge.Ended(now, worker, source, failed)
//	}
//
// A Judge is not safe for concurrent use; its owner holds the lock.
package ladderhealth
