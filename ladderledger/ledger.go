package ladderledger

import (
	"sort"
	"time"

	"lacewingladder/ladderclaim"
	"lacewingladder/laddermodel"
)

// Item is the capacity that is reserved on a worker for one task.
type Item struct {
	Task string
	Kind laddermodel.Kind
	Size laddermodel.Size
	// Until is the last moment, on the worker's clock, at which the worker may
	// accept the start. It is zero for tasks that the worker's first report
	// listed.
	Until time.Duration
}

// Ledger holds the accounts of one holder's workers. The zero value is a ledger
// without accounts.
type Ledger struct {
	accounts map[string]*account
}

// account records a worker's reserved capacity.
type account struct {
	worker laddermodel.Worker
	// boot and epoch identify the claim under which the account was opened: the
	// incarnation of the worker's process and the epoch of the claim.
	boot  uint64
	epoch uint64
	// used is the sum of all reservations.
	used         laddermodel.Size
	reservations map[string]*reservation
	// countByKind counts the reservations by kind of task.
	countByKind [laddermodel.Service + 1]int
	// reportAt is the time of the newest report that has been applied, on the
	// worker's clock.
	reportAt time.Duration
}

// reservation is an item of an account.
type reservation struct {
	item Item
	// listed is true once a report listed the task as running.
	listed bool
}

// Open replaces a worker's account with a new one that holds the running tasks of
// the first report of a new epoch. It returns false and changes nothing if the
// report is of another epoch or leaves out the running tasks.
func (l *Ledger) Open(w laddermodel.Worker, boot, epoch uint64, r ladderclaim.Report) bool {
	if r.Epoch != epoch || r.Unchanged {
		return false
	}
	if l.accounts == nil {
		l.accounts = map[string]*account{}
	}
	a := &account{worker: w, boot: boot, epoch: epoch, reservations: map[string]*reservation{}, reportAt: r.At}
	for _, t := range r.Running {
		size := t.Size
		size.Memory = max(size.Memory, t.Memory)
		a.add(&reservation{item: Item{Task: t.Task, Kind: t.Kind, Size: size}, listed: true})
	}
	l.accounts[w.Name] = a
	return true
}

// Close removes a worker's account.
func (l *Ledger) Close(worker string) { delete(l.accounts, worker) }

// SetWorker replaces the description of a worker, such as its address or size.
func (l *Ledger) SetWorker(w laddermodel.Worker) {
	if a, ok := l.accounts[w.Name]; ok {
		a.worker = w
	}
}

// Reserve reserves capacity for a task. It returns false if the worker has no
// account, if the task has a reservation on the worker already, or if the free
// capacity is too small.
func (l *Ledger) Reserve(worker string, item Item) bool {
	a, ok := l.accounts[worker]
	if !ok || !item.Size.Fits(a.free()) {
		return false
	}
	if _, exists := a.reservations[item.Task]; exists {
		return false
	}
	a.add(&reservation{item: item})
	return true
}

// Release frees the capacity of a task that has ended or can no longer start.
// It returns false if the task has no reservation on the worker.
func (l *Ledger) Release(worker, task string) bool {
	a, ok := l.accounts[worker]
	if !ok {
		return false
	}
	return a.remove(task)
}

// Shrink lowers the processor time reserved for a task to the limit that the
// worker has confirmed. It returns false if the task has no reservation on the
// worker or if the limit is not lower.
func (l *Ledger) Shrink(worker, task string, millicores int) bool {
	a, ok := l.accounts[worker]
	if !ok {
		return false
	}
	res, ok := a.reservations[task]
	if !ok || millicores >= res.item.Size.Millicores {
		return false
	}
	a.used.Millicores -= res.item.Size.Millicores - millicores
	res.item.Size.Millicores = millicores
	return true
}

// Reconcile applies a later report of the same epoch to a worker's account. It
// frees the capacity of tasks that are no longer running and returns their
// items, sorted by task.
func (l *Ledger) Reconcile(worker string, boot uint64, r ladderclaim.Report) []Item {
	a, ok := l.accounts[worker]
	if !ok || a.boot != boot || r.Epoch != a.epoch || r.At <= a.reportAt {
		return nil
	}
	a.reportAt = r.At
	running := make(map[string]ladderclaim.Running, len(r.Running))
	for _, t := range r.Running {
		running[t.Task] = t
	}
	var freed []Item
	for task, res := range a.reservations {
		t, ok := running[task]
		switch {
		case r.Unchanged && res.listed:
			// The list of running tasks has not changed, so the task is still running.
		case ok:
			res.listed = true
			a.raiseMemory(res, t.Memory)
		case res.listed || r.At > res.item.Until:
			freed = append(freed, res.item)
		}
	}
	for _, item := range freed {
		a.remove(item.Task)
	}
	sort.Slice(freed, func(i, j int) bool { return freed[i].Task < freed[j].Task })
	return freed
}

// Free returns the free capacity of a worker. It is zero if the worker has no
// account.
func (l *Ledger) Free(worker string) laddermodel.Size {
	if a, ok := l.accounts[worker]; ok {
		return a.free()
	}
	return laddermodel.Size{}
}

// Used returns the reserved capacity of a worker. It is zero if the worker has
// no account.
func (l *Ledger) Used(worker string) laddermodel.Size {
	if a, ok := l.accounts[worker]; ok {
		return a.used
	}
	return laddermodel.Size{}
}

// Items returns the reservations on a worker, sorted by task.
func (l *Ledger) Items(worker string) []Item {
	a, ok := l.accounts[worker]
	if !ok {
		return nil
	}
	items := make([]Item, 0, len(a.reservations))
	for _, res := range a.reservations {
		items = append(items, res.item)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Task < items[j].Task })
	return items
}

// Count returns the number of tasks of a kind that have a reservation on any
// worker.
func (l *Ledger) Count(kind laddermodel.Kind) int {
	n := 0
	for _, a := range l.accounts {
		n += a.countByKind[kind]
	}
	return n
}

func (a *account) free() laddermodel.Size { return a.worker.Size.Sub(a.used) }

func (a *account) add(res *reservation) {
	a.reservations[res.item.Task] = res
	a.countByKind[res.item.Kind]++
	a.used = a.used.Add(res.item.Size)
}

func (a *account) remove(task string) bool {
	res, ok := a.reservations[task]
	if !ok {
		return false
	}
	delete(a.reservations, task)
	a.countByKind[res.item.Kind]--
	a.used = a.used.Sub(res.item.Size)
	return true
}

// raiseMemory raises the memory reserved for a task to the memory that the
// worker observed, if that is more.
func (a *account) raiseMemory(res *reservation, memory int64) {
	if memory <= res.item.Size.Memory {
		return
	}
	a.used.Memory += memory - res.item.Size.Memory
	res.item.Size.Memory = memory
}
