package laddergate

import (
	"io"
	"sync"

	"github.com/oklog/ulid/v2"

	"lacewingladder/ladderclock"
)

// ids makes ids that are unique and rise with time. It is also a reader of the
// same entropy that is safe for concurrent use.
type ids struct {
	clock ladderclock.Clock

	mu      sync.Mutex
	entropy *ulid.MonotonicEntropy
}

func newIDs(c ladderclock.Clock, entropy io.Reader) *ids {
	return &ids{clock: c, entropy: ulid.Monotonic(entropy, 0)}
}

// next returns a new id.
func (i *ids) next() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return ulid.MustNew(ulid.Timestamp(i.clock.Now()), i.entropy).String()
}

// Read implements [io.Reader].
func (i *ids) Read(p []byte) (int, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.entropy.Read(p)
}
