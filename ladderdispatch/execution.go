package ladderdispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lacewingladder/ladderattempt"
	"lacewingladder/ladderconfig"
	"lacewingladder/ladderholder"
	"lacewingladder/laddermodel"
	"lacewingladder/ladderplacement"
)

// execution is the state of one request that this VM runs.
type execution struct {
	d       *Dispatcher
	request laddermodel.Request
	class   ladderconfig.Class
	// mayStart reports whether this VM is still the home of the request's key.
	// It is nil for requests without a key.
	mayStart func(now time.Time) bool
	deadline time.Time
	// run determines the next step and the final answer.
	run *ladderattempt.Run
	// reservation and reply are those of the current attempt.
	reservation laddermodel.Reservation
	reply       Reply
	// avoidWorker is the worker that failed, refused or did not answer the last
	// attempt.
	avoidWorker string
	// placements is the number of times that capacity was requested.
	placements int
}

// run executes a request, from the reservation of capacity to the final answer.
func (d *Dispatcher) run(
	ctx context.Context, r laddermodel.Request, class ladderconfig.Class, mayStart func(now time.Time) bool,
) laddermodel.Answer {
	deadline := d.Clock.Now().Add(r.Deadline)
	x := &execution{
		d: d, request: r, class: class, mayStart: mayStart, deadline: deadline,
		run: ladderattempt.New(ladderattempt.Terms{Deadline: deadline, Once: class.RunOnce, Budget: d.retryBudget}),
	}
	for {
		switch x.run.Next(d.Clock.Now()) {
		case ladderattempt.Place:
			x.place(ctx)
		case ladderattempt.Send:
			x.send(ctx)
		case ladderattempt.Revoke:
			x.revoke(ctx)
		case ladderattempt.Finish:
			a := x.run.Answer()
			a.Worker = x.reservation.Worker.Name
			d.Log.Info("request ended", "request", r.ID, "outcome", a.Outcome, "worker", a.Worker,
				"attempts", a.Attempts, "reason", a.Reason)
			return a
		}
	}
}

// place reserves capacity for the next attempt.
func (x *execution) place(ctx context.Context) {
	x.placements++
	reservation, err := x.d.reserve(ctx, x.capacityRequest(), x.request, x.class)
	if err == nil {
		x.reservation = reservation
		x.run.Placed()
		return
	}
	var noCapacity *ladderholder.NoCapacityError
	if errors.As(err, &noCapacity) {
		x.run.NoCapacity(noCapacity.Reason, noCapacity.RetryAfter)
		return
	}
	x.run.NoCapacity(err.Error(), homeRetryAfter)
}

// capacityRequest returns the capacity request for the next attempt. Its MaxWait
// leaves enough time for the start and for the expected run time.
func (x *execution) capacityRequest() ladderholder.CapacityRequest {
	remaining := x.deadline.Sub(x.d.Clock.Now())
	return ladderholder.CapacityRequest{
		Task:           fmt.Sprintf("%s.%d", x.taskPrefix(), x.placements),
		Source:         x.class.Name,
		Kind:           laddermodel.Urgent,
		Size:           x.class.Size,
		Policy:         x.class.Policy,
		MaxWait:        max(0, remaining-x.class.Estimate-x.class.StartTimeout),
		ExcludedWorker: x.avoidWorker,
	}
}

// taskPrefix returns the part of the task IDs that all attempts of the request
// share. It contains the key, if there is one, so that workers recognize a
// repeated start.
func (x *execution) taskPrefix() string {
	if x.request.Key != "" {
		return x.request.Member + "/" + x.request.Key + "/" + x.request.ID
	}
	return x.request.ID
}

// send starts the task on the worker and waits for the reply.
func (x *execution) send(ctx context.Context) {
	now := x.d.Clock.Now()
	if x.mayStart != nil && !x.mayStart(now) {
		x.release(ladderholder.TaskEnd{})
		x.run.HomeLost("the home of the key moved before the request could start")
		return
	}
	remaining := x.deadline.Sub(now)
	x.run.Sending()
	x.d.counts.Attempts.Add(1)
	x.reply = x.d.Workers.Start(ctx, x.reservation, laddermodel.Task{
		ID: x.reservation.Task, Member: x.request.Member, Class: x.class.Name, Kind: laddermodel.Urgent,
		Size: x.class.Size, Lease: remaining, Estimate: x.class.Estimate, Body: x.request.Body,
	}, min(x.class.StartTimeout, remaining), remaining)
	x.recordReply(x.reply)
}

// recordReply passes the result of a start to the run and releases the capacity
// if the task is known to have ended or not to have begun.
func (x *execution) recordReply(r Reply) {
	switch r.Kind {
	case Answered:
		x.release(ladderholder.TaskEnd{Ran: true})
		x.run.Answered(r.Body)
	case Failed:
		x.release(ladderholder.TaskEnd{Ran: true, Failed: true})
		x.avoidWorker = x.reservation.Worker.Name
		x.run.Failed(r.Reason)
	case Refused:
		x.release(ladderholder.TaskEnd{Fenced: r.Fenced, Leaving: r.Leaving})
		x.avoidWorker = x.reservation.Worker.Name
		x.run.Refused(r.Reason)
	case NoReply:
		x.avoidWorker = x.reservation.Worker.Name
		x.run.NoReply()
	}
}

