// Package ladderkey makes requests idempotent by means of idempotency keys.
//
// Each key belongs to one rack, its home rack, which is found by hashing the key
// over the configured racks of its zone. The entry VM that is the home of that
// rack (see ladderclaim) is the home of the key: it alone decides whether the key
// may run. It keeps a [Book] in memory of the keys that are running and of the
// answers of those that have ended. A second request with the same key waits for
// the first and gets its answer. The second runs only if the first is proved not
// to have run, or if the outcome of the first is unknown, their class allows
// repetition and the first can no longer be running.
//
// An entry VM that has just become a home does not know which keys its predecessor
// ran. For one horizon it therefore answers keys that it does not know with
// [Unconfirmed], because they may have run. The horizon is the time after the
// first use of a key within which callers may repeat it. Keys that were made by
// [Mint] contain the time at which they were made. If that time is later than the
// time at which the VM became the home, no earlier home can have seen the key, and
// it runs at once. If that time is more than a horizon ago, a key that the home
// does not know never runs. For keys without a time, the caller must not retry
// later than one horizon after the first use.
//
// # Usage
//
//	key, err := ladderkey.Mint(now, "taoyuan-a", entropy)
//	rack := ladderkey.HomeRack(key, zones)
//	verdict := book.Begin(now, home, ladderkey.KeyUse{Key: key, Rack: rack, Member: member})
//	if verdict.Action == ladderkey.Run {
//		book.Finish(now, key, answer)
//	}
//
// A Book is not safe for concurrent use; the caller must hold a lock around each
// call.
package ladderkey
