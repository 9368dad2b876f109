// Package laddervm runs the scheduler on one entry VM of the members' platform.
//
// Every entry VM runs the same parts. The HTTP front end accepts callers' jobs and
// confirms a job only after it is stored. The registry keeps a lease in the store,
// under which the VM is known to its peers, and follows the entries of the other VMs.
// The VM also watches the configuration that the operators store.
//
// One VM is the leader: it holds the leader's key in the store under a lease. During
// its term it runs the planner on one goroutine, the control goroutine, and sends the
// planner's orders to the workers from others. Where there are many workers, it
// delegates the polling of workers and the sending of orders to other entry VMs.
//
// A VM that cannot reach the store sends its calls through a peer that can.
//
// # Usage
//
//	vm, err := laddervm.New(laddervm.Options{Settings: settings, Logs: logs})
//	if err != nil {
//		return err
//	}
//	return vm.Run(ctx) // returns after ctx ends and the requests in progress are answered
package laddervm
