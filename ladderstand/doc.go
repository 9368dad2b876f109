// Package ladderstand holds small stand-ins for the systems that the scheduler
// meets: the platform's store and list of VMs, and the workers.
//
// The stand-ins exist for tests and for the demo. A [Worker] does what it is told
// even when it is told wrong: a start beyond its size is accepted, recorded and
// counted. What it does check is the grant of a start, since that is the worker's
// own part of the promise. A [Platform] can be told to be down or slow, to lose
// the answers of writes, and to fall back to an older state.
//
// # Usage
//
//	worker := ladderstand.NewWorker(clock, spec)
//	http.Serve(listener, worker.Handler())
//
//	platform := ladderstand.NewPlatform(clock)
//	http.Serve(listener, platform.Handler())
//
// Both take switches over HTTP: POST /switch?down=true. The state machine of a
// worker has no goroutine and no socket, so that tests can also drive it by hand.
package ladderstand
