// Package ladderworker speaks to workers over HTTP.
//
// A worker offers five calls. POST /claim asks for, prolongs or gives up the
// claim on the worker, and brings its report. POST /tasks starts a task under a
// grant; the worker says 102 once it has accepted the start, and answers when the
// task has ended, or at once for tasks of jobs. DELETE /tasks makes sure that a
// task does not run any more and says what had become of it. POST /checkpoint
// saves what a task has done so far, and POST /throttle lowers its processor time.
//
// # Usage
//
//	client := ladderworker.NewClient()
//	reply := client.Start(ctx, reservation, task, 300*time.Millisecond, 2*time.Second)
//	if reply.Kind == ladderdispatch.Silent {
//		state, reply := client.Revoke(ctx, reservation.Worker, reservation.Grant.Boot, task.ID)
//	}
//
// An answer is taken only when it names the task that was sent and is as long as
// it says. Revocations always use a new connection.
package ladderworker
