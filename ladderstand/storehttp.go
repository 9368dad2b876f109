package ladderstand

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"lacewingladder/platform"
)

// This file serves the HTTP interface of the platform's store. Its JSON types are
// declared from the platform's documentation, and not shared with the product's
// client in package platform, so that tests check the client against an independent
// reading of the documentation.

// maxPageItems is the maximum number of items on one page of a range.
const maxPageItems = 500

// itemJSON is an item of the store, or a change of one.
type itemJSON struct {
	Key           string `json:"key"`
	Value         []byte `json:"value,omitempty"`
	Revision      int64  `json:"rev"`
	Created       int64  `json:"created,omitempty"`
	Lease         int64  `json:"lease"`
	Deleted       bool   `json:"deleted,omitempty"`
	StoreRevision int64  `json:"storeRevision,omitempty"`
}

func toItemsJSON(list []platform.Item) []itemJSON {
	out := make([]itemJSON, len(list))
	for i, item := range list {
		out[i] = toItemJSON(item)
	}
	return out
}

func toItemJSON(i platform.Item) itemJSON {
	return itemJSON{
		Key: i.Key, Value: i.Value, Revision: i.ModRevision, Created: i.CreateRevision, Lease: i.Lease, Deleted: i.Deleted,
	}
}

// pageJSON is a page of a range. The response to a transaction whose conditions do not
// hold has the same form.
type pageJSON struct {
	Items    []itemJSON `json:"items"`
	More     bool       `json:"morePages"`
	Revision int64      `json:"storeRevision"`
}

// eventsJSON is the response to a watch.
type eventsJSON struct {
	Events   []itemJSON `json:"events"`
	Revision int64      `json:"storeRevision"`
}

// txnJSON is the body of a transaction.
type txnJSON struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision int64  `json:"rev"`
	} `json:"expect"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"writes"`
	Deletes []string `json:"deletes"`
}

func (txn txnJSON) transaction() platform.Txn {
	out := platform.Txn{Deletes: txn.Deletes}
	for _, c := range txn.Expect {
		out.Conditions = append(out.Conditions, platform.Condition{Key: c.Key, ModRevision: c.Revision})
	}
	for _, w := range txn.Writes {
		out.Writes = append(out.Writes, platform.Write{Key: w.Key, Value: w.Value, Lease: w.Lease})
	}
	return out
}

// leaseJSON is a lease in the body or the response of a call.
type leaseJSON struct {
	Lease int64 `json:"lease,omitempty"`
	TTL   int64 `json:"ttlMs"`
}

// addStoreRoutes adds the HTTP interface of the store to a mux.
func (p *Platform) addStoreRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /-/kv-key", p.withFaults(false, func(r *http.Request) (int, any) {
		item, ok, revision := p.store.Get(r.URL.Query().Get("key"))
		if !ok {
			return http.StatusNotFound, struct{}{}
		}
		reply := toItemJSON(item)
		reply.StoreRevision = revision
		return http.StatusOK, reply
	}))
	mux.HandleFunc("GET /-/kv-range", p.withFaults(false, func(r *http.Request) (int, any) {
		q := r.URL.Query()
		page := p.store.Range(q.Get("prefix"), q.Get("after"), maxPageItems)
		return http.StatusOK, pageJSON{Items: toItemsJSON(page.Items), More: page.More, Revision: page.Revision}
	}))
	mux.HandleFunc("POST /-/kv-txn", p.withFaults(true, p.commit))
	mux.HandleFunc("POST /-/kv-lease", p.withFaults(true, func(r *http.Request) (int, any) {
		var lease leaseJSON
		if err := json.NewDecoder(r.Body).Decode(&lease); err != nil {
			return http.StatusBadRequest, err.Error()
		}
		lease.Lease = p.store.GrantLease(time.Duration(lease.TTL) * time.Millisecond)
		return http.StatusOK, lease
	}))
	mux.HandleFunc("POST /-/kv-keep/{lease}", p.withFaults(false, func(r *http.Request) (int, any) {
		ttl := p.store.RenewLease(leaseID(r))
		if ttl == 0 {
			return http.StatusNotFound, struct{}{}
		}
		return http.StatusOK, leaseJSON{TTL: ttl.Milliseconds()}
	}))
	mux.HandleFunc("DELETE /-/kv-lease-end/{lease}", p.withFaults(true, func(r *http.Request) (int, any) {
		if !p.store.EndLease(leaseID(r)) {
			return http.StatusNotFound, struct{}{}
		}
		return http.StatusOK, struct{}{}
	}))
	mux.HandleFunc("GET /-/kv-watch", p.watch)
}

// leaseID returns the number of the lease in the path of a request.
func leaseID(r *http.Request) int64 {
	lease, err := strconv.ParseInt(r.PathValue("lease"), 10, 64)
	if err != nil {
		return 0 // No lease has the number 0, so the response will be 404.
	}
	return lease
}

// commit serves POST /-/kv-txn.
func (p *Platform) commit(r *http.Request) (int, any) {
	var txn txnJSON
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&txn); err != nil {
		return http.StatusBadRequest, err.Error()
	}
	if len(txn.Expect)+len(txn.Writes)+len(txn.Deletes) > platform.MaxTxn {
		return http.StatusBadRequest, "too many entries"
	}
	result := p.store.Txn(txn.transaction())
	switch {
	case result.LeaseMissing:
		return http.StatusNotFound, struct{}{}
	case !result.Committed:
		return http.StatusPreconditionFailed, pageJSON{Items: toItemsJSON(result.Found)}
	}
	return http.StatusOK, struct {
		Revision int64 `json:"rev"`
	}{result.Revision}
}

// withFaults returns a handler that carries out one call to the store, with the faults
// whose switches are set. The switch lost affects the call only if write is true.
func (p *Platform) withFaults(write bool, call func(*http.Request) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.countStoreCall()
		if p.down.Load() {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if p.neverRespond.Load() {
			// The server notices a closed connection only once the body has been read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		time.Sleep(time.Duration(p.callDelay.Load()))
		status, reply := call(r)
		if write && p.loseResponses.Load() {
			// The write was carried out; close the connection without a response.
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		// An error means that the caller closed the connection, so it cannot be reported.
		_ = json.NewEncoder(w).Encode(reply)
	}
}

// watch serves GET /-/kv-watch. It responds once a key with the prefix has changed after
// a revision, or with no events when the wait has passed. A watch that has seen the
// switch deaf set drops all events until it responds, even if the switch is turned off
// in between. Such a watch also reports a lost history only at the end of its wait.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	p.countStoreCall()
	q := r.URL.Query()
	after, errAfter := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, errWait := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	if errAfter != nil || errWait != nil {
		http.Error(w, "after and waitMs are whole numbers", http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	ticker := time.NewTicker(watchCheckInterval)
	defer ticker.Stop()
	dropEvents := false
	for timedOut := false; ; {
		dropEvents = dropEvents || p.dropEvents.Load()
		if p.neverRespond.Load() {
			<-r.Context().Done()
			return
		}
		if p.down.Load() {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		events, revision, changed, complete := p.store.Changes(q.Get("prefix"), after)
		if !complete && dropEvents && !timedOut {
			complete, changed = true, nil
		}
		if !complete {
			http.Error(w, "the history is gone", http.StatusGone)
			return
		}
		if dropEvents {
			events, changed = nil, nil
		}
		if len(events) > 0 || timedOut {
			writeJSON(w, eventsJSON{Events: toItemsJSON(events), Revision: revision})
			return
		}
		select {
		case <-changed:
		case <-ticker.C:
		case <-timeout:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}
