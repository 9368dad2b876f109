package laddervm

import (
	"context"
	"errors"
	"time"

	"lacewingladder/ladderdelegate"
	"lacewingladder/ladderflow"
	"lacewingladder/laddermessage"
	"lacewingladder/ladderplan"
	"lacewingladder/platform"
)

const (
	// unsavedTime is how long the next look waits for the ends of the last one to be
	// stored; until then the worker would list them again at once. It is more than a
	// commit usually takes, with the gap before it. While the store is slow, other ends
	// are learnt of that often.
	maxPollDeferral = 150 * time.Millisecond
	// orderTime bounds an order to a worker, several ways between regions, and
	// slowOrder one while the answers are slow. An order that took longer shows in the
	// next look.
	minOrderTimeout = 180 * time.Millisecond
	maxOrderTimeout = time.Second
	// maxOrders bounds the orders that are under way at once. A leader that sent all
	// that a takeover brings at once would keep itself too busy to read the answers. The
	// bound is several times what 600 starts a second keep under way at 20 ms each, and
	// leaves room for those that are never answered.
	maxOrders = 64
	// consultSlack is how long after its cost a question for advice is given up.
	adviceSlack = 700 * time.Millisecond
)

// driver looks at one worker after the other answer, as long as the term lasts.
type poller struct {
	worker ladderflow.Worker
	ctx    context.Context
	cancel context.CancelFunc
	// due is when a look that waits for the store is made anyway.
	deferredUntil time.Time
	deferred      bool
	// extra is true while a look beside the driver's own is under way.
	extra bool
	// link leads to the delegate that holds the worker, or is nil where the leader does.
	delegate *delegateClient
}

// setWorkers takes over the workers that the store lists, and drives each.
func (t *term) setWorkers(list []ladderflow.Worker) {
	if !t.loaded {
		return
	}
	now := t.vm.clock.Now()
	t.planner.SetWorkers(now, list)
	requested := map[string]bool{}
	fresh := false
	for _, w := range t.planner.Workers() {
		requested[w.ID] = true
		d, ok := t.pollers[w.ID]
		if ok && d.worker.Address == w.Address {
			d.worker = w
			continue
		}
		if ok {
			t.stopPolling(d)
		}
		d = &poller{worker: w, cancel: func() {}}
		t.pollers[w.ID] = d
		fresh = fresh || !t.roster[w.ID]
	}
	for id, d := range t.pollers {
		if !requested[id] {
			t.stopPolling(d)
		}
	}
	t.assignDelegates()
	gone := false
	for id := range t.roster {
		gone = gone || !requested[id]
	}
	// A worker that is gone must leave the roster too: the next leader waits for what an
	// earlier one may have started on those that it names and can't reach.
	if fresh || gone {
		t.saveRoster()
	}
}

// leave ends the looks at a worker that is not driven any more.
func (t *term) stopPolling(d *poller) {
	d.cancel()
	if d.delegate != nil {
		d.delegate.unassign(d.worker.ID)
	}
	delete(t.pollers, d.worker.ID)
}

// drive begins the looks at a worker, by the leader itself or through a delegate.
func (t *term) startPolling(d *poller, l *delegateClient) {
	d.cancel()
	if d.delegate != nil {
		d.delegate.unassign(d.worker.ID)
	}
	d.delegate = l
	if l != nil {
		d.ctx, d.cancel = nil, func() {}
		l.assign(d)
		return
	}
	d.ctx, d.cancel = context.WithCancel(t.ctx)
	d.deferred = false
	t.poll(d.ctx, d)
}

// look makes a driver's next look and takes in its answer.
func (t *term) poll(ctx context.Context, d *poller) {
	now := t.vm.clock.Now()
	next, ok := t.planner.Look(now, d.worker.ID)
	if !ok || ctx.Err() != nil {
		d.cancel()
		if t.pollers[d.worker.ID] == d {
			delete(t.pollers, d.worker.ID)
		}
		return
	}
	if next.Waiting && !t.saver.idle() && now.Before(d.deferredUntil) {
		d.deferred = true
		time.AfterFunc(d.deferredUntil.Sub(now), func() { t.do(func() { t.resumePoll(ctx, d) }) })
		return
	}
	h := platform.Hold{Fence: t.fence, Noted: next.Noted, Until: next.Until}
	if next.Until > 0 && !next.Waiting {
		h.Wait = ladderdelegate.LookWait
	}
	w := d.worker
	t.vm.stats.polls.Inc()
	go func() {
		sent, l, err := t.requestStatus(ctx, w, h)
		t.do(func() { t.handleStatus(ctx, d, sent, l, err) })
	}()
}

