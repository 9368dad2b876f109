// Package ladderledger counts the capacity that one holder has reserved on its
// workers and the capacity that is free.
//
// The ledger is exact because only the holder of a worker's claim reserves
// capacity on that worker. The holder reserves the capacity for a task before it
// sends the start. The capacity becomes free again in one of three ways:
//
//   - The sender of the start calls [Ledger.Release] because the task has ended
//     or can no longer start.
//   - A report of the worker no longer lists a task that an earlier report listed.
//   - A report that was made after the last moment at which the task could start
//     does not list the task.
//
// # Usage
//
// A worker's account, which records the reservations on the worker, is opened
// with the first report of a new epoch of its claim and is reconciled with each
// later report:
//
//	ledger.Open(worker, boot, epoch, report)
//	if ledger.Reserve(worker.Name, item) {
//		// send the start
//	}
//	freed := ledger.Reconcile(worker.Name, boot, report)
//
// A Ledger is not safe for concurrent use; the caller must hold a lock around each
// call.
package ladderledger
