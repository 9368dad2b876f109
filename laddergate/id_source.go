package laddergate

import (
	"io"
	"sync"

	"github.com/oklog/ulid/v2"

	"lacewingladder/ladderclock"
)

// idSource generates unique IDs that increase with time. It is also an
// [io.Reader] of the same entropy. It is safe for concurrent use.
type idSource struct {
	clock ladderclock.Clock

	mu      sync.Mutex
	entropy *ulid.MonotonicEntropy
}

// newIDSource returns a source that reads the time from c and randomness from
// entropy.
func newIDSource(c ladderclock.Clock, entropy io.Reader) *idSource {
	return &idSource{clock: c, entropy: ulid.Monotonic(entropy, 0)}
}

// next returns a new ID.
func (i *idSource) next() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return ulid.MustNew(ulid.Timestamp(i.clock.Now()), i.entropy).String()
}

// Read implements [io.Reader].
func (i *idSource) Read(p []byte) (int, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.entropy.Read(p)
}
