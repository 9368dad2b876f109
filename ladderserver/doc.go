// Package ladderserver runs the scheduler on one entry VM.
//
// A [Server] connects the packages of the scheduler. It listens for callers,
// operators and peers, calls workers, and reads and writes the platform's store.
//
// One goroutine, the control loop, owns the list of VMs and the state of the
// peers. It sends heartbeats, renews the claims on workers and decides which
// racks this VM hands over to a peer. Other goroutines read what the control
// loop publishes, or run a function on it.
//
// # Usage
//
//	server, err := ladderserver.New(ladderserver.Options{Settings: settings, TLS: tls, Logs: logs})
//	if err != nil {
//		return err
//	}
//	return server.Run(ctx) // drains and returns once ctx ends
//
// Each file holds one duty of the server:
//
//   - server.go opens the sockets and runs the goroutines.
//   - control_loop.go runs the control loop.
//   - membership.go exchanges heartbeats with peers.
//   - claims.go renews claims on workers and hands racks over.
//   - configuration.go keeps the configuration up to date on all entry VMs.
//   - leader.go and leader_tasks.go run the job queue on its leader and start its
//     tasks.
//   - jobs.go accepts jobs from callers and stores them.
//   - preempt.go stops or throttles batch tasks to free capacity for urgent ones.
//   - drain.go shuts the VM down without interrupting requests.
//   - peer_handler.go replies to messages of peers, and peers.go sends them messages.
//   - operator.go, status.go and metrics.go serve operators.
//   - store.go calls the platform's store; config_version.go encodes what it keeps
//     of the configuration.
package ladderserver
