package ladderdispatch_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderattempt"
	"lacewingladder/ladderclaim"
	"lacewingladder/ladderclock"
	"lacewingladder/ladderconfig"
	"lacewingladder/ladderdispatch"
	"lacewingladder/ladderholder"
	"lacewingladder/ladderlog"
	"lacewingladder/laddermodel"
)

// alwaysFree is a holder that always has free capacity. It has been the home of
// every rack for an hour.
type alwaysFree struct{}

func (alwaysFree) ReserveOrWait(_ time.Time, cr ladderholder.CapacityRequest) (laddermodel.Reservation, *ladderholder.Waiter, error) {
	return laddermodel.Reservation{Task: cr.Task, Worker: laddermodel.Worker{Name: "w"}, Holder: "vm"}, nil, nil
}

func (alwaysFree) CancelWait(*ladderholder.Waiter) (laddermodel.Reservation, bool) {
	return laddermodel.Reservation{}, false
}

func (alwaysFree) Release(time.Time, ladderholder.TaskEnd) {}

func (alwaysFree) Home(now time.Time, rack string) (ladderclaim.Home, bool) {
	return ladderclaim.Home{Rack: rack, Since: now.Add(-time.Hour)}, true
}

// fakeWorkers replies to each start after one second with the next of the
// replies.
type fakeWorkers struct {
	mu      sync.Mutex
	replies []ladderdispatch.Reply
	starts  int
	revoked int
}

func (w *fakeWorkers) Start(ctx context.Context, _ laddermodel.Reservation, _ laddermodel.Task, _, limit time.Duration) ladderdispatch.Reply {
	w.mu.Lock()
	reply := w.replies[w.starts]
	w.starts++
	w.mu.Unlock()
	select {
	case <-time.After(time.Second):
		return reply
	case <-time.After(limit):
		return ladderdispatch.Reply{Kind: ladderdispatch.NoReply}
	case <-ctx.Done():
		return ladderdispatch.Reply{Kind: ladderdispatch.NoReply}
	}
}

func (w *fakeWorkers) Revoke(context.Context, laddermodel.Worker, uint64, string) (ladderattempt.State, ladderdispatch.Reply) {
	w.revoked++
	return ladderattempt.Stopped, ladderdispatch.Reply{}
}

// newDispatcher returns a dispatcher without a retry budget. It has one class,
// named book, whose requests must not be repeated.
func newDispatcher(t *testing.T, w *fakeWorkers) *ladderdispatch.Dispatcher {
	t.Helper()
	d := ladderdispatch.New(ladderdispatch.Options{
		Name: "vm", Zone: "z", Region: "r", Clock: ladderclock.System{}, Holder: alwaysFree{}, Workers: w,
		Log: ladderlog.Discard().Component("dispatch"),
	})
	c, err := ladderconfig.Parse("f", []byte(`defaults:
  limits: {retries: 0%}
  zones: [{name: z, region: r, racks: [{name: k, seats: 1}]}]
  members: {m: {}}
  classes:
    book: {member: m, size: {slots: 1}, deadline: 4s, once: true}
`))
	require.NoError(t, err)
	d.SetConfig(c)
	return d
}

var request = laddermodel.Request{ID: "q", Key: "k", Member: "m", Class: "book", Deadline: 4 * time.Second}

func TestKeyedRequestContinuesWhenCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakeWorkers{replies: []ladderdispatch.Reply{{Kind: ladderdispatch.Answered, Body: []byte("yes")}}}
		d := newDispatcher(t, w)
		callerCtx, disconnect := context.WithCancel(t.Context())
		go d.Do(callerCtx, request)
		time.Sleep(100 * time.Millisecond)
		disconnect()
		a := d.Do(t.Context(), request)
		require.Equal(t, laddermodel.Ran, a.Outcome, a.Reason)
		require.Equal(t, "yes", string(a.Body))
		require.Zero(t, w.revoked)
		require.Equal(t, 1, w.starts)
	})
}

func TestWaitingRequestRunsWhenFirstDidNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Five refusals end the first request without a run. Then one of the waiting requests runs.
		refused := ladderdispatch.Reply{Kind: ladderdispatch.Refused, Reason: "fenced"}
		w := &fakeWorkers{replies: []ladderdispatch.Reply{refused, refused, refused, refused, refused, {Kind: ladderdispatch.Answered}}}
		d := newDispatcher(t, w)
		first := request
		first.Deadline = 6 * time.Second
		var answers [3]laddermodel.Answer
		var group sync.WaitGroup
		group.Go(func() { answers[0] = d.Do(t.Context(), first) })
		time.Sleep(3 * time.Second)
		for i := range 2 {
			group.Go(func() { answers[i+1] = d.Do(t.Context(), request) })
		}
		group.Wait()
		require.Equal(t, laddermodel.NotRun, answers[0].Outcome, answers[0].Reason)
		for _, a := range answers[1:] {
			require.Equal(t, laddermodel.Ran, a.Outcome, a.Reason)
		}
		require.Equal(t, 6, w.starts, "one of the two runs, and the other gets its answer")
	})
}