// lookOn makes a look that has waited for the store.
func (t *term) resumePoll(ctx context.Context, d *poller) {
	if d.deferred {
		d.deferred = false
		d.deferredUntil = time.Time{}
		t.poll(ctx, d)
	}
}

func (t *term) requestStatus(ctx context.Context, w ladderflow.Worker, h platform.Hold) (time.Time, ladderflow.Look, error) {
	ctx, cancel := context.WithTimeout(ctx, h.Wait+ladderdelegate.LookSlack)
	defer cancel()
	sent := t.vm.clock.Now()
	l, err := t.vm.workers.Look(ctx, w.Address, w.ID, h)
	return sent, l, err
}

// looked takes in a look's answer and makes the next one.
func (t *term) handleStatus(ctx context.Context, d *poller, sent time.Time, l ladderflow.Look, err error) {
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		if errors.Is(err, platform.ErrOtherLife) {
			t.planner.Gone(t.vm.clock.Now(), d.worker.ID)
		}
		t.planner.LookFailed(d.worker.ID, errors.Is(err, platform.ErrFenced))
		t.log.Debug("worker did not answer", "worker", d.worker.ID, "err", err)
		t.vm.workerDirect.Forget(d.worker.Address)
		time.AfterFunc(ladderdelegate.LookRetry, func() { t.do(func() { t.poll(ctx, d) }) })
		return
	}
	now := t.vm.clock.Now()
	t.applyStatus(d, now, sent, l)
	d.deferredUntil = now.Add(maxPollDeferral)
	// The ends are handed to the store first, so that the look can wait for it.
	t.save()
	t.poll(ctx, d)
}

// take gives the planner a worker's account.
func (t *term) applyStatus(d *poller, now, sent time.Time, l ladderflow.Look) {
	t.vm.stats.ends.Add(len(l.Ended))
	t.saver.endsReported(now, len(l.Ended))
	t.planner.Looked(now, d.worker.ID, sent, l)
	if !t.roster[d.worker.ID] {
		t.saveRoster()
	}
}

// order sends out what the planner wants done, itself or through delegates.
func (t *term) sendOrders(o ladderplan.Orders) {
	for _, s := range o.Starts {
		if s.First {
			t.vm.stats.waitTime.Update(s.Waited.Seconds())
		}
		if l := t.delegateOf(s.Worker.ID); l != nil {
			l.start(s)
			continue
		}
		go t.start(s)
	}
	for _, s := range o.Stops {
		if l := t.delegateOf(s.Worker.ID); l != nil {
			l.stop(s)
			continue
		}
		go t.stop(s)
	}
	for _, s := range o.Paces {
		if l := t.delegateOf(s.Worker.ID); l != nil {
			l.pace(s)
			continue
		}
		go t.pace(s)
	}
	t.flush()
	for _, a := range o.Asks {
		go t.askAdvice(a)
	}
	for _, id := range o.Looks {
		if d, ok := t.pollers[id]; ok && !d.extra {
			d.extra = true
			go t.pollExtra(d)
		}
	}
}

// extraLook looks at a worker beside its driver, without waiting or prolonging.
func (t *term) pollExtra(d *poller) {
	w := d.worker
	sent, l, err := t.requestStatus(t.ctx, w, platform.Hold{Fence: t.fence})
	t.do(func() {
		d.extra = false
		if err == nil { // Otherwise the driver's own look will tell.
			t.planner.Looked(t.vm.clock.Now(), w.ID, sent, l)
		}
	})
}

// result says what an order's answer means.
func result(refusal ladderflow.Refusal, err error) ladderplan.Result {
	return ladderplan.Result{
		Refusal: refusal, Unsent: errors.Is(err, platform.ErrUnsent),
		Unknown: err != nil && !errors.Is(err, platform.ErrUnsent),
	}
}

// send carries out one order once there are few enough under way. The time that it
// has counts from then.
func (t *term) send(order func(ctx context.Context) (ladderflow.Refusal, error)) ladderplan.Result {
	select {
	case t.orderSlots <- struct{}{}:
		defer func() { <-t.orderSlots }()
	case <-t.ctx.Done():
		return ladderplan.Result{Unsent: true}
	}
	ctx, cancel := context.WithTimeout(t.ctx, t.orderLatency.timeout(minOrderTimeout, maxOrderTimeout))
	defer cancel()
	began := t.vm.clock.Now()
	r := result(order(ctx))
	t.orderLatency.observe(t.vm.clock.Now().Sub(began))
	return r
}

