package ladderdelegate

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderflow"
	"lacewingladder/ladderlog"
	"lacewingladder/laddermessage"
	"lacewingladder/platform"
)

// fakeBootClock is a boot clock that the test sets.
type fakeBootClock struct{ now atomic.Int64 }

func (b *fakeBootClock) SinceBoot() time.Duration { return time.Duration(b.now.Load()) }

// fakeWorker answers calls to one worker and records them.
type fakeWorker struct {
	mu sync.Mutex
	// incarnation and ended are parts of the responses to polls.
	incarnation int64
	ended       []ladderflow.EndedRun
	// polls and starts record the calls.
	polls  []platform.PollRequest
	starts []ladderflow.Run
	// err, if set, is the error of each poll.
	err error
	// startClock is the worker's clock in the replies to starts, and startErr their error.
	startClock time.Duration
	startErr   error
	// unanswered is the number of starts that the worker carries out and does not answer.
	unanswered int
	// restarts is true if the worker restarts when it receives a start, whose run then ends at once.
	// wronglyAcknowledged is true once a poll has acknowledged that end.
	restarts            bool
	wronglyAcknowledged bool
}

// locked calls f with the lock held.
func (w *fakeWorker) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// pollsSoFar returns the polls of the worker so far.
func (w *fakeWorker) pollsSoFar() []platform.PollRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]platform.PollRequest(nil), w.polls...)
}

func (w *fakeWorker) Poll(ctx context.Context, _ netip.AddrPort, _ string, request platform.PollRequest) (ladderflow.StatusReport, error) {
	w.mu.Lock()
	w.polls = append(w.polls, request)
	w.wronglyAcknowledged = w.wronglyAcknowledged || w.restarts && w.incarnation == 8 && request.Acknowledged > 0
	status := ladderflow.StatusReport{Incarnation: w.incarnation, Clock: time.Second, Ended: append([]ladderflow.EndedRun(nil), w.ended...)}
	err := w.err
	w.mu.Unlock()
	select {
	case <-time.After(min(request.Wait, 5*time.Millisecond)):
	case <-ctx.Done():
	}
	return status, err
}

func (w *fakeWorker) Start(_ context.Context, _ netip.AddrPort, _ string, s ladderflow.Start) (ladderflow.StartReply, error) {
	err := w.startErr
	w.locked(func() {
		w.starts = append(w.starts, s.Run)
		if len(w.starts) <= w.unanswered {
			err = context.DeadlineExceeded
		}
		if w.restarts {
			w.incarnation, w.ended = 8, []ladderflow.EndedRun{{Sequence: 1, Run: s.Run, Reason: ladderflow.EndDone}}
		}
	})
	return ladderflow.StartReply{Clock: w.startClock}, err
}

func (w *fakeWorker) Stop(context.Context, netip.AddrPort, string, ladderflow.Run, int64) (ladderflow.Refusal, error) {
	return ladderflow.NotRefused, nil
}

func (w *fakeWorker) LimitSpeed(context.Context, netip.AddrPort, string, ladderflow.Run, int, int64) (ladderflow.Refusal, error) {
	return ladderflow.NotRefused, nil
}

// newDelegate returns a delegate with a worker of incarnation 7, and its boot clock.
func newDelegate(t *testing.T) (*Delegate, *fakeWorker, *fakeBootClock) {
	w, b := &fakeWorker{incarnation: 7}, &fakeBootClock{}
	b.now.Store(int64(time.Minute))
	d := New(w, ladderclock.System{}, b, ladderlog.Discard().Component("delegate"))
	t.Cleanup(d.Close)
	return d, w, b
}

// newDelegation returns a message that assigns the worker to the delegate and permits lease
// renewal for one second.
func newDelegation(b *fakeBootClock, fence int64) laddermessage.Delegation {
	return laddermessage.Delegation{
		Fence: fence, RenewUntil: b.SinceBoot() + time.Second, SendBefore: b.SinceBoot() + time.Second,
		LeaseDuration: 5 * time.Second, OrderTimeout: time.Second, Assigned: []laddermessage.Assignment{{Worker: "w"}},
	}
}

// pollReport polls the delegate as the leader does and returns its report.
func pollReport(t *testing.T, d *Delegate, fence, after int64) laddermessage.DelegateReport {
	t.Helper()
	r, ok := d.Report(context.Background(), laddermessage.DelegatePoll{Fence: fence, After: after, Wait: time.Second})
	require.True(t, ok)
	return r
}

func eventually(t *testing.T, f func() bool) {
	t.Helper()
	require.Eventually(t, f, 2*time.Second, time.Millisecond)
}

