package laddervm

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"lacewingladder/laddercodec"
	"lacewingladder/ladderfanout"
	"lacewingladder/ladderflow"
	"lacewingladder/laddermessage"
	"lacewingladder/platform"
)

const (
	// pollWait is the wait of a poll. The protocol has no call that does not wait.
	pollWait = time.Millisecond
	// offerTimeout and fetchTimeout bound an exchange with a peer.
	offerTimeout = 500 * time.Millisecond
	fetchTimeout = time.Second
	// sourceTimeout bounds an exchange with a peer that has offered nothing.
	sourceTimeout = 400 * time.Millisecond
	// offerAttempts is how often an offer is sent that is not answered.
	offerAttempts = 2
	// maxOffers is the number of offers that are sent at the same time.
	maxOffers = 8
	// offerQueueSize bounds the offers that wait. Others are dropped, since the VM polls the store
	// as well.
	offerQueueSize = 16
	// storeSource is the source of what came from the store, for logs and metrics. Other sources
	// are the names of peers.
	storeSource = "store"
)

// fleetFeed follows the operators' keys: from the store, or from peers that do. Package
// ladderfanout decides which. The feed is used by the goroutine of run only, the state also
// by those that answer peers.
type fleetFeed struct {
	vm     *VM
	feed   *ladderfanout.Feed
	state  fleetState
	offers chan laddermessage.FleetOffer
	// answers holds the answers of peers that were asked for changes.
	answers chan fetchResult
	// turn counts the times at which peers were asked for changes. It begins with a random number, so that VMs
	// that are cut off together ask different peers.
	turn int
}

func newFleetFeed(v *VM) *fleetFeed {
	return &fleetFeed{
		vm: v, feed: ladderfanout.NewFeed(v.clock.Now(), rand.Float64),
		offers: make(chan laddermessage.FleetOffer, offerQueueSize), answers: make(chan fetchResult, offerQueueSize), turn: rand.IntN(maxFirstTurn),
	}
}

// maxFirstTurn is larger than the number of VMs of a deployment.
const maxFirstTurn = 1 << 16

// storeResult is the result of a store call for the operators' keys.
type storeResult struct {
	items    []platform.Item
	revision int64
	err      error
}

// run follows the operators' keys until ctx ends.
func (f *fleetFeed) run(ctx context.Context) {
	f.awaitRegistry(ctx)
	for ctx.Err() == nil {
		now, fleet := f.vm.clock.Now(), f.fleet()
		action, until := f.feed.Next(now, fleet.Place())
		switch {
		case action == ladderfanout.Wait:
			f.awaitOffer(ctx, until)
		case action == ladderfanout.Fetch && !f.vm.registry.announced(now):
			f.awaitOffer(ctx, now.Add(registryCheckInterval))
		case action == ladderfanout.Fetch:
			f.fetchAny(ctx, fleet.Sources())
		case action == ladderfanout.Ask:
			f.askPeers(ctx)
		default:
			f.useStore(ctx, action)
		}
	}
}

// awaitRegistry waits until the registry knows the peers, for a limited time.
func (f *fleetFeed) awaitRegistry(ctx context.Context) {
	for limit := f.vm.clock.Now().Add(maxRegistryWait); ctx.Err() == nil && f.vm.clock.Now().Before(limit); {
		if _, loaded := f.vm.registry.currentLeader(); loaded {
			return
		}
		select {
		case <-ctx.Done():
		case <-f.vm.clock.After(registryCheckInterval):
		}
	}
}

const (
	// maxRegistryWait is how long a VM that starts waits for the registry before it reads the
	// operators' keys, and registryCheckInterval the time between two checks.
	maxRegistryWait       = 300 * time.Millisecond
	registryCheckInterval = 5 * time.Millisecond
)

