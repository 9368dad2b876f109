// Package ladderledger accounts for what the workers of one holder have given
// away and what is left.
//
// The ledger is exact because only the holder of a worker's claim writes to its
// account. Room is set aside before a start is sent, and comes back in one of
// three ways: the sender says that the task ended or can not start any more, the
// worker's report no longer lists a task that an earlier one listed, or a report
// made after the last moment for the start does not list it at all.
//
// # Usage
//
// An account opens with the first report of a new epoch and is kept up with the
// later ones:
//
//	ledger.Open(worker, boot, epoch, report)
//	if ledger.Reserve(worker.Name, item) {
//		// send the start
//	}
//	gone := ledger.Reconcile(worker.Name, boot, report)
//
// A Ledger is not safe for concurrent use; its owner holds the lock.
package ladderledger
