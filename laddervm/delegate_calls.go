package laddervm

import (
	"context"
	"errors"
	"sync"
	"time"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderdelegate"
	"lacewingladder/laddermessage"
	"lacewingladder/ladderpeer"
)

// reassignTime is how long it takes at most until the workers of a delegate that is given up have their
// leases renewed by another: a message and two polls, the first of which only reads the worker's clock.
const reassignTime = sendOrdersTimeout + 2*ladderdelegate.PollTimeoutSlack

// progressClock counts the time during which this process was scheduled punctually.
type progressClock interface {
	Total() time.Duration
	Tick(ctx context.Context) bool
}

// delegateCalls holds the calls to delegates that are in progress and cancels those that the delegate has
// not answered in time. It is safe for concurrent use.
type delegateCalls struct {
	clock    ladderclock.Clock
	progress progressClock
	// maxSilence is the time after which a call may be canceled although the leader itself is late. The
	// leases of the delegate's workers last for long enough after it to be renewed by others.
	maxSilence time.Duration
	watching   sync.Once

	mu    sync.Mutex
	calls map[*delegateCall]struct{}
	// answered holds, by delegate, when the latest of its calls that were answered had begun. It is zero if
	// there was none.
	answered map[*delegateClient]time.Time
}

// delegateCall is a call to a delegate that is in progress.
type delegateCall struct {
	delegate *delegateClient
	timeout  time.Duration
	cancel   context.CancelCauseFunc
	// began is when the call began, and beganProgress the same on the progress clock.
	began         time.Time
	beganProgress time.Duration
}

// callTime is how long a call took. Delay is the part of it in which the leader was not scheduled
// punctually.
type callTime struct{ total, delay time.Duration }

func newDelegateCalls(clock ladderclock.Clock, workerLease time.Duration) *delegateCalls {
	return &delegateCalls{
		clock: clock, progress: ladderclock.NewProgress(clock),
		maxSilence: workerLease - ladderdelegate.PollWait - ladderdelegate.PollTimeoutSlack - reassignTime,
		calls:      map[*delegateCall]struct{}{}, answered: map[*delegateClient]time.Time{},
	}
}

// add adds a delegate, and starts to watch the calls if it is the first one.
func (d *delegateCalls) add(ctx context.Context, c *delegateClient) {
	d.mu.Lock()
	d.answered[c] = time.Time{}
	d.mu.Unlock()
	d.watching.Do(func() {
		go func() {
			for d.progress.Tick(ctx) {
				d.cancelLate()
			}
		}()
	})
}

// remove removes a delegate.
func (d *delegateCalls) remove(c *delegateClient) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.answered, c)
}

// begin adds a call to a delegate. Its context is canceled with [context.DeadlineExceeded] as the cause
// if the call is late.
func (d *delegateCalls) begin(c *delegateClient, timeout time.Duration) (context.Context, *delegateCall) {
	call := &delegateCall{delegate: c, timeout: timeout, began: d.clock.Now(), beganProgress: d.progress.Total()}
	ctx, cancel := context.WithCancelCause(c.ctx)
	call.cancel = cancel
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls[call] = struct{}{}
	return ctx, call
}

// end removes a call and returns how long it took.
func (d *delegateCalls) end(call *delegateCall, answered bool) callTime {
	call.cancel(nil)
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.calls, call)
	if last, ok := d.answered[call.delegate]; ok && answered && call.began.After(last) {
		d.answered[call.delegate] = call.began
	}
	total := now.Sub(call.began)
	return callTime{total: total, delay: max(0, total-(d.progress.Total()-call.beganProgress))}
}

// cancelLate cancels the calls that are late.
func (d *delegateCalls) cancelLate() {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for call := range d.calls {
		if d.late(now, call) {
			call.cancel(context.DeadlineExceeded)
		}
	}
}

// late reports whether a delegate should have answered a call by now. A leader that is itself late waits
// longer, for as long as most of the other delegates seem to be silent as well. The caller holds the lock.
func (d *delegateCalls) late(now time.Time, call *delegateCall) bool {
	if d.progress.Total()-call.beganProgress >= call.timeout {
		return true
	}
	return now.Sub(call.began) >= max(call.timeout, d.maxSilence) && d.othersAnswer(call)
}

// othersAnswer reports whether at least half of the other delegates have answered calls that began after
// the given call should have been answered. The caller holds the lock.
func (d *delegateCalls) othersAnswer(call *delegateCall) bool {
	others, answering := 0, 0
	for c, began := range d.answered {
		if c == call.delegate {
			continue
		}
		others++
		if !began.Before(call.began.Add(call.timeout)) {
			answering++
		}
	}
	return 2*answering >= others
}

// call sends a message to the delegate and returns the reply. A message that could not be sent is sent again
// until the call is late: the leader's own delay also makes handshakes fail.
func (c *delegateClient) call(m laddermessage.Message, timeout time.Duration) (laddermessage.Message, callTime, error) {
	ctx, call := c.term.calls.begin(c, timeout)
	for {
		reply, err := c.term.vm.registry.call(ctx, c.peer, m)
		if !errors.Is(err, ladderpeer.ErrUnsent) || !c.term.calls.pause(ctx, peerBackoff) {
			return reply, c.term.calls.end(call, err == nil), err
		}
	}
}

// pause waits for the given time. It returns false if ctx ends first.
func (d *delegateCalls) pause(ctx context.Context, t time.Duration) bool {
	select {
	case <-d.clock.After(t):
		return true
	case <-ctx.Done():
		return false
	}
}
