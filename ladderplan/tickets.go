package ladderplan

import (
	"cmp"
	"slices"
	"time"
)

// answer is what the advice service has answered about a step and a worker. The answer does not
// change while the worker exists.
type answer uint8

const (
	answerUnknown answer = iota
	answerAllowed
	answerDenied
)

// tickets holds the answers of the advice service about one step.
type tickets struct {
	// rows holds the workers that are known to be allowed, sorted by id.
	rows []ticket
	// answers holds the answers by [worker.index]. Workers beyond its end are unknown.
	answers []answer
	denied  int
	// outstanding is the number of queries without an answer. nextQuery is when the next one may be sent.
	outstanding int
	nextQuery   time.Time
}

// ticket allows a step to run on a worker until validUntil. A zero validUntil means that the worker
// is known to be allowed, but that it has no ticket that can be used.
type ticket struct {
	worker     *worker
	text       string
	validUntil time.Time
}

// answer returns what is known about a worker.
func (t *tickets) answer(w *worker) answer {
	if w.index >= len(t.answers) {
		return answerUnknown
	}
	return t.answers[w.index]
}

// setAnswer records an answer about a worker.
func (t *tickets) setAnswer(w *worker, a answer) {
	if missing := w.index + 1 - len(t.answers); missing > 0 {
		t.answers = append(t.answers, make([]answer, missing)...)
	}
	t.answers[w.index] = a
}

// find returns the index of a worker's row. If there is none, it returns the index at which to
// insert the row, and false.
func (t *tickets) find(w *worker) (int, bool) {
	i, ok := slices.BinarySearchFunc(t.rows, w.spec.ID, func(k ticket, id string) int { return cmp.Compare(k.worker.spec.ID, id) })
	return i, ok && t.rows[i].worker == w
}

// valid reports whether the ticket of a worker can be used at a given time.
func (t *tickets) valid(w *worker, now time.Time) bool {
	if t.answer(w) != answerAllowed {
		return false
	}
	i, ok := t.find(w)
	return ok && now.Before(t.rows[i].validUntil)
}

// text returns the ticket of a worker in the form that a start order carries.
func (t *tickets) text(w *worker) string {
	i, ok := t.find(w)
	if !ok {
		return ""
	}
	return t.rows[i].text
}

// allow adds a ticket, or replaces that of the same worker.
func (t *tickets) allow(k ticket) {
	t.setAnswer(k.worker, answerAllowed)
	i, ok := t.find(k.worker)
	switch {
	case ok:
		t.rows[i] = k
	case i < len(t.rows) && t.rows[i].worker.spec.ID == k.worker.spec.ID:
		t.rows[i] = k // The row belongs to an earlier worker with this id.
	default:
		t.rows = slices.Insert(t.rows, i, k)
	}
}

// deny records that the step may not run on a worker.
func (t *tickets) deny(w *worker) {
	if t.answer(w) == answerUnknown {
		t.setAnswer(w, answerDenied)
		t.denied++
	}
}

// invalidate discards the ticket of a worker, which remains known to be allowed.
func (t *tickets) invalidate(w *worker) {
	if i, ok := t.find(w); ok {
		t.rows[i] = ticket{worker: w}
	}
}
