package laddervm

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/platform"
)

// TestExpiredEntryIsNotThatOfAWorkerThatLeft deletes an entry some time after its last write. One that has expired
// says nothing of its worker, which may be cut off and run on.
func TestExpiredEntryIsNotThatOfAWorkerThatLeft(t *testing.T) {
	const ttl = 4500 * time.Millisecond
	began := time.UnixMilli(1_000_000)
	for name, c := range map[string]struct {
		seenUntil time.Time
		deleted   time.Duration
		want      bool
	}{
		"soon after its last write":                    {began, 2 * time.Second, true},
		"when it may have expired":                     {began, ttl, false},
		"the last write may have been much earlier":    {began.Add(-3 * time.Second), 2 * time.Second, false},
		"nothing is known of the time before the list": {time.Time{}, time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := entryWrites{seenUntil: c.seenUntil}
			written := platform.Item{Key: platform.WorkerPrefix + "w0", ModRevision: 5}
			require.Empty(t, e.deletedByWorker([]platform.Item{written}, began, ttl))
			e.seenUntil = began
			left := e.deletedByWorker([]platform.Item{{Key: written.Key, ModRevision: 6, Deleted: true}}, began.Add(c.deleted), ttl)
			if !c.want {
				require.Empty(t, left)
				return
			}
			require.Equal(t, map[string]time.Time{"w0": c.seenUntil}, left)
		})
	}
}
