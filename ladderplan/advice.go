package ladderplan

import (
	"cmp"
	"slices"
	"time"

	"lacewingladder/ladderflow"
)

const (
	// ticketMargin is how long before its expiry a ticket is no longer used. It covers the time in
	// which the ticket reaches the leader and the start reaches the worker.
	ticketMargin = 120 * time.Millisecond
	// longQueryCost is the cost from which a query counts as long. Long queries do not go to the
	// VMs that are kept free for short ones. An urgent task can wait for a query of this cost and
	// still meet its objective.
	longAsk = 150 * time.Millisecond
	// maxLongQueryBacklog is the longest backlog of a VM that a long query may be added to.
	maxLine = 300 * time.Millisecond
	// queryRetryDelay is how long a step waits after a query that was rejected or not answered.
	askAgain = 150 * time.Millisecond
	// minQueryWorkers and maxQueryWorkers bound the number of workers in one query.
	fewest = 8
	most   = 100
	// initialAllowedShare is the share of workers that is assumed to be allowed before any answer
	// about a queue is known.
	firstShare = 0.4
	// adviserExcludeTime is how long a VM that did not answer gets no queries.
	brokenTime = time.Second
)

// Ask is a query to the advice service, to be sent by an entry VM.
type Ask struct {
	VM      string
	Step    ladderflow.StepRef
	Workers []string
	Cost    time.Duration
}

// tickets holds the answers of the advice service about one step.
type tickets struct {
	// rows holds the workers that are known to be allowed, sorted by id, and denied those that are
	// not allowed.
	rows   []ticket
	denied map[string]bool
	asking bool
	next   time.Time
}

// ticket allows a step to run on a worker until validUntil. A zero validUntil means that the worker
// is known to be allowed, but that it has no ticket that can be used.
type ticket struct {
	worker string
	text   string
	until  time.Time
}

// find returns the index of a worker's row. If there is none, it returns the index at which to
// insert the row, and false.
func (t *tickets) find(worker string) (int, bool) {
	return slices.BinarySearchFunc(t.rows, worker, func(k ticket, id string) int { return cmp.Compare(k.worker, id) })
}

// isAllowed reports whether a worker is known to be allowed, with or without a valid ticket.
func (t *tickets) known(worker string) bool {
	_, ok := t.find(worker)
	return ok
}

// valid reports whether the ticket of a worker can be used at a given time.
func (t *tickets) valid(worker string, now time.Time) bool {
	i, ok := t.find(worker)
	return ok && now.Before(t.rows[i].until)
}

// text returns the ticket of a worker in the form that a start order carries.
func (t *tickets) text(worker string) string {
	i, ok := t.find(worker)
	if !ok {
		return ""
	}
	return t.rows[i].text
}

// put adds a ticket, or replaces that of the same worker.
func (t *tickets) put(k ticket) {
	i, ok := t.find(k.worker)
	if ok {
		t.rows[i] = k
		return
	}
	t.rows = slices.Insert(t.rows, i, k)
}

// invalidate discards the ticket of a worker, which remains known to be allowed.
func (t *tickets) drop(worker string) {
	if i, ok := t.find(worker); ok {
		t.rows[i] = ticket{worker: worker}
	}
}

// advisers holds the entry VMs that send queries to the advice service. The service answers the
// queries of one VM one after the other.
type advisers struct {
	names []string
	// busyUntil is when each VM's backlog of queries will be done, and adviserExcludedUntil is
	// until when a VM that did not answer gets no queries.
	busy   map[string]time.Time
	broken map[string]time.Time
	// queriedCount and allowedCount hold, by queue, how many workers the answered queries named and
	// how many of them were allowed.
	named   map[string]int
	allowed map[string]int
}

func newAdvisers() advisers {
	return advisers{
		busy: map[string]time.Time{}, broken: map[string]time.Time{},
		named: map[string]int{}, allowed: map[string]int{},
	}
}

// SetVMs sets the entry VMs that can query the advice service.
func (p *Planner) SetVMs(names []string) {
	p.names = slices.Sorted(slices.Values(names))
}

// pickVM returns the VM with the shortest backlog for a query. It returns false if no VM can be
// used, or if a long query should wait for a shorter backlog.
func (a *advisers) pick(now time.Time, cost time.Duration) (string, bool) {
	names := a.names
	if cost >= longAsk && len(names) > 1 {
		names = names[:max(1, len(names)*2/3)]
	}
	found, wait := "", time.Duration(0)
	for _, n := range names {
		if now.Before(a.broken[n]) {
			continue
		}
		if line := max(0, a.busy[n].Sub(now)); found == "" || line < wait {
			found, wait = n, line
		}
	}
	if found == "" || cost >= longAsk && wait > maxLine {
		return "", false
	}
	a.busy[found] = now.Add(wait + cost)
	return found, true
}

