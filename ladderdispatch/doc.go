// Package ladderdispatch runs each urgent request, from its acceptance by an entry
// VM to its final answer.
//
// A [Dispatcher] first finds the home of the request's idempotency key, which is
// the one entry VM that may decide whether the key runs (see ladderkey). If the
// home is another VM, the Dispatcher forwards the request to it. At the home, and
// for a request without a key at the entry VM that accepted it, the Dispatcher
// takes three steps:
//
//  1. It reserves capacity with the holder of a rack's claims. The reservation
//     contains the holder's grant to start tasks on the worker.
//  2. It checks again that this VM is still the home of the key.
//  3. It sends the start to the worker under the grant.
//
// The rules for further attempts are those of ladderattempt.
//
// The order of the three steps matters. Because the grant is obtained before the
// home is checked, and because the worker refuses a start after the end of the
// grant, a process that is paused between steps 2 and 3 cannot start a task later
// than one lease after the check.
//
// # Usage
//
//	d := ladderdispatch.New(ladderdispatch.Options{Clock: clock, Holder: holder, Peers: peers, Workers: workers})
//	d.SetConfig(config)
//	answer := d.Do(ctx, request)
//
// The package opens no socket. It reaches the local holder, the other entry VMs
// and the workers through the interfaces [Holder], [Peers] and [Workers].
package ladderdispatch
