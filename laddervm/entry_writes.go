package laddervm

import (
	"strings"
	"time"

	"lacewingladder/platform"
)

// entryWrites records when workers wrote their entries.
type entryWrites struct {
	// seenUntil is a time up to which all changes have been seen. It is when the last call began that
	// returned changes.
	seenUntil time.Time
	// after holds, by key, a time after which the entry was last written.
	after map[string]time.Time
}

// deletedByWorker records changes of entries that were returned at a time. It returns, by ID, the workers whose
// entries were deleted sooner than an entry expires, each with a time after which the entry was written and deleted:
// the worker itself has deleted it, since it has left.
func (e *entryWrites) deletedByWorker(items []platform.Item, now time.Time, ttl time.Duration) map[string]time.Time {
	left := map[string]time.Time{}
	if e.after == nil {
		e.after = map[string]time.Time{}
	}
	for _, item := range items {
		if !item.Deleted {
			e.after[item.Key] = e.seenUntil
			continue
		}
		if at, ok := e.after[item.Key]; ok && !at.IsZero() && now.Sub(at) < ttl {
			left[strings.TrimPrefix(item.Key, platform.WorkerPrefix)] = at
		}
		delete(e.after, item.Key)
	}
	return left
}
