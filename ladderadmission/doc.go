// Package ladderadmission limits how long urgent tasks wait for free capacity,
// and computes how many slots other tasks must leave free for them.
//
// A [WaitQueue] holds urgent tasks that found no free capacity. It predicts the
// wait of a new task from the mean time between departures, that is, between
// tasks that end and free their capacity. A task that could not start in time is
// rejected at once, with the time after which a retry may succeed. An
// [UrgentLoad] measures how many urgent tasks run at once, and derives from the
// mean and the variance how many slots to keep free.
//
// # Usage
//
//	if wait, ok := queue.Admit(now, task); !ok {
//		return retryAfter(wait)
//	}
//	// when capacity becomes free:
//	queue.Serve(now)
//
// Neither type is safe for concurrent use. The caller must hold a lock.
package ladderadmission
