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

// trip is the course of one request through this VM.
type trip struct {
	d       *Dispatcher
	request laddermodel.Request
	class   ladderconfig.Class
	// may reports whether this VM may still decide on the request, or is nil.
	may      func(now time.Time) bool
	deadline time.Time
	run      *ladderattempt.Run
	room     laddermodel.Reservation
	reply    Reply
	// avoid is the worker of the last attempt.
	avoid string
	tries int
}

// run carries a request from placement to its final answer.
func (d *Dispatcher) run(
	ctx context.Context, r laddermodel.Request, class ladderconfig.Class, may func(now time.Time) bool,
) laddermodel.Answer {
	deadline := d.Clock.Now().Add(r.Deadline)
	t := &trip{
		d: d, request: r, class: class, may: may, deadline: deadline,
		run: ladderattempt.New(ladderattempt.Terms{Deadline: deadline, Once: class.Once, Budget: d.retries}),
	}
	for {
		switch t.run.Next(d.Clock.Now()) {
		case ladderattempt.Place:
			t.place(ctx)
		case ladderattempt.Send:
			t.send(ctx)
		case ladderattempt.Revoke:
			t.revoke(ctx)
		case ladderattempt.Finish:
			a := t.run.Answer()
			a.Worker = t.room.Worker.Name
			d.Log.Info("request ended", "request", r.ID, "outcome", a.Outcome, "worker", a.Worker,
				"attempts", a.Attempts, "reason", a.Reason)
			return a
		}
	}
}

// place reserves room for the next attempt.
func (t *trip) place(ctx context.Context) {
	t.tries++
	room, err := t.d.reserve(ctx, t.ask(), t.request, t.class)
	if err == nil {
		t.room = room
		t.run.Placed()
		return
	}
	var full *ladderholder.NoRoom
	if errors.As(err, &full) {
		t.run.NoRoom(full.Reason, full.RetryAfter)
		return
	}
	t.run.NoRoom(err.Error(), homePause)
}

func (t *trip) ask() ladderholder.Ask {
	left := t.deadline.Sub(t.d.Clock.Now())
	return ladderholder.Ask{
		Task:     fmt.Sprintf("%s.%d", t.taskBase(), t.tries),
		Source:   t.class.Name,
		Kind:     laddermodel.Urgent,
		Size:     t.class.Size,
		Policy:   t.class.Policy,
		Patience: max(0, left-t.class.Estimate-t.class.Share),
		Avoid:    t.avoid,
	}
}

// taskBase derives task ids from the key, so that workers know repetitions.
func (t *trip) taskBase() string {
	if t.request.Key != "" {
		return t.request.Member + "/" + t.request.Key + "/" + t.request.ID
	}
	return t.request.ID
}

// send starts the task on the worker and waits for its answer.
func (t *trip) send(ctx context.Context) {
	now := t.d.Clock.Now()
	if t.may != nil && !t.may(now) {
		t.release(ladderholder.End{})
		t.run.Barred("the home of the key moved before the request could start")
		return
	}
	left := t.deadline.Sub(now)
	t.run.Sending()
	t.d.counts.Attempts.Add(1)
	t.reply = t.d.Workers.Start(ctx, t.room, laddermodel.Task{
		ID: t.room.Task, Member: t.request.Member, Class: t.class.Name, Kind: laddermodel.Urgent,
		Size: t.class.Size, Lease: left, Estimate: t.class.Estimate, Body: t.request.Body,
	}, min(t.class.Share, left), left)
	t.take(t.reply)
}

// take passes what came of a start on to the rules.
func (t *trip) take(r Reply) {
	switch r.Kind {
	case Answered:
		t.release(ladderholder.End{Ran: true})
		t.run.Answered(r.Body)
	case Failed:
		t.release(ladderholder.End{Ran: true, Failed: true})
		t.avoid = t.room.Worker.Name
		t.run.Failed(r.Reason)
	case Refused:
		t.release(ladderholder.End{Fenced: r.Fenced, Leaving: r.Leaving})
		t.avoid = t.room.Worker.Name
		t.run.Refused(r.Reason)
	case Silent:
		t.avoid = t.room.Worker.Name
		t.run.Silent()
	}
}

