package laddervm

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderjournal"
	"lacewingladder/ladderlog"
	"lacewingladder/ladderplan"
	"lacewingladder/platform"
)

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// orderedWorker is a worker that records its orders.
type orderedWorker struct {
	address netip.AddrPort
	// delay, if set, is called before a start takes effect, which it does not if it returns false.
	delay func(r *http.Request) bool

	mu       sync.Mutex
	began    time.Time
	received int
	running  map[string]int
	stopped  []string
}

func newOrderedWorker(t *testing.T) *orderedWorker {
	t.Helper()
	w := &orderedWorker{began: time.Now(), running: map[string]int{}}
	s := httptest.NewServer(w)
	t.Cleanup(s.Close)
	t.Cleanup(s.CloseClientConnections)
	w.address = netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	return w
}

// ServeHTTP implements [http.Handler].
func (w *orderedWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var m struct {
		Task   string `json:"task"`
		Run    int    `json:"run"`
		WaitMs int64  `json:"waitMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&m)
	switch r.URL.Path {
	case "/-/hold":
		select {
		case <-time.After(min(time.Duration(m.WaitMs)*time.Millisecond, 20*time.Millisecond)):
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		running := [][]any{}
		for task, run := range w.running {
			running = append(running, []any{task, run, "", 1, 0})
		}
		_ = json.NewEncoder(rw).Encode(map[string]any{
			"clockMs": 1000 + time.Since(w.began).Milliseconds(), "born": 7, "running": running, "finished": []any{},
		})
	case "/-/run-start":
		w.mu.Lock()
		w.received++
		w.mu.Unlock()
		if w.delay != nil && !w.delay(r) {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.running[m.Task] = m.Run
		_, _ = fmt.Fprintf(rw, `{"clockMs":%d}`, 1000+time.Since(w.began).Milliseconds())
	case "/-/run-stop":
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.running, m.Task)
		w.stopped = append(w.stopped, m.Task)
		_, _ = fmt.Fprint(rw, `{}`)
	}
}

// orders returns how many starts the worker has received, how many tasks it runs and how many stops it has received.
func (w *orderedWorker) orders() (starts, running, stops int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.received, len(w.running), len(w.stopped)
}

// resigning is a leader that shall resign.
type resigning struct {
	t    *testing.T
	vm   *VM
	term *term
	logs *lockedBuffer

	mu sync.Mutex
	// stored holds the transactions that the store has answered, in order.
	stored []string
}

// newResigning returns a leader that polls the workers. The function commit is called before the store answers a
// transaction, which it does not if it returns false.
func newResigning(t *testing.T, commit func(r *http.Request, body string) bool, workers ...*orderedWorker) *resigning {
	t.Helper()
	l := &resigning{t: t, logs: &lockedBuffer{}}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if commit != nil && !commit(r, string(body)) {
			return
		}
		l.mu.Lock()
		l.stored = append(l.stored, string(body))
		l.mu.Unlock()
		_, _ = fmt.Fprint(w, `{"rev":9}`)
	}))
	t.Cleanup(s.Close)
	t.Cleanup(s.CloseClientConnections)
	l.vm = newTestVM(t, "e1")
	l.vm.logs = ladderlog.New(l.logs, "info")
	l.vm.leadership = newLeadership(l.vm)
	l.vm.store = platform.NewStore(l.vm.storeCarrier, netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")))
	l.vm.journal = ladderjournal.New(l.vm.store)
	l.vm.fleet.Store(&ladderflow.FleetConfig{Version: 1, Queues: []ladderflow.Queue{{
		Name: "queue", Service: "service", Priority: 1, MaxFailures: 2, ObjectiveFactor: 2, BaseObjective: time.Second,
	}}})
	l.term = newTerm(t.Context(), l.vm, &lease{vm: l.vm, until: l.vm.boot.SinceBoot() + time.Minute}, 5, time.Now())
	t.Cleanup(l.term.cancel)
	l.vm.leadership.term.Store(l.term)
	go l.control()
	var list []ladderflow.Worker
	for i, w := range workers {
		list = append(list, ladderflow.Worker{
			ID: fmt.Sprintf("w%d", i), Service: "service", Address: w.address, Capacity: ladderflow.Size{Processor: 8000, Memory: 8000},
		})
	}
	l.do(func() {
		contents := &ladderjournal.Contents{Roster: list}
		l.term.applyContents(contents, list, l.vm.journal.ProgressWriter(l.term.fence, contents))
		l.term.planner.SetJobsReadAt(time.Now().Add(time.Hour))
	})
	return l
}

// control is the control goroutine of the leader.
func (l *resigning) control() {
	for {
		select {
		case f := <-l.term.inbox:
			f()
		case <-time.After(5 * time.Millisecond):
		case <-l.term.ctx.Done():
			return
		}
		l.term.plan()
	}
}

func (l *resigning) do(f func()) bool {
	l.t.Helper()
	return l.term.call(l.t.Context(), f)
}

// add adds a job with one step. It is called on the control goroutine.
func (l *resigning) add(id string, tasks int, gang bool) {
	l.term.planner.AddJob(time.Now(), &ladderflow.Job{ID: id, Queue: "queue", Accepted: time.Now(), Steps: []ladderflow.Step{{
		Tasks: tasks, Gang: gang, MaxPerWorker: 1, Need: ladderflow.Size{Processor: 4000}, Estimate: time.Minute,
	}}}, false)
}

// submit adds a job with one step.
func (l *resigning) submit(id string, tasks int, gang bool) {
	l.do(func() { l.add(id, tasks, gang) })
}

// end adds a job and ends it before it starts, so that the store must hold its end.
func (l *resigning) end(id string) {
	l.do(func() {
		l.add(id, 1, false)
		l.term.planner.Cancel(time.Now(), id)
	})
}

// resign resigns and returns how long that took.
func (l *resigning) resign() time.Duration {
	began := time.Now()
	l.vm.leadership.resign()
	took := time.Since(began)
	require.Nil(l.t, l.vm.leadership.current())
	l.t.Logf("resigned after %v", took.Round(time.Millisecond))
	return took
}

// holds reports whether the store has answered a transaction that contains a text.
func (l *resigning) holds(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, body := range l.stored {
		if strings.Contains(body, text) {
			return true
		}
	}
	return false
}

// awaitWorkers waits until a task runs on each of the workers, so that the runs of earlier leaders are known.
func (l *resigning) awaitWorkers(workers ...*orderedWorker) {
	l.t.Helper()
	l.submit("first", len(workers), false)
	for _, w := range workers {
		require.Eventually(l.t, func() bool {
			_, running, _ := w.orders()
			return running == 1
		}, 5*time.Second, time.Millisecond)
	}
}

// slowCommits delays each transaction with a record by the given time.
func slowCommits(delay time.Duration) func(*http.Request, string) bool {
	return func(_ *http.Request, body string) bool {
		if strings.Contains(body, "record") {
			time.Sleep(delay)
		}
		return true
	}
}

// TestResigningLeaderStartsNothing submits a job to a leader that has begun to resign. What it starts then may be
// cut off by the end of the term.
func TestResigningLeaderStartsNothing(t *testing.T) {
	w := newOrderedWorker(t)
	l := newResigning(t, slowCommits(200*time.Millisecond), w)
	l.awaitWorkers(w)
	l.end("ended")
	resigned := make(chan time.Duration, 1)
	go func() { resigned <- l.resign() }()
	for began := false; !began && l.do(func() { began = l.term.resigning }); {
	}
	l.submit("late", 1, false)
	<-resigned
	starts, _, _ := w.orders()
	require.Equal(t, 1, starts, "the leader has started a task although it resigned")
}

// neverStarts answers no start, and carries none out.
func neverStarts(r *http.Request) bool {
	<-r.Context().Done()
	return false
}

// TestResigningLeaderCutsNoGang resigns while a member of a gang starts slowly. The members run, or those that
// have started are stopped.
func TestResigningLeaderCutsNoGang(t *testing.T) {
	for name, c := range map[string]struct {
		delay   func(r *http.Request) bool
		latency time.Duration
		running int
	}{
		"the start is slow":                            {running: 2, delay: func(*http.Request) bool { time.Sleep(minOrderTimeout / 2); return true }},
		"the start is not answered":                    {delay: neverStarts},
		"the start is not answered within the timeout": {delay: neverStarts, latency: maxOrderTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			quick, slow := newOrderedWorker(t), newOrderedWorker(t)
			l := newResigning(t, nil, quick, slow)
			l.awaitWorkers(quick, slow)
			slow.mu.Lock()
			slow.delay = c.delay
			slow.mu.Unlock()
			for range 50 {
				l.term.orderLatency.observe(c.latency)
			}
			l.submit("gang", 2, true)
			require.Eventually(t, func() bool {
				_, running, _ := quick.orders()
				received, _, _ := slow.orders()
				return running == 2 && received > 1
			}, 5*time.Second, time.Millisecond)
			took := l.resign()
			_, onQuick, _ := quick.orders()
			_, onSlow, _ := slow.orders()
			require.Equal(t, c.running, onQuick+onSlow-2, "the gang has been cut off\n%s", l.logs)
			require.Less(t, took, resignTimeout)
		})
	}
}

// TestResigningLeaderAwaitsDelegates resigns while a delegate has not reported the result of a start.
func TestResigningLeaderAwaitsDelegates(t *testing.T) {
	l := newResigning(t, nil)
	run := ladderflow.Run{Task: ladderflow.Task{Job: "a"}, Number: 1}
	c := newTestDelegateClient(t, l.vm.clock)
	c.term = l.term
	l.do(func() {
		l.term.delegates[c.peer.incarnation] = c
		c.start(ladderplan.StartOrder{Worker: ladderflow.Worker{ID: "w"}, Run: run})
	})
	answered := make(chan bool, 1)
	time.AfterFunc(resignTimeout/4, func() {
		answered <- l.do(func() { c.complete(delegatedOrder{worker: "w", run: run}, ladderplan.Result{}) })
	})
	require.Less(t, l.resign(), resignTimeout/2)
	require.True(t, <-answered, "the term has ended before the start was answered")
}

// TestFinalBatchIsStoredUnderLoad resigns while jobs end all the time, so that there is always something to store.
func TestFinalBatchIsStoredUnderLoad(t *testing.T) {
	const commit = 80 * time.Millisecond // Longer than saveInterval, so that one batch follows the other.
	w := newOrderedWorker(t)
	l := newResigning(t, slowCommits(commit), w)
	l.awaitWorkers(w)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for i := 0; l.term.ctx.Err() == nil; i++ {
			l.end(fmt.Sprintf("load%d", i))
			time.Sleep(5 * time.Millisecond)
		}
	}()
	require.Eventually(t, func() bool { return l.holds("load0") }, 5*time.Second, time.Millisecond)
	l.end("the-last")
	took := l.resign()
	<-ended
	require.Less(t, took, resignTimeout/2)
	require.True(t, l.holds("the-last"), "the end of a job is not stored")
	var commits []string
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, body := range l.stored {
		if strings.Contains(body, "record") || strings.Contains(body, `"deletes":["`+ladderjournal.LeaderKey) {
			commits = append(commits, body)
		}
	}
	require.Contains(t, commits[len(commits)-1], ladderjournal.LeaderKey)
	require.Contains(t, l.logs.String(), "leader has resigned")
}

