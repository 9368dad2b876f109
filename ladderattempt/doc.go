// Package ladderattempt contains the rules for the attempts to run one request:
// when a start may be sent to a worker, when it may be sent again, and which
// outcome the request has in the end.
//
// A [Run] is a state machine that performs no I/O. Its method Next returns the next
// [Step], and the caller reports the result of each step by calling another
// method. A Run never allows another attempt before the previous one is proved to
// have ended. It gives a request the outcome [laddermodel.NotRun] only if no
// worker can have begun it.
//
// # Usage
//
//	run := ladderattempt.New(ladderattempt.Terms{Deadline: now.Add(2 * time.Second)})
//	for {
//		switch run.Next(clock.Now()) {
//		case ladderattempt.Place:
//			run.Placed() // or run.NoCapacity(reason, retryAfter)
//		case ladderattempt.Send:
//			run.Sending()
//			run.Answered(body) // or run.Refused, run.Failed, run.NoReply
//		case ladderattempt.Revoke:
//			run.Revoked(state, reason)
//		case ladderattempt.Finish:
//			return run.Answer()
//		}
//	}
//
// A Run must be used by one goroutine only.
package ladderattempt
