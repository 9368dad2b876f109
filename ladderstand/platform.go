package ladderstand

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderplatform"
)

// Platform offers a [Store] and a list of VMs over HTTP, with switches for its
// faults. The list is the operators' to fill: POST /vms puts one VM in.
type Platform struct {
	store *Store
	clock ladderclock.Clock

	down atomic.Bool
	lost atomic.Bool
	slow atomic.Int64
	lag  atomic.Int64

	mu    sync.Mutex
	vms   map[string]listed
	order []string
	calls int64
}

// listed is a VM with the time of its last change, and how it was before.
type listed struct {
	vm     ladderplatform.VM
	before *ladderplatform.VM
	at     time.Time
}

// NewPlatform returns a platform that lists no VM.
func NewPlatform(clock ladderclock.Clock) *Platform {
	return &Platform{store: NewStore(clock), clock: clock, vms: map[string]listed{}}
}

// Store returns the platform's store.
func (p *Platform) Store() *Store { return p.store }

// SetVM puts a VM into the list.
func (p *Platform) SetVM(vm ladderplatform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.vms[vm.Name]
	entry := listed{vm: vm, at: p.clock.Now()}
	if ok {
		entry.before = &old.vm
	} else {
		p.order = append(p.order, vm.Name)
	}
	p.vms[vm.Name] = entry
}

// VMs returns the list as it is shown now.
func (p *Platform) VMs() []ladderplatform.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, lag := p.clock.Now(), time.Duration(p.lag.Load())
	shown := make([]ladderplatform.VM, 0, len(p.order))
	for _, name := range p.order {
		e := p.vms[name]
		switch {
		case now.Sub(e.at) >= lag:
			shown = append(shown, e.vm)
		case e.before != nil:
			shown = append(shown, *e.before)
		}
	}
	return shown
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", call(p, func(q ladderplatform.RangeQuery) (any, bool) {
		return p.store.Range(q), false
	}))
	mux.HandleFunc("POST /v3/kv/txn", call(p, func(q ladderplatform.TxnQuery) (any, bool) {
		return p.store.Txn(q), true
	}))
	mux.HandleFunc("POST /v3/lease/grant", call(p, func(q ladderplatform.LeaseQuery) (any, bool) {
		ttl := time.Duration(q.TTL) * time.Second
		return ladderplatform.LeaseReply{ID: p.store.Grant(ttl), TTL: q.TTL}, true
	}))
	mux.HandleFunc("POST /v3/lease/keepalive", call(p, func(q ladderplatform.LeaseQuery) (any, bool) {
		ttl := p.store.Alive(q.ID)
		return ladderplatform.AliveReply{Result: ladderplatform.LeaseReply{ID: q.ID, TTL: int64(ttl / time.Second)}}, true
	}))
	mux.HandleFunc("POST /v3/watch", p.watch)
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, _ *http.Request) {
		if p.down.Load() {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, p.VMs())
	})
	mux.HandleFunc("POST /vms", p.putVM)
	mux.HandleFunc("POST /switch", p.set)
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		_, _ = fmt.Fprintln(w, p.calls)
	})
	return mux
}

// call serves one call of the store, as the switches let it.
func call[Q any](p *Platform, serve func(Q) (reply any, write bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.calls++
		p.mu.Unlock()
		if p.down.Load() {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		time.Sleep(time.Duration(p.slow.Load()))
		var q Q
		if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		reply, write := serve(q)
		if write && p.lost.Load() {
			http.Error(w, "the answer was lost", http.StatusGatewayTimeout)
			return
		}
		writeJSON(w, reply)
	}
}

// watch streams the changes of one key.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	var q ladderplatform.WatchQuery
	err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&q)
	if err != nil || p.down.Load() {
		http.Error(w, fmt.Sprint(errors.Join(err, errors.New("no watch"))), http.StatusServiceUnavailable)
		return
	}
	encoder := json.NewEncoder(w)
	from := max(1, q.Create.Start)
	check := time.NewTicker(watchCheck)
	defer check.Stop()
	_ = http.NewResponseController(w).Flush()
	for {
		events, revision, changed := p.store.Changes(string(q.Create.Key), from)
		if len(events) > 0 {
			from = revision + 1
			if encoder.Encode(ladderplatform.WatchReply{Result: ladderplatform.WatchResult{
				Header: ladderplatform.Header{Revision: revision}, Events: events,
			}}) != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
		}
		select {
		case <-changed:
		case <-check.C:
			if p.down.Load() {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// watchCheck is how often a watch sees if the platform went down.
const watchCheck = 100 * time.Millisecond

func (p *Platform) putVM(w http.ResponseWriter, r *http.Request) {
	var vm ladderplatform.VM
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetVM(vm)
}

// set turns switches: POST /switch?down=true, lost=true, slow=200ms, lag=10s,
// save=true or restore=true.
func (p *Platform) set(w http.ResponseWriter, r *http.Request) {
	for name, values := range r.URL.Query() {
		on := values[0] == "true"
		d, err := time.ParseDuration(values[0])
		switch name {
		case "down":
			p.down.Store(on)
		case "lost":
			p.lost.Store(on)
		case "slow", "lag":
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			if name == "slow" {
				p.slow.Store(int64(d))
			} else {
				p.lag.Store(int64(d))
			}
		case "save":
			p.store.Save()
		case "restore":
			p.store.Restore()
		default:
			http.Error(w, fmt.Sprintf("switch %q is unknown", name), http.StatusBadRequest)
			return
		}
	}
}
