package ladderbudget

import (
	"sync"
	"time"
)

// maxSavedRetries is the largest number of retries that a budget can
// accumulate.
const maxSavedRetries = 50

// Retries is a budget of retries in proportion to the number of requests.
type Retries struct {
	mu        sync.Mutex
	ratio     float64
	available float64
}

// NewRetries returns an empty budget to which each request adds ratio retries.
func NewRetries(ratio float64) *Retries { return &Retries{ratio: ratio} }

// SetRatio changes the number of retries that each request adds.
func (r *Retries) SetRatio(ratio float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ratio = ratio
}

// Earn records one request.
func (r *Retries) Earn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.available = min(maxSavedRetries, r.available+r.ratio)
}

// Spend takes one retry from the budget. It returns false if the budget has
// less than one.
func (r *Retries) Spend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.available < 1 {
		return false
	}
	r.available--
	return true
}

// Bytes is a budget of bytes per second.
type Bytes struct {
	mu        sync.Mutex
	rate      float64
	available float64
	updated   time.Time
}

// NewBytes returns a budget of rate bytes per second that starts with one
// second's bytes.
func NewBytes(now time.Time, rate int64) *Bytes {
	return &Bytes{rate: float64(rate), available: float64(rate), updated: now}
}

// SetRate changes the number of bytes per second.
func (b *Bytes) SetRate(rate int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rate = float64(rate)
}

// Spend takes n bytes from the budget. It returns false, and takes none, if the
// budget has fewer.
func (b *Bytes) Spend(now time.Time, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.rate, b.available+now.Sub(b.updated).Seconds()*b.rate)
	b.updated = now
	if float64(n) > b.available {
		return false
	}
	b.available -= float64(n)
	return true
}
