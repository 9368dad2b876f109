package ladderstand

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"lacewingladder/platform"
)

// The store's interface as the members' platform publishes it, written here once
// more from its pages, so that the product's client is checked against another
// reading of them.

// pageItems is how many items one page of a range holds at most.
const pageItems = 500

type itemJSON struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"rev"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
	Store    int64  `json:"storeRevision,omitempty"`
}

func toItems(list []platform.Item) []itemJSON {
	out := make([]itemJSON, len(list))
	for i, item := range list {
		out[i] = toItem(item)
	}
	return out
}

func toItem(i platform.Item) itemJSON {
	return itemJSON{
		Key: i.Key, Value: i.Value, Revision: i.Changed, Created: i.Created, Lease: i.Lease, Deleted: i.Deleted,
	}
}

type pageJSON struct {
	Items    []itemJSON `json:"items"`
	More     bool       `json:"morePages"`
	Revision int64      `json:"storeRevision"`
}

type eventsJSON struct {
	Events   []itemJSON `json:"events"`
	Revision int64      `json:"storeRevision"`
}

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

func (t txnJSON) txn() platform.Txn {
	out := platform.Txn{Deletes: t.Deletes}
	for _, c := range t.Expect {
		out.If = append(out.If, platform.Condition{Key: c.Key, Changed: c.Revision})
	}
	for _, w := range t.Writes {
		out.Writes = append(out.Writes, platform.Write{Key: w.Key, Value: w.Value, Lease: w.Lease})
	}
	return out
}

type leaseJSON struct {
	Lease int64 `json:"lease,omitempty"`
	TTL   int64 `json:"ttlMs"`
}

// storeRoutes adds the store's interface to a mux.
func (p *Platform) storeRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /-/kv-key", p.guard(false, func(r *http.Request) (int, any) {
		item, ok, revision := p.store.Get(r.URL.Query().Get("key"))
		if !ok {
			return http.StatusNotFound, struct{}{}
		}
		j := toItem(item)
		j.Store = revision
		return http.StatusOK, j
	}))
	mux.HandleFunc("GET /-/kv-range", p.guard(false, func(r *http.Request) (int, any) {
		q := r.URL.Query()
		page := p.store.Range(q.Get("prefix"), q.Get("after"), pageItems)
		return http.StatusOK, pageJSON{Items: toItems(page.Items), More: page.More, Revision: page.Revision}
	}))
	mux.HandleFunc("POST /-/kv-txn", p.guard(true, p.txn))
	mux.HandleFunc("POST /-/kv-lease", p.guard(true, func(r *http.Request) (int, any) {
		var l leaseJSON
		if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
			return http.StatusBadRequest, err.Error()
		}
		l.Lease = p.store.Grant(time.Duration(l.TTL) * time.Millisecond)
		return http.StatusOK, l
	}))
	mux.HandleFunc("POST /-/kv-keep/{lease}", p.guard(false, func(r *http.Request) (int, any) {
		ttl := p.store.Renew(leaseOf(r))
		if ttl == 0 {
			return http.StatusNotFound, struct{}{}
		}
		return http.StatusOK, leaseJSON{TTL: ttl.Milliseconds()}
	}))
	mux.HandleFunc("DELETE /-/kv-lease-end/{lease}", p.guard(true, func(r *http.Request) (int, any) {
		if !p.store.End(leaseOf(r)) {
			return http.StatusNotFound, struct{}{}
		}
		return http.StatusOK, struct{}{}
	}))
	mux.HandleFunc("GET /-/kv-watch", p.watch)
}

func leaseOf(r *http.Request) int64 {
	lease, err := strconv.ParseInt(r.PathValue("lease"), 10, 64)
	if err != nil {
		return 0 // No lease has this number, so the answer will be that there is none.
	}
	return lease
}

func (p *Platform) txn(r *http.Request) (int, any) {
	var t txnJSON
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&t); err != nil {
		return http.StatusBadRequest, err.Error()
	}
	if len(t.Expect)+len(t.Writes)+len(t.Deletes) > platform.MaxTxn {
		return http.StatusBadRequest, "too many entries"
	}
	o := p.store.Txn(t.txn())
	switch {
	case o.NoLease:
		return http.StatusNotFound, struct{}{}
	case !o.Done:
		return http.StatusPreconditionFailed, pageJSON{Items: toItems(o.Found)}
	}
	return http.StatusOK, struct {
		Revision int64 `json:"rev"`
	}{o.Revision}
}

// guard serves one call of the store, as the switches let it.
func (p *Platform) guard(write bool, serve func(*http.Request) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.count()
		if p.down.Load() {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if p.mute.Load() {
			// The body is read so that the server notices when the caller leaves.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		time.Sleep(time.Duration(p.slow.Load()))
		status, reply := serve(r)
		if write && p.lost.Load() {
			// A connection that ends without an answer, after the call was done.
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		// A caller that has left can't be told anything more.
		_ = json.NewEncoder(w).Encode(reply)
	}
}

// watch answers once a key below a prefix has changed, or its wait has passed.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	p.count()
	q := r.URL.Query()
	after, errAfter := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, errWait := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	if errAfter != nil || errWait != nil {
		http.Error(w, "after and waitMs are whole numbers", http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	check := time.NewTicker(watchCheck)
	defer check.Stop()
	deaf := false
	for last := false; ; {
		deaf = deaf || p.deaf.Load()
		if p.mute.Load() {
			<-r.Context().Done()
			return
		}
		if p.down.Load() {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		events, revision, changed, ok := p.store.Changes(q.Get("prefix"), after)
		if !ok && deaf && !last {
			ok, changed = true, nil
		}
		if !ok {
			http.Error(w, "the history is gone", http.StatusGone)
			return
		}
		if deaf {
			events, changed = nil, nil
		}
		if len(events) > 0 || last {
			writeJSON(w, eventsJSON{Events: toItems(events), Revision: revision})
			return
		}
		select {
		case <-changed:
		case <-check.C:
		case <-end:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}
