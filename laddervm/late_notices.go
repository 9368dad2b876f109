package laddervm

import (
	"context"
	"slices"
	"sync"
	"time"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderlog"
	"lacewingladder/laddermessage"
)

const (
	// maxLateNotices bounds the notices that are held for a leader.
	maxLateNotices = 512
	// lateNoticePeriod is how long a notice is held, unless jobs are retained for less. A leader has
	// read the store long before.
	lateNoticePeriod = 30 * time.Second
	// maxLateNoticePause bounds the time between two attempts to notify the same leader, which
	// begins with retryInterval and doubles.
	maxLateNoticePause = 2 * time.Second
)

// lateNotices goes on notifying the leader of changes in the store of which none could be notified
// at once. Create one with [newLateNotices].
type lateNotices struct {
	clock ladderclock.Clock
	log   *ladderlog.Logger
	// retention returns for how long the store keeps a job that has ended. A leader that hears of the job
	// later would take it for a new one.
	retention func() time.Duration
	// leader returns the revision of the leader's key, or zero while there is no leader.
	leader func() int64
	// send notifies the leader, and reports whether it has accepted the notice.
	send func(ctx context.Context, m laddermessage.Message) bool

	mu sync.Mutex
	// held holds the notices in the order in which they are sent next.
	held []lateNotice
	// added wakes run.
	added chan struct{}
}

// lateNotice is a notice that no leader has accepted since the given time.
type lateNotice struct {
	message laddermessage.Message
	since   time.Time
}

func (h lateNotice) ofNewJob() bool {
	_, ok := h.message.(laddermessage.JobAccepted)
	return ok
}

func newLateNotices(v *VM) *lateNotices {
	return &lateNotices{
		clock: v.clock, log: v.log, added: make(chan struct{}, 1),
		retention: func() time.Duration { return v.bounds.Load().JobRetention },
		leader: func() int64 {
			l, _ := v.registry.currentLeader()
			return l.revision
		},
		send: func(ctx context.Context, m laddermessage.Message) bool {
			_, ok := v.callLeader(ctx, m, notifyTimeout)
			return ok
		},
	}
}

// add holds a notice. Cancellations come before new jobs, which are not urgent. If there are too many
// notices, it drops the one that was held for longest.
func (n *lateNotices) add(m laddermessage.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.held) >= maxLateNotices {
		oldest := 0
		for i, h := range n.held {
			if h.since.Before(n.held[oldest].since) {
				oldest = i
			}
		}
		n.drop(oldest, "too many notices are held")
	}
	at := len(n.held)
	if _, ok := m.(laddermessage.JobCancelled); ok {
		if i := slices.IndexFunc(n.held, lateNotice.ofNewJob); i >= 0 {
			at = i
		}
	}
	n.held = slices.Insert(n.held, at, lateNotice{m, n.clock.Now()})
	select {
	case n.added <- struct{}{}:
	default:
	}
}

// drop drops a notice that no leader has accepted. The caller holds the lock.
func (n *lateNotices) drop(i int, why string) {
	n.log.Info("leader is not notified any more; it finds the change in the store", "change", changeName(n.held[i].message),
		"after", n.clock.Now().Sub(n.held[i].since).Round(time.Millisecond), "why", why)
	n.held = slices.Delete(n.held, i, i+1)
}

// run sends the notices until ctx ends.
func (n *lateNotices) run(ctx context.Context) {
	var leader int64
	var next time.Time
	pause := retryInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.added:
		}
		for n.dropExpired() > 0 {
			current := n.leader()
			if current != leader {
				leader, next, pause = current, time.Time{}, retryInterval
			}
			if now := n.clock.Now(); leader != 0 && !now.Before(next) && !n.sendAll(ctx) {
				next, pause = n.clock.Now().Add(pause), min(2*pause, maxLateNoticePause)
			}
			select {
			case <-ctx.Done():
				return
			case <-n.clock.After(retryInterval):
			}
		}
	}
}

// dropExpired drops the notices that were held for too long, and returns the number of the others.
func (n *lateNotices) dropExpired() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, period := n.clock.Now(), min(lateNoticePeriod, n.retention())
	for i := len(n.held) - 1; i >= 0; i-- {
		if now.Sub(n.held[i].since) > period {
			n.drop(i, "no leader has accepted it")
		}
	}
	return len(n.held)
}

// sendAll sends the notices until one is not accepted, which comes last then. It returns false in that case.
func (n *lateNotices) sendAll(ctx context.Context) bool {
	for {
		n.mu.Lock()
		if len(n.held) == 0 {
			n.mu.Unlock()
			return true
		}
		h := n.held[0]
		n.held = n.held[1:]
		n.mu.Unlock()
		if !n.send(ctx, h.message) {
			n.mu.Lock()
			n.held = append(n.held, h)
			n.mu.Unlock()
			return false
		}
		n.log.Info("leader was notified late", "change", changeName(h.message), "after", n.clock.Now().Sub(h.since).Round(time.Millisecond))
	}
}

// changeName names the change of which a message notifies, for the log.
func changeName(m laddermessage.Message) string {
	switch m := m.(type) {
	case laddermessage.JobAccepted:
		return "job " + m.Job + " accepted"
	case laddermessage.JobCancelled:
		return "job " + m.Job + " cancelled"
	}
	return "unknown"
}
