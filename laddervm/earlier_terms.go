package laddervm

import (
	"errors"
	"net/netip"
	"slices"
	"time"

	"lacewingladder/ladderjournal"
)

// own returns the description of the term for the store.
func (t *term) own() ladderjournal.Term {
	return ladderjournal.Term{
		VM: t.vm.settings.Name, Incarnation: t.vm.registry.incarnation, Fence: t.fence,
		Address: netip.AddrPortFrom(t.vm.settings.Address, t.vm.settings.FirstPort),
	}
}

// terms returns the terms that may not be over, for the store.
func (t *term) terms() []ladderjournal.Term {
	return append([]ladderjournal.Term{t.own()}, t.earlier...)
}

// saveTerms stores the term and those of earlier leaders, retrying until it succeeds. It returns false if the
// term has ended.
func (t *term) saveTerms(w *ladderjournal.ProgressWriter, earlier []ladderjournal.Term) bool {
	for t.ctx.Err() == nil {
		err := w.SaveTerms(t.ctx, append([]ladderjournal.Term{t.own()}, earlier...))
		switch {
		case err == nil:
			return true
		case errors.Is(err, ladderjournal.ErrSuperseded):
			t.vm.leadership.endTerm(t, "the store names another leader")
			return false
		}
		t.log.Warn("storing the term failed; retrying", "fence", t.fence, "err", err)
		select {
		case <-t.ctx.Done():
		case <-t.vm.clock.After(saveRetryInterval):
		}
	}
	return false
}

// checkEarlierTerms looks whether earlier leaders may still act. They do not once their process has ended, or
// the time has passed after which each leader stops. The planner waits for the leases that they have granted.
func (t *term) checkEarlierTerms(now time.Time) {
	if t.earlierEnded {
		return
	}
	t.earlier = slices.DeleteFunc(t.earlier, t.vm.registry.hasEnded)
	if len(t.earlier) > 0 && now.Before(t.began.Add(leaderLease+outageGrace)) {
		return
	}
	t.log.Info("earlier leaders have ended", "fence", t.fence, "after", now.Sub(t.began).Round(time.Millisecond),
		"notSeenToEnd", len(t.earlier))
	t.earlier, t.earlierEnded = nil, true
	// Delegates of a leader that has ended renew leases until their permission expires.
	t.planner.EarlierLeadersEnded(now.Add(maxDelegation))
	t.saveRoster()
}

// hasEnded reports whether the process of a leader has certainly ended: this process has taken its place, or
// another one that registered after its election. A term of this process itself is over when the next begins.
func (r *registry) hasEnded(t ladderjournal.Term) bool {
	if t.Incarnation == r.incarnation {
		return true
	}
	if t.VM == r.vm.settings.Name {
		return t.Address == netip.AddrPortFrom(r.vm.settings.Address, r.vm.settings.FirstPort)
	}
	p, ok := r.find(t.VM)
	// The names of incarnations rise with time. An entry that an earlier process wrote may take effect late.
	return ok && p.address == t.Address && p.incarnation > t.Incarnation && p.revision > t.Fence
}
