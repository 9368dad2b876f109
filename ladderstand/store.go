package ladderstand

import (
	"sort"
	"strings"
	"sync"
	"time"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderplatform"
)

// Store is a small key-value store with transactions, leases and watches. It is
// safe for concurrent use.
type Store struct {
	clock ladderclock.Clock

	mu       sync.Mutex
	revision int64
	pairs    map[string]ladderplatform.Pair
	leases   map[int64]*lease
	next     int64
	changed  chan struct{}
	// saved is a state to which the store can fall back.
	saved map[string]ladderplatform.Pair
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// NewStore returns an empty store.
func NewStore(clock ladderclock.Clock) *Store {
	return &Store{
		clock: clock, pairs: map[string]ladderplatform.Pair{}, leases: map[int64]*lease{},
		changed: make(chan struct{}),
	}
}

// Range answers a range query.
func (s *Store) Range(q ladderplatform.RangeQuery) ladderplatform.RangeReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	reply := ladderplatform.RangeReply{Header: ladderplatform.Header{Revision: s.revision}}
	for key, p := range s.pairs {
		in := key == string(q.Key)
		if len(q.End) > 0 {
			in = key >= string(q.Key) && (key < string(q.End) || q.End[0] == 0)
		}
		if in && p.Modified >= q.MinModified {
			reply.Pairs = append(reply.Pairs, p)
		}
	}
	sort.Slice(reply.Pairs, func(i, j int) bool { return string(reply.Pairs[i].Key) < string(reply.Pairs[j].Key) })
	return reply
}

// Txn carries out a transaction.
func (s *Store) Txn(q ladderplatform.TxnQuery) ladderplatform.TxnReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, c := range q.Compare {
		p := s.pairs[string(c.Key)]
		if (c.Target == "CREATE" && p.Created != c.Created) || (c.Target != "CREATE" && p.Modified != c.Modified) {
			return ladderplatform.TxnReply{Header: ladderplatform.Header{Revision: s.revision}}
		}
	}
	if len(q.Success) > 0 {
		s.revision++
	}
	for _, op := range q.Success {
		if op.Put != nil {
			s.put(*op.Put)
		}
		if op.Delete != nil {
			delete(s.pairs, string(op.Delete.Key))
		}
	}
	s.wake()
	return ladderplatform.TxnReply{Header: ladderplatform.Header{Revision: s.revision}, Succeeded: true}
}

func (s *Store) put(q ladderplatform.PutQuery) {
	p, ok := s.pairs[string(q.Key)]
	if !ok {
		p.Created = s.revision
	}
	p.Key, p.Value, p.Modified, p.Lease = q.Key, q.Value, s.revision, q.Lease
	s.pairs[string(q.Key)] = p
}

// Grant returns a new lease.
func (s *Store) Grant(ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	s.leases[s.next] = &lease{ttl: ttl, expires: s.clock.Now().Add(ttl)}
	return s.next
}

// Alive prolongs a lease and returns its length, or zero when it has ended.
func (s *Store) Alive(id int64) time.Duration {
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

// Changes returns the events of a key from a revision on, and a channel that is
// closed at the next change of the store.
func (s *Store) Changes(key string, from int64) ([]ladderplatform.WatchEvent, int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var events []ladderplatform.WatchEvent
	if p, ok := s.pairs[key]; ok && p.Modified >= from {
		events = append(events, ladderplatform.WatchEvent{Pair: p})
	}
	return events, s.revision, s.changed
}

// Save remembers the present state, and Restore falls back to it. Restored keys
// appear as changed, as they do when a store is restored from a backup.
func (s *Store) Save() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved = map[string]ladderplatform.Pair{}
	for k, p := range s.pairs {
		s.saved[k] = p
	}
}

// Restore falls back to the saved state.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.pairs = map[string]ladderplatform.Pair{}
	for k, p := range s.saved {
		p.Modified = s.revision
		s.pairs[k] = p
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
		for k, p := range s.pairs {
			if p.Lease == id && p.Lease != 0 {
				s.revision++
				delete(s.pairs, k)
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
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.pairs {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}
