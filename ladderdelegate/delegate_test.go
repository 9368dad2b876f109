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

// boot is a clock since boot that the test moves.
type boot struct{ at atomic.Int64 }

func (b *boot) SinceBoot() time.Duration { return time.Duration(b.at.Load()) }

// standIn answers calls to one worker, and remembers them.
type standIn struct {
	mu     sync.Mutex
	born   int64
	ended  []ladderflow.EndedRun
	holds  []platform.Hold
	starts []ladderflow.Run
	err    error
}

func (s *standIn) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// held returns the looks at the worker so far.
func (s *standIn) held() []platform.Hold {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]platform.Hold(nil), s.holds...)
}

func (s *standIn) Look(ctx context.Context, _ netip.AddrPort, _ string, h platform.Hold) (ladderflow.Look, error) {
	s.mu.Lock()
	s.holds = append(s.holds, h)
	l := ladderflow.Look{Born: s.born, Clock: time.Second, Ended: append([]ladderflow.EndedRun(nil), s.ended...)}
	err := s.err
	s.mu.Unlock()
	select {
	case <-time.After(min(h.Wait, 5*time.Millisecond)):
	case <-ctx.Done():
	}
	return l, err
}

func (s *standIn) Start(_ context.Context, _ netip.AddrPort, _ string, o ladderflow.Start) (ladderflow.Refusal, error) {
	s.set(func() { s.starts = append(s.starts, o.Run) })
	return ladderflow.NotRefused, nil
}

func (s *standIn) Stop(context.Context, netip.AddrPort, string, ladderflow.Run, int64) (ladderflow.Refusal, error) {
	return ladderflow.NotRefused, nil
}

func (s *standIn) Pace(context.Context, netip.AddrPort, string, ladderflow.Run, int, int64) (ladderflow.Refusal, error) {
	return ladderflow.NotRefused, nil
}

func newDelegate(t *testing.T) (*Delegate, *standIn, *boot) {
	w, b := &standIn{born: 7}, &boot{}
	b.at.Store(int64(time.Minute))
	d := New(w, ladderclock.System{}, b, ladderlog.Discard().Part("delegate"))
	t.Cleanup(d.Close)
	return d, w, b
}

// errands lets the delegate hold a worker for a second of its clock.
func errands(b *boot, fence int64) laddermessage.Errands {
	return laddermessage.Errands{
		Fence: fence, Valid: b.SinceBoot() + time.Second, Void: b.SinceBoot() + time.Second,
		Hold: 5 * time.Second, Within: time.Second, Charges: []laddermessage.Charge{{Worker: "w"}},
	}
}

// inquire returns the next report.
func inquire(t *testing.T, d *Delegate, fence, after int64) laddermessage.Report {
	t.Helper()
	r, ok := d.Inquire(context.Background(), laddermessage.Inquire{Fence: fence, After: after, Wait: time.Second})
	require.True(t, ok)
	return r
}

func eventually(t *testing.T, f func() bool) {
	t.Helper()
	require.Eventually(t, f, 2*time.Second, time.Millisecond)
}

// TestHolds looks at a worker, prolongs its lease once its clock is known, and stops when
// the leader's word has run out.
func TestHolds(t *testing.T) {
	d, w, b := newDelegate(t)
	require.True(t, d.Errands(errands(b, 3)))
	eventually(t, func() bool { return len(w.held()) > 2 })
	holds := w.held()
	require.Zero(t, holds[0].Until, "the worker's clock is not known yet")
	require.GreaterOrEqual(t, holds[1].Until, 6*time.Second)
	require.Equal(t, int64(3), holds[1].Fence)
	r := inquire(t, d, 3, 0)
	require.Equal(t, "w", r.Looks[0].Worker)
	require.Equal(t, laddermessage.LookAnswered, r.Looks[0].Outcome)
	b.at.Add(int64(2 * time.Second))
	time.Sleep(20 * time.Millisecond)
	n := len(w.held())
	time.Sleep(50 * time.Millisecond)
	require.Len(t, w.held(), n, "the leader's word has run out")
	require.True(t, d.Errands(errands(b, 3)))
	eventually(t, func() bool { return len(w.held()) > n })
}

