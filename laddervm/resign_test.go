package laddervm

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderjournal"
	"lacewingladder/platform"
)

// TestNoEndIsReportedAfterTheLastBatch guards against ends that a worker reports to a leader that has
// stored its last batch: the next leader does not learn of them if the worker leaves.
func TestNoEndIsReportedAfterTheLastBatch(t *testing.T) {
	var waiting, waitingAtCommit atomic.Int32
	waitingAtCommit.Store(-1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		switch {
		case r.URL.Path == "/-/hold" && strings.Contains(string(body), "waitMs"):
			waiting.Add(1)
			<-r.Context().Done()
			waiting.Add(-1)
		case r.URL.Path == "/-/hold":
			_, _ = fmt.Fprint(w, `{"clockMs":1000,"born":7,"running":[],"finished":[]}`)
		default:
			if strings.Contains(string(body), "record") {
				time.Sleep(50 * time.Millisecond)
				waitingAtCommit.Store(waiting.Load())
			}
			_, _ = fmt.Fprint(w, `{"rev":9}`)
		}
	}))
	defer s.CloseClientConnections()
	address := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	v := newTestVM(t, "e1")
	v.store = platform.NewStore(v.storeCarrier, address)
	v.journal = ladderjournal.New(v.store)
	term := newTerm(t.Context(), v, &lease{vm: v, until: v.boot.SinceBoot() + time.Minute}, 5, time.Now())
	v.leadership.term.Store(term)
	list := []ladderflow.Worker{{ID: "w", Service: "service", Address: address}}
	term.applyContents(&ladderjournal.Contents{Roster: list}, list, term.vm.journal.ProgressWriter(term.fence, &ladderjournal.Contents{Roster: list}))
	go func() {
		for {
			select {
			case f := <-term.inbox:
				f()
			case <-term.ctx.Done():
				return
			}
		}
	}()
	require.Eventually(t, func() bool { return waiting.Load() == 1 }, 5*time.Second, time.Millisecond)
	term.call(t.Context(), func() {
		term.planner.AddJob(time.Now(), &ladderflow.Job{ID: "a", Queue: "queue", Steps: []ladderflow.Step{{Tasks: 1}}}, false)
		term.planner.Cancel(time.Now(), "a")
	})
	v.leadership.resign()
	require.EqualValues(t, 0, waitingAtCommit.Load(), "a poll is not answered yet")
}
