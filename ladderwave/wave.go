package ladderwave

import (
	"cmp"
	"slices"
	"time"

	"lacewingladder/ladderflow"
)

// phase is where a machine stands in its wave.
type phase int

const (
	waiting phase = iota
	// ordered means that the order was sent, whether or not it was answered.
	ordered
	done
)

// machine is a machine of a wave.
type machine struct {
	name  string
	phase phase
	// worker is the life that the machine had when it was ordered down, at, and
	// answered tells whether the order was confirmed.
	worker   string
	at       time.Time
	answered bool
	seen     ladderflow.Machine
	listed   bool
}

// Wave is the state of one wave. Create one with [New].
type Wave struct {
	spec     ladderflow.Wave
	began    time.Time
	takes    time.Duration
	machines []*machine
}

// Load says what an order would end on a worker.
type Load struct {
	// Busy is the work that runs there, in thousandths of a core.
	Busy int
	// Kept is true when a task that lasts there must not be ended now.
	Kept bool
}

// New returns a wave that began now. Takes is how long one machine is down.
func New(now time.Time, spec ladderflow.Wave, takes time.Duration) *Wave {
	w := &Wave{spec: spec, began: now, takes: takes}
	for _, name := range spec.Machines {
		w.machines = append(w.machines, &machine{name: name})
	}
	return w
}

// Number returns the wave's number.
func (w *Wave) Number() int64 { return w.spec.Number }

// Seen takes in what the machines' service lists. An order that was confirmed and
// changed nothing met a machine that had its upkeep before; one whose fate is not
// known and that changed nothing is sent again.
func (w *Wave) Seen(now time.Time, list []ladderflow.Machine) {
	byName := make(map[string]ladderflow.Machine, len(list))
	for _, m := range list {
		byName[m.Name] = m
	}
	for _, m := range w.machines {
		m.seen, m.listed = byName[m.name], false
		_, m.listed = byName[m.name]
		if m.phase != ordered || !m.listed || m.seen.State != ladderflow.MachineUp {
			continue
		}
		switch {
		case m.seen.Worker != m.worker:
			m.phase = done
		case now.Sub(m.at) < settleTime:
		case m.answered:
			m.phase = done
		default:
			m.phase = waiting
		}
	}
}

// settleTime is how long an order takes at most to show in the list of machines.
const settleTime = 3 * time.Second

// Answer is what became of an order.
type Answer int

// The answers to an order.
const (
	Confirmed Answer = iota
	Refused
	Unknown
)

// Ordered takes in what became of an order to a machine.
func (w *Wave) Ordered(now time.Time, name string, a Answer) {
	for _, m := range w.machines {
		if m.name != name || m.phase != ordered {
			continue
		}
		m.at, m.answered = now, a == Confirmed
		if a == Refused {
			m.phase = waiting
		}
	}
}

// Worker returns the life that a machine had when it was last seen, or "".
func (w *Wave) Worker(name string) string {
	for _, m := range w.machines {
		if m.name == name {
			return m.seen.Worker
		}
	}
	return ""
}

// Done reports whether each machine that stays has had its upkeep.
func (w *Wave) Done() bool {
	for _, m := range w.machines {
		if m.phase != done && m.listed {
			return false
		}
	}
	return true
}

// Next returns a machine to order down now, or an empty string, and the workers to
// empty for later. Load tells what runs on a worker.
func (w *Wave) Next(now time.Time, load func(worker string) Load) (down string, empty []string) {
	room := w.spec.AtOnce
	var open []*machine
	for _, m := range w.machines {
		switch {
		case m.phase == ordered, m.listed && m.seen.State == ladderflow.MachineUpkeep:
			room--
		case m.phase == waiting && m.listed && m.seen.State == ladderflow.MachineUp:
			open = append(open, m)
		}
	}
	loads := map[string]Load{}
	for _, m := range open {
		loads[m.name] = load(m.seen.Worker)
	}
	slices.SortStableFunc(open, func(a, b *machine) int {
		return cmp.Compare(loads[a.name].Busy, loads[b.name].Busy)
	})
	late := w.late(now, len(open))
	for _, m := range open {
		l := loads[m.name]
		if down == "" && !l.Kept && room > 0 && (l.Busy == 0 || late) {
			m.phase, m.worker, m.at, m.answered = ordered, m.seen.Worker, now, false
			down = m.name
			continue
		}
		if len(empty) < w.spec.AtOnce {
			empty = append(empty, m.seen.Worker)
		}
	}
	return down, empty
}

// late reports whether the machines left need all the time that is left.
func (w *Wave) late(now time.Time, left int) bool {
	rounds := (left + w.spec.AtOnce - 1) / w.spec.AtOnce
	need := time.Duration(rounds) * (w.takes + orderSlack)
	return now.Add(need).After(w.began.Add(w.spec.Within))
}

// orderSlack is added to the time that a machine is down: the order, and the look
// that shows the machine up again.
const orderSlack = time.Second
