package laddervm

import (
	"context"
	"errors"
	"slices"
	"time"

	"lacewingladder/ladderdelegate"
	"lacewingladder/ladderflow"
	"lacewingladder/laddermessage"
	"lacewingladder/ladderpeer"
	"lacewingladder/ladderplan"
)

const (
	// maxDelegation is the longest time for which a delegate may renew its workers' leases
	// after one message of the leader. It must not exceed the time for which a VM may still act
	// as the leader, because the next leader relies on that limit. The permission is extended
	// when less than minDelegation of it remains. Two polls take less time than minDelegation.
	maxDelegation = leaderLease
	minDelegation = 900 * time.Millisecond
	// orderValidity is how long after the leader has sent an order to a delegate the delegate
	// may still send it to the worker.
	orderValidity = 500 * time.Millisecond
	// delegatePollWait is how long a delegate may wait for events before it answers a poll, and
	// delegatePollSlack the additional time after which it counts as failed. The slack is longer
	// than the retransmission of a lost packet takes. It and sendOrdersTimeout are counted by the
	// progress clock.
	delegatePollWait  = 400 * time.Millisecond
	delegatePollSlack = 500 * time.Millisecond
	// sendOrdersTimeout bounds a message that hands orders to a delegate.
	sendOrdersTimeout = 500 * time.Millisecond
	// delegateExclusion is how long a VM that failed as a delegate is not chosen again. If it
	// has crashed, its entry in the store expires within that time.
	delegateExclusion = 4 * time.Second
)

// delegatedOrder identifies an order that a delegate carries out.
type delegatedOrder struct {
	worker string
	run    ladderflow.Run
	stop   bool
}

// delegateClient is the leader's side of one delegate, an entry VM that polls workers and
// sends orders for the leader. It belongs to the control goroutine, except for poll and for
// the goroutine that flush starts.
type delegateClient struct {
	term   *term
	peer   peer
	ctx    context.Context
	cancel context.CancelFunc
	// clockBound converts between the delegate's clock and the leader's. The error of the
	// conversion makes the delegate's permission to renew leases end too early, never too late.
	clockBound ladderdelegate.ClockBound
	// session and lastReport identify the last report that was received. delegatedUntil is the
	// time, on the leader's own clock, until which the delegate may renew its workers' leases.
	session        string
	lastReport     int64
	delegatedUntil time.Duration
	// workers holds the workers that the delegate polls, and outbox what the next message to
	// it will contain. Sending is true while a message is in flight.
	workers map[string]laddermessage.Assignment
	outbox  laddermessage.Delegation
	sending bool
	// pending holds the orders whose result has not arrived.
	pending map[delegatedOrder]pendingOrder
}

// pendingOrder holds when an order was made, and the time on the delegate's clock by which the delegate
// must have reported its result. That time is zero until the delegate has accepted the order.
type pendingOrder struct {
	began time.Time
	due   time.Duration
}

// newDelegateClient starts polling a delegate.
func newDelegateClient(t *term, p peer) *delegateClient {
	c := &delegateClient{
		term: t, peer: p,
		workers: map[string]laddermessage.Assignment{}, pending: map[delegatedOrder]pendingOrder{},
	}
	c.ctx, c.cancel = context.WithCancel(t.ctx)
	t.calls.add(t.ctx, c)
	t.log.Info("delegate starts to poll workers", "delegate", p.name, "zone", p.zone)
	go c.poll()
	return c
}

// delegateOf returns the delegate that polls a worker, or nil.
func (t *term) delegateOf(worker string) *delegateClient {
	if p, ok := t.pollers[worker]; ok {
		return p.delegate
	}
	return nil
}

// flush sends the pending messages to all delegates.
func (t *term) flush() {
	for _, c := range t.delegates {
		c.flush()
	}
}

// assignDelegates decides which VM polls each worker, and applies the changes.
func (t *term) assignDelegates() {
	var workers []ladderdelegate.PolledWorker
	current := map[string]string{}
	for id, p := range t.pollers {
		if p.delegate != nil {
			current[id] = p.delegate.peer.name
		}
		rack := ""
		if n := len(p.worker.Labels); n > 0 {
			rack = p.worker.Labels[n-1]
		}
		workers = append(workers, ladderdelegate.PolledWorker{ID: id, Zone: p.worker.Zone, Rack: rack})
	}
	now := t.vm.clock.Now()
	candidates := map[string]peer{}
	var vms []ladderdelegate.VM
	for _, vm := range t.delegateCandidates() {
		if now.Before(t.excludedUntil[vm.name]) {
			continue
		}
		candidates[vm.name] = vm
		vms = append(vms, ladderdelegate.VM{Name: vm.name, Zone: vm.zone, Processor: vm.processor})
	}
	delegateOf := ladderdelegate.Assign(workers, vms, current)
	used := map[string]bool{}
	for id, p := range t.pollers {
		var c *delegateClient
		if vm, ok := candidates[delegateOf[id]]; ok {
			if c = t.delegates[vm.incarnation]; c == nil {
				c = newDelegateClient(t, vm)
				t.delegates[vm.incarnation] = c
			}
			used[vm.incarnation] = true
		}
		if c != p.delegate || p.ctx == nil && c == nil {
			t.startPolling(p, c)
		}
	}
	for incarnation, c := range t.delegates {
		// A delegate that still carries out orders is kept until it has reported their results.
		if !used[incarnation] && len(c.pending) == 0 {
			c.close()
		}
	}
	t.flush()
}