// fleet returns this VM and the registered peers.
func (f *fleetFeed) fleet() ladderfanout.Fleet {
	s := f.vm.settings
	fleet := ladderfanout.Fleet{Own: ladderfanout.Member{
		Name: s.Name, Region: s.Regions[s.Zone], Processor: s.Processor, Leads: f.vm.leadership.current() != nil,
	}}
	leader, _ := f.vm.registry.currentLeader()
	for _, p := range f.vm.registry.registered() {
		fleet.Others = append(fleet.Others, ladderfanout.Member{
			Name: p.name, Region: s.Regions[p.zone], Processor: p.processor, Leads: p.incarnation == leader.incarnation,
		})
	}
	return fleet
}

// place returns this VM's place in the fleet.
func (f *fleetFeed) place() ladderfanout.Placement { return f.fleet().Place() }

// awaitOffer handles offers until the given time.
func (f *fleetFeed) awaitOffer(ctx context.Context, until time.Time) {
	select {
	case <-ctx.Done():
	case o := <-f.offers:
		f.accept(ctx, o)
	case r := <-f.answers:
		f.handleAnswer(ctx, r)
	case <-f.vm.clock.After(until.Sub(f.vm.clock.Now())):
	}
}

// accept fetches what a peer offers, unless another peer will offer it.
func (f *fleetFeed) accept(ctx context.Context, o laddermessage.FleetOffer) {
	if f.wants(o) {
		f.takeNewest(ctx, f.request(ctx, o.From, f.state.fleetRevision(), fetchTimeout), f.fleet().Sources())
	}
}

// wants reports whether to fetch what a peer offers.
func (f *fleetFeed) wants(o laddermessage.FleetOffer) bool {
	if o.Revision <= f.feed.Revision() || !f.feed.Fetches() {
		return false
	}
	if fleet := f.fleet(); !fleet.Accepts(o.From) {
		f.feed.Announced(f.vm.clock.Now(), fleet.Place())
		return false
	}
	return true
}

// useStore reads, watches or polls the store. If a peer's offer or answer brings the state meanwhile, it
// gives up. A peer that offers and does not answer delays nothing.
func (f *fleetFeed) useStore(ctx context.Context, action ladderfanout.Action) {
	calling, cancel := context.WithCancel(ctx)
	defer cancel()
	began := f.vm.clock.Now()
	results := make(chan storeResult, 1)
	after := f.feed.Revision()
	go func() { results <- f.callStore(calling, action, after) }()
	have := f.state.fleetRevision()
	offers, fetched := f.offers, make(chan fetchResult, 1)
	var held *fetchResult // A first configuration, of which there may be a later version.
	asking := f.askTimer()
	for {
		select {
		case r := <-results:
			f.handle(ctx, action, began, r)
			if held != nil {
				f.takeNewest(ctx, *held, f.fleet().Sources())
			}
			return
		case o := <-offers:
			if f.wants(o) {
				offers = nil
				go func() { fetched <- f.request(calling, o.From, have, fetchTimeout) }()
			}
		case r := <-fetched:
			offers = f.offers
			if f.isFirst(r) {
				held = &r
			} else if f.take(ctx, r) {
				return
			}
		case r := <-f.answers:
			if f.handleAnswer(ctx, r) {
				return
			}
		case <-asking:
			f.feed.Asked(f.vm.clock.Now())
			f.askPeers(ctx)
			asking = f.askTimer()
		}
	}
}

// askTimer returns a channel that receives when peers are next asked for changes, or nil while the store answers.
func (f *fleetFeed) askTimer() <-chan time.Time {
	at, ok := f.feed.AskAt()
	if !ok {
		return nil
	}
	return f.vm.clock.After(max(0, at.Sub(f.vm.clock.Now())))
}

// callStore makes the store call of an action.
func (f *fleetFeed) callStore(ctx context.Context, action ladderfanout.Action, after int64) (r storeResult) {
	switch action {
	case ladderfanout.Read:
		r.revision, r.err = platform.ReadAll(ctx, f.vm.store, platform.OperatorPrefix, func(item platform.Item) {
			r.items = append(r.items, item)
		})
	case ladderfanout.Watch:
		r.items, r.revision, r.err = f.vm.store.Watch(ctx, platform.OperatorPrefix, after, watchWait)
	default:
		r.items, r.revision, r.err = f.vm.store.Watch(ctx, platform.OperatorPrefix, after, pollWait)
	}
	return r
}

