package laddervm

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderdelegate"
	"lacewingladder/laddermessage"
)

// newTestDelegateClient returns the client of a delegate that the leader does not poll.
func newTestDelegateClient(t *testing.T) *delegateClient {
	t.Helper()
	v := newTestVM(t, "e1")
	term := newTerm(t.Context(), v, &lease{vm: v, until: v.boot.SinceBoot() + time.Hour}, 5, time.Now())
	c := &delegateClient{
		term: term, peer: peer{name: "e2", incarnation: "e2/1"},
		workers: map[string]laddermessage.Assignment{}, pending: map[delegatedOrder]pendingOrder{},
	}
	c.ctx, c.cancel = context.WithCancel(t.Context())
	return c
}

// TestReportThatIsReadLateShortensNoPermission lets the leader read a report long after it has arrived. What
// the delegate may do under the next message must not end earlier by that time.
func TestReportThatIsReadLateShortensNoPermission(t *testing.T) {
	const readLate, offset = 2 * time.Second, time.Hour // Offset is the delegate's clock minus the leader's.
	c := newTestDelegateClient(t)
	now := c.term.vm.boot.SinceBoot()
	for i, delay := range []time.Duration{0, readLate} {
		sent := now - 3*time.Second + time.Duration(i)*time.Second
		at := sent + time.Millisecond + offset
		c.handleReport(laddermessage.DelegateReport{Session: "s", Number: int64(i + 1)},
			ladderdelegate.NewClockBound(sent, sent+2*time.Millisecond+delay, at, at))
	}
	require.InDelta(t, float64(now+offset), float64(c.clockBound.ToDelegate(now)), float64(10*time.Millisecond))
	require.Greater(t, c.delegationEnd(), now+offset)
}
