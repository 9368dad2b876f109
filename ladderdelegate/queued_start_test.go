package ladderdelegate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
	"lacewingladder/laddermessage"
)

// TestQueuedStartIsNotSentAfterItsLeader lets starts wait in the delegate's queue, behind as many orders as it
// sends at a time, until their leader is gone. They must not be sent then.
func TestQueuedStartIsNotSentAfterItsLeader(t *testing.T) {
	for name, c := range map[string]struct {
		meanwhile func(d *Delegate, b *fakeBootClock)
		sent      int
	}{
		"the leader goes on": {func(*Delegate, *fakeBootClock) {}, 3},
		"nothing is heard of the leader": {func(_ *Delegate, b *fakeBootClock) {
			b.now.Add(int64(time.Second))
		}, 0},
		"another leader takes over": {func(d *Delegate, b *fakeBootClock) {
			m := newDelegation(b, 4)
			m.Assigned = nil
			d.Apply(m)
		}, 0},
		"the delegate leaves": {func(d *Delegate, _ *fakeBootClock) { d.Close() }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			d, w, b := newDelegate(t)
			require.True(t, d.Apply(newDelegation(b, 3)))
			s := d.session
			for range maxConcurrentOrders {
				s.orderSlots <- struct{}{}
			}
			m := newDelegation(b, 3)
			for i := range 3 {
				run := ladderflow.Run{Task: ladderflow.Task{Job: "a", Index: i}, Number: 1}
				m.Starts = append(m.Starts, laddermessage.DelegatedStart{Worker: "w", Start: ladderflow.Start{Run: run}})
			}
			require.True(t, d.Apply(m))
			c.meanwhile(d, b)
			for range maxConcurrentOrders {
				<-s.orderSlots
			}
			unsent := 0
			eventually(t, func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				unsent = 0
				done := append(append([]laddermessage.OrderResult(nil), s.lastReport.Results...), s.results...)
				for _, r := range done {
					if r.Unsent {
						unsent++
					}
				}
				return len(done) == 3
			})
			require.Equal(t, 3-c.sent, unsent)
			w.locked(func() { require.Len(t, w.starts, c.sent) })
		})
	}
}