// delegateCandidates returns the registered VMs, and the delegates whose entries have expired. In an outage of
// the store all entries do. A delegate that is gone does not answer. VMs that are leaving are left out.
func (t *term) delegateCandidates() []peer {
	candidates := t.vm.registry.registered()
	for _, c := range t.delegates {
		p, ok := t.vm.registry.find(c.peer.name)
		if ok && p.incarnation == c.peer.incarnation && !p.removedAt.IsZero() {
			candidates = append(candidates, p)
		}
	}
	return slices.DeleteFunc(candidates, func(p peer) bool { return p.leaving })
}

func (c *delegateClient) assign(p *poller) {
	a := laddermessage.Assignment{Worker: p.worker.ID, Address: p.worker.Address}
	a.Incarnation, a.Acknowledged = c.term.planner.Acknowledged(a.Worker)
	c.workers[a.Worker] = a
	c.outbox.Assigned = append(c.outbox.Assigned, a)
	c.reportDelegation(a.Worker)
}

// unassign makes the delegate stop polling a worker.
func (c *delegateClient) unassign(id string) {
	if _, ok := c.workers[id]; ok {
		delete(c.workers, id)
		c.outbox.Unassigned = append(c.outbox.Unassigned, id)
	}
}

// acknowledgeEnds informs the delegate up to which number a worker's ends are stored, if that
// has changed.
func (c *delegateClient) acknowledgeEnds(id string) {
	a := c.workers[id]
	incarnation, acknowledged := c.term.planner.Acknowledged(id)
	if a.Incarnation != incarnation || a.Acknowledged != acknowledged {
		a.Incarnation, a.Acknowledged = incarnation, acknowledged
		c.workers[id] = a
		c.outbox.Assigned = append(c.outbox.Assigned, a)
	}
}

// start, stop and limitSpeed hand an order to the delegate.
func (c *delegateClient) start(s ladderplan.StartOrder) {
	c.expectResult(delegatedOrder{worker: s.Worker.ID, run: s.Run})
	c.outbox.Starts = append(c.outbox.Starts, laddermessage.DelegatedStart{
		Worker: s.Worker.ID, Address: s.Worker.Address, Start: ladderflow.Start{
			Run: s.Run, Payload: s.Payload, Checkpoint: s.Checkpoint, Ticket: s.Ticket,
			Incarnation: s.Incarnation, LeaseUntil: s.LeaseUntil, Fence: c.term.fence,
		},
	})
}

func (c *delegateClient) stop(s ladderplan.StopOrder) {
	c.expectResult(delegatedOrder{worker: s.Worker.ID, run: s.Run, stop: true})
	c.outbox.Stops = append(c.outbox.Stops, laddermessage.DelegatedStop{Worker: s.Worker.ID, Address: s.Worker.Address, Run: s.Run})
}

func (c *delegateClient) limitSpeed(s ladderplan.SpeedLimitOrder) {
	c.outbox.SpeedLimits = append(c.outbox.SpeedLimits, laddermessage.DelegatedSpeedLimit{
		Worker: s.Worker.ID, Address: s.Worker.Address, Run: s.Run, Percent: s.Percent,
	})
}

// orderTimeout returns how long one order to a worker may take.
func (c *delegateClient) orderTimeout() time.Duration {
	return c.term.orderLatency.timeout(minOrderTimeout, maxOrderTimeout)
}

// expectResult records that an order waits for its result.
func (c *delegateClient) expectResult(o delegatedOrder) {
	c.pending[o] = pendingOrder{began: c.term.vm.clock.Now()}
}

// setDue sets the time by which the delegate must report the result of an order that it has accepted. The
// delegate begins no call to the worker after m.SendBefore.
func (c *delegateClient) setDue(m laddermessage.Delegation, o delegatedOrder) {
	if p, ok := c.pending[o]; ok {
		accepted := c.clockBound.ToDelegate(c.term.vm.boot.SinceBoot())
		p.due = max(m.SendBefore, accepted) + m.OrderTimeout + delegatePollSlack
		c.pending[o] = p
	}
}

