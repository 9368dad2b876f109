package laddervm

import (
	"context"
	"errors"
	"time"

	"lacewingladder/ladderdelegate"
	"lacewingladder/ladderflow"
	"lacewingladder/laddermessage"
	"lacewingladder/ladderpeer"
	"lacewingladder/ladderplan"
)

const (
	// entrustTime is for how long a delegate may prolong its workers' leases after each
	// word of the leader, at most: never longer than the leader may believe that it leads,
	// since that is what the next leader counts with. The word is renewed while less than
	// entrustLeast of it is left, which is more than two questions take.
	maxDelegation = leaderLease
	minDelegation = 900 * time.Millisecond
	// errandLife is how long after it was decided an order may be sent.
	orderValidity = 300 * time.Millisecond
	// inquireWait is how long a delegate may wait before it answers, and inquireSlack how
	// long after that it counts as failed: more than a lost packet costs.
	delegatePollWait  = 400 * time.Millisecond
	delegatePollSlack = 500 * time.Millisecond
	// errandTime bounds the taking of errands.
	sendOrdersTimeout = 500 * time.Millisecond
	// spurnTime is how long a VM that failed as a delegate is none: its entry in the store
	// lapses in that time if it is dead.
	delegateExclusion = 4 * time.Second
)

// errand names an order that a delegate carries out.
type delegatedOrder struct {
	worker string
	run    ladderflow.Run
	stop   bool
}

// link is the leader's side of a delegate. It belongs to the control goroutine, but for
// what inquire and send do.
type delegateClient struct {
	term       *term
	peer       peer
	ctx        context.Context
	cancel     context.CancelFunc
	clockBound ladderdelegate.Bound
	// session and seen name the last report, and until is how long, on the leader's own
	// clock, the delegate may hold its workers.
	session    string
	lastReport int64
	until      time.Duration
	workers    map[string]laddermessage.Charge
	outbox     laddermessage.Errands
	sending    bool
	// due holds until when the answer to each order must have come.
	deadlines map[delegatedOrder]time.Time
}

// newLink begins to work with a delegate.
func newDelegateClient(t *term, p peer) *delegateClient {
	l := &delegateClient{term: t, peer: p, workers: map[string]laddermessage.Charge{}, deadlines: map[delegatedOrder]time.Time{}}
	l.ctx, l.cancel = context.WithCancel(t.ctx)
	t.log.Info("delegate holds workers", "delegate", p.name, "zone", p.zone)
	go l.poll()
	return l
}

func (t *term) delegateOf(worker string) *delegateClient {
	if d, ok := t.pollers[worker]; ok {
		return d.delegate
	}
	return nil
}

// flush sends all errands that wait.
func (t *term) flush() {
	for _, l := range t.delegates {
		l.flush()
	}
}

// assign lets the delegates that should hold the workers do so.
func (t *term) assignDelegates() {
	var held []ladderdelegate.Held
	for id, d := range t.pollers {
		rack := ""
		if n := len(d.worker.Labels); n > 0 {
			rack = d.worker.Labels[n-1]
		}
		held = append(held, ladderdelegate.Held{ID: id, Zone: d.worker.Zone, Rack: rack})
	}
	now := t.vm.clock.Now()
	able := map[string]peer{}
	var vms []ladderdelegate.VM
	for _, p := range t.vm.registry.registered() {
		if now.Before(t.excludedUntil[p.name]) {
			continue
		}
		able[p.name] = p
		vms = append(vms, ladderdelegate.VM{Name: p.name, Zone: p.zone, Strength: p.processor})
	}
	by := ladderdelegate.Assign(held, vms, len(t.delegates) > 0)
	used := map[string]bool{}
	for id, d := range t.pollers {
		var l *delegateClient
		if p, ok := able[by[id]]; ok {
			if l = t.delegates[p.incarnation]; l == nil {
				l = newDelegateClient(t, p)
				t.delegates[p.incarnation] = l
			}
			used[p.incarnation] = true
		}
		if l != d.delegate || d.ctx == nil && l == nil {
			t.startPolling(d, l)
		}
	}
	for incarnation, l := range t.delegates {
		if !used[incarnation] {
			l.close()
		}
	}
	t.flush()
}

// charge lets the delegate hold a worker.
func (l *delegateClient) assign(d *poller) {
	c := laddermessage.Charge{Worker: d.worker.ID, Address: d.worker.Address}
	c.Born, c.Noted = l.term.planner.Noted(c.Worker)
	l.workers[c.Worker] = c
	l.outbox.Charges = append(l.outbox.Charges, c)
	l.extendWorkerLease(c.Worker)
}

// dismiss lets the delegate leave a worker.
func (l *delegateClient) unassign(id string) {
	if _, ok := l.workers[id]; ok {
		delete(l.workers, id)
		l.outbox.Dismissed = append(l.outbox.Dismissed, id)
	}
}

