package laddervm

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"lacewingladder/ladderfanout"
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
