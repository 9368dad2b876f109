package ladderwave

import (
	"cmp"
	"slices"
	"time"

	"lacewingladder/ladderflow"
)

// phase is the progress of a machine's maintenance.
type phase int

const (
	// waiting means that the machine has yet to be ordered down.
	waiting phase = iota
	// ordered means that an order was sent, whether or not there was a response.
	ordered
	// done means that the maintenance is finished.
	done
)

// machine is the state of a machine in a wave.
type machine struct {
	name  string
	phase phase
	// orderedWorker is the id of the worker that the machine ran when it was last ordered
	// down. orderedAt is the time of that order, or of its result once there is one, and
	// confirmed is true if the machine service accepted it. seenDown is true if a list showed the
	// machine in maintenance since.
	orderedWorker string
	orderedAt     time.Time
	confirmed     bool
	seenDown      bool
	// current is the machine's entry in the latest list of machines. If listed is false,
	// the list has no such entry and current is zero.
	current ladderflow.Machine
	listed  bool
}

// Wave is the state of one maintenance wave. Create one with [New].
type Wave struct {
	spec      ladderflow.MaintenanceWave
	startedAt time.Time
	downtime  time.Duration
	machines  []*machine
}

// WorkerLoad describes the tasks that would be stopped if a worker's machine were taken
// down.
type WorkerLoad struct {
	// Demand is the processor demand of the running tasks, in thousandths of a core. Each
	// counts as at least one, so that only a worker without tasks has zero.
	Demand int
	// MustStayUp is true if the machine must not be taken down now, because more long-running
	// tasks of a step would become unavailable than the step allows.
	MustStayUp bool
}

// New returns a wave that starts now. The argument downtime is how long each machine is
// down.
func New(now time.Time, spec ladderflow.MaintenanceWave, downtime time.Duration) *Wave {
	w := &Wave{spec: spec, startedAt: now, downtime: downtime}
	for _, name := range spec.Machines {
		w.machines = append(w.machines, &machine{name: name})
	}
	return w
}

// Number returns the wave's number.
func (w *Wave) Number() int64 { return w.spec.Number }

// Observe records a list of machines from the machine service. A machine that was ordered
// down is done when it is up with a new worker, if the order was confirmed or a list showed the
// machine in maintenance: a worker is also replaced after a crash. If it is still up after
// listingDelay otherwise, the order had no effect. In that case, if the order was confirmed, the
// machine had its maintenance before, on the order of an earlier leader, and is done;
// otherwise the machine waits to be ordered down again.
func (w *Wave) Observe(now time.Time, listed []ladderflow.Machine) {
	byName := make(map[string]ladderflow.Machine, len(listed))
	for _, m := range listed {
		byName[m.Name] = m
	}
	for _, m := range w.machines {
		m.current, m.listed = byName[m.name], false
		_, m.listed = byName[m.name]
		if m.phase == ordered && m.current.State == ladderflow.MachineMaintenance {
			m.seenDown = true
		}
		if m.phase != ordered || !m.listed || m.current.State != ladderflow.MachineUp {
			continue
		}
		switch {
		case m.current.Worker != m.orderedWorker && (m.confirmed || m.seenDown):
			m.phase = done
		case now.Sub(m.orderedAt) < listingDelay:
		case m.confirmed:
			m.phase = done
		default:
			m.phase = waiting
		}
	}
}

// listingDelay is the longest time from an order until the list of machines shows its
// effect.
const listingDelay = 3 * time.Second

// OrderResult is the result of an order to take a machine down.
type OrderResult int

// The results of an order.
const (
	// Confirmed means that the machine service accepted the order.
	Confirmed OrderResult = iota
	// Refused means that the order had no effect and will have none.
	Refused
	// Unknown means that the order may have taken effect, or may do so later.
	Unknown
)

// RecordResult records the result of an order to take down the named machine.
func (w *Wave) RecordResult(now time.Time, name string, result OrderResult) {
	for _, m := range w.machines {
		if m.name != name || m.phase != ordered {
			continue
		}
		m.orderedAt, m.confirmed = now, result == Confirmed
		if result == Refused {
			m.phase = waiting
		}
	}
}

// WorkerOf returns the id of the worker in the latest listing of the named machine, or ""
// if there is none.
func (w *Wave) WorkerOf(name string) string {
	for _, m := range w.machines {
		if m.name == name {
			return m.current.Worker
		}
	}
	return ""
}

// Done reports whether the maintenance of every listed machine of the wave is finished.
func (w *Wave) Done() bool {
	for _, m := range w.machines {
		if m.phase != done && m.listed {
			return false
		}
	}
	return true
}

// Next returns the name of a machine to take down now, or an empty string, and the workers
// to drain so that their machines can be taken down later. It records the machine as
// ordered down. The function load returns the load of the worker with the given id.
func (w *Wave) Next(now time.Time, load func(worker string) WorkerLoad) (down string, drain []string) {
	mayGoDown := w.spec.MaxDown
	var candidates []*machine
	for _, m := range w.machines {
		switch {
		case m.phase == ordered, m.listed && m.current.State == ladderflow.MachineMaintenance:
			mayGoDown--
		case m.phase == waiting && m.listed && m.current.State == ladderflow.MachineUp:
			candidates = append(candidates, m)
		}
	}
	loads := map[string]WorkerLoad{}
	for _, m := range candidates {
		loads[m.name] = load(m.current.Worker)
	}
	slices.SortStableFunc(candidates, func(a, b *machine) int {
		return cmp.Compare(loads[a.name].Demand, loads[b.name].Demand)
	})
	late := w.late(now, len(candidates))
	for _, m := range candidates {
		l := loads[m.name]
		if down == "" && !l.MustStayUp && mayGoDown > 0 && (l.Demand == 0 || late) {
			m.phase, m.orderedWorker, m.orderedAt, m.confirmed, m.seenDown = ordered, m.current.Worker, now, false, false
			down = m.name
			continue
		}
		if len(drain) < w.spec.MaxDown {
			drain = append(drain, m.current.Worker)
		}
	}
	return down, drain
}

// late reports whether the remaining machines need more time than is left, even if none of
// it is spent on draining them.
func (w *Wave) late(now time.Time, remaining int) bool {
	rounds := (remaining + w.spec.MaxDown - 1) / w.spec.MaxDown
	timeNeeded := time.Duration(rounds) * (w.downtime + orderOverhead)
	return now.Add(timeNeeded).After(w.startedAt.Add(w.spec.TimeLimit))
}

// orderOverhead is the time that a machine takes in addition to its downtime: for the
// order, and until the list of machines shows it up again.
const orderOverhead = time.Second
