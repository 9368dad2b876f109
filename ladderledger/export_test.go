package ladderledger

// Has reports whether a task has a reservation on a worker.
func (l *Ledger) Has(worker, task string) bool {
	a, ok := l.accounts[worker]
	if !ok {
		return false
	}
	_, ok = a.reservations[task]
	return ok
}