func (t *term) start(s ladderplan.StartOrder) {
	began := t.vm.clock.Now()
	r := t.send(func(ctx context.Context) (ladderflow.Refusal, error) {
		if t.confidence() == ladderplan.NoRight {
			return ladderflow.NotRefused, platform.ErrUnsent
		}
		return t.vm.workers.Start(ctx, s.Worker.Address, s.Worker.ID, ladderflow.Start{
			Run: s.Run, Payload: s.Payload, Saved: s.Saved, Ticket: s.Ticket, Until: s.Until, Fence: t.fence,
		})
	})
	t.vm.stats.startTime.UpdateDuration(began)
	t.do(func() { t.started(s.Worker.ID, s.Run, r, "") })
}

// started takes in the answer to a start, which came through the delegate named by, if any.
func (t *term) started(worker string, run ladderflow.Run, r ladderplan.Result, by string) {
	t.vm.stats.starts.Inc()
	t.log.Info("start", "task", run.Task, "run", run.Number, "worker", worker, "by", by,
		"refusal", r.Refusal, "unsent", r.Unsent, "unknown", r.Unknown)
	t.planner.Started(t.vm.clock.Now(), worker, run, r)
}

// stopped takes in the answer to a stop.
func (t *term) stopped(worker string, run ladderflow.Run, r ladderplan.Result, by string) {
	t.log.Info("stop", "task", run.Task, "run", run.Number, "worker", worker, "by", by,
		"refusal", r.Refusal, "unsent", r.Unsent, "unknown", r.Unknown)
	t.planner.Stopped(t.vm.clock.Now(), worker, run, r)
}

func (t *term) stop(s ladderplan.StopOrder) {
	r := t.send(func(ctx context.Context) (ladderflow.Refusal, error) {
		return t.vm.workers.Stop(ctx, s.Worker.Address, s.Worker.ID, s.Run, t.fence)
	})
	t.do(func() { t.stopped(s.Worker.ID, s.Run, r, "") })
}

func (t *term) pace(s ladderplan.PaceOrder) {
	r := t.send(func(ctx context.Context) (ladderflow.Refusal, error) {
		return t.vm.workers.Pace(ctx, s.Worker.Address, s.Worker.ID, s.Run, s.Percent, t.fence)
	})
	t.log.Info("pace", "task", s.Run.Task, "run", s.Run.Number, "worker", s.Worker.ID, "percent", s.Percent,
		"refusal", r.Refusal, "unsent", r.Unsent, "unknown", r.Unknown)
}

// askAdvice puts a question to the advice service, through a peer or straight.
func (t *term) askAdvice(a ladderplan.Ask) {
	began := t.vm.clock.Now()
	ctx, cancel := context.WithTimeout(t.ctx, a.Cost+maxAdviceQueueTime+adviceSlack)
	defer cancel()
	var m laddermessage.Message
	var err error
	question := laddermessage.Consult{Step: a.Step, Workers: a.Workers}
	if a.VM == t.vm.settings.Name {
		m = t.vm.consult(ctx, question)
	} else if p, ok := t.vm.registry.find(a.VM); ok {
		m, err = t.vm.registry.call(ctx, p, question)
	}
	c, _ := m.(laddermessage.Consulted)
	t.vm.stats.adviceCalls.Inc()
	t.vm.stats.adviceTime.UpdateDuration(began)
	t.log.Info("advice", "step", a.Step, "vm", a.VM, "asked", len(a.Workers), "allowed", len(c.Tickets),
		"refused", c.Refused, "took", t.vm.clock.Now().Sub(began).Round(time.Millisecond), "err", err)
	t.do(func() { t.planner.Advised(t.vm.clock.Now(), a, c.Tickets, c.Valid, c.Refused) })
}

// maxLine is how long a question may stand in a VM's line.
const maxAdviceQueueTime = 600 * time.Millisecond

// consult puts a question to the advice service.
func (v *VM) consult(ctx context.Context, m laddermessage.Consult) laddermessage.Consulted {
	tickets, valid, err := v.advice.Ask(ctx, m.Step, m.Workers)
	if err != nil {
		if !errors.Is(err, platform.ErrRefused) {
			v.direct.Forget(v.settings.Advice)
		}
		v.log.Info("advice service did not answer", "step", m.Step, "err", err)
		return laddermessage.Consulted{Refused: errors.Is(err, platform.ErrRefused)}
	}
	return laddermessage.Consulted{Tickets: tickets, Valid: valid}
}