// note tells the delegate which ends of a worker the store holds.
func (l *delegateClient) acknowledgeEnds(id string) {
	c := l.workers[id]
	born, noted := l.term.planner.Noted(id)
	if c.Born != born || c.Noted != noted {
		c.Born, c.Noted = born, noted
		l.workers[id] = c
		l.outbox.Charges = append(l.outbox.Charges, c)
	}
}

// start, stop and pace hand the delegate orders.
func (l *delegateClient) start(s ladderplan.StartOrder) {
	l.expectResult(delegatedOrder{worker: s.Worker.ID, run: s.Run})
	l.outbox.Starts = append(l.outbox.Starts, laddermessage.StartErrand{
		Worker: s.Worker.ID, Address: s.Worker.Address, Start: ladderflow.Start{
			Run: s.Run, Payload: s.Payload, Saved: s.Saved, Ticket: s.Ticket, Until: s.Until, Fence: l.term.fence,
		},
	})
}

func (l *delegateClient) stop(s ladderplan.StopOrder) {
	l.expectResult(delegatedOrder{worker: s.Worker.ID, run: s.Run, stop: true})
	l.outbox.Stops = append(l.outbox.Stops, laddermessage.StopErrand{Worker: s.Worker.ID, Address: s.Worker.Address, Run: s.Run})
}

func (l *delegateClient) pace(s ladderplan.PaceOrder) {
	l.outbox.Paces = append(l.outbox.Paces, laddermessage.PaceErrand{
		Worker: s.Worker.ID, Address: s.Worker.Address, Run: s.Run, Percent: s.Percent,
	})
}

// within is how long one order to a worker may take.
func (l *delegateClient) orderTimeout() time.Duration {
	return l.term.orderLatency.timeout(minOrderTimeout, maxOrderTimeout)
}

// expect takes note that an order must be answered.
func (l *delegateClient) expectResult(e delegatedOrder) {
	l.deadlines[e] = l.term.vm.clock.Now().Add(sendOrdersTimeout + orderValidity + l.orderTimeout() + delegatePollSlack)
}

// entrust takes in for how long the delegate may prolong a worker's lease.
func (l *delegateClient) extendWorkerLease(id string) {
	if left := l.until - l.term.vm.boot.SinceBoot(); left > 0 {
		l.term.planner.Entrust(l.term.vm.clock.Now(), id, left)
	}
}

// valid returns until when, on the delegate's clock, it may hold its workers. It is renewed
// before it runs out.
func (l *delegateClient) delegationEnd() time.Duration {
	if !l.clockBound.Known() {
		return 0
	}
	now := l.term.vm.boot.SinceBoot()
	until := now + min(maxDelegation, l.term.authorityRemaining())
	if l.until-now < minDelegation && until > l.until {
		l.until = until
		for id := range l.workers {
			l.extendWorkerLease(id)
		}
	}
	return l.clockBound.There(l.until)
}

// flush sends the errands that wait, unless some are on their way.
func (l *delegateClient) flush() {
	o := &l.outbox
	empty := len(o.Charges)+len(o.Dismissed)+len(o.Starts)+len(o.Stops)+len(o.Paces) == 0
	if empty || l.sending || !l.clockBound.Known() || l.ctx.Err() != nil {
		return
	}
	m := l.outbox
	l.outbox, l.sending = laddermessage.Errands{}, true
	m.Fence, m.Hold, m.Within, m.Valid = l.term.fence, l.term.workerLease, l.orderTimeout(), l.delegationEnd()
	m.Void = l.clockBound.There(l.term.vm.boot.SinceBoot() + min(orderValidity, l.term.authorityRemaining()))
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, sendOrdersTimeout)
		defer cancel()
		reply, err := l.term.vm.registry.call(ctx, l.peer, m)
		_, taken := reply.(laddermessage.Done)
		l.term.do(func() { l.handleSent(m, taken, err) })
	}()
}

// sent takes in whether the delegate has taken errands.
func (l *delegateClient) handleSent(m laddermessage.Errands, taken bool, err error) {
	l.sending = false
	if !taken {
		r := ladderplan.Result{Unknown: err != nil && !errors.Is(err, ladderpeer.ErrUnsent)}
		r.Unsent = !r.Unknown
		for _, s := range m.Starts {
			l.complete(delegatedOrder{worker: s.Worker, run: s.Start.Run}, r)
		}
		for _, s := range m.Stops {
			l.complete(delegatedOrder{worker: s.Worker, run: s.Run, stop: true}, r)
		}
		l.fail("errands were not taken", err)
		return
	}
	l.flush()
}

