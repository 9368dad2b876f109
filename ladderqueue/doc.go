// Package ladderqueue decides which tasks of which jobs start next.
//
// One [Queue] orders the jobs of the whole cell. It belongs to the entry VM that
// leads the queue under a lease in the platform's store; the records there are
// what lasts. Teams compete by fair share: the team with the least use for its
// weight goes first, up to its quota, and within a team the oldest job. A gang
// that does not fit yet keeps others from taking the room that it waits for,
// unless they are expected to end, with a margin, before the gang could begin.
//
// # Usage
//
//	queue := ladderqueue.New()
//	queue.Add(record)
//	for _, batch := range queue.Plan(now, config, room) {
//		// reserve and start all of batch.Tasks, then:
//		queue.Started(now, task, worker)
//	}
//	queue.Ended(task, ladderqueue.End{})
//
// Before a task is started, the record that allows it must be durable: see
// [Queue.Unsaved] and [Queue.Saved]. A Queue is not safe for concurrent use.
package ladderqueue
