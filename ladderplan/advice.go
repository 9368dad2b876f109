package ladderplan

import (
	"cmp"
	"slices"
	"time"

	"lacewingladder/ladderflow"
)

const (
	// ticketMargin is how long before its end a ticket is not used any more: the
	// way of the ticket to the leader and of the start to the worker.
	ticketMargin = 120 * time.Millisecond
	// longAsk is from what cost on a question may not go to the VMs that are kept
	// for short ones: an urgent task can wait that long and still be in time.
	longAsk = 150 * time.Millisecond
	// maxLine is how long a VM's line of questions may be for a long one to join.
	maxLine = 300 * time.Millisecond
	// askAgain is how long a step waits after a question that was not answered.
	askAgain = 150 * time.Millisecond
	// fewest and most bound the workers that one question names.
	fewest = 8
	most   = 100
	// firstShare is the share of workers that is taken to be allowed before any
	// answer about a queue is known.
	firstShare = 0.4
	// brokenTime is how long a VM that did not answer is not asked.
	brokenTime = time.Second
)

// Ask is a question to the advice service, through a VM.
type Ask struct {
	VM      string
	Step    ladderflow.StepRef
	Workers []string
	Cost    time.Duration
}

// tickets is what is known of a step's workers.
type tickets struct {
	// rows holds the workers that are known to be allowed, by their ids, and denied
	// those that are not.
	rows   []ticket
	denied map[string]bool
	asking bool
	next   time.Time
}

// ticket allows a step on a worker until a time.
type ticket struct {
	worker string
	text   string
	until  time.Time
}

// find returns a worker's place among the rows. It is false when the worker has none.
func (t *tickets) find(worker string) (int, bool) {
	return slices.BinarySearchFunc(t.rows, worker, func(k ticket, id string) int { return cmp.Compare(k.worker, id) })
}

// known reports whether a worker is known to be allowed.
func (t *tickets) known(worker string) bool {
	_, ok := t.find(worker)
	return ok
}

// valid reports whether a worker's ticket can be used at a time.
func (t *tickets) valid(worker string, now time.Time) bool {
	i, ok := t.find(worker)
	return ok && now.Before(t.rows[i].until)
}

// text returns a worker's ticket as its orders carry it.
func (t *tickets) text(worker string) string {
	i, ok := t.find(worker)
	if !ok {
		return ""
	}
	return t.rows[i].text
}

// put takes in a ticket.
func (t *tickets) put(k ticket) {
	i, ok := t.find(k.worker)
	if ok {
		t.rows[i] = k
		return
	}
	t.rows = slices.Insert(t.rows, i, k)
}

// drop forgets a ticket, but not that the worker is allowed.
func (t *tickets) drop(worker string) {
	if i, ok := t.find(worker); ok {
		t.rows[i] = ticket{worker: worker}
	}
}

// advisers are the VMs through which the advice service is asked.
type advisers struct {
	names []string
	// busy is until when each VM's line is taken, and broken until when it is not
	// asked.
	busy   map[string]time.Time
	broken map[string]time.Time
	// named and allowed count workers by queue.
	named   map[string]int
	allowed map[string]int
}

func newAdvisers() advisers {
	return advisers{
		busy: map[string]time.Time{}, broken: map[string]time.Time{},
		named: map[string]int{}, allowed: map[string]int{},
	}
}

// SetVMs names the VMs that can ask for advice.
func (p *Planner) SetVMs(names []string) {
	p.names = slices.Sorted(slices.Values(names))
}

// pick returns the VM with the shortest line for a question. It is false when a
// long question should rather wait.
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

// share returns the share of a queue's workers that are allowed, as far as known.
func (a *advisers) share(queue string) float64 {
	const weight = 20
	return (firstShare*weight + float64(a.allowed[queue])) / float64(weight+a.named[queue])
}

// askForTasks asks about workers for the step's waiting tasks, where tickets are
// missing.
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

// askAbout asks about workers, unless a question of the step is under way.
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

// toAsk returns the workers to ask about, best first.
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

// Advised takes in an answer of the advice service. Valid is zero when there was none.
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

// dropTickets forgets all tickets for a worker, whose life has ended.
func (p *Planner) dropTickets(worker string) {
	for _, s := range p.open {
		s.tickets.drop(worker)
	}
}
