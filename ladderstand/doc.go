// Package ladderstand provides stand-ins for the systems around the scheduler, for
// tests and for the demo:
//
//   - [Platform] serves the platform's key-value store, a [Store], and its list of VMs.
//   - [WorkerServer] serves a [Worker] to the client in package ladderworker. An entry VM
//     must hold the claim on the worker to start tasks there.
//   - [PlatformWorker] is a worker that the client in package platform calls. It obeys the
//     leader with the highest fencing token.
//   - [Advice] is the advice service, which issues tickets for steps on workers.
//
// The stand-ins check only what the scheduler relies on a real worker to check. A
// [Worker] refuses a start whose grant is not valid, but it accepts a start that
// exceeds its capacity, and records and counts it, so that a test can find the
// scheduler's error. A [PlatformWorker] refuses orders under an outdated fencing
// token and ends all its runs when its lease expires, but it checks neither capacity
// nor tickets.
//
// # Usage
//
//	worker := ladderstand.NewWorkerServer(ladderstand.NewWorker(clock, spec))
//	ladderstand.NewHTTPServer(worker.Handler()).Serve(listener)
//
//	platform := ladderstand.NewPlatform(clock)
//	ladderstand.NewHTTPServer(platform.Handler()).Serve(listener)
//
// A [Worker] starts no goroutine and opens no connection, so that a test can also
// call its methods directly, under a simulated clock.
//
// # Faults
//
// A [Platform] and a [WorkerServer] simulate faults, which are switched on and off over
// HTTP: POST /switch?down=true. One call may set several switches.
//
// The switches of a [Platform] are:
//
//   - down: calls to the store and queries of the list of VMs fail with status 503.
//   - lost: the store carries out transactions, and grants and ends leases, but closes
//     the connection without a response.
//   - mute: the store accepts calls, but never responds.
//   - deaf: watches report no changes.
//   - slow=DURATION: the store waits before it carries out a call other than a watch.
//   - lag=DURATION: the list of VMs shows a change only after this time.
//   - forget, with any value: the store drops its history of changes.
//   - save, restore, with any value: the store saves its state, or goes back to the
//     saved state.
//
// The switches of a [WorkerServer] are:
//
//   - failing: every task fails at once.
//   - paused: the worker does not respond to calls about claims and tasks.
//   - silent: the same, but only on connections that were open when the switch was set.
//   - cut: answers of urgent tasks are truncated to half their length.
//   - swapped: the answer of an urgent task is replaced by that of the previous one.
//   - late: answers of urgent tasks are delayed by a few seconds.
//   - leaving: the worker refuses new tasks because it is about to leave.
//
// [PlatformWorker.SetUnresponsive] and [PlatformWorker.Crash] simulate faults of a [PlatformWorker].
// [PlatformWorker.SetGangs] makes its runs wait for the other members of their gang; without it, they run on their own.
package ladderstand
