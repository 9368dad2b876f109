// Package ladderkey makes requests idempotent by their keys.
//
// Each key has one home rack, found by hashing over the configured racks of its
// zone. The rack's home (see ladderclaim) keeps a [Book] in memory: which keys
// are running, and how those that ended came out. A second request with the same
// key joins the first, or gets its answer, and never runs again.
//
// A VM that has just become a home knows nothing of what its predecessor ran.
// For one horizon it therefore answers keys it does not know with [Unsure]:
// they may have run. Keys made by [Mint] carry the time at which they were made.
// One that is younger than the home itself can not have been seen before and
// runs at once, and one that is older than the horizon never runs. For other
// keys, the caller promises to stop its retries within one horizon.
//
// # Usage
//
//	key, err := ladderkey.Mint(now, "taoyuan-a", entropy)
//	rack := ladderkey.Rack(key, zones)
//	verdict := book.Begin(now, home, ladderkey.Claim{Key: key, Member: member})
//	if verdict.Act == ladderkey.Run {
//		book.Finish(now, key, answer)
//	}
//
// A Book is not safe for concurrent use; its owner holds the lock.
package ladderkey
