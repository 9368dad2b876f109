package ladderplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

// ErrRefused means that a call certainly had no effect.
var ErrRefused = errors.New("the platform refused the call")

const (
	// callTime bounds one call to the platform.
	callTime = 2 * time.Second
	// dialTime bounds the opening of a connection.
	dialTime = time.Second
	// maxReply bounds an answer in bytes.
	maxReply = 64 << 20
)

// Entry is a key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Created and Modified are revisions of the store.
	Created  int64
	Modified int64
}

// Condition holds when a key was last modified at the given revision. Revision
// zero means that the key does not exist. With Creation set, the revision at
// which the key was created is compared instead.
type Condition struct {
	Key      string
	Modified int64
	Creation bool
}

// Put sets a key. A lease other than zero removes the key when it ends.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// Txn is a set of writes that happen together, and only when all conditions hold.
type Txn struct {
	If      []Condition
	Puts    []Put
	Deletes []string
}

// Store is a client of the platform's key-value store. Create one with
// [NewStore].
type Store struct {
	base  string
	http  *http.Client
	calls atomic.Int64
}

// NewStore returns a client of the store at an address.
func NewStore(address netip.AddrPort) *Store {
	return &Store{base: "http://" + address.String(), http: newHTTP()}
}

func newHTTP() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTime}).DialContext,
		MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}}
}

// Calls returns the number of calls made so far.
func (s *Store) Calls() int64 { return s.calls.Load() }

// Close closes idle connections.
func (s *Store) Close() { s.http.CloseIdleConnections() }

// Get returns a key's entry; ok is false when there is none.
func (s *Store) Get(ctx context.Context, key string) (e Entry, ok bool, err error) {
	var reply RangeReply
	if err := s.call(ctx, "/v3/kv/range", RangeQuery{Key: []byte(key)}, &reply); err != nil {
		return Entry{}, false, err
	}
	if len(reply.Pairs) == 0 {
		return Entry{}, false, nil
	}
	return toEntry(reply.Pairs[0]), true, nil
}

// List returns the entries whose keys begin with prefix and that were modified at
// revision since or later, and the store's revision.
func (s *Store) List(ctx context.Context, prefix string, since int64) ([]Entry, int64, error) {
	query := RangeQuery{Key: []byte(prefix), End: rangeEnd(prefix), MinModified: since}
	var reply RangeReply
	if err := s.call(ctx, "/v3/kv/range", query, &reply); err != nil {
		return nil, 0, err
	}
	entries := make([]Entry, len(reply.Pairs))
	for i, p := range reply.Pairs {
		entries[i] = toEntry(p)
	}
	return entries, reply.Header.Revision, nil
}

// Commit carries out a transaction. Done is false when a condition did not hold.
func (s *Store) Commit(ctx context.Context, t Txn) (done bool, revision int64, err error) {
	var reply TxnReply
	if err := s.call(ctx, "/v3/kv/txn", fromTxn(t), &reply); err != nil {
		return false, 0, err
	}
	return reply.Succeeded, reply.Header.Revision, nil
}

// Grant returns a new lease.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (lease int64, err error) {
	var reply LeaseReply
	query := LeaseQuery{TTL: int64(ttl / time.Second)}
	if err := s.call(ctx, "/v3/lease/grant", query, &reply); err != nil {
		return 0, err
	}
	return reply.ID, nil
}

// Alive prolongs a lease. It is false when the lease has ended.
func (s *Store) Alive(ctx context.Context, lease int64) (bool, error) {
	var reply AliveReply
	if err := s.call(ctx, "/v3/lease/keepalive", LeaseQuery{ID: lease}, &reply); err != nil {
		return false, err
	}
	return reply.Result.TTL > 0, nil
}

// Watch calls changed for each new value of a key, until ctx ends or the watch
// breaks. It starts at the given revision.
func (s *Store) Watch(ctx context.Context, key string, revision int64, changed func(Entry)) error {
	query := WatchQuery{Create: WatchCreate{Key: []byte(key), Start: revision}}
	body, err := json.Marshal(query)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.base+"/v3/watch", bytes.NewReader(body))
	if err != nil {
		return err
	}
	s.calls.Add(1)
	response, err := s.http.Do(request)
	if err != nil {
		return fmt.Errorf("store watch: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("store watch: status %d", response.StatusCode)
	}
	stream := json.NewDecoder(response.Body)
	for {
		var reply WatchReply
		if err := stream.Decode(&reply); err != nil {
			return fmt.Errorf("store watch: %w", err)
		}
		for _, e := range reply.Result.Events {
			changed(toEntry(e.Pair))
		}
	}
}

// call makes one call with a JSON body.
func (s *Store) call(ctx context.Context, path string, query, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	body, err := json.Marshal(query)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	s.calls.Add(1)
	return receive(s.http, request, reply)
}

// receive sends a request and reads a JSON answer.
func receive(client *http.Client, request *http.Request, reply any) error {
	response, err := client.Do(request)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Join(ErrRefused, err)
	}
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		return fmt.Errorf("platform: %s: %w", request.URL.Path, ErrRefused)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("platform: %s: status %d", request.URL.Path, response.StatusCode)
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return fmt.Errorf("platform: %s: %w", request.URL.Path, err)
	}
	return nil
}

// rangeEnd returns the first key after all keys that begin with prefix.
func rangeEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
