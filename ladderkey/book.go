package ladderkey

import (
	"sort"
	"time"

	"lacewingladder/ladderclaim"
	"lacewingladder/laddermodel"
)

const (
	// maxRecords bounds the number of keys that a book remembers.
	maxRecords = 100_000
	// maxKept bounds the bytes of answers that a book keeps for repeated keys.
	maxKept = 32 << 20
	// movePause is the Retry-After while a home is moving.
	movePause = 250 * time.Millisecond
)

// Act is what a caller of [Book.Begin] has to do.
type Act int

// The acts of a verdict.
const (
	// Run means that the key is new and must now be run once.
	Run Act = iota
	// Join means that the key is running; its answer comes on the same verdict.
	Join
	// Done means that the key has ended and its answer is at hand.
	Done
	// Unsure means that the key may have run before this home knew of it.
	Unsure
	// Conflict means that the key belongs to another request.
	Conflict
	// Busy means that the book is full.
	Busy
)

// Claim is what a request says of its key.
type Claim struct {
	Key    string
	Rack   string
	Member string
	// Digest is a hash of the class and the body. The same key with another
	// digest is a different request.
	Digest uint64
	// Once is true when the request must not be repeated.
	Once bool
	// Lease is the longest time for which an attempt may run.
	Lease time.Duration
}

// Verdict is a book's decision on a key.
type Verdict struct {
	Act    Act
	Answer laddermodel.Answer
	// Ended is closed when a joined key has ended.
	Ended <-chan struct{}
	// RetryAfter says when asking again makes sense, for Unsure and Busy.
	RetryAfter time.Duration
	Reason     string
}

// Record is what a book remembers of a key that has ended.
type Record struct {
	Claim  Claim
	Answer laddermodel.Answer
	At     time.Time
}

// Book remembers keys. Create one with [NewBook].
type Book struct {
	horizon time.Duration
	records map[string]*record
	kept    int
	// closing holds the racks whose home is moving to a successor.
	closing map[string]bool
	swept   time.Time
}

type record struct {
	Record
	running bool
	ended   chan struct{}
}

// NewBook returns a book for callers that stop repeating a key one horizon after
// its first use.
func NewBook(horizon time.Duration) *Book {
	return &Book{horizon: horizon, records: map[string]*record{}, closing: map[string]bool{}}
}

// SetHorizon changes the horizon.
func (b *Book) SetHorizon(horizon time.Duration) { b.horizon = horizon }

// Len returns the number of remembered keys.
func (b *Book) Len() int { return len(b.records) }

// Begin decides what to do with a request's key. The caller has checked that it
// is the key's home at this moment.
func (b *Book) Begin(now time.Time, h ladderclaim.Home, c Claim) Verdict {
	b.sweep(now)
	if r, ok := b.records[c.Key]; ok {
		return b.known(now, r, c)
	}
	minted, timed := Minted(c.Key)
	if timed && now.Sub(minted) > b.horizon {
		return Verdict{Act: Unsure, Reason: "the key is older than the horizon of repeats; it may have run"}
	}
	fresh := timed && minted.After(h.Since.Add(2*Skew))
	if open := h.Since.Add(b.horizon); !fresh && now.Before(open) {
		return Verdict{
			Act: Unsure, RetryAfter: open.Sub(now),
			Reason: "the key's home is new and can not tell yet if the key has run",
		}
	}
	if len(b.records) >= maxRecords {
		return Verdict{Act: Busy, RetryAfter: time.Second, Reason: "too many keys are remembered"}
	}
	if b.closing[c.Rack] {
		return Verdict{Act: Busy, RetryAfter: movePause, Reason: "the key's home is moving"}
	}
	b.start(c)
	return Verdict{Act: Run}
}

// Finish records the answer of a key that was run. A key that is proved not to
// have run is forgotten, so that the caller may try it again.
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
	b.keep(r)
}

// Export returns the ended keys of a rack, ordered by key, for a successor.
func (b *Book) Export(rack string) []Record {
	var records []Record
	for _, r := range b.records {
		if r.Claim.Rack == rack && !r.running {
			records = append(records, r.Record)
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Claim.Key < records[j].Claim.Key })
	return records
}

// Import takes in the records of the home before this one.
func (b *Book) Import(records []Record) {
	for _, r := range records {
		if _, ok := b.records[r.Claim.Key]; ok {
			continue
		}
		n := &record{Record: r}
		b.records[r.Claim.Key] = n
		b.keep(n)
	}
}

// Close makes the book turn away new keys of a rack whose home is to move, and
// Open lets it take them again.
func (b *Book) Close(rack string) { b.closing[rack] = true }

// Open undoes [Book.Close].
func (b *Book) Open(rack string) { delete(b.closing, rack) }

// Running returns the number of keys of a rack that are being run.
func (b *Book) Running(rack string) int {
	n := 0
	for _, r := range b.records {
		if r.running && r.Claim.Rack == rack {
			n++
		}
	}
	return n
}

func (b *Book) start(c Claim) {
	b.records[c.Key] = &record{Record: Record{Claim: c}, running: true, ended: make(chan struct{})}
}

// known decides on a key that the book remembers.
func (b *Book) known(now time.Time, r *record, c Claim) Verdict {
	if r.Claim.Member != c.Member || r.Claim.Digest != c.Digest {
		return Verdict{Act: Conflict, Reason: "the key was used for a different request"}
	}
	if r.running {
		return Verdict{Act: Join, Ended: r.ended}
	}
	if r.Answer.Outcome != laddermodel.Unknown || c.Once {
		return Verdict{Act: Done, Answer: r.Answer}
	}
	clear := r.At.Add(ladderclaim.Widen(r.Claim.Lease))
	if now.Before(clear) {
		return Verdict{
			Act: Unsure, RetryAfter: clear.Sub(now),
			Reason: "an earlier attempt may still be running",
		}
	}
	b.drop(r)
	b.start(c)
	return Verdict{Act: Run}
}

// keep counts the bytes of an answer, or gives the answer up when too many are
// kept already.
func (b *Book) keep(r *record) {
	if b.kept+len(r.Answer.Body) > maxKept {
		r.Answer = laddermodel.Answer{
			Outcome: laddermodel.Unknown, Reason: "the request ran before; its answer is no longer kept",
		}
		return
	}
	b.kept += len(r.Answer.Body)
}

func (b *Book) drop(r *record) {
	b.kept -= len(r.Answer.Body)
	delete(b.records, r.Claim.Key)
}

// sweep drops records that no caller may ask for any more, once a second.
func (b *Book) sweep(now time.Time) {
	if now.Sub(b.swept) < time.Second {
		return
	}
	b.swept = now
	for _, r := range b.records {
		if !r.running && now.Sub(r.At) > 2*b.horizon {
			b.drop(r)
		}
	}
}
