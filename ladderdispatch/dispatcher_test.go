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

// room always has room, and is the home of every rack since long ago.
type room struct{}

func (room) Await(_ time.Time, a ladderholder.Ask) (laddermodel.Reservation, *ladderholder.Waiter, error) {
	return laddermodel.Reservation{Task: a.Task, Worker: laddermodel.Worker{Name: "w"}, Holder: "vm"}, nil, nil
}

func (room) Leave(*ladderholder.Waiter) (laddermodel.Reservation, bool) {
	return laddermodel.Reservation{}, false
}

func (room) Release(time.Time, ladderholder.End) {}

func (room) Home(now time.Time, rack string) (ladderclaim.Home, bool) {
	return ladderclaim.Home{Rack: rack, Since: now.Add(-time.Hour)}, true
}

// workers answers each start after a second with the reply that is next.
type workers struct {
	mu      sync.Mutex
	replies []ladderdispatch.Reply
	starts  int
	revoked int
}

func (w *workers) Start(ctx context.Context, _ laddermodel.Reservation, _ laddermodel.Task, _, limit time.Duration) ladderdispatch.Reply {
	w.mu.Lock()
	reply := w.replies[w.starts]
	w.starts++
	w.mu.Unlock()
	select {
	case <-time.After(time.Second):
		return reply
	case <-time.After(limit):
		return ladderdispatch.Reply{Kind: ladderdispatch.Silent}
	case <-ctx.Done():
		return ladderdispatch.Reply{Kind: ladderdispatch.Silent}
	}
}

func (w *workers) Revoke(context.Context, laddermodel.Worker, uint64, string) (ladderattempt.State, ladderdispatch.Reply) {
	w.revoked++
	return ladderattempt.Stopped, ladderdispatch.Reply{}
}

func newDispatcher(t *testing.T, w *workers) *ladderdispatch.Dispatcher {
	t.Helper()
	d := ladderdispatch.New(ladderdispatch.Options{
		Name: "vm", Zone: "z", Region: "r", Clock: ladderclock.System{}, Room: room{}, Workers: w,
		Log: ladderlog.Discard().Part("dispatch"),
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

func TestKeyedRequestOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &workers{replies: []ladderdispatch.Reply{{Kind: ladderdispatch.Answered, Body: []byte("yes")}}}
		d := newDispatcher(t, w)
		calling, hangUp := context.WithCancel(t.Context())
		go d.Do(calling, request)
		time.Sleep(100 * time.Millisecond)
		hangUp()
		a := d.Do(t.Context(), request)
		require.Equal(t, laddermodel.Ran, a.Outcome, a.Reason)
		require.Equal(t, "yes", string(a.Body))
		require.Zero(t, w.revoked)
		require.Equal(t, 1, w.starts)
	})
}

func TestRequestThatJoinedOneThatDidNotRunRunsItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := ladderdispatch.Reply{Kind: ladderdispatch.Refused, Reason: "fenced"}
		w := &workers{replies: []ladderdispatch.Reply{refused, refused, refused, refused, refused, {Kind: ladderdispatch.Answered}}}
		d := newDispatcher(t, w)
		first := request
		first.Deadline = 6 * time.Second
		var answers [3]laddermodel.Answer
		var wait sync.WaitGroup
		wait.Go(func() { answers[0] = d.Do(t.Context(), first) })
		time.Sleep(3 * time.Second)
		for i := range 2 {
			wait.Go(func() { answers[i+1] = d.Do(t.Context(), request) })
		}
		wait.Wait()
		require.Equal(t, laddermodel.NotRun, answers[0].Outcome, answers[0].Reason)
		for _, a := range answers[1:] {
			require.Equal(t, laddermodel.Ran, a.Outcome, a.Reason)
		}
		require.Equal(t, 6, w.starts, "one of the two ran, and the other joined it")
	})
}
