// Package ladderadmission decides how long urgent work may wait for room, and
// how much room batch work must leave for it.
//
// A [WaitQueue] holds urgent tasks that found no room. It predicts the wait of a new
// one from the measured time between departures and turns it away at once, with
// the time at which asking again makes sense, when it could not be served before
// its deadline. A [UrgentLoad] follows how much urgent work runs and states the room
// to keep free for its ordinary swings.
//
// # Usage
//
//	if wait, ok := line.Offer(now, ticket); !ok {
//		return retryAfter(wait)
//	}
//	// when room comes back:
//	line.Serve(now)
//
// Neither type is safe for concurrent use; their owner holds the lock.
package ladderadmission
