// Package ladderqueue decides which tasks of which jobs start next.
//
// A single [Queue] orders the jobs of the whole cluster. It runs on the entry VM
// that is the queue's leader under a lease in the platform's store. The store
// keeps the durable record of each job; a new leader rebuilds the queue from the
// records.
//
// Jobs are ordered by the fair share of their teams: the team with the fewest
// used slots in relation to its weight goes first, as long as it is within its
// quota. Within a team, the oldest job goes first. While a gang, a job whose
// tasks must start together, waits for capacity, no job behind it starts tasks.
// The exception is backfill: a task may start if it is expected to end before
// the gang could start, with a margin for wrong estimates.
//
// # Usage
//
//	queue := ladderqueue.New()
//	queue.Add(record)
//	for _, batch := range queue.Plan(now, config, free) {
//		// reserve capacity for all of batch.Tasks and start them, then:
//		queue.Started(now, task, worker)
//	}
//	queue.Ended(task, ladderqueue.TaskEnd{})
//
// A task may be started only after a record that covers it was stored durably:
// see [Queue.Unsaved] and [Queue.Saved]. A Queue is not safe for concurrent use.
package ladderqueue
