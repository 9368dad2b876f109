package ladderstand

import (
	"sort"
	"strings"
	"sync"
	"time"

	"lacewingladder/ladderclock"
	"lacewingladder/platform"
)

// maxHistory is how many changes a [Store] remembers for watches.
const maxHistory = 100_000

// Store is a small key-value store with transactions, leases and watches. It is
// safe for concurrent use.
type Store struct {
	clock ladderclock.Clock

	mu       sync.Mutex
	revision int64
	items    map[string]platform.Item
	history  []platform.Item
	// oldest is the revision behind which all changes are remembered.
	oldest  int64
	leases  map[int64]*lease
	next    int64
	changed chan struct{}
	// saved is a state to which the store can fall back.
	saved map[string]platform.Item
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// NewStore returns an empty store.
func NewStore(clock ladderclock.Clock) *Store {
	return &Store{
		clock: clock, items: map[string]platform.Item{}, leases: map[int64]*lease{},
		changed: make(chan struct{}), revision: 1, oldest: 1,
	}
}

// Get returns an item, and the store's revision.
func (s *Store) Get(key string) (platform.Item, bool, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	item, ok := s.items[key]
	return item, ok, s.revision
}

// Range returns at most limit items behind a key whose keys begin with prefix.
func (s *Store) Range(prefix, after string, limit int) platform.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	page := platform.Page{Revision: s.revision}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, item)
		}
	}
	sort.Slice(page.Items, func(i, j int) bool { return page.Items[i].Key < page.Items[j].Key })
	if len(page.Items) > limit {
		page.Items, page.More = page.Items[:limit], true
	}
	return page
}

// Outcome is what became of a transaction.
type Outcome struct {
	Done     bool
	NoLease  bool
	Revision int64
	// Found are the items of the conditions, where one did not hold.
	Found []platform.Item
}

// Txn carries out a transaction.
func (s *Store) Txn(t platform.Txn) Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	held := true
	var found []platform.Item
	for _, c := range t.If {
		item, ok := s.items[c.Key]
		if !ok {
			item = platform.Item{Key: c.Key}
		}
		found = append(found, item)
		held = held && item.Changed == c.Changed
	}
	if !held {
		return Outcome{Revision: s.revision, Found: found}
	}
	for _, w := range t.Writes {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return Outcome{NoLease: true, Revision: s.revision}
		}
	}
	s.revision++
	for _, w := range t.Writes {
		item := s.items[w.Key]
		if item.Created == 0 {
			item.Created = s.revision
		}
		item.Key, item.Value, item.Changed, item.Lease = w.Key, w.Value, s.revision, w.Lease
		s.items[w.Key] = item
		s.record(item)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	s.wake()
	return Outcome{Done: true, Revision: s.revision}
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.record(platform.Item{Key: key, Changed: s.revision, Deleted: true})
	}
}

func (s *Store) record(item platform.Item) {
	s.history = append(s.history, item)
	if len(s.history) > maxHistory {
		s.oldest = s.history[0].Changed
		s.history = s.history[1:]
	}
}

// Grant returns a new lease.
func (s *Store) Grant(ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	s.leases[s.next] = &lease{ttl: ttl, expires: s.clock.Now().Add(ttl)}
	return s.next
}

// Renew prolongs a lease and returns its length, or zero when it has ended.
func (s *Store) Renew(id int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[id]
	if !ok {
		return 0
	}
	l.expires = s.clock.Now().Add(l.ttl)
	return l.ttl
}

// End ends a lease. It is false when there is none.
func (s *Store) End(id int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[id]
	if ok {
		l.expires = s.clock.Now()
		s.expire()
	}
	return ok
}

// Changes returns the changes of keys that begin with prefix behind a revision, and
// a channel that is closed at the next change of the store. It is false when that
// history is gone.
func (s *Store) Changes(prefix string, after int64) ([]platform.Item, int64, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if after < s.oldest {
		return nil, s.revision, s.changed, false
	}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Changed > after })
	var events []platform.Item
	for _, item := range s.history[first:] {
		if strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events, s.revision, s.changed, true
}

// Forget drops the history of changes.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.revision
}

// Save remembers the present state, and Restore falls back to it. Restored keys
// appear as changed, as they do when a store is restored from a backup.
func (s *Store) Save() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved = map[string]platform.Item{}
	for k, item := range s.items {
		s.saved[k] = item
	}
}

// Restore falls back to the saved state.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for k := range s.items {
		if _, ok := s.saved[k]; !ok {
			s.remove(k)
		}
	}
	for k, item := range s.saved {
		item.Changed = s.revision
		s.items[k] = item
		s.record(item)
	}
	s.wake()
}

// expire removes the keys of leases that ended.
func (s *Store) expire() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		for k, item := range s.items {
			if item.Lease == id {
				s.revision++
				s.remove(k)
				s.wake()
			}
		}
	}
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Keys returns the keys that begin with prefix, in order.
func (s *Store) Keys(prefix string) []string {
	var keys []string
	for _, item := range s.Range(prefix, "", maxHistory).Items {
		keys = append(keys, item.Key)
	}
	return keys
}
