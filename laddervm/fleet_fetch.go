package laddervm

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lacewingladder/laddercodec"
	"lacewingladder/ladderflow"
	"lacewingladder/laddermessage"
)

// fetchAny gets the state of the operators' keys from the VMs of the given names, until one has something new.
func (f *fleetFeed) fetchAny(ctx context.Context, names []string) {
	for i, name := range names {
		if f.takeNewest(ctx, f.request(ctx, name, f.state.fleetRevision(), sourceTimeout), names[i+1:]) {
			return
		}
	}
}

// takeNewest applies the state that a peer has sent. If it is the first configuration of this VM, and callers need keys,
// it asks the VMs of the given names before: one of them may have a later version, in which keys were withdrawn.
// It returns true if there was something new.
func (f *fleetFeed) takeNewest(ctx context.Context, newest fetchResult, names []string) bool {
	if f.isFirst(newest) {
		asked := newest.from
		for _, name := range names {
			if name == asked {
				continue
			}
			r := f.request(ctx, name, newest.state.FleetRevision, sourceTimeout)
			if r.err != nil {
				f.vm.log.Debug("peer was asked for a later configuration and did not answer", "peer", name, "err", r.err)
			} else if r.delta != nil && r.follow(&newest) {
				newest = r
			}
		}
	}
	return f.take(ctx, newest)
}

// isFirst reports whether a peer has sent a configuration in which callers need keys to a VM that has none.
func (f *fleetFeed) isFirst(r fetchResult) bool {
	return r.err == nil && f.state.fleetRevision() == 0 && r.delta != nil && r.delta.KeysRequired
}

// follow makes the difference in r, which may be from the version in earlier, a whole configuration. The earlier
// version need not be applied then. It returns false if the difference is from another version.
func (r *fetchResult) follow(earlier *fetchResult) bool {
	switch r.state.Base {
	case 0:
		return true
	case earlier.state.FleetRevision:
		whole := r.delta.Apply(earlier.delta.Apply(nil)).Whole()
		r.delta, r.state.Base = &whole, 0
		return true
	}
	return false
}

// askPeers asks peers for changes of the operators' keys, since the store does not answer. It does not wait for their
// answers.
func (f *fleetFeed) askPeers(ctx context.Context) {
	names, have := f.fleet().Asked(f.turn), f.state.fleetRevision()
	f.turn++
	for _, name := range names {
		go func() {
			select {
			case f.answers <- f.request(ctx, name, have, sourceTimeout):
			case <-ctx.Done():
			}
		}()
	}
}

// handleAnswer handles the answer of a peer that was asked for changes. It returns true if it brought some.
func (f *fleetFeed) handleAnswer(ctx context.Context, r fetchResult) bool {
	if r.err != nil {
		f.vm.log.Debug("peer was asked for changes of the operators' keys and did not answer", "peer", r.from, "err", r.err)
		return false
	}
	if r.state.FleetRevision > f.state.fleetRevision() && r.state.Base != 0 && r.state.Base != f.state.fleetRevision() {
		return false // Another answer was faster; the next one is from the version that it brought.
	}
	before := f.state.fleetRevision()
	if !f.take(ctx, r) {
		return false
	}
	f.vm.log.Info("changes of the operators' keys heard from a peer, since the store does not answer", "peer", r.from,
		"revision", f.feed.Revision(), "from", before, "to", f.state.fleetRevision())
	return true
}

// fetchResult is the state that a peer has sent.
type fetchResult struct {
	from  string
	state laddermessage.FleetState
	// delta is the decoded difference, or nil if the state has none, and decoded is how long that took.
	delta   *ladderflow.FleetDelta
	decoded time.Duration
	err     error
}

// errNotRegistered is the error of a fetch from a VM that is no longer registered.
var errNotRegistered = errors.New("the VM is not registered")

// request asks a peer for its state, with a difference from the configuration of revision have. It changes nothing.
func (f *fleetFeed) request(ctx context.Context, name string, have int64, timeout time.Duration) fetchResult {
	p, ok := f.vm.registry.find(name)
	if !ok {
		return fetchResult{from: name, err: errNotRegistered}
	}
	calling, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := f.vm.registry.call(calling, p, laddermessage.FleetFetch{Have: have})
	if err != nil {
		return fetchResult{from: name, err: err}
	}
	s, ok := reply.(laddermessage.FleetState)
	if !ok {
		return fetchResult{from: name, err: fmt.Errorf("unexpected reply %T", reply)}
	}
	r := fetchResult{from: name, state: s}
	if s.FleetRevision > have {
		began := f.vm.clock.Now()
		delta, err := laddercodec.DecodeDelta(s.Delta)
		r.delta, r.decoded, r.err = &delta, f.vm.clock.Now().Sub(began), err
	}
	return r
}

// take applies the state that a peer has sent. It returns true if it was new.
func (f *fleetFeed) take(ctx context.Context, r fetchResult) bool {
	if r.err == nil {
		if r.state.Revision <= f.feed.Revision() && r.state.FleetRevision <= f.state.fleetRevision() {
			return false
		}
		var changed bool
		if changed, r.err = f.adopt(ctx, r); r.err == nil {
			return changed
		}
	}
	f.apply(r.from, r.state.Items) // They do not depend on the configuration.
	f.feed.Failed(f.vm.clock.Now(), f.place())
	f.vm.log.Warn("operators' keys could not be fetched from a peer", "peer", r.from, "err", r.err)
	return false
}

// adopt applies the state that a peer has sent, and offers changes to those that rely on this VM. It returns false
// if the peer's configuration is an earlier one than this VM's: then it is not complete up to any revision that
// matters here.
func (f *fleetFeed) adopt(ctx context.Context, r fetchResult) (bool, error) {
	s, have, changed := r.state, f.state.fleetRevision(), false
	if s.FleetRevision > have {
		if r.delta == nil {
			return false, fmt.Errorf("the state of revision %d has no configuration", s.FleetRevision)
		}
		if s.Base != 0 && s.Base != have {
			return false, fmt.Errorf("the difference is from revision %d, not %d", s.Base, have)
		}
		old := f.vm.fleet.Load()
		if s.Base == 0 {
			old = nil
		}
		began := f.vm.clock.Now()
		fleet := r.delta.Apply(old)
		if f.vm.applyFleet(fleet, s.FleetRevision, r.from, len(s.Delta), r.decoded+f.vm.clock.Now().Sub(began)) {
			f.state.setFleet(fleet, s.FleetRevision)
			changed = true
		}
	}
	changed = f.apply(r.from, s.Items) || changed
	if s.FleetRevision < have {
		f.vm.log.Info("peer has an earlier configuration; the current one remains", "peer", r.from, "revision", s.FleetRevision,
			"current", have, "complete", s.Revision)
		return changed, nil
	}
	f.feed.Vouched(f.vm.clock.Now(), s.Revision, f.place())
	f.state.publish(f.feed.Revision())
	if changed {
		f.offer(ctx, r.from)
	}
	return true, nil
}
