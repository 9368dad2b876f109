package ladderstand

import (
	"sort"
	"strings"
	"sync"
	"time"

	"lacewingladder/ladderclock"
	"lacewingladder/platform"
)

// maxHistoryItems is the maximum number of changes that a [Store] keeps for watches.
const maxHistoryItems = 100_000

// Store is a key-value store in memory, with transactions, leases and watches. Its
// revision increases with every change. It is safe for concurrent use.
type Store struct {
	clock ladderclock.Clock

	mu       sync.Mutex
	revision int64
	items    map[string]platform.Item
	// history holds changes in the order of their revisions: every change after the
	// revision historyStart.
	history      []platform.Item
	historyStart int64
	leases       map[int64]*lease
	// lastLease is the number of the newest lease.
	lastLease int64
	// changed is closed and replaced at each change.
	changed chan struct{}
	// saved is the copy of the items that Save made for Restore.
	saved map[string]platform.Item
}

// lease is a granted lease. The keys that were written under it are deleted when it
// expires.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// NewStore returns an empty store.
func NewStore(clock ladderclock.Clock) *Store {
	return &Store{
		clock: clock, items: map[string]platform.Item{}, leases: map[int64]*lease{},
		changed: make(chan struct{}), revision: 1, historyStart: 1,
	}
}

// Get returns the item of a key, whether the key exists, and the store's revision.
func (s *Store) Get(key string) (platform.Item, bool, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	item, ok := s.items[key]
	return item, ok, s.revision
}

// Range returns at most limit items whose keys begin with prefix and sort after
// afterKey, in ascending order of the keys.
func (s *Store) Range(prefix, afterKey string, limit int) platform.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	page := platform.Page{Revision: s.revision}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > afterKey {
			page.Items = append(page.Items, item)
		}
	}
	sort.Slice(page.Items, func(i, j int) bool { return page.Items[i].Key < page.Items[j].Key })
	if len(page.Items) > limit {
		page.Items, page.More = page.Items[:limit], true
	}
	return page
}

// TxnResult is the result of a transaction.
type TxnResult struct {
	// Committed is true if the transaction was carried out.
	Committed bool
	// LeaseMissing is true if a write names a lease that does not exist.
	LeaseMissing bool
	// Revision is the store's revision after the transaction.
	Revision int64
	// Found holds the current items of the keys in all conditions, if a condition does not hold.
	Found []platform.Item
}

// Txn carries out a transaction if all its conditions hold and the leases of its
// writes exist. Otherwise it changes nothing.
func (s *Store) Txn(t platform.Txn) TxnResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	conditionsHold := true
	var found []platform.Item
	for _, c := range t.Conditions {
		item, ok := s.items[c.Key]
		if !ok {
			item = platform.Item{Key: c.Key}
		}
		found = append(found, item)
		conditionsHold = conditionsHold && item.ModRevision == c.ModRevision
	}
	if !conditionsHold {
		return TxnResult{Revision: s.revision, Found: found}
	}
	for _, w := range t.Writes {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return TxnResult{LeaseMissing: true, Revision: s.revision}
		}
	}
	s.revision++
	for _, w := range t.Writes {
		item := s.items[w.Key]
		if item.CreateRevision == 0 {
			item.CreateRevision = s.revision
		}
		item.Key, item.Value, item.ModRevision, item.Lease = w.Key, w.Value, s.revision, w.Lease
		s.items[w.Key] = item
		s.appendHistory(item)
	}
	for _, key := range t.Deletes {
		s.removeKey(key)
	}
	s.notifyWatches()
	return TxnResult{Committed: true, Revision: s.revision}
}

// removeKey deletes a key at the current revision. The caller must hold s.mu.
func (s *Store) removeKey(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.appendHistory(platform.Item{Key: key, ModRevision: s.revision, Deleted: true})
	}
}

// appendHistory adds a change to the history. The caller must hold s.mu.
func (s *Store) appendHistory(item platform.Item) {
	s.history = append(s.history, item)
	if len(s.history) > maxHistoryItems {
		s.historyStart = s.history[0].ModRevision
		s.history = s.history[1:]
	}
}

// GrantLease creates a lease and returns its number.
func (s *Store) GrantLease(ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, expires: s.clock.Now().Add(ttl)}
	return s.lastLease
}

// RenewLease renews a lease and returns its time to live, or zero if it does not exist or
// has expired.
func (s *Store) RenewLease(id int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l, ok := s.leases[id]
	if !ok {
		return 0
	}
	l.expires = s.clock.Now().Add(l.ttl)
	return l.ttl
}

// EndLease ends a lease and deletes its keys. It reports whether the lease existed.
func (s *Store) EndLease(id int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l, ok := s.leases[id]
	if ok {
		l.expires = s.clock.Now()
		s.expireLeases()
	}
	return ok
}

// Changes returns the changes after afterRevision of keys that begin with prefix, the
// store's revision, and a channel that is closed at the next change of any key. The
// last result is false if the history no longer reaches back to afterRevision.
func (s *Store) Changes(prefix string, afterRevision int64) ([]platform.Item, int64, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if afterRevision < s.historyStart {
		return nil, s.revision, s.changed, false
	}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].ModRevision > afterRevision })
	var events []platform.Item
	for _, item := range s.history[first:] {
		if strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events, s.revision, s.changed, true
}

// Forget drops the history, so that watches from an earlier revision fail.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.historyStart = nil, s.revision
}

// Save saves a copy of all items for [Store.Restore].
func (s *Store) Save() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved = map[string]platform.Item{}
	for key, item := range s.items {
		s.saved[key] = item
	}
}

// Restore goes back to the saved items, in one new revision. It marks each of them as
// changed, as happens when a store is restored from a backup. If no items were saved, it
// deletes all items.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for key := range s.items {
		if _, ok := s.saved[key]; !ok {
			s.removeKey(key)
		}
	}
	for key, item := range s.saved {
		item.ModRevision = s.revision
		s.items[key] = item
		s.appendHistory(item)
	}
	s.notifyWatches()
}

// expireLeases ends the leases whose time has passed and deletes their keys. The caller
// must hold s.mu.
func (s *Store) expireLeases() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		for key, item := range s.items {
			if item.Lease == id {
				s.revision++
				s.removeKey(key)
				s.notifyWatches()
			}
		}
	}
}

// notifyWatches wakes all waiting watches. The caller must hold s.mu.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Keys returns the keys that begin with prefix, in ascending order.
func (s *Store) Keys(prefix string) []string {
	var keys []string
	for _, item := range s.Range(prefix, "", maxHistoryItems).Items {
		keys = append(keys, item.Key)
	}
	return keys
}
