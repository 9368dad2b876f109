// Package ladderholder places tasks on the workers that one entry VM holds.
//
// A [Holder] joins the claims on the workers (ladderclaim), the account of their
// room (ladderledger), the judgement of their health (ladderhealth) and the line
// of urgent work that waits for room (ladderadmission). It is the only part that
// decides on which worker a task starts.
//
// # Usage
//
// The control goroutine keeps the claims alive:
//
//	for _, call := range holder.Tick(now, wanted, free) {
//		answer := send(call)
//		holder.Observe(now, call, answer)
//	}
//
// Traffic reserves room, sends the start itself and says what came of it:
//
//	room, err := holder.Reserve(now, ask)
//	if err == nil {
//		defer holder.Release(now, ladderholder.End{Worker: room.Worker.Name, Task: ask.Task})
//	}
//
// A Holder is safe for concurrent use. It opens no socket and starts no
// goroutine.
package ladderholder
