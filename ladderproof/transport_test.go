package ladderproof

import (
	"context"
	"errors"
	"time"

	"pgregory.net/rapid"

	"lacewingladder/ladderattempt"
	"lacewingladder/ladderdispatch"
	"lacewingladder/ladderholder"
	"lacewingladder/laddermodel"
	"lacewingladder/ladderstand"
)

// delivery is the outcome of sending a message.
type delivery int

const (
	delivered delivery = iota
	// lost means that the message does not arrive.
	lost
	// replyLost means that the message takes effect, but its sender receives no reply.
	replyLost
)

// drawDelivery draws the outcome of sending a message: 1 in 10 messages is lost, and the
// reply to another 1 in 10 is lost.
func (sim *simulation) drawDelivery() delivery {
	if sim.lossless {
		return delivered
	}
	switch n := rapid.IntRange(0, 19).Draw(sim.t, "fate"); {
	case n < 2:
		return lost
	case n < 4:
		return replyLost
	}
	return delivered
}

// errLost is returned when a message or its reply is lost.
var errLost = errors.New("no answer")

// peerTransport delivers messages between entry VMs.
type peerTransport struct {
	sim  *simulation
	from *vm
}

// find returns the VM with the given name, or nil.
func (p *peerTransport) find(name string) *vm {
	for _, v := range p.sim.vms {
		if v.name == name {
			return v
		}
	}
	return nil
}

// Reserve implements ladderdispatch.Peers.
func (p *peerTransport) Reserve(ctx context.Context, peer string, q ladderholder.CapacityRequest) (laddermodel.Reservation, error) {
	r := current(ctx)
	outcome := p.sim.drawDelivery()
	r.park()
	to := p.find(peer)
	if outcome == lost || to.paused {
		return laddermodel.Reservation{}, errLost
	}
	reservation, err := to.holder.Reserve(to.clock.Now(), q)
	r.park()
	if outcome == replyLost {
		return laddermodel.Reservation{}, errLost
	}
	return reservation, err
}

// Release implements ladderdispatch.Peers.
func (p *peerTransport) Release(peer string, e ladderholder.TaskEnd) {
	outcome := p.sim.drawDelivery()
	if outcome != delivered {
		return
	}
	p.sim.spawn(nil, func(r *routine) {
		r.park()
		to := p.find(peer)
		to.holder.Release(to.clock.Now(), e)
	})
}

// Forward implements ladderdispatch.Peers.
func (p *peerTransport) Forward(ctx context.Context, peer string, q laddermodel.Request) (laddermodel.Answer, error) {
	r := current(ctx)
	outcome := p.sim.drawDelivery()
	r.park()
	to := p.find(peer)
	if outcome == lost || to.paused {
		return laddermodel.Answer{}, errLost
	}
	answers := make(chan laddermodel.Answer, 1)
	p.sim.spawn(to, func(r *routine) {
		answers <- to.dispatcher.DoForwarded(context.WithValue(p.sim.ctx, routineKey{}, r), q)
	})
	// The sender gives up after 40 steps without an answer.
	for range 40 {
		r.park()
		select {
		case a := <-answers:
			if outcome == replyLost {
				return laddermodel.Answer{}, errLost
			}
			return a, nil
		default:
		}
	}
	return laddermodel.Answer{}, errLost
}

// workerTransport delivers starts and revocations to workers.
type workerTransport struct {
	sim  *simulation
	from *vm
}

// find returns the worker with the given name, or nil.
func (p *workerTransport) find(name string) *worker {
	for _, w := range p.sim.workers {
		if w.spec.Name == name {
			return w
		}
	}
	return nil
}

// Start implements ladderdispatch.Workers. One start in ten is duplicated, and the copy
// arrives on its own, before or after the original.
func (p *workerTransport) Start(ctx context.Context, reservation laddermodel.Reservation, t laddermodel.Task, _, _ time.Duration) ladderdispatch.Reply {
	r := current(ctx)
	outcome := p.sim.drawDelivery()
	doubled := rapid.IntRange(0, 9).Draw(p.sim.t, "doubled") == 0
	start := ladderstand.Start{
		Task: t.ID, Member: t.Member, Class: t.Class, Kind: t.Kind, Size: t.Size, Lease: t.Lease,
		Boot: reservation.Grant.Boot, Epoch: reservation.Grant.Epoch, Until: reservation.Grant.Until,
	}
	w := p.find(reservation.Worker.Name)
	deliver := func() ladderstand.Refusal {
		_, refused := w.standIn.Start(start)
		return refused
	}
	if doubled {
		p.sim.spawn(nil, func(r *routine) {
			r.park()
			if deliver() == ladderstand.Accepted {
				r.park()
				w.standIn.End(t.ID, false, nil)
			}
		})
	}
	bootWhenSent := w.boot
	r.park()
	if outcome == lost || w.boot != bootWhenSent {
		// The connection breaks if the worker restarts before the start arrives.
		return ladderdispatch.Reply{Kind: ladderdispatch.NoReply}
	}
	switch deliver() {
	case ladderstand.Accepted:
	case ladderstand.RefuseFenced:
		return ladderdispatch.Reply{Kind: ladderdispatch.Refused, Fenced: true}
	case ladderstand.RefuseDuplicate:
		// The copy arrived first, so the sender receives no reply to this one.
		return ladderdispatch.Reply{Kind: ladderdispatch.NoReply}
	default:
		return ladderdispatch.Reply{Kind: ladderdispatch.Refused}
	}
	if outcome == replyLost {
		// The task runs to its end although the sender has lost its reply.
		p.sim.spawn(nil, func(r *routine) {
			r.park()
			w.standIn.End(t.ID, false, nil)
		})
		return ladderdispatch.Reply{Kind: ladderdispatch.NoReply}
	}
	r.park()
	fails := rapid.IntRange(0, 9).Draw(p.sim.t, "fails") == 0
	if !w.standIn.End(t.ID, fails, nil) {
		return ladderdispatch.Reply{Kind: ladderdispatch.NoReply}
	}
	if fails {
		return ladderdispatch.Reply{Kind: ladderdispatch.Failed}
	}
	return ladderdispatch.Reply{Kind: ladderdispatch.Answered}
}

// Revoke implements ladderdispatch.Workers.
func (p *workerTransport) Revoke(ctx context.Context, m laddermodel.Worker, boot uint64, task string) (ladderattempt.State, ladderdispatch.Reply) {
	r := current(ctx)
	outcome := p.sim.drawDelivery()
	r.park()
	if outcome == lost {
		return ladderattempt.Unreachable, ladderdispatch.Reply{}
	}
	state, e := p.find(m.Name).standIn.Revoke(task, boot)
	r.park()
	if outcome == replyLost {
		return ladderattempt.Unreachable, ladderdispatch.Reply{}
	}
	switch state {
	case "never":
		return ladderattempt.NeverBegun, ladderdispatch.Reply{}
	case "stopped", "restarted":
		return ladderattempt.Stopped, ladderdispatch.Reply{}
	}
	if e.Failed {
		return ladderattempt.Ended, ladderdispatch.Reply{Kind: ladderdispatch.Failed}
	}
	return ladderattempt.Ended, ladderdispatch.Reply{Kind: ladderdispatch.Answered}
}
