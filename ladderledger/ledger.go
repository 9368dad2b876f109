package ladderledger

import (
	"sort"
	"time"

	"lacewingladder/ladderclaim"
	"lacewingladder/laddermodel"
)

// Item is room that is set aside for one task.
type Item struct {
	Task string
	Kind laddermodel.Kind
	Size laddermodel.Size
	// Until is the last moment, on the worker's clock, at which the worker may
	// accept the start.
	Until time.Duration
}

// Ledger holds the accounts of the workers of one holder. Its zero value has
// none.
type Ledger struct {
	accounts map[string]*account
}

// account is what one worker has and has given away.
type account struct {
	worker laddermodel.Worker
	boot   uint64
	epoch  uint64
	used   laddermodel.Size
	items  map[string]*entry
	// kinds counts the items by their kind.
	kinds [laddermodel.Service + 1]int
	// at is the time of the newest report taken in.
	at time.Duration
}

type entry struct {
	item Item
	// seen is true once a report listed the task as running.
	seen bool
}

// Open starts a worker's account afresh from the first report of a new epoch.
// It returns false, and changes nothing, when the report is not of that epoch.
func (l *Ledger) Open(w laddermodel.Worker, boot, epoch uint64, r ladderclaim.Report) bool {
	if r.Epoch != epoch || r.Same {
		return false
	}
	if l.accounts == nil {
		l.accounts = map[string]*account{}
	}
	a := &account{worker: w, boot: boot, epoch: epoch, items: map[string]*entry{}, at: r.At}
	for _, t := range r.Running {
		size := t.Size
		size.Memory = max(size.Memory, t.Memory)
		a.add(&entry{item: Item{Task: t.Task, Kind: t.Kind, Size: size}, seen: true})
	}
	l.accounts[w.Name] = a
	return true
}

// Close drops a worker's account.
func (l *Ledger) Close(worker string) { delete(l.accounts, worker) }

// Update takes over a worker's new address or size.
func (l *Ledger) Update(w laddermodel.Worker) {
	if a, ok := l.accounts[w.Name]; ok {
		a.worker = w
	}
}

// Reserve sets room aside. It returns false when the worker has no account, the
// task already has room there, or the item does not fit.
func (l *Ledger) Reserve(worker string, it Item) bool {
	a, ok := l.accounts[worker]
	if !ok || !it.Size.Fits(a.free()) {
		return false
	}
	if _, double := a.items[it.Task]; double {
		return false
	}
	a.add(&entry{item: it})
	return true
}

// Release gives the room of a task back. The caller knows that the task has
// ended or can not start any more. It returns false when there is no such room.
func (l *Ledger) Release(worker, task string) bool {
	a, ok := l.accounts[worker]
	if !ok {
		return false
	}
	return a.remove(task)
}

// Shrink lowers the processor time of a task's room to what its worker has
// confirmed. It returns false when there is no such room.
func (l *Ledger) Shrink(worker, task string, millicores int) bool {
	a, ok := l.accounts[worker]
	if !ok {
		return false
	}
	e, ok := a.items[task]
	if !ok || millicores >= e.item.Size.Millicores {
		return false
	}
	a.used.Millicores -= e.item.Size.Millicores - millicores
	e.item.Size.Millicores = millicores
	return true
}

// Reconcile compares a worker's account with a later report of the same epoch
// and returns the tasks whose room came back.
func (l *Ledger) Reconcile(worker string, boot uint64, r ladderclaim.Report) []Item {
	a, ok := l.accounts[worker]
	if !ok || a.boot != boot || r.Epoch != a.epoch || r.At <= a.at {
		return nil
	}
	a.at = r.At
	running := make(map[string]ladderclaim.Running, len(r.Running))
	for _, t := range r.Running {
		running[t.Task] = t
	}
	var gone []Item
	for task, e := range a.items {
		t, runs := running[task]
		switch {
		case r.Same && e.seen:
		case runs:
			e.seen = true
			a.observe(e, t.Memory)
		case e.seen || r.At > e.item.Until:
			gone = append(gone, e.item)
		}
	}
	for _, it := range gone {
		a.remove(it.Task)
	}
	sort.Slice(gone, func(i, j int) bool { return gone[i].Task < gone[j].Task })
	return gone
}

// Free returns what a worker has left. It is the zero size without an account.
func (l *Ledger) Free(worker string) laddermodel.Size {
	if a, ok := l.accounts[worker]; ok {
		return a.free()
	}
	return laddermodel.Size{}
}

// Used returns what a worker has given away.
func (l *Ledger) Used(worker string) laddermodel.Size {
	if a, ok := l.accounts[worker]; ok {
		return a.used
	}
	return laddermodel.Size{}
}

// Items returns the room set aside on a worker, ordered by task.
func (l *Ledger) Items(worker string) []Item {
	a, ok := l.accounts[worker]
	if !ok {
		return nil
	}
	items := make([]Item, 0, len(a.items))
	for _, e := range a.items {
		items = append(items, e.item)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Task < items[j].Task })
	return items
}

// Running returns the number of tasks of a kind that have room on any worker.
func (l *Ledger) Running(kind laddermodel.Kind) int {
	n := 0
	for _, a := range l.accounts {
		n += a.kinds[kind]
	}
	return n
}

// Has reports whether a task has room on a worker.
func (l *Ledger) Has(worker, task string) bool {
	a, ok := l.accounts[worker]
	if !ok {
		return false
	}
	_, ok = a.items[task]
	return ok
}

func (a *account) free() laddermodel.Size { return a.worker.Size.Sub(a.used) }

func (a *account) add(e *entry) {
	a.items[e.item.Task] = e
	a.kinds[e.item.Kind]++
	a.used = a.used.Add(e.item.Size)
}

func (a *account) remove(task string) bool {
	e, ok := a.items[task]
	if !ok {
		return false
	}
	delete(a.items, task)
	a.kinds[e.item.Kind]--
	a.used = a.used.Sub(e.item.Size)
	return true
}

// observe raises a task's memory to what the worker saw.
func (a *account) observe(e *entry, memory int64) {
	if memory <= e.item.Size.Memory {
		return
	}
	a.used.Memory += memory - e.item.Size.Memory
	e.item.Size.Memory = memory
}
