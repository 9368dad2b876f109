package ladderplan

import (
	"cmp"
	"slices"
)

// StartLimit returns the number of starts that are unanswered, and the number up to which more are
// ordered. The limit is zero if there is none.
func (p *Planner) StartLimit() (unanswered, limit int) { return p.unanswered, p.window.size }

// Backlog describes the ready steps of one queue that have waiting tasks.
type Backlog struct {
	Queue        string
	Steps, Tasks int
	// AwaitingAdvice counts the steps that have no ticket yet while a query is outstanding.
	AwaitingAdvice int
}

// Backlogs returns the backlogs of the queues that have one, sorted by queue.
func (p *Planner) Backlogs() []Backlog {
	byQueue := map[string]*Backlog{}
	for _, s := range p.readySteps {
		if s.waiting == 0 || s.finished() || !s.round.job.active() {
			continue
		}
		name := s.round.job.spec.Queue
		b := byQueue[name]
		if b == nil {
			b = &Backlog{Queue: name}
			byQueue[name] = b
		}
		b.Steps++
		b.Tasks += s.waiting
		b.AwaitingAdvice += boolToInt(s.tickets.outstanding > 0 && len(s.tickets.rows) == 0)
	}
	var list []Backlog
	for _, b := range byQueue {
		list = append(list, *b)
	}
	slices.SortFunc(list, func(a, b Backlog) int { return cmp.Compare(a.Queue, b.Queue) })
	return list
}