// TestLeaseRenewal checks that the delegate renews a worker's lease once it knows the
// worker's clock, and that it stops polling when the leader's permission expires.
func TestLeaseRenewal(t *testing.T) {
	d, w, b := newDelegate(t)
	require.True(t, d.Apply(newDelegation(b, 3)))
	eventually(t, func() bool { return len(w.pollsSoFar()) > 2 })
	polls := w.pollsSoFar()
	require.Zero(t, polls[0].LeaseUntil, "the worker's clock is not known yet")
	require.GreaterOrEqual(t, polls[1].LeaseUntil, 6*time.Second)
	require.Equal(t, int64(3), polls[1].Fence)
	r := pollReport(t, d, 3, 0)
	require.Equal(t, "w", r.Polls[0].Worker)
	require.Equal(t, laddermessage.PollAnswered, r.Polls[0].Outcome)
	b.now.Add(int64(2 * time.Second))
	time.Sleep(20 * time.Millisecond)
	n := len(w.pollsSoFar())
	time.Sleep(50 * time.Millisecond)
	require.Len(t, w.pollsSoFar(), n, "the leader's permission has expired")
	require.True(t, d.Apply(newDelegation(b, 3)))
	eventually(t, func() bool { return len(w.pollsSoFar()) > n })
}

// TestLeaseAfterUnnoticedRestart restarts the worker while the leader's permission has expired. A lease that
// is computed from the old incarnation's clock would last longer than the leader knows.
func TestLeaseAfterUnnoticedRestart(t *testing.T) {
	d, w, b := newDelegate(t)
	require.True(t, d.Apply(newDelegation(b, 3)))
	eventually(t, func() bool { return len(w.pollsSoFar()) > 1 })
	b.now.Add(int64(2 * time.Second))
	time.Sleep(20 * time.Millisecond)
	n := len(w.pollsSoFar())
	w.locked(func() { w.incarnation = 8 })
	require.True(t, d.Apply(newDelegation(b, 3)))
	eventually(t, func() bool { return len(w.pollsSoFar()) > n+1 })
	require.Zero(t, w.pollsSoFar()[n].LeaseUntil)
	require.Positive(t, w.pollsSoFar()[n+1].LeaseUntil)
}

// TestAcknowledgement checks that the delegate passes on the leader's acknowledgement of
// ends, but not to a different incarnation of the worker.
func TestAcknowledgement(t *testing.T) {
	d, w, b := newDelegate(t)
	w.ended = []ladderflow.EndedRun{{Sequence: 1}, {Sequence: 2}}
	m := newDelegation(b, 3)
	require.True(t, d.Apply(m))
	eventually(t, func() bool { return len(w.pollsSoFar()) > 1 })
	for _, p := range w.pollsSoFar() {
		require.Zero(t, p.Acknowledged)
		require.Zero(t, p.Wait, "the worker lists ends that the leader has not acknowledged")
	}
	m.Assigned[0].Incarnation, m.Assigned[0].Acknowledged = 7, 2
	require.True(t, d.Apply(m))
	eventually(t, func() bool { p := w.pollsSoFar(); return p[len(p)-1].Acknowledged == 2 })
	w.locked(func() { w.incarnation, w.ended = 8, nil })
	eventually(t, func() bool { p := w.pollsSoFar(); return p[len(p)-1].Acknowledged == 0 })
	n := len(w.pollsSoFar())
	eventually(t, func() bool { return len(w.pollsSoFar()) > n+2 })
	for _, p := range w.pollsSoFar()[n:] {
		require.Zero(t, p.Acknowledged)
	}
}

// TestAcknowledgementAwaitsStarts lets a worker restart when it receives a start, and end that run at
// once. A poll with the acknowledgement that the leader sent along with the start, for an end of
// the earlier incarnation, would make the worker forget the new one.
func TestAcknowledgementAwaitsStarts(t *testing.T) {
	for name, c := range map[string]struct {
		restarts bool
		clock    time.Duration
		err      error
		want     int64
	}{
		"same incarnation":                      {clock: time.Minute, want: 2},
		"same incarnation, no reply":            {err: context.DeadlineExceeded, want: 2},
		"later incarnation":                     {restarts: true, clock: time.Millisecond},
		"later incarnation, no reply":           {restarts: true, err: context.DeadlineExceeded},
		"later incarnation, no clock in answer": {restarts: true},
	} {
		t.Run(name, func(t *testing.T) {
			d, w, b := newDelegate(t)
			w.ended = []ladderflow.EndedRun{{Sequence: 1}, {Sequence: 2}}
			m := newDelegation(b, 3)
			require.True(t, d.Apply(m))
			eventually(t, func() bool { return len(w.pollsSoFar()) > 1 })
			w.locked(func() { w.restarts, w.startClock, w.startErr = c.restarts, c.clock, c.err })
			m.Assigned[0].Incarnation, m.Assigned[0].Acknowledged = 7, 2
			m.Starts = []laddermessage.DelegatedStart{{Worker: "w", Start: ladderflow.Start{Run: ladderflow.Run{Number: 1}}}}
			require.True(t, d.Apply(m))
			n := len(w.pollsSoFar())
			eventually(t, func() bool { p := w.pollsSoFar(); return len(p) > n+3 && p[len(p)-1].Acknowledged == c.want })
			w.locked(func() { require.False(t, w.wronglyAcknowledged) })
		})
	}
}