// revoke makes sure that a silent attempt does not run, even when the caller has
// gone.
func (t *trip) revoke(ctx context.Context) {
	state, reply := t.d.Workers.Revoke(context.WithoutCancel(ctx), t.room.Worker, t.room.Grant.Boot, t.room.Task)
	t.d.Log.Info("revoked", "task", t.room.Task, "worker", t.room.Worker.Name, "state", state, "reason", reply.Reason)
	switch state {
	case ladderattempt.Ended:
		t.take(reply)
		return
	case ladderattempt.Never:
		t.release(ladderholder.End{})
	case ladderattempt.Stopped:
		t.release(ladderholder.End{Ran: true, Failed: true})
	case ladderattempt.Unreachable:
		// The room stays set aside until the worker's report frees it.
	}
	t.run.Revoked(state, "the worker "+t.room.Worker.Name+" did not answer in time")
}

// release gives the attempt's room back to its holder.
func (t *trip) release(e ladderholder.End) {
	e.Worker, e.Task, e.Source = t.room.Worker.Name, t.room.Task, t.class.Name
	t.d.release(t.room.Holder, e)
	if t.room.Holder != t.d.Name {
		t.d.mu.Lock()
		defer t.d.mu.Unlock()
		t.d.router.Ended(t.room.Worker.Rack, t.class.Size)
	}
}

// release tells a holder of the end of a task's need for room.
func (d *Dispatcher) release(holder string, e ladderholder.End) {
	if holder == d.Name {
		d.Room.Release(d.Clock.Now(), e)
		return
	}
	d.Peers.Release(holder, e)
}

// reserve looks for room: here first, then with the peers that the router names.
func (d *Dispatcher) reserve(
	ctx context.Context, a ladderholder.Ask, r laddermodel.Request, class ladderconfig.Class,
) (laddermodel.Reservation, error) {
	room, waiter, err := d.Room.Await(d.Clock.Now(), a)
	if err == nil && waiter == nil {
		return room, nil
	}
	if waiter != nil {
		// Peers may have room at once; the place in the line is kept meanwhile.
		if far, errFar := d.ask(ctx, a, r, class, true); errFar == nil {
			if extra, ok := d.Room.Leave(waiter); ok {
				d.Room.Release(d.Clock.Now(), ladderholder.End{Worker: extra.Worker.Name, Task: extra.Task})
			}
			return far, nil
		}
		return d.wait(ctx, a, waiter)
	}
	far, errFar := d.ask(ctx, a, r, class, false)
	if errFar == nil {
		return far, nil
	}
	var full *ladderholder.NoRoom
	if errors.As(errFar, &full) && full != errNoTarget {
		return laddermodel.Reservation{}, errFar
	}
	return laddermodel.Reservation{}, err
}

// wait waits in the local line.
func (d *Dispatcher) wait(ctx context.Context, a ladderholder.Ask, w *ladderholder.Waiter) (laddermodel.Reservation, error) {
	select {
	case room := <-w.Room:
		return room, nil
	case <-d.Clock.After(a.Patience):
	case <-ctx.Done():
	}
	if room, ok := d.Room.Leave(w); ok {
		return room, nil
	}
	return laddermodel.Reservation{}, &ladderholder.NoRoom{
		Reason: "no room came free before the deadline", RetryAfter: homePause / 4,
	}
}

// ask asks peers for room, at most as often as there are routes. When patient is
// true, a line is waiting here, and peers are asked for room at once only.
func (d *Dispatcher) ask(
	ctx context.Context, a ladderholder.Ask, r laddermodel.Request, class ladderconfig.Class, patient bool,
) (laddermodel.Reservation, error) {
	if patient {
		a.Patience = 0
	}
	tried := map[string]bool{}
	var last error = errNoTarget
	for range maxAsks {
		target, ok := d.route(a, tried, class.Far, len(r.Body))
		if !ok {
			break
		}
		tried[target.Rack] = true
		d.Log.Info("ask peer for room", "task", a.Task, "peer", target.Holder, "rack", target.Rack, "zone", target.Zone)
		room, err := d.Peers.Reserve(ctx, target.Holder, a)
		if err == nil {
			return room, nil
		}
		last = err
		d.mu.Lock()
		d.router.Full(target.Rack)
		d.mu.Unlock()
	}
	return laddermodel.Reservation{}, last
}

// maxAsks bounds how many peers are asked for room for one attempt.
const maxAsks = 3

// route picks the next peer, and charges the link's budget when the request would
// cross regions.
func (d *Dispatcher) route(a ladderholder.Ask, tried map[string]bool, far bool, bytes int) (ladderplacement.Target, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	target, ok := d.router.Route(now, a.Size, tried, far)
	if !ok {
		return target, false
	}
	if target.Region != d.Region && !d.link.Spend(now, bytes+farOverhead) {
		return target, false
	}
	d.router.Sent(target.Rack, a.Size)
	return target, true
}

// farOverhead is what one request across regions takes beside its body, in bytes.
const farOverhead = 512