// reportDelegation informs the planner for how long the delegate may renew a worker's lease.
func (c *delegateClient) reportDelegation(id string) {
	if remaining := c.delegatedUntil - c.term.vm.boot.SinceBoot(); remaining > 0 {
		c.term.planner.DelegateLease(c.term.vm.clock.Now(), id, remaining)
	}
}

// delegationEnd returns the time, on the delegate's clock, until which the delegate may renew
// its workers' leases. It extends the permission when less than minDelegation of it remains.
func (c *delegateClient) delegationEnd() time.Duration {
	if !c.clockBound.Known() {
		return 0
	}
	now := c.term.vm.boot.SinceBoot()
	until := now + min(maxDelegation, c.term.authorityRemaining())
	if c.delegatedUntil-now < minDelegation && until > c.delegatedUntil {
		c.delegatedUntil = until
		for id := range c.workers {
			c.reportDelegation(id)
		}
	}
	return c.clockBound.ToDelegate(c.delegatedUntil)
}

// flush sends the pending orders and assignments, unless a message is in flight.
func (c *delegateClient) flush() {
	o := &c.outbox
	empty := len(o.Assigned)+len(o.Unassigned)+len(o.Starts)+len(o.Stops)+len(o.SpeedLimits) == 0
	if empty || c.sending || !c.clockBound.Known() || c.ctx.Err() != nil {
		return
	}
	m := c.outbox
	c.outbox, c.sending = laddermessage.Delegation{}, true
	m.Fence, m.LeaseDuration, m.OrderTimeout, m.RenewUntil = c.term.fence, c.term.workerLease, c.orderTimeout(), c.delegationEnd()
	m.SendBefore = c.clockBound.ToDelegate(c.term.vm.boot.SinceBoot() + min(orderValidity, c.term.authorityRemaining()))
	go func() {
		reply, took, err := c.call(m, sendOrdersTimeout)
		_, accepted := reply.(laddermessage.Ack)
		c.term.do(func() { c.handleSent(m, accepted, took, err) })
	}()
}

// handleSent handles the result of sending a message. If the delegate did not accept it, the
// orders in it complete as unsent or with an unknown outcome, and the delegate has failed.
func (c *delegateClient) handleSent(m laddermessage.Delegation, accepted bool, took callTime, err error) {
	c.sending = false
	if !accepted {
		r := ladderplan.Result{Unknown: err != nil && !errors.Is(err, ladderpeer.ErrUnsent)}
		r.Unsent = !r.Unknown
		for _, s := range m.Starts {
			c.complete(delegatedOrder{worker: s.Worker, run: s.Start.Run}, r)
		}
		for _, s := range m.Stops {
			c.complete(delegatedOrder{worker: s.Worker, run: s.Run, stop: true}, r)
		}
		c.fail("it did not accept orders", took, err)
		return
	}
	for _, s := range m.Starts {
		c.setDue(m, delegatedOrder{worker: s.Worker, run: s.Start.Run})
	}
	for _, s := range m.Stops {
		c.setDue(m, delegatedOrder{worker: s.Worker, run: s.Run, stop: true})
	}
	c.flush()
}

// complete passes the result of an order to the planner. Only the first result of an order
// counts.
func (c *delegateClient) complete(o delegatedOrder, r ladderplan.Result) {
	pending, ok := c.pending[o]
	if !ok {
		return
	}
	delete(c.pending, o)
	if o.stop {
		c.term.stopSettled(o.worker, o.run, r, c.peer.name)
		return
	}
	c.term.vm.stats.delegatedStart.UpdateDuration(pending.began)
	c.term.startSettled(o.worker, o.run, r, c.term.vm.clock.Now().Sub(pending.began), c.peer.name)
}

// poll polls the delegate for reports, one poll after the other, until the client is closed. The control
// goroutine handles a report and prepares the next poll at once, since it may be late each time.
func (c *delegateClient) poll() {
	m := laddermessage.DelegatePoll{Fence: c.term.fence}
	prepare := func() {
		if c.ctx.Err() == nil {
			m.After, m.RenewUntil = c.lastReport, c.delegationEnd()
		}
	}
	ok := c.term.call(c.ctx, prepare)
	for ok && c.ctx.Err() == nil {
		sent := c.term.vm.boot.SinceBoot()
		reply, took, err := c.call(m, m.Wait+delegatePollSlack)
		report, answered := reply.(laddermessage.DelegateReport)
		if !answered {
			c.term.do(func() { c.fail("it did not answer a poll", took, err) })
			return
		}
		bound := ladderdelegate.NewClockBound(sent, c.term.vm.boot.SinceBoot(), report.ReceivedAt, report.RepliedAt)
		m.Wait = delegatePollWait
		ok = c.term.call(c.ctx, func() {
			c.handleReport(report, bound)
			prepare()
		})
	}
}

