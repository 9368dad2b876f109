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
	// maxPollDeferral is how long the next poll of a worker is deferred, at most, until the
	// ends of runs that the last one reported are stored. Before that, the worker would answer
	// at once and report them again. The limit is longer than a commit and the pause before it
	// usually take. While the store is slow, polls are this far apart.
	maxPollDeferral = 150 * time.Millisecond
	// minOrderTimeout and maxOrderTimeout bound the adaptive timeout of an order to a worker.
	// The minimum is several times the latency between regions; the maximum applies while
	// responses are slow. The next status poll shows the outcome of an order that timed out.
	minOrderTimeout = 180 * time.Millisecond
	maxOrderTimeout = time.Second
	// adviceSlack is added to the expected response time of an advice query and its longest
	// time in the queue; the sum is the timeout of the query.
	adviceSlack = 700 * time.Millisecond
)

// poller polls the status of one worker, one poll after the other, until the term ends. The
// polls also renew the worker's lease.
type poller struct {
	worker ladderflow.Worker
	ctx    context.Context
	cancel context.CancelFunc
	// deferredUntil is when a deferred poll is made even if the reported ends are not stored yet,
	// and deferred is true while a poll is deferred.
	deferredUntil time.Time
	deferred      bool
	// extraPoll is true while a poll outside the regular sequence is in progress.
	extraPoll bool
	// delegate is the delegate that polls the worker, or nil where the leader itself does.
	delegate *delegateClient
}

// setWorkers applies the list of workers that the store holds, and has each of them polled.
func (t *term) setWorkers(list []ladderflow.Worker) {
	if !t.loaded {
		return
	}
	now := t.vm.clock.Now()
	t.planner.SetWorkers(now, list)
	listed := map[string]bool{}
	for _, w := range t.planner.Workers() {
		listed[w.ID] = true
		p, ok := t.pollers[w.ID]
		if ok && p.worker.Address == w.Address {
			p.worker = w
			continue
		}
		if ok {
			t.stopPolling(p)
		}
		p = &poller{worker: w, cancel: func() {}}
		t.pollers[w.ID] = p
	}
	for id, p := range t.pollers {
		if !listed[id] {
			t.stopPolling(p)
		}
	}
	t.assignDelegates()
	// A worker that is gone must be removed from the stored roster as well: the next leader
	// waits for tasks that an earlier one may have started on workers of the roster that cannot
	// be reached.
	gone, grown := false, ""
	for id := range t.roster {
		gone = gone || !t.planner.InRoster(id)
		if t.outgrown(id) {
			grown = id
		}
	}
	if grown != "" {
		t.log.Info("worker has more capacity than the roster holds; nothing starts there until it is stored", "worker", grown,
			"capacity", t.planner.LargestCapacity(grown), "stored", t.rosterSizes[grown])
		t.planner.SetRoster(t.startable())
	}
	if gone || grown != "" {
		t.saveRoster()
	}
}

func (t *term) stopPolling(p *poller) {
	p.cancel()
	if p.delegate != nil {
		p.delegate.unassign(p.worker.ID)
	}
	delete(t.pollers, p.worker.ID)
}

// startPolling begins the polling of a worker, by the leader itself or by a delegate.
func (t *term) startPolling(p *poller, c *delegateClient) {
	p.cancel()
	if p.delegate != nil {
		p.delegate.unassign(p.worker.ID)
	}
	p.delegate = c
	if c != nil {
		p.ctx, p.cancel = nil, func() {}
		c.assign(p)
		return
	}
	p.ctx, p.cancel = context.WithCancel(t.ctx)
	p.deferred = false
	t.poll(p.ctx, p)
}

