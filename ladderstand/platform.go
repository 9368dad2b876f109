package ladderstand

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderplatform"
)

// Platform serves a [Store] and a list of VMs over HTTP, and simulates faults of
// both. POST /vms adds a VM to the list or changes it, and POST /switch sets the
// switches of the faults. It is safe for concurrent use.
type Platform struct {
	store *Store
	clock ladderclock.Clock

	// down makes calls to the store and GET /vms fail.
	down atomic.Bool
	// loseResponses makes the store carry out transactions, and grant and end leases,
	// but close the connection without a response. Its switch is lost.
	loseResponses atomic.Bool
	// neverRespond makes the store accept calls, but never respond. Its switch is mute.
	neverRespond atomic.Bool
	// dropEvents makes watches report no changes. Its switch is deaf.
	dropEvents atomic.Bool
	// callDelay is the time, in nanoseconds, before the store carries out a call other
	// than a watch. Its switch is slow.
	callDelay atomic.Int64
	// listLag is the time, in nanoseconds, after which the list of VMs shows a change.
	// Its switch is lag.
	listLag atomic.Int64

	mu  sync.Mutex
	vms map[string]listedVM
	// names holds the names of the VMs in the order in which they were added.
	names      []string
	storeCalls int64
}

// listedVM is a VM in the list of VMs.
type listedVM struct {
	vm ladderplatform.VM
	// previous is the VM before its last change, or nil if it has not changed since it was added.
	previous  *ladderplatform.VM
	changedAt time.Time
}

// NewPlatform returns a platform with an empty store and no VMs.
func NewPlatform(clock ladderclock.Clock) *Platform {
	return &Platform{store: NewStore(clock), clock: clock, vms: map[string]listedVM{}}
}

// Store returns the platform's store.
func (p *Platform) Store() *Store { return p.store }

// SetVM adds a VM to the list, or changes the VM with the same name.
func (p *Platform) SetVM(vm ladderplatform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.vms[vm.Name]
	entry := listedVM{vm: vm, changedAt: p.clock.Now()}
	if ok {
		entry.previous = &old.vm
	} else {
		p.names = append(p.names, vm.Name)
	}
	p.vms[vm.Name] = entry
}

// VMs returns the list of VMs. A change becomes visible only after the time that the
// switch lag sets: until then a changed VM appears as it was before, and an added VM
// is missing.
func (p *Platform) VMs() []ladderplatform.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, lag := p.clock.Now(), time.Duration(p.listLag.Load())
	visible := make([]ladderplatform.VM, 0, len(p.names))
	for _, name := range p.names {
		e := p.vms[name]
		switch {
		case now.Sub(e.changedAt) >= lag:
			visible = append(visible, e.vm)
		case e.previous != nil:
			visible = append(visible, *e.previous)
		}
	}
	return visible
}

// Handler returns the HTTP interface of the platform. GET /calls returns the number of
// calls that the store received.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	p.addStoreRoutes(mux)
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, _ *http.Request) {
		if p.down.Load() {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, p.VMs())
	})
	mux.HandleFunc("POST /vms", p.postVM)
	mux.HandleFunc("POST /switch", p.setSwitches)
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		_, _ = fmt.Fprintln(w, p.storeCalls)
	})
	return mux
}

// countStoreCall counts a call to the store.
func (p *Platform) countStoreCall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeCalls++
}

// watchCheckInterval is how often a waiting watch checks the switches and the leases.
const watchCheckInterval = 100 * time.Millisecond

// postVM serves POST /vms.
func (p *Platform) postVM(w http.ResponseWriter, r *http.Request) {
	var vm ladderplatform.VM
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetVM(vm)
}

// setSwitches sets the switches in a query, such as POST /switch?down=true&slow=200ms.
// The package comment lists them. After an unknown switch or a malformed duration,
// the other switches of the query may or may not be set.
func (p *Platform) setSwitches(w http.ResponseWriter, r *http.Request) {
	for name, values := range r.URL.Query() {
		on := values[0] == "true"
		duration, err := time.ParseDuration(values[0])
		switch name {
		case "down":
			p.down.Store(on)
		case "lost":
			p.loseResponses.Store(on)
		case "mute":
			p.neverRespond.Store(on)
		case "deaf":
			p.dropEvents.Store(on)
		case "slow", "lag":
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			if name == "slow" {
				p.callDelay.Store(int64(duration))
			} else {
				p.listLag.Store(int64(duration))
			}
		case "forget":
			p.store.Forget()
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
