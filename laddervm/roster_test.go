package laddervm

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderjournal"
	"lacewingladder/platform"
)

// testWorker is a worker whose runs go on forever.
type testWorker struct {
	ladderflow.Worker
	mu sync.Mutex
	// running holds the worker's runs as the elements of its list.
	running []string
}

// newTestWorker starts a worker that has room for one task.
func newTestWorker(t *testing.T, id string) *testWorker {
	t.Helper()
	w := &testWorker{}
	s := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		var order struct {
			Task string
			Run  int
		}
		_ = json.NewDecoder(r.Body).Decode(&order)
		w.mu.Lock()
		defer w.mu.Unlock()
		if order.Task != "" {
			w.running = append(w.running, fmt.Sprintf(`[%q,%d,"",50,0]`, order.Task, order.Run))
		}
		_, _ = fmt.Fprintf(out, `{"clockMs":1000,"born":7,"running":[%s],"finished":[]}`, strings.Join(w.running, ","))
	}))
	t.Cleanup(s.Close)
	w.Worker = ladderflow.Worker{
		ID: id, Service: "service", Capacity: ladderflow.Size{Processor: 1000, Memory: 1000},
		Address: netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")),
	}
	return w
}

func (w *testWorker) runs() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

// runInbox runs the control goroutine's functions for a while, and plans.
func runInbox(term *term, d time.Duration) {
	end := time.After(d)
	for {
		select {
		case f := <-term.inbox:
			f()
			term.plan()
		case <-end:
			return
		}
	}
}

// TestWorkerOutsideTheRosterBeingStoredGetsNoTask lists a worker again while a roster without it is being
// stored. The next leader would not wait for its runs.
func TestWorkerOutsideTheRosterBeingStoredGetsNoTask(t *testing.T) {
	var silent atomic.Bool
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if silent.Load() {
			<-r.Context().Done()
			return
		}
		_, _ = w.Write([]byte(`{"rev":9}`))
	}))
	defer s.CloseClientConnections()
	v := newTestVM(t, "e1")
	v.store = platform.NewStore(v.storeCarrier, netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")))
	v.journal = ladderjournal.New(v.store)
	v.fleet.Store(&ladderflow.FleetConfig{Queues: []ladderflow.Queue{{
		Name: "queue", Service: "service", MaxFailures: 2, ObjectiveFactor: 2, BaseObjective: time.Second,
	}}})
	w0, w1 := newTestWorker(t, "w0"), newTestWorker(t, "w1")
	list := []ladderflow.Worker{w0.Worker, w1.Worker}
	term := newTerm(t.Context(), v, &lease{vm: v, until: v.boot.SinceBoot() + time.Minute}, 5, time.Now())
	term.applyContents(&ladderjournal.Contents{Roster: list}, list, term.vm.journal.ProgressWriter(term.fence, &ladderjournal.Contents{Roster: list}))
	runInbox(term, 100*time.Millisecond)

	silent.Store(true)
	term.setWorkers(list[:1])
	require.True(t, term.savingRoster)
	term.setWorkers(list)
	runInbox(term, 100*time.Millisecond)
	term.planner.AddJob(time.Now(), &ladderflow.Job{ID: "a", Queue: "queue", Service: "service", Accepted: time.Now(), Steps: []ladderflow.Step{{
		Tasks: 2, Need: ladderflow.Size{Processor: 1000, Memory: 1000}, Estimate: time.Minute,
	}}}, false)
	runInbox(term, 300*time.Millisecond)
	require.Equal(t, 1, w0.runs())
	require.Zero(t, w1.runs(), "the worker may be missing from the stored roster")

	silent.Store(false)
	require.Eventually(t, func() bool {
		runInbox(term, 50*time.Millisecond)
		return w1.runs() == 1
	}, 5*time.Second, time.Millisecond)
}

// TestGrownWorkerGetsNoTaskUntilTheRosterHoldsItsCapacity lists a worker with more capacity than the stored roster has of it.
// The next leader would assume too little of what its team may run there.
func TestGrownWorkerGetsNoTaskUntilTheRosterHoldsItsCapacity(t *testing.T) {
	for name, teams := range map[string][]ladderflow.Team{"teams": {{Name: "a"}}, "no teams": nil} {
		t.Run(name, func(t *testing.T) {
			var silent atomic.Bool
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if silent.Load() {
					<-r.Context().Done()
					return
				}
				_, _ = w.Write([]byte(`{"rev":9}`))
			}))
			defer s.CloseClientConnections()
			v := newTestVM(t, "e1")
			v.store = platform.NewStore(v.storeCarrier, netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")))
			v.journal = ladderjournal.New(v.store)
			v.fleet.Store(&ladderflow.FleetConfig{Teams: teams, Queues: []ladderflow.Queue{{Name: "queue", Service: "service", MaxFailures: 2}}})
			w0 := newTestWorker(t, "w0")
			contents := &ladderjournal.Contents{Roster: []ladderflow.Worker{w0.Worker}}
			term := newTerm(t.Context(), v, &lease{vm: v, until: v.boot.SinceBoot() + time.Minute}, 5, time.Now())
			term.applyContents(contents, contents.Roster, term.vm.journal.ProgressWriter(term.fence, contents))
			runInbox(term, 100*time.Millisecond)

			silent.Store(true)
			grown := w0.Worker
			grown.Capacity.Processor *= 2
			term.setWorkers([]ladderflow.Worker{grown})
			require.Equal(t, len(teams) > 0, term.savingRoster)
			term.planner.AddJob(time.Now(), &ladderflow.Job{ID: "a", Queue: "queue", Service: "service", Accepted: time.Now(), Steps: []ladderflow.Step{{
				Tasks: 1, Need: ladderflow.Size{Processor: 1000, Memory: 1000}, Estimate: time.Minute,
			}}}, false)
			runInbox(term, 300*time.Millisecond)
			require.Equal(t, len(teams) == 0, w0.runs() == 1)

			silent.Store(false)
			require.Eventually(t, func() bool {
				runInbox(term, 50*time.Millisecond)
				return w0.runs() == 1
			}, 5*time.Second, time.Millisecond)
		})
	}
}
