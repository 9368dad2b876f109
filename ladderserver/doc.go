// Package ladderserver runs the scheduler on one entry VM.
//
// A [Server] joins the parts of the scheduler and carries their messages: the
// callers' gate, the peers' messages, the operators' interface, the workers'
// claims and the platform's store. One goroutine, the control loop, owns the
// state that decides on membership, claims and configuration; it publishes what
// traffic needs. All other goroutines carry traffic.
//
// # Usage
//
//	server, err := ladderserver.New(ladderserver.Options{Settings: settings, TLS: tls, Logs: logs})
//	if err != nil {
//		return err
//	}
//	return server.Run(ctx) // drains and returns once ctx ends
//
// The files are named for the controllers that they hold: membership.go,
// claims.go, configuration.go, leader.go, jobs.go and drain.go.
package ladderserver
