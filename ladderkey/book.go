package ladderkey

import (
	"sort"
	"time"

	"lacewingladder/ladderclaim"
	"lacewingladder/laddermodel"
)

const (
	// maxRecords is the number of keys in a book at which it refuses new keys.
	// Import does not check it.
	maxRecords = 100_000
	// maxAnswerBytes is the largest total size of the answers in a book.
	maxAnswerBytes = 32 << 20
	// movingRetryAfter is the Retry-After of a new key whose home is moving.
	movingRetryAfter = 250 * time.Millisecond
)

// Action is the action that a caller of [Book.Begin] must take.
type Action int

// The actions of a verdict.
const (
	// Run means that the key must now be run once.
	Run Action = iota
	// Wait means that the key is running. The caller waits for [Verdict.Ended]
	// and calls Begin again.
	Wait
	// Done means that the key has ended. Its answer is in the verdict.
	Done
	// Unconfirmed means that an earlier request with the key may have run, or may
	// still be running.
	Unconfirmed
	// Conflict means that the key was used for a different request.
	Conflict
	// Busy means that the book accepts no new keys now, because it is full or
	// because the home of the key is moving.
	Busy
)

// KeyUse describes a request that uses a key.
type KeyUse struct {
	Key    string
	Rack   string
	Member string
	// Digest is a hash of the class and the body. Requests with the same key
	// and different digests are different requests.
	Digest uint64
	// Once is true if the request must not be repeated.
	Once bool
	// Lease is the longest time for which an attempt may run.
	Lease time.Duration
}

// Verdict is a book's decision on a key.
type Verdict struct {
	Action Action
	Answer laddermodel.Answer
	// Ended is closed when the running key has ended. It is set for Wait.
	Ended <-chan struct{}
	// RetryAfter is the time after which a retry makes sense, for Unconfirmed
	// and Busy. It is zero if a retry does not help.
	RetryAfter time.Duration
	Reason     string
}

// Record is the result of a key that has ended.
type Record struct {
	Use    KeyUse
	Answer laddermodel.Answer
	// At is the time at which the key ended.
	At time.Time
}

// Book holds the keys that are running or have ended. Create one with
// [NewBook].
type Book struct {
	horizon time.Duration
	records map[string]*record
	// answerBytes is the total size of the answers in records.
	answerBytes int
	// closing holds the racks whose home is moving to another VM.
	closing map[string]bool
	// lastSweep is the time at which expired records were last removed.
	lastSweep time.Time
}

// record is a key that is running or has ended. While it is running, only the
// Use of its Record is set.
type record struct {
	Record
	running bool
	ended   chan struct{}
}

// NewBook returns a book for callers that do not repeat a key later than one
// horizon after its first use.
func NewBook(horizon time.Duration) *Book {
	return &Book{horizon: horizon, records: map[string]*record{}, closing: map[string]bool{}}
}

// SetHorizon changes the horizon.
func (b *Book) SetHorizon(horizon time.Duration) { b.horizon = horizon }

// Len returns the number of keys in the book.
func (b *Book) Len() int { return len(b.records) }

// Begin decides what to do with a request's key, and records the key as running
// if the decision is Run. The caller must have verified, at the time now, that
// this VM is the home h of the key's rack.
func (b *Book) Begin(now time.Time, h ladderclaim.Home, use KeyUse) Verdict {
	b.sweep(now)
	if r, ok := b.records[use.Key]; ok {
		return b.beginKnown(now, r, use)
	}
	minted, hasTime := MintTime(use.Key)
	if hasTime && now.Sub(minted) > b.horizon {
		return Verdict{Action: Unconfirmed, Reason: "the key is older than the horizon of repeats; it may have run"}
	}
	// An entry VM accepts keys up to one MaxClockSkew ahead of its clock, which may
	// itself be one MaxClockSkew ahead of this VM's clock.
	newerThanHome := hasTime && minted.After(h.Since.Add(2*MaxClockSkew))
	if retryAt := h.Since.Add(b.horizon); !newerThanHome && now.Before(retryAt) {
		return Verdict{
			Action: Unconfirmed, RetryAfter: retryAt.Sub(now),
			Reason: "the key's home is new and can not tell yet if the key has run",
		}
	}
	if len(b.records) >= maxRecords {
		return Verdict{Action: Busy, RetryAfter: time.Second, Reason: "too many keys are remembered"}
	}
	if b.closing[use.Rack] {
		return Verdict{Action: Busy, RetryAfter: movingRetryAfter, Reason: "the key's home is moving"}
	}
	b.add(use)
	return Verdict{Action: Run}
}