// settle takes in the answer to an order, once.
func (l *delegateClient) complete(e delegatedOrder, r ladderplan.Result) {
	if _, ok := l.deadlines[e]; !ok {
		return
	}
	delete(l.deadlines, e)
	if e.stop {
		l.term.stopped(e.worker, e.run, r, l.peer.name)
		return
	}
	l.term.started(e.worker, e.run, r, l.peer.name)
}

// inquire asks the delegate again and again what has happened.
func (l *delegateClient) poll() {
	m := laddermessage.Inquire{Fence: l.term.fence}
	for l.ctx.Err() == nil {
		if !l.term.call(l.ctx, func() { m.After, m.Valid = l.lastReport, l.delegationEnd() }) {
			return
		}
		asked := l.term.vm.boot.SinceBoot()
		ctx, cancel := context.WithTimeout(l.ctx, m.Wait+delegatePollSlack)
		reply, err := l.term.vm.registry.call(ctx, l.peer, m)
		cancel()
		report, ok := reply.(laddermessage.Report)
		if !ok {
			l.term.do(func() { l.fail("it does not report", err) })
			return
		}
		bound := ladderdelegate.NewBound(asked, l.term.vm.boot.SinceBoot(), report.Heard, report.Clock)
		l.term.call(l.ctx, func() { l.handleReport(report, bound) })
		m.Wait = delegatePollWait
	}
}

// took takes in a report.
func (l *delegateClient) handleReport(r laddermessage.Report, bound ladderdelegate.Bound) {
	if l.ctx.Err() != nil {
		return
	}
	if l.session != "" && l.session != r.Session {
		l.fail("it began anew", nil)
		return
	}
	l.session, l.lastReport, l.clockBound = r.Session, r.Number, bound
	for _, x := range r.Looks {
		l.handleStatus(x)
	}
	for _, x := range r.Results {
		if !x.Unsent {
			l.term.orderLatency.observe(x.Took)
		}
		l.complete(delegatedOrder{worker: x.Worker, run: x.Run, stop: x.Stop},
			ladderplan.Result{Refusal: x.Refusal, Unsent: x.Unsent, Unknown: x.Unknown})
	}
	l.expireOrders()
	l.term.save()
	l.flush()
}

// expire gives up the orders of which the answer has not come in time.
func (l *delegateClient) expireOrders() {
	now := l.term.vm.clock.Now()
	for e, due := range l.deadlines {
		if now.After(due) {
			l.complete(e, ladderplan.Result{Unknown: true})
		}
	}
}

// looked takes in a look at one worker.
func (l *delegateClient) handleStatus(x laddermessage.LookReport) {
	t := l.term
	d, ok := t.pollers[x.Worker]
	if !ok || d.delegate != l {
		return
	}
	now := t.vm.clock.Now()
	t.vm.stats.polls.Inc()
	switch x.Outcome {
	case laddermessage.LookAnswered:
		// What the delegate asked for counts from when it certainly had not asked yet.
		ago := t.vm.boot.SinceBoot() - l.clockBound.Here(x.Sent)
		t.applyStatus(d, now, now.Add(-max(ago, 0)), x.Look)
		l.extendWorkerLease(x.Worker)
	case laddermessage.LookOtherLife:
		t.planner.Gone(now, x.Worker)
	case laddermessage.LookFenced:
		t.planner.LookFailed(x.Worker, true)
	case laddermessage.LookFailed:
		t.planner.Entrust(now, x.Worker, maxDelegation)
		t.planner.LookFailed(x.Worker, false)
		t.log.Debug("worker did not answer", "worker", x.Worker, "by", l.peer.name)
	}
}

// fail gives a delegate up for a while. Its workers are held by others.
func (l *delegateClient) fail(why string, err error) {
	if l.ctx.Err() != nil {
		return
	}
	l.term.log.Warn("delegate is given up", "delegate", l.peer.name, "why", why, "workers", len(l.workers), "err", err)
	l.term.excludedUntil[l.peer.name] = l.term.vm.clock.Now().Add(delegateExclusion)
	l.close()
	l.term.assignDelegates()
}

// close ends the work with a delegate. What became of the orders that it has is not known.
func (l *delegateClient) close() {
	if l.ctx.Err() != nil {
		return
	}
	l.cancel()
	delete(l.term.delegates, l.peer.incarnation)
	for _, s := range l.outbox.Starts {
		l.complete(delegatedOrder{worker: s.Worker, run: s.Start.Run}, ladderplan.Result{Unsent: true})
	}
	for _, s := range l.outbox.Stops {
		l.complete(delegatedOrder{worker: s.Worker, run: s.Run, stop: true}, ladderplan.Result{Unsent: true})
	}
	for e := range l.deadlines {
		l.complete(e, ladderplan.Result{Unknown: true})
	}
	for id := range l.workers {
		if d, ok := l.term.pollers[id]; ok && d.delegate == l {
			d.delegate = nil
		}
	}
}