// allowedShare estimates which share of a queue's workers is allowed.
func (a *advisers) share(queue string) float64 {
	const weight = 20
	return (firstShare*weight + float64(a.allowed[queue])) / float64(weight+a.named[queue])
}

// queryForTasks queries advice for the step's waiting tasks if the valid tickets do not suffice for
// them.
func (f *field) askForTasks() {
	if !f.needsTickets() || f.step.waiting == 0 || !f.mayAsk() {
		return
	}
	names := f.toAsk()
	f.askAbout(names)
	if len(names) == 0 {
		f.step.tickets.next = f.now.Add(settledTime)
	}
}

func (f *field) mayAsk() bool {
	t := &f.step.tickets
	return !t.asking && !f.now.Before(t.next)
}

// query sends a query about workers, unless one of the step is outstanding or was sent too
// recently.
func (f *field) askAbout(names []string) {
	t := &f.step.tickets
	if len(names) == 0 || !f.needsTickets() || !f.mayAsk() {
		return
	}
	cost := f.queue.Advice.Cost(len(names))
	vm, ok := f.planner.pick(f.now, cost)
	if !ok {
		return
	}
	t.asking = true
	f.planner.orders.Asks = append(f.planner.orders.Asks, Ask{VM: vm, Step: f.step.ref(), Workers: names, Cost: cost})
}

// workersToQuery returns the workers to query advice about, the most suitable first.
func (f *field) toAsk() []string {
	type candidate struct {
		worker *worker
		known  bool
		slots  int
	}
	t := &f.step.tickets
	need := float64(f.step.waiting)
	soon := f.now.Add(f.queue.Advice.Cost(fewest))
	var list []candidate
	for _, w := range f.pool() {
		if !f.usable(w) || t.denied[w.spec.ID] {
			continue
		}
		n := f.slots(w)
		if t.valid(w.spec.ID, soon) {
			need -= float64(n)
			continue
		}
		known := t.known(w.spec.ID)
		if !known && n == 0 && f.step.spec.Charge().Times(w.spec.Capacity, 1) == 0 {
			continue
		}
		if known && n == 0 {
			continue
		}
		list = append(list, candidate{w, known, n})
	}
	if need <= 0 {
		return nil
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(-cmp.Compare(b2i(a.known), b2i(b.known)), -cmp.Compare(a.slots, b.slots),
			cmp.Compare(a.worker.spec.ID, b.worker.spec.ID))
	})
	share := f.planner.share(f.queue.Name)
	var names []string
	for _, c := range list {
		if len(names) >= most || need <= 0 && len(names) >= fewest {
			break
		}
		names = append(names, c.worker.spec.ID)
		if c.known {
			need -= float64(c.slots)
		} else {
			need -= share * float64(c.slots) / 2
		}
	}
	return names
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Advised records the answer to a query. If valid is zero, there was no answer. If refused is true,
// the service rejected the query.
func (p *Planner) Advised(now time.Time, a Ask, allowed []ladderflow.Ticket, valid time.Duration, refused bool) {
	p.moved = true
	if valid == 0 {
		p.broken[a.VM] = now.Add(brokenTime)
	}
	if refused {
		p.busy[a.VM] = now.Add(a.Cost)
	}
	j := p.jobs[a.Step.Job]
	if j == nil || j.rounds[a.Step.Round] == nil {
		return
	}
	s := j.rounds[a.Step.Round].steps[a.Step.Step]
	t := &s.tickets
	t.asking = false
	if valid == 0 || refused {
		t.next = now.Add(askAgain)
		return
	}
	if t.denied == nil {
		t.denied = map[string]bool{}
	}
	for _, x := range allowed {
		t.put(ticket{worker: x.Worker, text: x.Text, until: now.Add(valid - ticketMargin)})
	}
	for _, w := range a.Workers {
		if !t.known(w) {
			t.denied[w] = true
		}
	}
	p.named[j.spec.Queue] += len(a.Workers)
	p.allowed[j.spec.Queue] += len(allowed)
}

// invalidateTickets discards all tickets for a worker that has restarted.
func (p *Planner) dropTickets(worker string) {
	for _, s := range p.open {
		s.tickets.drop(worker)
	}
}