// TestLeaderResignsWhileStoreHangs resigns while the store answers nothing.
func TestLeaderResignsWhileStoreHangs(t *testing.T) {
	for name, inProgress := range map[string]bool{"a batch is being stored": true, "no batch is being stored": false} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			hangs := false
			w := newOrderedWorker(t)
			l := newResigning(t, func(r *http.Request, _ string) bool {
				mu.Lock()
				h := hangs
				mu.Unlock()
				if h {
					<-r.Context().Done()
				}
				return !h
			}, w)
			l.awaitWorkers(w)
			require.Eventually(t, func() bool {
				idle := false
				l.do(func() { idle = l.term.saver.idle() })
				return idle
			}, 5*time.Second, time.Millisecond)
			mu.Lock()
			hangs = true
			mu.Unlock()
			l.end("ended")
			if inProgress {
				time.Sleep(3 * saveInterval)
			}
			require.Less(t, l.resign(), resignTimeout+resignTimeout/4)
			require.Contains(t, l.logs.String(), "storing progress before the handover failed")
		})
	}
}

// TestLeaderThatHasNotReadTheStoreResignsAtOnce resigns before the contents of the store are known.
func TestLeaderThatHasNotReadTheStoreResignsAtOnce(t *testing.T) {
	l := newResigning(t, nil)
	l.do(func() { l.term.loaded = false })
	require.Less(t, l.resign(), resignTimeout/2)
}
