// Package laddervm runs the scheduler on one entry VM of the members' platform.
//
// Every VM runs the same parts. The gate takes callers' jobs and writes each to the
// store before it is confirmed. The registry keeps a lease in the store, under which
// the VM is known to its peers, and learns of them. The configuration is watched.
// One VM leads: it holds the leader's key under its lease, drives the planner on one
// goroutine, and sends its orders to the workers on others.
//
// A VM that can't reach the store sends its calls through a peer that can.
//
// # Usage
//
//	vm, err := laddervm.New(laddervm.Options{Settings: settings, Logs: logs})
//	if err != nil {
//		return err
//	}
//	return vm.Run(ctx) // until ctx ends, and then until what was read is answered
package laddervm
