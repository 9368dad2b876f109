package laddervm

import (
	"context"
	"time"

	"lacewingladder/laddermessage"
)

const (
	// outageQueryInterval is the time between two rounds of queries to all peers whether the store
	// serves them, and outageQueryTimeout bounds a round. Several rounds fit into outageGrace.
	outageQueryInterval = time.Second
	outageQueryTimeout  = 600 * time.Millisecond
)

// mayRenewLeases reports whether polls may renew the leases of workers. The next leader relies on
// it that a leader stops within leaderLease and outageGrace of the election. No other VM was
// elected before this VM's lease ended, nor before a time at which the store served no peer.
func (t *term) mayRenewLeases() bool {
	outage := time.Duration(t.outageSeenAt.Load()) - t.vm.boot.SinceBoot()
	return max(t.lease.remaining(), outage) > -outageGrace
}

// followOutage queries all peers while the store serves no call of this VM and its lease may have
// expired. Work goes on for as long as the store serves nobody.
func (t *term) followOutage() {
	for t.ctx.Err() == nil {
		if t.vm.storeCarrier.unavailable() && t.lease.remaining() <= 0 {
			began := t.vm.boot.SinceBoot()
			if t.vm.registry.storeServesNobody(t.ctx, t.fence) {
				t.outageSeenAt.Store(int64(began))
			}
		}
		select {
		case <-t.ctx.Done():
		case <-t.vm.clock.After(outageQueryInterval):
		}
	}
}

// storeServesNobody reports whether all peers answer that the store serves them no calls and that they
// know no leader with a newer fencing token.
func (r *registry) storeServesNobody(ctx context.Context, fence int64) bool {
	ctx, cancel := context.WithTimeout(ctx, outageQueryTimeout)
	defer cancel()
	peers := r.others()
	unserved := make(chan bool, len(peers))
	for _, p := range peers {
		go func() {
			reply, err := r.call(ctx, p, laddermessage.StoreStatusQuery{})
			s, ok := reply.(laddermessage.StoreStatus)
			unserved <- err == nil && ok && s.Unavailable && s.Leader <= fence
		}()
	}
	for range peers {
		if !<-unserved {
			return false
		}
	}
	return true
}

// storeStatus returns the reply to a peer's query whether the store serves this VM.
func (v *VM) storeStatus() laddermessage.StoreStatus {
	known, _ := v.registry.currentLeader()
	s := laddermessage.StoreStatus{Unavailable: v.storeCarrier.unavailable(), Leader: known.revision}
	if t := v.leadership.current(); t != nil {
		s.Leader = max(s.Leader, t.fence)
	}
	return s
}
