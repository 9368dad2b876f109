package ladderfanout

import "time"

const (
	// readers is the number of VMs of the leader's region that wait at the store for changes,
	// and of each other region that pass changes on there.
	readers = 2
	// minPollInterval and maxPollInterval bound the time between two polls of one VM.
	minPollInterval = 1200 * time.Millisecond
	maxPollInterval = 3 * time.Second
	// regionPollInterval is the mean time between two polls by any VM of a region, unless that
	// bound is reached.
	regionPollInterval = 300 * time.Millisecond
	// announcedDelay is how long a VM that knows of a change waits at least for the offer before it
	// polls the store.
	announcedDelay = 500 * time.Millisecond
	// maxAskInterval bounds the time between two times at which a VM that the store does not answer asks peers. A
	// VM that the store answers polls at most as often, and several of them fit into the time that a
	// configuration may take until it is in force.
	maxAskInterval = minPollInterval
	// fetchInterval is the time between two attempts to get the whole state from a peer.
	fetchInterval = 150 * time.Millisecond
	// minPatience is how long a VM without state waits for its peers before it reads the store,
	// and patiencePerRank the additional time for each VM that reads before it.
	minPatience     = 300 * time.Millisecond
	patiencePerRank = 30 * time.Millisecond
)

// Action is what a VM does next.
type Action int

// The actions of a VM.
const (
	// Wait means to wait for an offer, until the time that comes with the action.
	Wait Action = iota
	// Read means to read all items from the store.
	Read
	// Watch means to wait at the store for changes.
	Watch
	// Poll means to ask the store for changes without waiting.
	Poll
	// Fetch means to ask a peer for its state.
	Fetch
	// Ask means to ask peers for changes, since the store does not answer.
	Ask
)

// String returns the action's name, for logs.
func (a Action) String() string {
	return [...]string{"wait", "read", "watch", "poll", "fetch", "ask"}[a]
}

// Feed follows the operators' keys. It is not safe for concurrent use.
type Feed struct {
	// revision is the store's revision up to which all changes are known, or zero while the
	// state is not known.
	revision int64
	// lostAt is when the state was last not known or the store's history was found missing.
	lostAt time.Time
	// lost is true while the store no longer has the changes after revision.
	lost bool
	// fetchAt and pollAt are when the next fetch and the next poll are due.
	fetchAt time.Time
	pollAt  time.Time
	// failed is true from a fetch that has failed until the next call to the store has ended.
	failed bool
	// asks is true while the store does not answer and peers are asked for changes, and askAt is when that is
	// next due.
	asks  bool
	askAt time.Time
	// jitter returns a random number from 0 up to 1.
	jitter func() float64
}

// NewFeed returns a feed that knows nothing yet.
func NewFeed(now time.Time, jitter func() float64) *Feed {
	return &Feed{lost: true, lostAt: now, fetchAt: now, jitter: jitter}
}

// Revision returns the store's revision from which to continue.
func (f *Feed) Revision() int64 { return f.revision }

// Next returns what to do now. For [Wait], it also returns until when.
func (f *Feed) Next(now time.Time, p Placement) (Action, time.Time) {
	if f.asks && !now.Before(f.askAt) {
		f.Asked(now)
		return Ask, time.Time{}
	}
	action, until := f.nextOfStore(now, p)
	if action == Wait && f.asks && f.askAt.Before(until) {
		until = f.askAt
	}
	return action, until
}

// nextOfStore returns what to do but for asking peers for changes.
func (f *Feed) nextOfStore(now time.Time, p Placement) (Action, time.Time) {
	switch {
	case f.lost:
		return f.nextWhileLost(now, p)
	case p.reads():
		return Watch, time.Time{}
	case now.Before(f.pollAt):
		return Wait, f.pollAt
	}
	return Poll, time.Time{}
}

