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
	entrustTime  = leaderLease
	entrustLeast = 900 * time.Millisecond
	// errandLife is how long after it was decided an order may be sent.
	errandLife = 300 * time.Millisecond
	// inquireWait is how long a delegate may wait before it answers, and inquireSlack how
	// long after that it counts as failed: more than a lost packet costs.
	inquireWait  = 400 * time.Millisecond
	inquireSlack = 500 * time.Millisecond
	// errandTime bounds the taking of errands.
	errandTime = 500 * time.Millisecond
	// spurnTime is how long a VM that failed as a delegate is none: its entry in the store
	// lapses in that time if it is dead.
	spurnTime = 4 * time.Second
)

// errand names an order that a delegate carries out.
type errand struct {
	worker string
	run    ladderflow.Run
	stop   bool
}

// link is the leader's side of a delegate. It belongs to the control goroutine, but for
// what inquire and send do.
type link struct {
	term   *term
	peer   peer
	ctx    context.Context
	cancel context.CancelFunc
	bound  ladderdelegate.Bound
	// session and seen name the last report, and until is how long, on the leader's own
	// clock, the delegate may hold its workers.
	session string
	seen    int64
	until   time.Duration
	held    map[string]laddermessage.Charge
	out     laddermessage.Errands
	sending bool
	// due holds until when the answer to each order must have come.
	due map[errand]time.Time
}

// newLink begins to work with a delegate.
func newLink(t *term, p peer) *link {
	l := &link{term: t, peer: p, held: map[string]laddermessage.Charge{}, due: map[errand]time.Time{}}
	l.ctx, l.cancel = context.WithCancel(t.ctx)
	t.log.Info("delegate holds workers", "delegate", p.name, "zone", p.zone)
	go l.inquire()
	return l
}