// poll makes the next poll of a worker, or defers it. If the planner does not know the worker or
// the polling has ended, it removes the poller.
func (t *term) poll(ctx context.Context, p *poller) {
	if t.pollsEnded {
		return
	}
	now := t.vm.clock.Now()
	next, ok := t.planner.NextPoll(now, p.worker.ID)
	if !ok || ctx.Err() != nil {
		p.cancel()
		if t.pollers[p.worker.ID] == p {
			delete(t.pollers, p.worker.ID)
		}
		return
	}
	if (next.HasUnstoredEnds && !t.saver.idle() || next.AwaitsStarts) && now.Before(p.deferredUntil) {
		p.deferred = true
		time.AfterFunc(p.deferredUntil.Sub(now), func() { t.do(func() { t.resumePoll(ctx, p) }) })
		return
	}
	request := platform.PollRequest{
		Fence: t.fence, Incarnation: next.Incarnation, Acknowledged: next.Acknowledged, LeaseUntil: next.LeaseUntil,
	}
	if next.LeaseUntil > 0 && !next.HasUnstoredEnds && !next.AwaitsStarts {
		request.Wait = ladderdelegate.PollWait
	}
	if !t.mayRenewLeases() {
		request.LeaseUntil = 0
	}
	w := p.worker
	t.vm.stats.polls.Inc()
	t.polls.Go(func() {
		sent, status, err := t.requestStatus(ctx, w, request)
		t.do(func() { t.handleStatus(ctx, p, sent, status, err) })
	})
}

// resumePoll makes a deferred poll.
func (t *term) resumePoll(ctx context.Context, p *poller) {
	if p.deferred {
		p.deferred = false
		p.deferredUntil = time.Time{}
		t.poll(ctx, p)
	}
}

// requestStatus sends a poll to a worker. It returns the time at which the poll was sent and the
// worker's status.
func (t *term) requestStatus(
	ctx context.Context, w ladderflow.Worker, request platform.PollRequest,
) (time.Time, ladderflow.StatusReport, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Wait+ladderdelegate.PollTimeoutSlack)
	defer cancel()
	sent := t.vm.clock.Now()
	status, err := t.vm.workers.Poll(ctx, w.Address, w.ID, request)
	return sent, status, err
}

// handleStatus handles the result of a poll and makes the next one.
func (t *term) handleStatus(ctx context.Context, p *poller, sent time.Time, status ladderflow.StatusReport, err error) {
	if t.pollsEnded && err == nil {
		t.applyStatus(p, t.vm.clock.Now(), sent, status)
	}
	if t.pollsEnded || ctx.Err() != nil {
		return
	}
	if err != nil {
		if errors.Is(err, platform.ErrOtherWorker) {
			t.planner.WorkerReplaced(t.vm.clock.Now(), p.worker.ID)
		}
		t.planner.PollFailed(p.worker.ID, errors.Is(err, platform.ErrFenced))
		t.log.Debug("worker did not answer a status poll; retrying", "worker", p.worker.ID, "reached", platform.Reached(err), "err", err)
		delay := ladderdelegate.PollRetryDelay
		if platform.Restarted(err) {
			delay = 0 // The next poll reaches any incarnation.
		} else {
			t.vm.workerDirect.DropConnections(p.worker.Address)
		}
		time.AfterFunc(delay, func() { t.do(func() { t.poll(ctx, p) }) })
		return
	}
	now := t.vm.clock.Now()
	t.applyStatus(p, now, sent, status)
	p.deferredUntil = now.Add(maxPollDeferral)
	// The ends are passed to the store first, so that the next poll can be deferred until
	// they are stored.
	t.save()
	t.poll(ctx, p)
}

// applyStatus passes a worker's status report to the planner.
func (t *term) applyStatus(p *poller, now, sent time.Time, status ladderflow.StatusReport) {
	t.vm.stats.ends.Add(len(status.Ended))
	t.saver.endsReported(now, len(status.Ended))
	t.planner.RecordReport(now, p.worker.ID, sent, status)
	if t.planner.InRoster(p.worker.ID) && !t.roster[p.worker.ID] {
		t.saveRoster()
	}
}

// sendOrders sends the planner's orders, directly or through delegates.
func (t *term) sendOrders(o ladderplan.Orders) {
	for _, s := range o.Starts {
		if s.FirstOfJob {
			t.vm.stats.waitTime.Update(s.Waited.Seconds())
		}
		if c := t.delegateOf(s.Worker.ID); c != nil {
			c.start(s)
			continue
		}
		t.ownOrders.starts++
		go t.start(s)
	}
	for _, s := range o.Stops {
		if c := t.delegateOf(s.Worker.ID); c != nil {
			c.stop(s)
			continue
		}
		t.ownOrders.stops++
		go t.stop(s)
	}
	for _, s := range o.SpeedLimits {
		if c := t.delegateOf(s.Worker.ID); c != nil {
			c.limitSpeed(s)
			continue
		}
		go t.limitSpeed(s)
	}
	t.flush()
	for _, a := range o.AdviceQueries {
		go t.sendAdviceQuery(a)
	}
	for _, id := range o.Polls {
		if p, ok := t.pollers[id]; ok && !p.extraPoll && !t.pollsEnded {
			p.extraPoll = true
			go t.pollExtra(p)
		}
	}
}

