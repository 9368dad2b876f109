// Package ladderplan decides which task starts on which worker. It runs on the VM
// that is the leader.
//
// The caller reports jobs, workers, status polls of workers, replies to orders and
// answers of the advice service to a [Planner], each with its time. [Planner.Plan]
// then returns the orders to send. A Planner is deterministic: it does no I/O,
// reads no clock and starts no goroutine. It must not be used by several goroutines
// at once.
//
// A planner guarantees:
//
//   - A run counts against its worker's capacity from the moment its start is
//     ordered until one of two things happens: a status report that was requested
//     after the reply to the order no longer lists the run, or the worker's lease has
//     expired beyond doubt.
//   - A task has at most one run that may be under way. If the outcome of a start is
//     unknown, the task does not start again before a status report lists the run, or
//     the worker has acknowledged a stop, which also rejects the delayed start.
//   - After a takeover, a task that an earlier leader may have started waits until
//     each worker of that leader has answered a poll under the new fencing token, or
//     its lease must have expired.
//   - A start does not bring what a team has running above its quota. That counts runs as above, and after a
//     takeover an upper bound of the runs that are not known yet.
//   - The end of a run is acknowledged to its worker only after it was stored. A job
//     is reported as done or failed only then.
//   - A gang that does not become whole in time is stopped as a whole, so that its
//     members end before their workers give up waiting for the others.
//   - A task has at most three confirmed runs under which workers crash, and one more for each
//     takeover just after such a crash. Its job then ends as failed. Long-running tasks that have
//     run for a while count anew.
//
// # Usage
//
//	p := ladderplan.New(ladderplan.Options{Fence: fence, LeaseDuration: 5 * time.Second})
//	p.SetFleet(fleet)
//	p.SetWorkers(now, workers)
//	p.SetRoster(roster)
//	p.AddJob(now, job, false)
//	p.RecordReport(now, worker, sentAt, report)
//	orders := p.Plan(now, wall, ladderplan.LeadershipConfirmed)
package ladderplan
