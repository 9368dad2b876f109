package laddervm

import (
	"context"
	"encoding/base64"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderdelegate"
	"lacewingladder/ladderflow"
	"lacewingladder/laddermessage"
	"lacewingladder/ladderplan"
	"lacewingladder/platform"
)

// newTestDelegateClient returns the client of a delegate that the leader does not poll.
func newTestDelegateClient(t *testing.T, clock ladderclock.Clock) *delegateClient {
	t.Helper()
	v := newTestVM(t, "e1")
	v.clock = clock
	term := newTerm(t.Context(), v, &lease{vm: v, until: v.boot.SinceBoot() + time.Hour}, 5, time.Now())
	c := &delegateClient{
		term: term, peer: peer{name: "e2", incarnation: "e2/1"},
		workers: map[string]laddermessage.Assignment{}, pending: map[delegatedOrder]pendingOrder{},
	}
	c.ctx, c.cancel = context.WithCancel(t.Context())
	return c
}

// TestReportThatIsReadLateShortensNoPermission lets the leader read a report long after it has arrived. What
// the delegate may do under the next message must not end earlier by that time, but by what the clocks may have
// drifted apart since the first report.
func TestReportThatIsReadLateShortensNoPermission(t *testing.T) {
	const readLate, offset = 2 * time.Second, time.Hour // Offset is the delegate's clock minus the leader's.
	c := newTestDelegateClient(t, ladderclock.System{})
	now := c.term.vm.boot.SinceBoot()
	for i, delay := range []time.Duration{0, readLate} {
		sent := now - 3*time.Second + time.Duration(i)*time.Second
		at := sent + time.Millisecond + offset
		c.handleReport(laddermessage.DelegateReport{Session: "s", Number: int64(i + 1)},
			ladderdelegate.NewClockBound(sent, sent+2*time.Millisecond+delay, at, at))
	}
	const drift = 3 * time.Second * 10 / 1000
	require.InDelta(t, float64(now+offset), float64(c.clockBound.ToDelegate(now)), float64(drift+5*time.Millisecond))
	require.Greater(t, c.delegationEnd(), now+offset)
}

// TestLateLeaderAwaitsResults lets the leader read reports 5 s late. A start whose result the delegate may still
// report must not complete with an unknown outcome, and one whose result is overdue by its clock must.
func TestLateLeaderAwaitsResults(t *testing.T) {
	run := ladderflow.Run{Number: 1}
	for name, c := range map[string]struct {
		// reportedAfter is when the delegate sent its next report, since it has accepted the start.
		reportedAfter time.Duration
		results       []laddermessage.OrderResult
		pending       int
	}{
		"soon, without the result": {reportedAfter: 100 * time.Millisecond, pending: 1},
		"soon, with the result":    {reportedAfter: 100 * time.Millisecond, results: []laddermessage.OrderResult{{Worker: "w", Run: run}}},
		"late, without the result": {reportedAfter: orderValidity + maxOrderTimeout + delegatePollSlack + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			clock := ladderclock.NewManual(time.Now())
			client := newTestDelegateClient(t, clock)
			accepted := client.term.vm.boot.SinceBoot()
			report := func(number int64, at time.Duration, results []laddermessage.OrderResult) {
				client.handleReport(laddermessage.DelegateReport{Session: "s", Number: number, RepliedAt: at, Results: results},
					ladderdelegate.NewClockBound(at, at, at, at))
			}
			report(1, accepted, nil)
			client.start(ladderplan.StartOrder{Worker: ladderflow.Worker{ID: "w"}, Run: run})
			m := client.outbox
			client.outbox = laddermessage.Delegation{}
			m.SendBefore, m.OrderTimeout = accepted+orderValidity, client.orderTimeout()
			client.handleSent(m, true, callTime{}, nil)
			clock.Advance(5 * time.Second)
			report(2, accepted+c.reportedAfter, c.results)
			require.Len(t, client.pending, c.pending)
		})
	}
}

// TestExpiredEntryKeepsDelegate lets the entry of a delegate expire, as in an outage of the store. Its workers must
// stay with it, and leave it when another process of the VM has registered.
func TestExpiredEntryKeepsDelegate(t *testing.T) {
	v, delegate, restarted := newTestVM(t, "e1"), newTestVM(t, "e2"), newTestVM(t, "e2")
	term := newTerm(t.Context(), v, &lease{vm: v, until: v.boot.SinceBoot() + time.Hour}, 5, time.Now())
	for i := range ladderdelegate.DelegationThreshold + 1 {
		id := fmt.Sprintf("w%03d", i)
		term.pollers[id] = &poller{worker: ladderflow.Worker{ID: id}, cancel: func() {}}
	}
	apply := func(item platform.Item) {
		item.Key = entryPrefix + "e2"
		v.registry.mu.Lock()
		defer v.registry.mu.Unlock()
		v.registry.apply(item, time.Now())
	}
	requireDelegate := func(d *VM) {
		term.assignDelegates()
		require.Len(t, term.delegates, 1)
		for id, p := range term.pollers {
			require.NotNil(t, p.delegate, id)
			require.Equal(t, d.registry.incarnation, p.delegate.peer.incarnation, id)
		}
	}
	apply(platform.Item{Value: delegate.registry.entry(), ModRevision: 1})
	requireDelegate(delegate)
	apply(platform.Item{Deleted: true, ModRevision: 2})
	requireDelegate(delegate)
	apply(platform.Item{Value: restarted.registry.entry(), ModRevision: 3})
	requireDelegate(restarted)
}

// newServedDelegateClient returns the client of a delegate that answers, and that delegate. The caller runs the
// leader's control goroutine.
func newServedDelegateClient(t *testing.T) (*delegateClient, *VM) {
	t.Helper()
	leader, delegate := newTestVM(t, "e1"), newTestVM(t, "e2")
	for v, peer := range map[*VM]*VM{leader: delegate, delegate: leader} {
		require.NoError(t, addPeer(v, base64.StdEncoding.EncodeToString(peer.registry.entry())))
	}
	go func() { _ = delegate.server.Serve(t.Context()) }()
	term := newTerm(t.Context(), leader, &lease{vm: leader, until: leader.boot.SinceBoot() + time.Hour}, 5, time.Now())
	return newDelegateClient(term, leader.registry.registered()[0]), delegate
}

// TestReportWaitsOnceForControlGoroutine counts how often the client of a delegate waits for the leader's control
// goroutine, which may be late each time.
func TestReportWaitsOnceForControlGoroutine(t *testing.T) {
	c, _ := newServedDelegateClient(t)
	events := 0
	for ; c.lastReport < 4; events++ {
		(<-c.term.inbox)()
	}
	require.EqualValues(t, c.lastReport+1, events, "one event for the first poll and one for each report")
}

// TestLeavingDelegateIsReplacedAtOnce ends the session of a delegate while a poll waits there, as a VM does that
// leaves.
func TestLeavingDelegateIsReplacedAtOnce(t *testing.T) {
	c, delegate := newServedDelegateClient(t)
	term := c.term
	for waiting := time.After(delegatePollWait / 4); waiting != nil; {
		select {
		case f := <-term.inbox:
			f()
		case <-waiting:
			waiting = nil
		}
	}
	require.True(t, c.clockBound.Known())
	delegate.delegate.Close()
	began := time.Now()
	for c.ctx.Err() == nil {
		(<-term.inbox)()
	}
	require.Less(t, time.Since(began), delegatePollWait/2)
}