func (t *term) linkOf(worker string) *link {
	if d, ok := t.pollers[worker]; ok {
		return d.link
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
		var l *link
		if p, ok := able[by[id]]; ok {
			if l = t.delegates[p.incarnation]; l == nil {
				l = newLink(t, p)
				t.delegates[p.incarnation] = l
			}
			used[p.incarnation] = true
		}
		if l != d.link || d.ctx == nil && l == nil {
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
func (l *link) charge(d *poller) {
	c := laddermessage.Charge{Worker: d.worker.ID, Address: d.worker.Address}
	c.Born, c.Noted = l.term.planner.Noted(c.Worker)
	l.held[c.Worker] = c
	l.out.Charges = append(l.out.Charges, c)
	l.entrust(c.Worker)
}

// dismiss lets the delegate leave a worker.
func (l *link) dismiss(id string) {
	if _, ok := l.held[id]; ok {
		delete(l.held, id)
		l.out.Dismissed = append(l.out.Dismissed, id)
	}
}

// note tells the delegate which ends of a worker the store holds.
func (l *link) note(id string) {
	c := l.held[id]
	born, noted := l.term.planner.Noted(id)
	if c.Born != born || c.Noted != noted {
		c.Born, c.Noted = born, noted
		l.held[id] = c
		l.out.Charges = append(l.out.Charges, c)
	}
}

// start, stop and pace hand the delegate orders.
func (l *link) start(s ladderplan.StartOrder) {
	l.expect(errand{worker: s.Worker.ID, run: s.Run})
	l.out.Starts = append(l.out.Starts, laddermessage.StartErrand{
		Worker: s.Worker.ID, Address: s.Worker.Address, Start: ladderflow.Start{
			Run: s.Run, Payload: s.Payload, Saved: s.Saved, Ticket: s.Ticket, Until: s.Until, Fence: l.term.fence,
		},
	})
}

func (l *link) stop(s ladderplan.StopOrder) {
	l.expect(errand{worker: s.Worker.ID, run: s.Run, stop: true})
	l.out.Stops = append(l.out.Stops, laddermessage.StopErrand{Worker: s.Worker.ID, Address: s.Worker.Address, Run: s.Run})
}

func (l *link) pace(s ladderplan.PaceOrder) {
	l.out.Paces = append(l.out.Paces, laddermessage.PaceErrand{
		Worker: s.Worker.ID, Address: s.Worker.Address, Run: s.Run, Percent: s.Percent,
	})
}

// within is how long one order to a worker may take.
func (l *link) orderTimeout() time.Duration {
	return l.term.orderLatency.timeout(minOrderTimeout, maxOrderTimeout)
}

// expect takes note that an order must be answered.
func (l *link) expect(e errand) {
	l.due[e] = l.term.vm.clock.Now().Add(errandTime + errandLife + l.orderTimeout() + inquireSlack)
}

// entrust takes in for how long the delegate may prolong a worker's lease.
func (l *link) entrust(id string) {
	if left := l.until - l.term.vm.boot.SinceBoot(); left > 0 {
		l.term.planner.Entrust(l.term.vm.clock.Now(), id, left)
	}
}

// valid returns until when, on the delegate's clock, it may hold its workers. It is renewed
// before it runs out.
func (l *link) valid() time.Duration {
	if !l.bound.Known() {
		return 0
	}
	now := l.term.vm.boot.SinceBoot()
	until := now + min(entrustTime, l.term.authorityRemaining())
	if l.until-now < entrustLeast && until > l.until {
		l.until = until
		for id := range l.held {
			l.entrust(id)
		}
	}
	return l.bound.There(l.until)
}

// flush sends the errands that wait, unless some are on their way.
func (l *link) flush() {
	o := &l.out
	empty := len(o.Charges)+len(o.Dismissed)+len(o.Starts)+len(o.Stops)+len(o.Paces) == 0
	if empty || l.sending || !l.bound.Known() || l.ctx.Err() != nil {
		return
	}
	m := l.out
	l.out, l.sending = laddermessage.Errands{}, true
	m.Fence, m.Hold, m.Within, m.Valid = l.term.fence, l.term.workerLease, l.orderTimeout(), l.valid()
	m.Void = l.bound.There(l.term.vm.boot.SinceBoot() + min(errandLife, l.term.authorityRemaining()))
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, errandTime)
		defer cancel()
		reply, err := l.term.vm.registry.call(ctx, l.peer, m)
		_, taken := reply.(laddermessage.Done)
		l.term.do(func() { l.sent(m, taken, err) })
	}()
}

// sent takes in whether the delegate has taken errands.
func (l *link) sent(m laddermessage.Errands, taken bool, err error) {
	l.sending = false
	if !taken {
		r := ladderplan.Result{Unknown: err != nil && !errors.Is(err, ladderpeer.ErrUnsent)}
		r.Unsent = !r.Unknown
		for _, s := range m.Starts {
			l.settle(errand{worker: s.Worker, run: s.Start.Run}, r)
		}
		for _, s := range m.Stops {
			l.settle(errand{worker: s.Worker, run: s.Run, stop: true}, r)
		}
		l.fail("errands were not taken", err)
		return
	}
	l.flush()
}

// settle takes in the answer to an order, once.
func (l *link) settle(e errand, r ladderplan.Result) {
	if _, ok := l.due[e]; !ok {
		return
	}
	delete(l.due, e)
	if e.stop {
		l.term.stopped(e.worker, e.run, r, l.peer.name)
		return
	}
	l.term.started(e.worker, e.run, r, l.peer.name)
}

// inquire asks the delegate again and again what has happened.
func (l *link) inquire() {
	m := laddermessage.Inquire{Fence: l.term.fence}
	for l.ctx.Err() == nil {
		if !l.term.call(l.ctx, func() { m.After, m.Valid = l.seen, l.valid() }) {
			return
		}
		asked := l.term.vm.boot.SinceBoot()
		ctx, cancel := context.WithTimeout(l.ctx, m.Wait+inquireSlack)
		reply, err := l.term.vm.registry.call(ctx, l.peer, m)
		cancel()
		report, ok := reply.(laddermessage.Report)
		if !ok {
			l.term.do(func() { l.fail("it does not report", err) })
			return
		}
		bound := ladderdelegate.NewBound(asked, l.term.vm.boot.SinceBoot(), report.Heard, report.Clock)
		l.term.call(l.ctx, func() { l.handleReport(report, bound) })
		m.Wait = inquireWait
	}
}

// took takes in a report.
func (l *link) handleReport(r laddermessage.Report, bound ladderdelegate.Bound) {
	if l.ctx.Err() != nil {
		return
	}
	if l.session != "" && l.session != r.Session {
		l.fail("it began anew", nil)
		return
	}
	l.session, l.seen, l.bound = r.Session, r.Number, bound
	for _, x := range r.Looks {
		l.looked(x)
	}
	for _, x := range r.Results {
		if !x.Unsent {
			l.term.orderLatency.observe(x.Took)
		}
		l.settle(errand{worker: x.Worker, run: x.Run, stop: x.Stop},
			ladderplan.Result{Refusal: x.Refusal, Unsent: x.Unsent, Unknown: x.Unknown})
	}
	l.expire()
	l.term.save()
	l.flush()
}

// expire gives up the orders of which the answer has not come in time.
func (l *link) expire() {
	now := l.term.vm.clock.Now()
	for e, due := range l.due {
		if now.After(due) {
			l.settle(e, ladderplan.Result{Unknown: true})
		}
	}
}

// looked takes in a look at one worker.
func (l *link) looked(x laddermessage.LookReport) {
	t := l.term
	d, ok := t.pollers[x.Worker]
	if !ok || d.link != l {
		return
	}
	now := t.vm.clock.Now()
	t.vm.stats.looks.Inc()
	switch x.Outcome {
	case laddermessage.LookAnswered:
		// What the delegate asked for counts from when it certainly had not asked yet.
		ago := t.vm.boot.SinceBoot() - l.bound.Here(x.Sent)
		t.applyStatus(d, now, now.Add(-max(ago, 0)), x.Look)
		l.entrust(x.Worker)
	case laddermessage.LookOtherLife:
		t.planner.Gone(now, x.Worker)
	case laddermessage.LookFenced:
		t.planner.LookFailed(x.Worker, true)
	case laddermessage.LookFailed:
		t.planner.Entrust(now, x.Worker, entrustTime)
		t.planner.LookFailed(x.Worker, false)
		t.log.Debug("worker did not answer", "worker", x.Worker, "by", l.peer.name)
	}
}

// fail gives a delegate up for a while. Its workers are held by others.
func (l *link) fail(why string, err error) {
	if l.ctx.Err() != nil {
		return
	}
	l.term.log.Warn("delegate is given up", "delegate", l.peer.name, "why", why, "workers", len(l.held), "err", err)
	l.term.excludedUntil[l.peer.name] = l.term.vm.clock.Now().Add(spurnTime)
	l.close()
	l.term.assignDelegates()
}

// close ends the work with a delegate. What became of the orders that it has is not known.
func (l *link) close() {
	if l.ctx.Err() != nil {
		return
	}
	l.cancel()
	delete(l.term.delegates, l.peer.incarnation)
	for _, s := range l.out.Starts {
		l.settle(errand{worker: s.Worker, run: s.Start.Run}, ladderplan.Result{Unsent: true})
	}
	for _, s := range l.out.Stops {
		l.settle(errand{worker: s.Worker, run: s.Run, stop: true}, ladderplan.Result{Unsent: true})
	}
	for e := range l.due {
		l.settle(e, ladderplan.Result{Unknown: true})
	}
	for id := range l.held {
		if d, ok := l.term.pollers[id]; ok && d.link == l {
			d.link = nil
		}
	}
}
