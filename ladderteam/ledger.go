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
	runs int
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

// Used returns what the team has running.
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
