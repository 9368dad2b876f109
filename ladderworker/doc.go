// Package ladderworker is the client of the workers' HTTP interface.
//
// The calls are:
//
//   - POST /claim requests, renews or releases the claim on a worker, which is the
//     exclusive right to start tasks there. The answer has a report of the
//     worker's running and ended tasks.
//   - POST /tasks starts a task under a grant, which the worker issued with the
//     claim. The worker sends status 102 once it has accepted the start. The final
//     answer follows when the task has ended, or at once for tasks of jobs.
//   - GET /tasks returns the state of a task.
//   - DELETE /tasks makes sure that a task no longer runs, and returns the state
//     that it had.
//   - POST /checkpoint makes a task save its progress.
//   - POST /throttle lowers the processor time of a task.
//
// # Usage
//
//	client := ladderworker.NewClient()
//	reply := client.Start(ctx, reservation, task, 300*time.Millisecond, 2*time.Second)
//	if reply.Kind == ladderdispatch.NoReply {
//		state, reply := client.Revoke(ctx, reservation.Worker, reservation.Grant.Boot, task.ID)
//	}
//
// The client accepts the answer to a start only if it names the task that was sent
// and has the stated length. Revocations always use a new connection, because the
// one that carried the start may no longer deliver anything.
package ladderworker
