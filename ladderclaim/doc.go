// Package ladderclaim keeps the claims that one entry VM has on workers.
//
// A claim is the exclusive right to place tasks on a worker. The worker itself
// issues it, for a short lease, with an epoch that grows whenever the claim
// passes to another holder. Because each worker is the only judge of its own
// claim, no store and no vote is needed to know who may place on it: whoever
// can reach the worker can ask. The rules are these:
//
//   - A worker grants a claim when it has none, when the lease of the last one
//     has lapsed on the worker's own clock, or when its holder gave it up.
//   - It accepts a start only under its present epoch, before the time that its
//     last answer stated. A start that was delayed or sent after a pause is
//     therefore refused, however late it arrives.
//   - A holder counts its lease from the moment at which it sent the renewal,
//     shortened by [DriftPerMille], and places nothing once that has passed.
//   - A holder places nothing on a worker before it has a report that the worker
//     made under the new epoch.
//
// A rack's home is the entry VM that holds claims on more than half of the
// rack's seats at once. Two VMs can not both do so, so a home may decide alone
// on what must have one judge, such as idempotency keys.
//
// # Usage
//
// The control goroutine drives a [Book] and carries its calls to the workers:
//
//	book := ladderclaim.NewBook("entry-1#7", 3*time.Second)
//	book.SetWorkers(clock.Now(), workers)
//	for _, call := range book.Tick(clock.Now(), wanted, free) {
//		answer := send(call)
//		book.Observe(clock.Now(), call, answer)
//	}
//
// Traffic asks for the right to start with [Book.Grant] and for the right to
// decide with [Book.Home]. A Book is not safe for concurrent use; its owner
// holds the lock.
package ladderclaim
