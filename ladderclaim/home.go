package ladderclaim

import "time"

// tenure names one worker's claim without a change of holder or process.
type tenure struct {
	boot  uint64
	epoch uint64
}

// Handover is what the successor of a rack's home must know to continue its
// tenure without a gap.
type Handover struct {
	Rack  string
	Since time.Time
	// Boots and Epochs are those of the claims behind the home, by worker.
	Boots  map[string]uint64
	Epochs map[string]uint64
}

// home is the state of a rack of which this VM is the home.
type home struct {
	since time.Time
	basis map[string]tenure
	// given is true once the home was handed over.
	given bool
}

// Home is the right to decide alone for a rack.
type Home struct {
	Rack string
	// Since is when this VM became the home, with no other home after it.
	Since time.Time
}

// Home returns this VM's right as the home of a rack. It is false unless the VM
// holds more than half of the rack's seats at this moment.
func (b *Book) Home(now time.Time, rack string) (Home, bool) {
	seats := b.seats[rack]
	held := map[string]tenure{}
	for name, c := range b.claims {
		if c.worker.Rack == rack && b.valid(now, c) && c.age >= b.lease {
			held[name] = tenure{boot: c.boot, epoch: c.epoch}
		}
	}
	if seats == 0 || 2*len(held) <= seats {
		return Home{}, false
	}
	h, ok := b.homes[rack]
	if !ok || 2*unbroken(h.basis, held) <= seats {
		h = &home{since: b.inherit(rack, held, now)}
		b.homes[rack] = h
	}
	h.basis = held
	if h.given {
		return Home{}, false
	}
	return Home{Rack: rack, Since: h.since}, true
}

// Give hands the home of a rack over: this VM does not act as the home any more.
// It is false when this VM is not the home.
func (b *Book) Give(now time.Time, rack string) (Handover, bool) {
	h, ok := b.Home(now, rack)
	if !ok {
		return Handover{}, false
	}
	out := Handover{Rack: rack, Since: h.Since, Boots: map[string]uint64{}, Epochs: map[string]uint64{}}
	state := b.homes[rack]
	state.given = true
	for name, t := range state.basis {
		out.Boots[name], out.Epochs[name] = t.boot, t.epoch
	}
	return out, true
}

// Keep takes a handover back that did not reach its successor.
func (b *Book) Keep(rack string) {
	if h, ok := b.homes[rack]; ok {
		h.given = false
	}
}

// Take records a handover to this VM. It counts once this VM becomes the home
// with no other holder in between.
func (b *Book) Take(now time.Time, h Handover) {
	b.taken[h.Rack] = h
	for _, c := range b.claims {
		if c.worker.Rack == h.Rack {
			c.next = now
		}
	}
}

// inherit returns since when this VM's tenure of a home counts. It is the
// predecessor's when more than half of the seats passed straight from it.
func (b *Book) inherit(rack string, held map[string]tenure, now time.Time) time.Time {
	h, ok := b.taken[rack]
	delete(b.taken, rack)
	if !ok {
		return now
	}
	straight := 0
	for name, t := range held {
		if before, ok := h.Epochs[name]; ok && h.Boots[name] == t.boot && before+1 == t.epoch {
			straight++
		}
	}
	if 2*straight <= b.seats[rack] {
		return now
	}
	return h.Since
}

// unbroken counts the workers that are in both and did not change hands between.
func unbroken(before, after map[string]tenure) int {
	n := 0
	for name, t := range after {
		if before[name] == t {
			n++
		}
	}
	return n
}
