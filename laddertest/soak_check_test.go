package laddertest

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderflow"
	"lacewingladder/ladderstand"
	"lacewingladder/platform"
)

// newCheckedSoak returns a soak with one worker, whose gangs wait for 50 ms, and with no VM.
func newCheckedSoak(t *testing.T) (*soak, string) {
	s := newSoak(1)
	s.flowCluster = &flowCluster{t: t}
	w := ladderstand.NewPlatformWorker(ladderclock.System{}, ladderflow.Worker{ID: "w0", Service: "s"}, s.runStarts)
	w.SetGangs(ladderstand.NewGangs(50*time.Millisecond, s.gangMembers, s.endsAlone))
	s.workers = append(s.workers, w)
	server := httptest.NewServer(w.Handler())
	t.Cleanup(server.Close)
	return s, server.URL
}

// startRun starts a run on the worker at a URL.
func startRun(t *testing.T, url string, r ladderflow.Run) {
	body := fmt.Sprintf(`{"task":%q,"run":%d,"spec":%q,"untilMs":60000}`, platform.FormatTask(r.Task), r.Number, soakLongPayload)
	response, err := http.Post(url+"/-/run-start", "application/json", strings.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// TestLoneRunIsFoundBySoak guards against a soak that does not see a gang of which one member was started.
func TestLoneRunIsFoundBySoak(t *testing.T) {
	job := "00000000000000aa"
	for name, c := range map[string]struct {
		prepare func(*soak)
		broken  int
	}{
		"calm":               {func(s *soak) { s.calmSince = time.Now() }, 1},
		"a fault is near":    {func(*soak) {}, 0},
		"the job is stopped": {func(s *soak) { s.calmSince = time.Now(); s.byID[job] = &soakJob{id: job, cancelAsked: true} }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s, url := newCheckedSoak(t)
			s.recordGangs(job, `[{"count":2,"gang":true}]`)
			c.prepare(s)
			startRun(t, url, ladderflow.Run{Task: ladderflow.Task{Job: job}, Number: 1})
			require.Eventually(t, func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				return s.alone == 1
			}, 10*time.Second, time.Millisecond)
			require.Len(t, s.broken, c.broken)
			require.Equal(t, 1-c.broken, s.aloneExcused)
		})
	}
}

// TestRunOfCancelledJobIsFoundBySoak guards against a soak that does not see a run that outlives the cancellation of its job.
func TestRunOfCancelledJobIsFoundBySoak(t *testing.T) {
	const late = soakVisible + soakStopTimeout + time.Second
	for name, c := range map[string]struct {
		calm, cancelled time.Duration
		broken          int
	}{
		"cancelled long ago":           {2 * late, late, 1},
		"cancelled a moment ago":       {2 * late, soakVisible, 0},
		"a fault was near":             {late / 2, late, 0},
		"not cancelled, or not stored": {2 * late, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s, url := newCheckedSoak(t)
			run, now := ladderflow.Run{Task: ladderflow.Task{Job: "00000000000000aa"}, Number: 1}, time.Now()
			j := &soakJob{id: run.Task.Job}
			s.byID[j.id], s.calmSince = j, now.Add(-c.calm)
			startRun(t, url, run)
			if c.cancelled > 0 {
				j.cancelled = now.Add(-c.cancelled)
			}
			s.watchCancelled(nil)
			s.watchCancelled(nil)
			require.Len(t, s.broken, c.broken)
		})
	}
}
