package ladderdelegate

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"lacewingladder/laddermessage"
	"lacewingladder/platform"
)

// charge is one worker that a delegate looks at, one look after the other.
type charge struct {
	session *session
	worker  string
	address netip.AddrPort
	ctx     context.Context
	cancel  context.CancelFunc
	// noted is the highest end that the leader has noted, of the life that began at born;
	// the session's lock guards both. A message in wake tells of a change.
	noted int64
	born  int64
	wake  chan struct{}
}

// newCharge begins to look at a worker. The session's lock is held.
func newCharge(s *session, m laddermessage.Charge) *charge {
	c := &charge{session: s, worker: m.Worker, address: m.Address, noted: m.Noted, born: m.Born, wake: make(chan struct{}, 1)}
	c.ctx, c.cancel = context.WithCancel(s.ctx)
	go c.run()
	return c
}

// note takes in which ends are noted. The session's lock is held.
func (c *charge) note(m laddermessage.Charge) {
	if m.Born != c.born {
		c.noted, c.born = 0, m.Born
	}
	c.noted = max(c.noted, m.Noted)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// life is what a delegate knows of a worker's present life.
type life struct {
	born int64
	// clock is the worker's clock at the time heard.
	clock time.Duration
	heard time.Time
	seen  int64
	known bool
}

// run looks at the worker until it is left.
func (c *charge) run() {
	d := c.session.delegate
	var l life
	for c.ctx.Err() == nil {
		h, held := c.next(l, d.clock.Now())
		if !held {
			// The leader's last word has run out; the worker's lease is left as it is.
			c.pause(LookRetry)
			continue
		}
		sent := d.boot.SinceBoot()
		ctx, cancel := context.WithTimeout(c.ctx, h.Wait+LookSlack)
		look, err := d.workers.Look(ctx, c.address, c.worker, h)
		cancel()
		if c.ctx.Err() != nil {
			return
		}
		c.session.add(func() {
			c.session.looks = append(c.session.looks, laddermessage.LookReport{
				Worker: c.worker, Sent: sent, Outcome: outcome(err), Look: look,
			})
		})
		if err != nil {
			l.known = false
			c.pause(LookRetry)
			continue
		}
		if look.Born != l.born {
			l = life{born: look.Born}
		}
		l.clock, l.heard, l.known = look.Clock, d.clock.Now(), true
		for _, e := range look.Ended {
			l.seen = max(l.seen, e.Number)
		}
		c.awaitNote(l)
	}
}

// next returns how to look at the worker next. It is false while the leader has not said
// that the worker may be held.
func (c *charge) next(l life, now time.Time) (platform.Hold, bool) {
	s := c.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delegate.boot.SinceBoot() >= s.valid {
		return platform.Hold{}, false
	}
	h := platform.Hold{Fence: s.fence}
	if !l.known {
		return h, true
	}
	if c.born == l.born {
		h.Noted = c.noted // Those of another life say nothing of this one's ends.
	}
	h.Until = l.clock + now.Sub(l.heard) + s.hold
	if h.Noted >= l.seen {
		h.Wait = LookWait
	}
	return h, true
}

// awaitNote waits until the leader has noted the ends that are listed.
func (c *charge) awaitNote(l life) {
	limit := c.session.delegate.clock.After(notedTime)
	for {
		c.session.mu.Lock()
		done := c.born == l.born && c.noted >= l.seen || l.seen == 0
		c.session.mu.Unlock()
		if done {
			return
		}
		select {
		case <-c.wake:
		case <-limit:
			return
		case <-c.ctx.Done():
			return
		}
	}
}

func (c *charge) pause(d time.Duration) {
	select {
	case <-c.ctx.Done():
	case <-c.session.delegate.clock.After(d):
	}
}

// outcome says what an error of a look means. Rows of the worker's account that can't be
// read make it as good as none.
func outcome(err error) laddermessage.LookOutcome {
	switch {
	case err == nil:
		return laddermessage.LookAnswered
	case errors.Is(err, platform.ErrFenced):
		return laddermessage.LookFenced
	case errors.Is(err, platform.ErrOtherLife):
		return laddermessage.LookOtherLife
	}
	return laddermessage.LookFailed
}
