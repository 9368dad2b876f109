package ladderclock

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"
)

const (
	// progressTick is the time between two readings of the clock by a [Progress], and maxProgress the most
	// by which one of them advances it. The difference is what timers are late by in a process that is
	// scheduled punctually.
	progressTick = 20 * time.Millisecond
	maxProgress  = 25 * time.Millisecond
)

// Progress counts the time during which the process was scheduled punctually. It advances by a
// limited amount each time that the goroutines which were ready have had a turn, so that it nearly
// stands still while the process is suspended or short of processor time. It suits timeouts for
// answers of other processes, which wait until this process reads them. Create one with
// [NewProgress]. It does not suit permissions that expire, for which there is [BootClock].
type Progress struct {
	clock Clock
	// last is when the latest tick ended.
	last  time.Time
	total atomic.Int64
}

// NewProgress returns a Progress that begins at zero and reads the given clock.
func NewProgress(clock Clock) *Progress { return &Progress{clock: clock, last: clock.Now()} }

// Total returns the time that was counted so far. It is safe for concurrent use.
func (p *Progress) Total() time.Duration { return time.Duration(p.total.Load()) }

// Tick waits for the next tick and counts the time since the last one. It returns false if ctx ends
// first. Only one goroutine may call it.
func (p *Progress) Tick(ctx context.Context) bool {
	select {
	case <-p.clock.After(progressTick):
	case <-ctx.Done():
		return false
	}
	// The scheduler prefers goroutines whose timers have fired. This one also waits behind those
	// that are ready.
	runtime.Gosched()
	now := p.clock.Now()
	p.total.Add(int64(min(now.Sub(p.last), maxProgress)))
	p.last = now
	return true
}
