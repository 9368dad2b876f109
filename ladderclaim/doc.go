// Package ladderclaim records the claims that one entry VM holds on workers.
//
// A claim is the exclusive right to place tasks on a worker. The worker itself
// issues the claim for a short lease. Each claim has an epoch, a number that
// increases whenever the claim passes to another holder. Because each worker
// alone decides who holds its claim, neither a store nor a vote is needed: any
// entry VM that can reach the worker can request the claim. The rules are:
//
//   - A worker grants a claim if it has not granted one yet, if the lease of the
//     last claim has expired on the worker's own clock, or if the last holder
//     released it. Until then it only renews the claim of the present holder.
//   - A worker accepts the start of a task only under its current epoch and only
//     before the end of the lease that its last answer stated. It therefore
//     refuses a start that was delayed or was sent after a pause of the holder,
//     however late the start arrives.
//   - A holder counts the lease from the moment at which it sent the renewal and
//     shortens it by [DriftPerMille]. It places no task after that time.
//   - A holder places no task on a worker before it has processed a report that
//     the worker made under the new epoch.
//
// A rack's configured size is its number of seats: the number of workers that
// the rack is built for. The home of a rack is the entry VM that holds claims on
// workers in more than half of the rack's seats. Two VMs cannot both hold a
// majority, so the home may decide alone where exactly one VM must decide, such
// as on idempotency keys.
//
// # Usage
//
// The control goroutine drives a [Book] and sends its calls to the workers:
//
//	book := ladderclaim.NewBook("entry-1#7", 3*time.Second)
//	book.SetWorkers(clock.Now(), workers)
//	for _, call := range book.Tick(clock.Now(), wanted, mayRelease) {
//		answer := send(call)
//		book.HandleAnswer(clock.Now(), call, answer)
//	}
//
// Request goroutines call [Book.Grant] before they start a task on a worker, and
// [Book.Home] before they decide something for a rack. A Book is not safe for
// concurrent use; the caller must hold a lock around each call.
package ladderclaim
