package ladderbudget

import (
	"sync"
	"time"
)

// burst is the largest number of retries that may be saved up.
const burst = 50

// Retries is a budget of retries that grows with the requests.
type Retries struct {
	mu    sync.Mutex
	ratio float64
	saved float64
}

// NewRetries returns a budget of ratio retries for each request.
func NewRetries(ratio float64) *Retries { return &Retries{ratio: ratio} }

// SetRatio changes the number of retries for each request.
func (r *Retries) SetRatio(ratio float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ratio = ratio
}

// Earn records one request.
func (r *Retries) Earn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.saved = min(burst, r.saved+r.ratio)
}

// Spend takes one retry and reports whether there was one to take.
func (r *Retries) Spend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.saved < 1 {
		return false
	}
	r.saved--
	return true
}

// Bytes is a budget of bytes a second.
type Bytes struct {
	mu    sync.Mutex
	rate  float64
	saved float64
	last  time.Time
}

// NewBytes returns a budget of rate bytes a second that starts full.
func NewBytes(now time.Time, rate int64) *Bytes {
	return &Bytes{rate: float64(rate), saved: float64(rate), last: now}
}

// SetRate changes the bytes a second.
func (b *Bytes) SetRate(rate int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rate = float64(rate)
}

// Spend takes n bytes and reports whether they were left.
func (b *Bytes) Spend(now time.Time, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.rate, b.saved+now.Sub(b.last).Seconds()*b.rate)
	b.last = now
	if float64(n) > b.saved {
		return false
	}
	b.saved -= float64(n)
	return true
}