// nextWhileLost returns what a VM does that cannot continue from its revision.
func (f *Feed) nextWhileLost(now time.Time, p Placement) (Action, time.Time) {
	readAt := f.lostAt.Add(minPatience + time.Duration(p.Rank)*patiencePerRank)
	switch {
	case p.reads() || !now.Before(readAt):
		return Read, time.Time{}
	case !now.Before(f.fetchAt):
		f.fetchAt = now.Add(fetchInterval)
		return Fetch, time.Time{}
	case f.fetchAt.Before(readAt):
		return Wait, f.fetchAt
	}
	return Wait, readAt
}

// Synced records that the store has shown all changes up to a revision.
func (f *Feed) Synced(now time.Time, revision int64, p Placement) {
	f.asks = false
	f.advance(now, revision, p)
}

// advance records that all changes up to a revision are known.
func (f *Feed) advance(now time.Time, revision int64, p Placement) {
	f.revision, f.lost, f.failed = max(f.revision, revision), false, false
	f.schedulePoll(now, p)
}

// Vouched records that a peer has shown all changes up to a revision. It returns false if that
// is not newer than what the feed knows.
func (f *Feed) Vouched(now time.Time, revision int64, p Placement) bool {
	if revision <= f.revision {
		return false
	}
	f.advance(now, revision, p)
	return true
}

// Polled records that a poll returned no change. The revision stays: a store that is about to
// lose its history may return nothing although there was a change.
func (f *Feed) Polled(now time.Time, p Placement) {
	f.failed, f.asks = false, false
	f.schedulePoll(now, p)
}

// Failed records that a peer offered a change and did not send it. Others that offer it may not
// answer either, so the VM polls the store next, and soon. Many VMs may be in the same position.
func (f *Feed) Failed(now time.Time, p Placement) {
	f.failed = true
	if at := now.Add(time.Duration(f.jitter() * float64(p.pollInterval()/4))); at.Before(f.pollAt) {
		f.pollAt = at
	}
}

// Unanswered records that the store did not answer. The VM may depend on its peers now.
func (f *Feed) Unanswered() { f.failed = false }

// AskPeers makes the VM ask peers for changes, at once and then from time to time, until the store answers.
func (f *Feed) AskPeers(now time.Time) {
	if !f.asks {
		f.asks, f.askAt = true, now
	}
}

// AskAt returns when peers are next asked for changes, also while a call to the store is under way. It returns false if
// the store answers. Next returns [Ask] then; a caller that does not call Next before asks them, and calls Asked.
func (f *Feed) AskAt() (time.Time, bool) { return f.askAt, f.asks }

// Asked records that peers are asked for changes now.
func (f *Feed) Asked(now time.Time) { f.askAt = now.Add(f.spread(maxAskInterval)) }

// Fetches reports whether to fetch what a peer offers. If not, the VM polls the store first.
func (f *Feed) Fetches() bool { return f.lost || !f.failed }

// Announced records that a change is known that another VM will offer. Many VMs learn of it at the
// same moment. If nobody offers it, they must not poll at the same moment.
func (f *Feed) Announced(now time.Time, p Placement) {
	if at := now.Add(announcedDelay + time.Duration(f.jitter()*float64(p.pollInterval()/2))); f.pollAt.Before(at) {
		f.pollAt = at
	}
}

// Lost records that the store no longer has the changes after the feed's revision.
func (f *Feed) Lost(now time.Time) {
	if !f.lost {
		f.lost, f.lostAt, f.fetchAt = true, now, now
	}
}

// schedulePoll sets the time of the next poll. Polls of VMs that were changed at the same
// moment must not come at the same moment, so it lies between half of the interval and the
// whole.
func (f *Feed) schedulePoll(now time.Time, p Placement) {
	f.pollAt = now.Add(f.spread(p.pollInterval()))
}

// spread returns a random time between half of an interval and the whole.
func (f *Feed) spread(interval time.Duration) time.Duration {
	return interval/2 + time.Duration(f.jitter()*float64(interval/2))
}
