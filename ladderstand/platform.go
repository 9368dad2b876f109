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

// Platform offers a [Store] and a list of VMs over HTTP, with switches for its
// faults. The list is the operators' to fill: POST /vms puts one VM in.
type Platform struct {
	store *Store
	clock ladderclock.Clock

	down atomic.Bool
	lost atomic.Bool
	mute atomic.Bool
	// deaf makes the watches that wait hear nothing more.
	deaf atomic.Bool
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
	p.storeRoutes(mux)
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

// count counts a call.
func (p *Platform) count() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
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

// set turns switches: POST /switch?down=true, lost=true, mute=true, deaf=true, slow=200ms, lag=10s,
// forget=true, save=true or
// restore=true.
func (p *Platform) set(w http.ResponseWriter, r *http.Request) {
	for name, values := range r.URL.Query() {
		on := values[0] == "true"
		d, err := time.ParseDuration(values[0])
		switch name {
		case "down":
			p.down.Store(on)
		case "lost":
			p.lost.Store(on)
		case "mute":
			p.mute.Store(on)
		case "deaf":
			p.deaf.Store(on)
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