// Finish records the answer of a key that was run. A key that is proved not to
// have run is removed, so that the caller may try it again.
func (b *Book) Finish(now time.Time, key string, a laddermodel.Answer) {
	r, ok := b.records[key]
	if !ok || !r.running {
		return
	}
	r.running, r.Answer, r.At = false, a, now
	close(r.ended)
	if a.Outcome == laddermodel.NotRun {
		delete(b.records, key)
		return
	}
	b.keepAnswer(r)
}

// Export returns the records of a rack's ended keys for the next home, sorted
// by key.
func (b *Book) Export(rack string) []Record {
	var records []Record
	for _, r := range b.records {
		if r.Use.Rack == rack && !r.running {
			records = append(records, r.Record)
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Use.Key < records[j].Use.Key })
	return records
}

// Import adds the records of a previous home. Keys that are in the book already
// are skipped.
func (b *Book) Import(records []Record) {
	for _, r := range records {
		if _, ok := b.records[r.Use.Key]; ok {
			continue
		}
		imported := &record{Record: r}
		b.records[r.Use.Key] = imported
		b.keepAnswer(imported)
	}
}

// RefuseNewKeys makes the book refuse new keys of a rack whose home is about to
// move.
func (b *Book) RefuseNewKeys(rack string) { b.closing[rack] = true }

// AcceptNewKeys undoes [Book.RefuseNewKeys].
func (b *Book) AcceptNewKeys(rack string) { delete(b.closing, rack) }

// Running returns the number of running keys of a rack.
func (b *Book) Running(rack string) int {
	n := 0
	for _, r := range b.records {
		if r.running && r.Use.Rack == rack {
			n++
		}
	}
	return n
}

// add records a key as running.
func (b *Book) add(use KeyUse) {
	b.records[use.Key] = &record{Record: Record{Use: use}, running: true, ended: make(chan struct{})}
}

// beginKnown decides on a key that is in the book. A key whose outcome is
// unknown may run again if the request may be repeated, but only after the
// first attempt can no longer be running.
func (b *Book) beginKnown(now time.Time, r *record, use KeyUse) Verdict {
	if r.Use.Member != use.Member || r.Use.Digest != use.Digest {
		return Verdict{Action: Conflict, Reason: "the key was used for a different request"}
	}
	if r.running {
		return Verdict{Action: Wait, Ended: r.ended}
	}
	if r.Answer.Outcome != laddermodel.Unknown || use.Once {
		return Verdict{Action: Done, Answer: r.Answer}
	}
	// clear is the time from which the earlier attempt can no longer be running.
	clear := r.At.Add(ladderclaim.AddDrift(r.Use.Lease))
	if now.Before(clear) {
		return Verdict{
			Action: Unconfirmed, RetryAfter: clear.Sub(now),
			Reason: "an earlier attempt may still be running",
		}
	}
	b.remove(r)
	b.add(use)
	return Verdict{Action: Run}
}

// keepAnswer adds the size of a record's answer to the total. If the total
// would become too large, it replaces the answer with one whose outcome is
// unknown and whose reason says that the request ran.
func (b *Book) keepAnswer(r *record) {
	if b.answerBytes+len(r.Answer.Body) > maxAnswerBytes {
		r.Answer = laddermodel.Answer{
			Outcome: laddermodel.Unknown, Reason: "the request ran before; its answer is no longer kept",
		}
		return
	}
	b.answerBytes += len(r.Answer.Body)
}

// remove deletes the record of a key that has ended.
func (b *Book) remove(r *record) {
	b.answerBytes -= len(r.Answer.Body)
	delete(b.records, r.Use.Key)
}

// sweep removes the records of keys that ended more than two horizons ago,
// which callers may no longer repeat. It does so at most once per second.
func (b *Book) sweep(now time.Time) {
	if now.Sub(b.lastSweep) < time.Second {
		return
	}
	b.lastSweep = now
	for _, r := range b.records {
		if !r.running && now.Sub(r.At) > 2*b.horizon {
			b.remove(r)
		}
	}
}
