package ladderstand

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderflow"
	"lacewingladder/platform"
)

// TestPlatformWorkerCrashes guards against a stand-in that keeps runs or ends over a crash, or whose
// entry in the store stays that of the dead incarnation.
func TestPlatformWorkerCrashes(t *testing.T) {
	// Both are far longer than a busy machine delays the test.
	const downtime, patience = time.Second, 10 * time.Second
	crashing, done := ladderflow.Task{Job: "00000000000000aa"}, ladderflow.Task{Job: "00000000000000bb"}
	for name, c := range map[string]struct{ byTask bool }{
		"by a task":   {true},
		"by the test": {false},
	} {
		t.Run(name, func(t *testing.T) {
			store := NewStore(ladderclock.System{})
			w := NewPlatformWorker(ladderclock.System{}, ladderflow.Worker{ID: "w0", Service: "s"}, func(r ladderflow.Run, _ string) (time.Duration, bool) {
				if r.Task == done {
					return time.Millisecond, false
				}
				return time.Hour, false
			})
			require.NoError(t, w.Register(store))
			before, _, _ := store.Get(platform.WorkerPrefix + "w0")
			s := httptest.NewServer(w.Handler())
			defer s.Close()
			post := func(path, body string) error {
				r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, s.URL+path, strings.NewReader(body))
				require.NoError(t, err)
				response, err := http.DefaultClient.Do(r)
				if err == nil {
					require.Equal(t, http.StatusOK, response.StatusCode)
					require.NoError(t, response.Body.Close())
				}
				return err
			}
			if c.byTask {
				w.SetCrashes(CrashSpec{Downtime: downtime, Store: store, After: func(r ladderflow.Run) (time.Duration, bool) {
					return 50 * time.Millisecond, r.Task == crashing
				}})
			}
			require.NoError(t, post("/-/run-start", `{"task":"`+platform.FormatTask(done)+`","run":1,"untilMs":60000}`))
			require.Eventually(t, func() bool { return w.Done(done) == 1 }, patience, time.Millisecond)
			require.NoError(t, post("/-/run-start", `{"task":"`+platform.FormatTask(crashing)+`","run":1,"untilMs":60000}`))
			require.Len(t, w.Running(), 1)
			if !c.byTask {
				w.Crash(store, downtime)
			}
			require.Eventually(t, func() bool { return len(w.Running()) == 0 }, patience, time.Millisecond)
			require.Zero(t, w.Done(done), "the end was lost")
			require.Error(t, post("/-/hold", `{}`), "the worker is down")
			require.Eventually(t, func() bool { return post("/-/hold", `{}`) == nil }, patience, 5*time.Millisecond)
			after, _, _ := store.Get(platform.WorkerPrefix + "w0")
			require.Greater(t, after.ModRevision, before.ModRevision)
			require.NotEqual(t, before.Value, after.Value, "the entry names the new incarnation")
			require.Equal(t, 1, w.Starts(crashing), "starts are counted over all incarnations")
		})
	}
}

// TestPlatformWorkerCapacity guards against a change of capacity that the store does not list.
func TestPlatformWorkerCapacity(t *testing.T) {
	store := NewStore(ladderclock.System{})
	w := NewPlatformWorker(ladderclock.System{}, ladderflow.Worker{ID: "w0", Service: "s"}, nil)
	require.NoError(t, w.SetCapacity(store, ladderflow.Size{Processor: 3000, Memory: 100}))
	item, ok, _ := store.Get(platform.WorkerPrefix + "w0")
	require.True(t, ok)
	require.Contains(t, string(item.Value), `"cpu":3000`)
}

// TestPlatformWorkerStartLatency guards against a stand-in that carries out a start whose caller has gone.
func TestPlatformWorkerStartLatency(t *testing.T) {
	const patience = 10 * time.Second
	task := ladderflow.Task{Job: "00000000000000aa"}
	for name, c := range map[string]struct {
		latency, timeout time.Duration
		starts           int
	}{
		"the caller waits":    {20 * time.Millisecond, patience, 1},
		"the caller has gone": {time.Hour, 20 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := NewPlatformWorker(ladderclock.System{}, ladderflow.Worker{ID: "w0", Service: "s"},
				func(ladderflow.Run, string) (time.Duration, bool) { return time.Hour, false })
			w.SetStartLatency(func(string) time.Duration { return c.latency })
			s := httptest.NewServer(w.Handler())
			defer s.Close() // It waits for the handlers.
			ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
			defer cancel()
			body := strings.NewReader(`{"task":"` + platform.FormatTask(task) + `","run":1,"untilMs":60000}`)
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+"/-/run-start", body)
			require.NoError(t, err)
			response, err := http.DefaultClient.Do(r)
			if c.starts == 0 {
				require.Error(t, err)
			} else {
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
			}
			require.Equal(t, c.starts, w.Starts(task))
		})
	}
}