// handle applies the result of a store call.
func (f *fleetFeed) handle(ctx context.Context, action ladderfanout.Action, began time.Time, r storeResult) {
	now := f.vm.clock.Now()
	switch {
	case errors.Is(r.err, platform.ErrCompacted):
		f.vm.log.Info("store no longer has the history of the operators' keys", "revision", f.feed.Revision())
		f.feed.Lost(now)
	case r.err != nil:
		f.feed.Unanswered()
		if fleet := f.vm.fleet.Load(); fleet != nil && fleet.KeysRequired {
			f.feed.AskPeers(now) // A withdrawn key must stop working here too.
		}
		if ctx.Err() == nil {
			f.vm.log.Warn("operators' keys could not be read; retrying", "action", action.String(), "revision", f.feed.Revision(),
				"after", now.Sub(began).Round(time.Millisecond), "err", r.err)
		}
		f.awaitOffer(ctx, now.Add(retryInterval))
	case action == ladderfanout.Poll && len(r.items) == 0:
		f.feed.Polled(now, f.place())
	default:
		changed := f.apply(storeSource, r.items)
		f.feed.Synced(now, r.revision, f.place())
		f.state.publish(f.feed.Revision())
		if changed {
			f.offer(ctx, "")
		}
	}
}

// apply applies items that the store has shown. It returns true if one of them is new.
func (f *fleetFeed) apply(source string, items []platform.Item) (changed bool) {
	for _, item := range items {
		switch {
		case item.Deleted || !f.state.isNew(item):
		case item.Key == platform.FleetKey:
			changed = true
			began := f.vm.clock.Now()
			fleet, findings, err := platform.ParseFleet(item.Value)
			for _, x := range findings.Findings() {
				f.vm.log.Error("entry of the configuration can't be used; the others hold", "revision", item.ModRevision, "entry", x.String())
			}
			if err != nil {
				f.vm.log.Error("configuration cannot be decoded; the current one remains", "revision", item.ModRevision, "err", err)
				continue
			}
			decoded := f.vm.clock.Now().Sub(began)
			if f.vm.applyFleet(fleet, item.ModRevision, source, len(item.Value), decoded) {
				f.state.setFleet(fleet, item.ModRevision)
			}
		default:
			changed = true
			f.state.setItem(item)
			f.vm.recordWave(item)
		}
	}
	return changed
}

// offer tells other VMs that this VM knows a change, which came from the given source.
func (f *fleetFeed) offer(ctx context.Context, source string) {
	names := f.fleet().Targets(source)
	if len(names) == 0 {
		return
	}
	m := laddermessage.FleetOffer{From: f.vm.settings.Name, Revision: f.feed.Revision()}
	f.vm.log.Info("change of the operators' keys offered to peers", "revision", m.Revision, "peers", len(names))
	waiting := make(chan string, len(names))
	for _, name := range names {
		waiting <- name
	}
	close(waiting)
	for range min(maxOffers, len(names)) {
		go func() {
			for name := range waiting {
				f.offerTo(ctx, name, m)
			}
		}()
	}
}

// offerTo sends an offer to a peer, twice if the first is not answered.
func (f *fleetFeed) offerTo(ctx context.Context, name string, m laddermessage.FleetOffer) {
	for range offerAttempts {
		p, ok := f.vm.registry.find(name)
		if !ok {
			return
		}
		calling, cancel := context.WithTimeout(ctx, offerTimeout)
		_, err := f.vm.registry.call(calling, p, m)
		cancel()
		if err == nil {
			return
		}
		f.vm.log.Debug("offer was not answered", "peer", name, "revision", m.Revision, "err", err)
	}
}

// receive queues an offer of a peer.
func (f *fleetFeed) receive(o laddermessage.FleetOffer) {
	select {
	case f.offers <- o:
	default:
		f.vm.log.Debug("offer dropped, since others wait", "peer", o.From, "revision", o.Revision)
	}
}

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
