package ladderclaim

import "time"

// claimID identifies a claim on one worker. It changes when the claim passes to
// another holder and when the worker's process restarts.
type claimID struct {
	boot  uint64
	epoch uint64
}

// Handover is the state that the home of a rack passes to its successor. It
// lets the successor's [Home.Since] continue from the predecessor's.
type Handover struct {
	Rack string
	// Since is the Since of the predecessor's [Home].
	Since time.Time
	// Boots and Epochs identify the claims of the previous home, by worker.
	Boots  map[string]uint64
	Epochs map[string]uint64
}

// home is the state of a rack of which this VM is or was the home.
type home struct {
	// since is the time from which this VM counts as home without interruption.
	since time.Time
	// claims are the claims that made this VM the home at the last check, by
	// worker.
	claims map[string]claimID
	// handedOver is true once the home has been handed over to another VM.
	handedOver bool
}

// Home is the right of a rack's home to decide alone for the rack.
type Home struct {
	Rack string
	// Since is the time from which no other VM can have been the home, except
	// for predecessors that handed the home over.
	Since time.Time
}

// Home returns this VM's right as the home of a rack. It returns false unless
// the VM holds claims on workers in more than half of the rack's seats. Workers
// that have been up for less than one lease do not count: before its restart
// such a worker may have granted a claim, which another VM still relies on.
func (b *Book) Home(now time.Time, rack string) (Home, bool) {
	seats := b.seats[rack]
	held := map[string]claimID{}
	for name, c := range b.claims {
		if c.worker.Rack == rack && b.valid(now, c) && c.uptime >= b.lease {
			held[name] = claimID{boot: c.boot, epoch: c.epoch}
		}
	}
	if seats == 0 || 2*len(held) <= seats {
		return Home{}, false
	}
	h, ok := b.homes[rack]
	if !ok || 2*countUnchanged(h.claims, held) <= seats {
		h = &home{since: b.homeSince(rack, held, now)}
		b.homes[rack] = h
	}
	h.claims = held
	if h.handedOver {
		return Home{}, false
	}
	return Home{Rack: rack, Since: h.since}, true
}

// StartHandover ends this VM's right as the home of a rack and returns the state
// that its successor needs. It returns false if this VM is not the home.
func (b *Book) StartHandover(now time.Time, rack string) (Handover, bool) {
	h, ok := b.Home(now, rack)
	if !ok {
		return Handover{}, false
	}
	out := Handover{Rack: rack, Since: h.Since, Boots: map[string]uint64{}, Epochs: map[string]uint64{}}
	state := b.homes[rack]
	state.handedOver = true
	for name, id := range state.claims {
		out.Boots[name], out.Epochs[name] = id.boot, id.epoch
	}
	return out, true
}

// CancelHandover undoes [Book.StartHandover] after a handover that did not reach
// the successor.
func (b *Book) CancelHandover(rack string) {
	if h, ok := b.homes[rack]; ok {
		h.handedOver = false
	}
}

// AcceptHandover records a handover to this VM. The handover takes effect when
// this VM becomes the home, if no other VM held the claims in between.
func (b *Book) AcceptHandover(now time.Time, h Handover) {
	b.received[h.Rack] = h
	for _, c := range b.claims {
		if c.worker.Rack == h.Rack {
			c.nextCall = now
		}
	}
}

// homeSince returns the time from which this VM counts as home of a rack. If
// the claims on workers in more than half of the seats passed directly from the
// predecessor to this VM, it is the predecessor's time. Otherwise it is now. A
// claim passed directly if its epoch is one higher than the predecessor's.
func (b *Book) homeSince(rack string, held map[string]claimID, now time.Time) time.Time {
	h, ok := b.received[rack]
	delete(b.received, rack)
	if !ok {
		return now
	}
	direct := 0
	for name, id := range held {
		if before, ok := h.Epochs[name]; ok && h.Boots[name] == id.boot && before+1 == id.epoch {
			direct++
		}
	}
	if 2*direct <= b.seats[rack] {
		return now
	}
	return h.Since
}

// countUnchanged returns the number of workers that have the same claim in both
// maps.
func countUnchanged(before, after map[string]claimID) int {
	n := 0
	for name, id := range after {
		if before[name] == id {
			n++
		}
	}
	return n
}