// revoke makes sure that an attempt without an answer is not running. It
// continues if the caller disconnects.
func (x *execution) revoke(ctx context.Context) {
	state, reply := x.d.Workers.Revoke(
		context.WithoutCancel(ctx), x.reservation.Worker, x.reservation.Grant.Boot, x.reservation.Task,
	)
	x.d.Log.Info("asked worker to revoke attempt", "task", x.reservation.Task, "worker", x.reservation.Worker.Name,
		"state", state, "reason", reply.Reason)
	switch state {
	case ladderattempt.Ended:
		x.recordReply(reply)
		return
	case ladderattempt.NeverBegun:
		x.release(ladderholder.TaskEnd{})
	case ladderattempt.Stopped:
		x.release(ladderholder.TaskEnd{Ran: true, Failed: true})
	case ladderattempt.Unreachable:
		// The capacity stays reserved until a report of the worker shows that the task is not running.
	}
	x.run.Revoked(state, "the worker "+x.reservation.Worker.Name+" did not answer in time")
}

// release frees the capacity of the current attempt.
func (x *execution) release(e ladderholder.TaskEnd) {
	e.Worker, e.Task, e.Source = x.reservation.Worker.Name, x.reservation.Task, x.class.Name
	x.d.releaseAt(x.reservation.Holder, e)
	if x.reservation.Holder != x.d.Name {
		x.d.mu.Lock()
		defer x.d.mu.Unlock()
		x.d.router.TaskEnded(x.reservation.Worker.Rack, x.class.Size)
	}
}

// releaseAt reports to a holder that a task no longer needs its capacity.
func (d *Dispatcher) releaseAt(holder string, e ladderholder.TaskEnd) {
	if holder == d.Name {
		d.Holder.Release(d.Clock.Now(), e)
		return
	}
	d.Peers.Release(holder, e)
}

// reserve reserves capacity on this VM's workers or, if they have none free, on
// the workers of the peers that the router chooses.
func (d *Dispatcher) reserve(
	ctx context.Context, cr ladderholder.CapacityRequest, r laddermodel.Request, class ladderconfig.Class,
) (laddermodel.Reservation, error) {
	reservation, waiter, err := d.Holder.ReserveOrWait(d.Clock.Now(), cr)
	if err == nil && waiter == nil {
		return reservation, nil
	}
	if waiter != nil {
		// A peer may have free capacity now. The request stays in the local wait queue meanwhile.
		if remote, errRemote := d.reserveAtPeers(ctx, cr, r, class, true); errRemote == nil {
			if unused, ok := d.Holder.CancelWait(waiter); ok {
				d.Holder.Release(d.Clock.Now(), ladderholder.TaskEnd{Worker: unused.Worker.Name, Task: unused.Task})
			}
			return remote, nil
		}
		return d.awaitLocally(ctx, cr, waiter)
	}
	remote, errRemote := d.reserveAtPeers(ctx, cr, r, class, false)
	if errRemote == nil {
		return remote, nil
	}
	var noCapacity *ladderholder.NoCapacityError
	if errors.As(errRemote, &noCapacity) && noCapacity != errNoPeer {
		return laddermodel.Reservation{}, errRemote
	}
	return laddermodel.Reservation{}, err
}

// awaitLocally waits until this VM's holder has reserved capacity for a request
// in its wait queue.
func (d *Dispatcher) awaitLocally(ctx context.Context, cr ladderholder.CapacityRequest, w *ladderholder.Waiter) (laddermodel.Reservation, error) {
	select {
	case reservation := <-w.Reservation:
		return reservation, nil
	case <-d.Clock.After(cr.MaxWait):
	case <-ctx.Done():
	}
	if reservation, ok := d.Holder.CancelWait(w); ok {
		return reservation, nil
	}
	return laddermodel.Reservation{}, &ladderholder.NoCapacityError{
		Reason: "no room came free before the deadline", RetryAfter: homeRetryAfter / 4,
	}
}

// reserveAtPeers asks peers for capacity, at most maxPeersPerAttempt of them.
// If noWait is true, the request is in the local wait queue already, and the
// peers must reserve at once or refuse.
func (d *Dispatcher) reserveAtPeers(
	ctx context.Context, cr ladderholder.CapacityRequest, r laddermodel.Request, class ladderconfig.Class, noWait bool,
) (laddermodel.Reservation, error) {
	if noWait {
		cr.MaxWait = 0
	}
	tried := map[string]bool{}
	var last error = errNoPeer
	for range maxPeersPerAttempt {
		target, ok := d.route(cr, tried, class.CrossRegion, len(r.Body))
		if !ok {
			break
		}
		tried[target.Rack] = true
		d.Log.Info("asking peer for capacity", "task", cr.Task, "peer", target.Holder, "rack", target.Rack, "zone", target.Zone)
		reservation, err := d.Peers.Reserve(ctx, target.Holder, cr)
		if err == nil {
			return reservation, nil
		}
		last = err
		d.mu.Lock()
		d.router.MarkFull(target.Rack)
		d.mu.Unlock()
	}
	return laddermodel.Reservation{}, last
}

// maxPeersPerAttempt is the number of peers that are asked for capacity for one
// attempt.
const maxPeersPerAttempt = 3

// route chooses the next peer. If the peer is in another region, it subtracts
// the request's size from the link budget and returns false if too little is
// left.
func (d *Dispatcher) route(cr ladderholder.CapacityRequest, tried map[string]bool, crossRegion bool, bytes int) (ladderplacement.Target, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	target, ok := d.router.Route(now, cr.Size, tried, crossRegion)
	if !ok {
		return target, false
	}
	if target.Region != d.Region && !d.linkBudget.Spend(now, bytes+requestOverheadBytes) {
		return target, false
	}
	d.router.TaskSent(target.Rack, cr.Size)
	return target, true
}

// requestOverheadBytes is the number of bytes that a request to another region
// needs in addition to its body.
const requestOverheadBytes = 512
