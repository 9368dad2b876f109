package ladderteam

import (
	"maps"
	"slices"

	"lacewingladder/ladderflow"
)

// Ledger holds what each team has running. Create one with [NewLedger].
type Ledger struct {
	entries map[string]*entry
}

// entry is what one team has running.
type entry struct {
	used ladderflow.Size
	// bestEffort is the processor amount that best-effort runs ask for. It is no part of used.
	bestEffort int
	runs       int
}

// NewLedger returns a ledger in which no team has anything running.
func NewLedger() *Ledger { return &Ledger{entries: map[string]*entry{}} }

// Add records that a run of the team occupies the given amount of resources.
func (l *Ledger) Add(team string, size ladderflow.Size) {
	if team == "" {
		return
	}
	e := l.entries[team]
	if e == nil {
		e = &entry{}
		l.entries[team] = e
	}
	e.used, e.runs = e.used.Plus(size), e.runs+1
}

// Remove records that a run of the team that was added has ended.
func (l *Ledger) Remove(team string, size ladderflow.Size) {
	e := l.entries[team]
	if e == nil {
		return
	}
	e.used, e.runs = e.used.Minus(size), e.runs-1
	if e.runs == 0 {
		delete(l.entries, team)
	}
}

// AddBestEffort records that a run of the team, which was added, is best-effort and asks for the given
// processor amount.
func (l *Ledger) AddBestEffort(team string, processor int) {
	if e := l.entries[team]; e != nil {
		e.bestEffort += processor
	}
}

// RemoveBestEffort records that a best-effort run of the team is about to be removed.
func (l *Ledger) RemoveBestEffort(team string, processor int) { l.AddBestEffort(team, -processor) }

// Needed returns what the team has running, including the processor amount that its best-effort runs ask
// for. Quotas limit it.
func (l *Ledger) Needed(team string) ladderflow.Size {
	e := l.entries[team]
	if e == nil {
		return ladderflow.Size{}
	}
	return e.used.Plus(ladderflow.Size{Processor: e.bestEffort})
}

// Used returns how much of the workers' capacity the team's runs occupy. Best-effort runs occupy no processor
// capacity.
func (l *Ledger) Used(team string) ladderflow.Size {
	if e := l.entries[team]; e != nil {
		return e.used
	}
	return ladderflow.Size{}
}

// Runs returns how many runs of the team there are.
func (l *Ledger) Runs(team string) int {
	if e := l.entries[team]; e != nil {
		return e.runs
	}
	return 0
}

// Teams returns the names of the teams that have something running, sorted.
func (l *Ledger) Teams() []string { return slices.Sorted(maps.Keys(l.entries)) }