// TestExpiredOrders checks that the delegate does not send orders that have expired by
// the time they arrive, and reports them as unsent.
func TestExpiredOrders(t *testing.T) {
	for name, late := range map[string]time.Duration{"in time": 0, "just too late": time.Second, "much too late": time.Hour} {
		t.Run(name, func(t *testing.T) {
			d, w, b := newDelegate(t)
			m := newDelegation(b, 3)
			run := ladderflow.Run{Task: ladderflow.Task{Job: "a"}, Number: 1}
			m.Starts = []laddermessage.DelegatedStart{{Worker: "w", Start: ladderflow.Start{Run: run}}}
			b.now.Add(int64(late))
			require.True(t, d.Apply(m))
			var results []laddermessage.OrderResult
			for after := int64(0); len(results) == 0; {
				r := pollReport(t, d, 3, after)
				after, results = r.Number, r.Results
			}
			require.Equal(t, run, results[0].Run)
			require.Equal(t, late > 0, results[0].Unsent)
			require.False(t, results[0].Unknown)
			w.locked(func() { require.Equal(t, late == 0, len(w.starts) == 1) })
		})
	}
}

// TestReportsAreRepeated checks that a report repeats the events of an earlier one that
// the leader has not received, and only those.
func TestReportsAreRepeated(t *testing.T) {
	d, w, b := newDelegate(t)
	w.locked(func() { w.err = platform.ErrFenced })
	require.True(t, d.Apply(newDelegation(b, 3)))
	first := pollReport(t, d, 3, 0)
	repeated := pollReport(t, d, 3, 0)
	require.Equal(t, first.Polls, repeated.Polls[:len(first.Polls)])
	require.Greater(t, repeated.Number, first.Number)
	require.Equal(t, laddermessage.PollFenced, first.Polls[0].Outcome)
	next := pollReport(t, d, 3, repeated.Number)
	require.LessOrEqual(t, len(repeated.Polls)+len(next.Polls), len(w.pollsSoFar()), "events that the leader has received must not be repeated")
	require.Equal(t, first.Session, next.Session)
}

// TestNewerLeader checks that a message from a newer leader ends the session of the older
// one, whose messages are rejected from then on.
func TestNewerLeader(t *testing.T) {
	d, w, b := newDelegate(t)
	require.True(t, d.Apply(newDelegation(b, 3)))
	old := pollReport(t, d, 3, 0)
	require.True(t, d.Apply(newDelegation(b, 4)))
	eventually(t, func() bool { p := w.pollsSoFar(); return p[len(p)-1].Fence == 4 })
	require.False(t, d.Apply(newDelegation(b, 3)))
	_, ok := d.Report(context.Background(), laddermessage.DelegatePoll{Fence: 3, After: old.Number})
	require.False(t, ok)
	require.NotEqual(t, old.Session, pollReport(t, d, 4, 0).Session)
}

// TestUnansweredStartIsRepeated checks that a start which is not answered is sent again, once.
func TestUnansweredStartIsRepeated(t *testing.T) {
	for name, c := range map[string]struct {
		unanswered, sent int
		unknown          bool
	}{
		"answered":               {0, 1, false},
		"first one not answered": {1, 2, false},
		"none answered":          {9, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			d, w, b := newDelegate(t)
			w.unanswered = c.unanswered
			m := newDelegation(b, 3)
			m.Starts = []laddermessage.DelegatedStart{{Worker: "w", Start: ladderflow.Start{Run: ladderflow.Run{Number: 1}}}}
			require.True(t, d.Apply(m))
			var results []laddermessage.OrderResult
			for after := int64(0); len(results) == 0; {
				r := pollReport(t, d, 3, after)
				after, results = r.Number, r.Results
			}
			require.Equal(t, c.unknown, results[0].Unknown)
			w.locked(func() { require.Len(t, w.starts, c.sent) })
		})
	}
}