// handleReport handles a report of the delegate and the clock bound that follows from its poll.
func (c *delegateClient) handleReport(r laddermessage.DelegateReport, bound ladderdelegate.ClockBound) {
	if c.ctx.Err() != nil {
		return
	}
	if c.session != "" && c.session != r.Session {
		c.fail("it began a new session", callTime{}, nil)
		return
	}
	c.session, c.lastReport, c.clockBound = r.Session, r.Number, c.clockBound.Combine(bound)
	for _, report := range r.Polls {
		c.handleStatus(report)
	}
	for _, result := range r.Results {
		if !result.Unsent {
			c.term.orderLatency.observe(result.Duration)
		}
		c.complete(delegatedOrder{worker: result.Worker, run: result.Run, stop: result.Stop},
			ladderplan.Result{Refusal: result.Refusal, Unsent: result.Unsent, Unknown: result.Unknown})
	}
	c.expireOrders(r.RepliedAt)
	c.term.save()
	c.flush()
}

// expireOrders completes the orders of which the delegate has not reported the result in time, as it has
// sent its latest report at repliedAt on its clock. Their outcome is unknown.
func (c *delegateClient) expireOrders(repliedAt time.Duration) {
	for o, p := range c.pending {
		if p.due > 0 && repliedAt > p.due {
			c.complete(o, ladderplan.Result{Unknown: true})
		}
	}
}

// handleStatus handles a delegate's report of a poll of one worker.
func (c *delegateClient) handleStatus(report laddermessage.PollResult) {
	t := c.term
	p, ok := t.pollers[report.Worker]
	if !ok || p.delegate != c {
		return
	}
	now := t.vm.clock.Now()
	t.vm.stats.polls.Inc()
	switch report.Outcome {
	case laddermessage.PollAnswered:
		// Durations in the status count from a time at which the delegate had certainly not
		// sent the poll yet.
		ago := t.vm.boot.SinceBoot() - c.clockBound.ToLeader(report.SentAt)
		t.applyStatus(p, now, now.Add(-max(ago, 0)), report.Status)
		c.reportDelegation(report.Worker)
	case laddermessage.PollOtherWorker:
		t.planner.WorkerReplaced(now, report.Worker)
	case laddermessage.PollFenced:
		t.planner.PollFailed(report.Worker, true)
	case laddermessage.PollFailed, laddermessage.PollUnanswered:
		t.planner.DelegateLease(now, report.Worker, maxDelegation)
		t.planner.PollFailed(report.Worker, false)
		t.log.Debug("worker did not answer a delegate's status poll", "worker", report.Worker, "by", c.peer.name,
			"reached", report.Outcome == laddermessage.PollUnanswered)
	}
}

// fail excludes a delegate for delegateExclusion and assigns its workers to others. Took is how long the
// call took by which the failure showed.
func (c *delegateClient) fail(why string, took callTime, err error) {
	if c.ctx.Err() != nil {
		return
	}
	c.term.log.Warn("delegate failed; its workers are assigned to others",
		"delegate", c.peer.name, "why", why, "workers", len(c.workers), "waited", took.total.Round(time.Millisecond),
		"ownDelay", took.delay.Round(time.Millisecond), "inbox", len(c.term.inbox), "err", err)
	c.term.excludedUntil[c.peer.name] = c.term.vm.clock.Now().Add(delegateExclusion)
	c.close()
	c.term.assignDelegates()
}

// close ends the work with a delegate. Orders that were not sent to it complete as unsent;
// those that were sent and have no result yet complete with an unknown outcome.
func (c *delegateClient) close() {
	if c.ctx.Err() != nil {
		return
	}
	c.cancel()
	c.term.calls.remove(c)
	delete(c.term.delegates, c.peer.incarnation)
	for _, s := range c.outbox.Starts {
		c.complete(delegatedOrder{worker: s.Worker, run: s.Start.Run}, ladderplan.Result{Unsent: true})
	}
	for _, s := range c.outbox.Stops {
		c.complete(delegatedOrder{worker: s.Worker, run: s.Run, stop: true}, ladderplan.Result{Unsent: true})
	}
	for o := range c.pending {
		c.complete(o, ladderplan.Result{Unknown: true})
	}
	for id := range c.workers {
		if p, ok := c.term.pollers[id]; ok && p.delegate == c {
			p.delegate = nil
		}
	}
}
