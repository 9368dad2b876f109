// Package ladderattempt holds the rules by which one request is tried: when it
// may be sent, when it may be sent again, and what its outcome is.
//
// A [Run] is a state machine without input or output. It is asked for the next
// [Step] and told what came of it. It never allows a second attempt before the
// first is proved to have ended, and calls a request [laddermodel.NotRun] only
// when no worker can have begun it.
//
// # Usage
//
//	run := ladderattempt.New(now, ladderattempt.Terms{Deadline: now.Add(2 * time.Second)})
//	for {
//		switch step := run.Next(clock.Now()); step {
//		case ladderattempt.Place:
//			run.Placed() // or run.NoRoom(reason, retryAfter)
//		case ladderattempt.Send:
//			run.Answered(answer) // or run.Refused, run.Failed, run.Silent
//		case ladderattempt.Revoke:
//			run.Revoked(state)
//		case ladderattempt.Finish:
//			return run.Answer()
//		}
//	}
//
// A Run belongs to one goroutine.
package ladderattempt