// TestNotes passes on what the leader has noted, but not to another life of the worker.
func TestNotes(t *testing.T) {
	d, w, b := newDelegate(t)
	w.ended = []ladderflow.EndedRun{{Number: 1}, {Number: 2}}
	e := errands(b, 3)
	require.True(t, d.Errands(e))
	eventually(t, func() bool { return len(w.held()) > 1 })
	for _, h := range w.held() {
		require.Zero(t, h.Noted)
		require.Zero(t, h.Wait, "ends are listed that the leader has not noted")
	}
	e.Charges[0].Born, e.Charges[0].Noted = 7, 2
	require.True(t, d.Errands(e))
	eventually(t, func() bool { h := w.held(); return h[len(h)-1].Noted == 2 })
	w.set(func() { w.born, w.ended = 8, nil })
	eventually(t, func() bool { h := w.held(); return h[len(h)-1].Noted == 0 })
	n := len(w.held())
	eventually(t, func() bool { return len(w.held()) > n+2 })
	for _, h := range w.held()[n:] {
		require.Zero(t, h.Noted)
	}
}

// TestVoidOrders does not send what came too late, also when it was held up before it
// arrived.
func TestVoidOrders(t *testing.T) {
	for name, late := range map[string]time.Duration{"in time": 0, "just too late": time.Second, "much too late": time.Hour} {
		t.Run(name, func(t *testing.T) {
			d, w, b := newDelegate(t)
			e := errands(b, 3)
			run := ladderflow.Run{Task: ladderflow.Task{Job: "a"}, Number: 1}
			e.Starts = []laddermessage.StartErrand{{Worker: "w", Start: ladderflow.Start{Run: run}}}
			b.at.Add(int64(late))
			require.True(t, d.Errands(e))
			var results []laddermessage.OrderReport
			for after := int64(0); len(results) == 0; {
				r := inquire(t, d, 3, after)
				after, results = r.Number, r.Results
			}
			require.Equal(t, run, results[0].Run)
			require.Equal(t, late > 0, results[0].Unsent)
			require.False(t, results[0].Unknown)
			w.set(func() { require.Equal(t, late == 0, len(w.starts) == 1) })
		})
	}
}

// TestReportsAreRepeated tells again what the leader has not got.
func TestReportsAreRepeated(t *testing.T) {
	d, w, b := newDelegate(t)
	w.set(func() { w.err = platform.ErrFenced })
	require.True(t, d.Errands(errands(b, 3)))
	first := inquire(t, d, 3, 0)
	again := inquire(t, d, 3, 0)
	require.Equal(t, first.Looks, again.Looks[:len(first.Looks)])
	require.Greater(t, again.Number, first.Number)
	require.Equal(t, laddermessage.LookFenced, first.Looks[0].Outcome)
	next := inquire(t, d, 3, again.Number)
	require.LessOrEqual(t, len(again.Looks)+len(next.Looks), len(w.held()), "nothing is told twice once it has come")
	require.Equal(t, first.Session, next.Session)
}

// TestNewerLeader leaves the workers of an older leader, and refuses it from then on.
func TestNewerLeader(t *testing.T) {
	d, w, b := newDelegate(t)
	require.True(t, d.Errands(errands(b, 3)))
	old := inquire(t, d, 3, 0)
	require.True(t, d.Errands(errands(b, 4)))
	eventually(t, func() bool { h := w.held(); return h[len(h)-1].Fence == 4 })
	require.False(t, d.Errands(errands(b, 3)))
	_, ok := d.Inquire(context.Background(), laddermessage.Inquire{Fence: 3, After: old.Number})
	require.False(t, ok)
	require.NotEqual(t, old.Session, inquire(t, d, 4, 0).Session)
}