// pollExtra polls a worker outside the regular sequence, without waiting and without renewing
// the worker's lease.
func (t *term) pollExtra(p *poller) {
	w := p.worker
	sent, status, err := t.requestStatus(t.ctx, w, platform.PollRequest{Fence: t.fence})
	t.do(func() {
		p.extraPoll = false
		if err == nil { // The regular poll handles errors.
			t.planner.RecordReport(t.vm.clock.Now(), w.ID, sent, status)
		}
	})
}

// orderResult converts the response to an order, or its error, to a result for the planner.
func orderResult(refusal ladderflow.Refusal, err error) ladderplan.Result {
	return ladderplan.Result{
		Refusal: refusal, Unsent: errors.Is(err, platform.ErrUnsent),
		Unknown: err != nil && !errors.Is(err, platform.ErrUnsent),
	}
}

// sendOrder waits until fewer than ladderplan.MaxOrders orders are in flight and then sends one with the
// given function. The order's timeout begins after the wait.
func (t *term) sendOrder(order func(ctx context.Context) (ladderflow.Refusal, error)) ladderplan.Result {
	select {
	case t.orderSlots <- struct{}{}:
		defer func() { <-t.orderSlots }()
	case <-t.ctx.Done():
		return ladderplan.Result{Unsent: true}
	}
	ctx, cancel := context.WithTimeout(t.ctx, t.orderLatency.timeout(minOrderTimeout, maxOrderTimeout))
	defer cancel()
	began := t.vm.clock.Now()
	r := orderResult(order(ctx))
	t.orderLatency.observe(t.vm.clock.Now().Sub(began))
	return r
}

// start sends a start order to a worker. A start that is not answered is sent once more: it has no
// effect if the first one had.
func (t *term) start(s ladderplan.StartOrder) {
	began := t.vm.clock.Now()
	r := t.sendStart(s)
	if r.Unknown {
		if again := t.sendStart(s); again.Refusal == ladderflow.NotRefused && !again.Unsent {
			r = again
		}
	}
	t.vm.stats.startTime.UpdateDuration(began)
	t.do(func() {
		t.ownOrders.starts--
		t.startSettled(s.Worker.ID, s.Run, r, t.vm.clock.Now().Sub(began), "")
	})
}

// sendStart sends a start order to a worker once.
func (t *term) sendStart(s ladderplan.StartOrder) ladderplan.Result {
	var clock time.Duration
	r := t.sendOrder(func(ctx context.Context) (ladderflow.Refusal, error) {
		if t.confidence() == ladderplan.LeadershipNone {
			return ladderflow.NotRefused, platform.ErrUnsent
		}
		reply, err := t.vm.workers.Start(ctx, s.Worker.Address, s.Worker.ID, ladderflow.Start{
			Run: s.Run, Payload: s.Payload, Checkpoint: s.Checkpoint, Ticket: s.Ticket,
			Incarnation: s.Incarnation, LeaseUntil: s.LeaseUntil, Fence: t.fence,
		})
		clock = reply.Clock
		return reply.Refusal, err
	})
	r.Clock = clock
	return r
}

// startSettled records the result of a start order, which took the given time. By is the name of the
// delegate that sent the order, or empty if the leader sent it itself.
func (t *term) startSettled(worker string, run ladderflow.Run, r ladderplan.Result, took time.Duration, by string) {
	t.vm.stats.starts.Inc()
	t.placement.answered(took)
	t.log.Info("start order finished", "task", run.Task, "run", run.Number, "worker", worker, "by", by, "took", took.Round(time.Millisecond),
		"refusal", r.Refusal, "unsent", r.Unsent, "unknown", r.Unknown, "resumes", t.planner.ResumesFrom(worker, run))
	t.planner.StartSettled(t.vm.clock.Now(), worker, run, r)
	if p, ok := t.pollers[worker]; ok && p.delegate == nil && p.ctx != nil {
		t.resumePoll(p.ctx, p)
	}
}

