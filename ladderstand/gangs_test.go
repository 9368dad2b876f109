package ladderstand

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderflow"
	"lacewingladder/platform"
)

// gangStand is two workers with a gang of two.
type gangStand struct {
	t       *testing.T
	workers []*PlatformWorker
	urls    []string

	mu    sync.Mutex
	alone []ladderflow.Run
}

func newGangStand(t *testing.T, timeout, duration time.Duration, fails bool) *gangStand {
	s := &gangStand{t: t}
	gangs := NewGangs(timeout, func(task ladderflow.Task) int {
		if task.Step == 0 {
			return 2
		}
		return 0
	}, func(r ladderflow.Run, _ time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.alone = append(s.alone, r)
	})
	for i := range 2 {
		w := NewPlatformWorker(ladderclock.System{}, ladderflow.Worker{ID: fmt.Sprintf("w%d", i), Service: "s"},
			func(r ladderflow.Run, _ string) (time.Duration, bool) { return duration, fails && r.Task.Index == 0 })
		w.SetGangs(gangs)
		server := httptest.NewServer(w.Handler())
		t.Cleanup(server.Close)
		s.workers, s.urls = append(s.workers, w), append(s.urls, server.URL)
	}
	return s
}

// gangMemberRun returns run 1 of the task with an index in a step.
func gangMemberRun(step, index int) ladderflow.Run {
	return ladderflow.Run{Task: ladderflow.Task{Job: "00000000000000aa", Step: step, Index: index}, Number: 1}
}

func (s *gangStand) post(worker int, path string, r ladderflow.Run) {
	body := fmt.Sprintf(`{"task":%q,"run":%d,"untilMs":60000}`, platform.FormatTask(r.Task), r.Number)
	q, err := http.NewRequestWithContext(context.Background(), http.MethodPost, s.urls[worker]+path, strings.NewReader(body))
	require.NoError(s.t, err)
	response, err := http.DefaultClient.Do(q)
	require.NoError(s.t, err)
	require.NoError(s.t, response.Body.Close())
	require.Equal(s.t, http.StatusOK, response.StatusCode)
}

// start starts member index on worker index.
func (s *gangStand) start(index int) { s.post(index, "/-/run-start", gangMemberRun(0, index)) }

// ends returns why the runs on a worker have ended.
func (s *gangStand) ends(worker int) []ladderflow.EndReason {
	w := s.workers[worker]
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []ladderflow.EndReason
	for _, e := range w.current.ended {
		list = append(list, e.Reason)
	}
	return list
}

// TestPlatformWorkerGangs guards against a stand-in whose gangs work without all of their members, wait for ever, or
// outlive a member.
func TestPlatformWorkerGangs(t *testing.T) {
	// Nothing takes an hour, and a busy machine delays the test by far less than patience.
	const long, short, patience = time.Hour, 20 * time.Millisecond, 10 * time.Second
	type ends = [][]ladderflow.EndReason
	for name, c := range map[string]struct {
		timeout, duration time.Duration
		fails             bool
		play              func(*gangStand)
		want              ends
		alone             int
	}{
		"all come": {
			long, short, false, func(s *gangStand) { s.start(0); s.start(1) },
			ends{{ladderflow.EndDone}, {ladderflow.EndDone}},
			0,
		},
		"one does not come": {
			short, long, false, func(s *gangStand) { s.start(0) },
			ends{{ladderflow.EndGangIncomplete}, nil},
			1,
		},
		"one comes too late": {short, long, false, func(s *gangStand) {
			s.start(0)
			require.Eventually(s.t, func() bool { return len(s.ends(0)) == 1 }, patience, time.Millisecond)
			s.start(1)
		}, ends{{ladderflow.EndGangIncomplete}, {ladderflow.EndGangIncomplete}}, 2},
		"one fails": {
			long, short, true, func(s *gangStand) { s.start(0); s.start(1) },
			ends{{ladderflow.EndFailed}, {ladderflow.EndGangBroken}},
			0,
		},
		"one is stopped": {long, long, false, func(s *gangStand) {
			s.start(0)
			s.start(1)
			s.post(1, "/-/run-stop", gangMemberRun(0, 1))
		}, ends{{ladderflow.EndGangBroken}, {ladderflow.EndStopped}}, 0},
		"one is lost with its worker": {long, long, false, func(s *gangStand) {
			s.start(0)
			s.start(1)
			s.workers[1].Crash(NewStore(ladderclock.System{}), long)
		}, ends{{ladderflow.EndGangBroken}, nil}, 0},
		"no gang": {
			short, short, false, func(s *gangStand) { s.post(0, "/-/run-start", gangMemberRun(1, 0)) },
			ends{{ladderflow.EndDone}, nil},
			0,
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newGangStand(t, c.timeout, c.duration, c.fails)
			c.play(s)
			require.Eventually(t, func() bool {
				return len(s.ends(0)) >= len(c.want[0]) && len(s.ends(1)) >= len(c.want[1])
			}, patience, time.Millisecond)
			require.Equal(t, c.want, ends{s.ends(0), s.ends(1)})
			s.mu.Lock()
			defer s.mu.Unlock()
			require.Len(t, s.alone, c.alone)
		})
	}
}
