// Package ladderholder places tasks on the workers that one entry VM holds.
//
// An entry VM holds a worker while it has the worker's claim, the exclusive right
// to place tasks on it. A [Holder] combines the claims on the workers (package
// ladderclaim), the record of their used and free capacity (ladderledger), the
// detection of failing workers (ladderhealth), the selection of a worker
// (ladderplacement) and the queue of urgent tasks that wait for capacity
// (ladderadmission). No other package decides on which worker a task starts.
//
// # Usage
//
// The control goroutine keeps the claims alive:
//
//	for _, call := range holder.Tick(now, wanted, mayRelease) {
//		answer := send(call)
//		holder.Observe(now, call, answer)
//	}
//
// A goroutine that runs a task reserves capacity, sends the start to the worker
// itself, and releases the capacity when the task has ended or cannot start:
//
//	reservation, err := holder.Reserve(now, request)
//	if err == nil {
//		defer holder.Release(now, ladderholder.TaskEnd{Worker: reservation.Worker.Name, Task: request.Task})
//	}
//
// A Holder is safe for concurrent use. It opens no sockets and starts no
// goroutines.
package ladderholder