// stopSettled records the result of a stop order. By is as in startSettled.
func (t *term) stopSettled(worker string, run ladderflow.Run, r ladderplan.Result, by string) {
	t.log.Info("stop order finished", "task", run.Task, "run", run.Number, "worker", worker, "by", by,
		"refusal", r.Refusal, "unsent", r.Unsent, "unknown", r.Unknown)
	t.planner.StopSettled(t.vm.clock.Now(), worker, run, r)
}

// stop sends a stop order to a worker.
func (t *term) stop(s ladderplan.StopOrder) {
	r := t.sendOrder(func(ctx context.Context) (ladderflow.Refusal, error) {
		return t.vm.workers.Stop(ctx, s.Worker.Address, s.Worker.ID, s.Run, t.fence)
	})
	t.do(func() {
		t.ownOrders.stops--
		t.stopSettled(s.Worker.ID, s.Run, r, "")
	})
}

// limitSpeed sends a speed limit for a run to a worker.
func (t *term) limitSpeed(s ladderplan.SpeedLimitOrder) {
	r := t.sendOrder(func(ctx context.Context) (ladderflow.Refusal, error) {
		return t.vm.workers.LimitSpeed(ctx, s.Worker.Address, s.Worker.ID, s.Run, s.Percent, t.fence)
	})
	t.log.Info("speed limit order finished", "task", s.Run.Task, "run", s.Run.Number, "worker", s.Worker.ID, "percent", s.Percent,
		"refusal", r.Refusal, "unsent", r.Unsent, "unknown", r.Unknown)
}

// sendAdviceQuery sends a query to the advice service, directly or through the peer that the
// planner chose.
func (t *term) sendAdviceQuery(a ladderplan.AdviceQuery) {
	began := t.vm.clock.Now()
	ctx, cancel := context.WithTimeout(t.ctx, a.ResponseTime+maxAdviceQueueTime+adviceSlack)
	defer cancel()
	var m laddermessage.Message
	var err error
	query := laddermessage.AdviceQuery{Step: a.Step, Workers: a.Workers}
	if a.VM == t.vm.settings.Name {
		m = t.vm.queryAdvice(ctx, query)
	} else if peer, ok := t.vm.registry.find(a.VM); ok {
		m, err = t.vm.registry.call(ctx, peer, query)
	}
	reply, _ := m.(laddermessage.AdviceReply)
	received := t.vm.clock.Now()
	t.vm.stats.adviceCalls.Inc()
	t.vm.stats.adviceTime.UpdateDuration(began)
	t.log.Info("advice query finished", "step", a.Step, "vm", a.VM, "workers", len(a.Workers), "allowed", len(reply.Tickets),
		"refused", reply.Refused, "took", received.Sub(began).Round(time.Millisecond), "err", err)
	t.do(func() {
		now, lifetime := t.vm.clock.Now(), reply.TicketLifetime
		if lifetime > 0 {
			// It remains above zero, which means that there was no answer.
			lifetime = max(lifetime-now.Sub(received), time.Nanosecond)
		}
		t.planner.AdviceAnswered(now, a, reply.Tickets, lifetime, reply.Refused)
	})
}

// maxAdviceQueueTime is how long a query may wait in the queue that the advice service keeps
// for each VM.
const maxAdviceQueueTime = 600 * time.Millisecond

// queryAdvice queries the advice service directly.
func (v *VM) queryAdvice(ctx context.Context, m laddermessage.AdviceQuery) laddermessage.AdviceReply {
	tickets, valid, err := v.advice.Query(ctx, m.Step, m.Workers)
	if err != nil {
		if !errors.Is(err, platform.ErrRefused) {
			v.direct.DropConnections(v.settings.AdviceAddress)
		}
		v.log.Info("advice service refused the query or did not answer", "step", m.Step, "err", err)
		return laddermessage.AdviceReply{Refused: errors.Is(err, platform.ErrRefused)}
	}
	return laddermessage.AdviceReply{Tickets: tickets, TicketLifetime: valid}
}
