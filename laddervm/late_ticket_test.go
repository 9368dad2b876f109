package laddervm

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderflow"
	"lacewingladder/ladderplan"
	"lacewingladder/platform"
)

// TestTicketsThatAreReadLateExpireInTime lets the answer of the advice service wait for the control goroutine. Its
// tickets must not count as valid for longer than the service accepts them.
func TestTicketsThatAreReadLateExpireInTime(t *testing.T) {
	const job = "0123456789abcdef"
	for name, c := range map[string]struct {
		wait   time.Duration
		usable bool
	}{
		"read at once":              {wait: 0, usable: true},
		"read before they expire":   {wait: time.Second, usable: true},
		"read after they expired":   {wait: 2100 * time.Millisecond},
		"read long after they have": {wait: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(`{"allowed":[["w","ticket"]],"validMs":2000}`))
			}))
			defer s.Close()
			v := newTestVM(t, "e1")
			clock := ladderclock.NewManual(time.Now())
			v.clock = clock
			v.advice = platform.NewAdvice(v.direct, netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")))
			term := newTerm(t.Context(), v, &lease{vm: v, until: v.boot.SinceBoot() + time.Hour}, 5, clock.Now())
			p := term.planner
			p.SetFleet(&ladderflow.FleetConfig{Version: 1, Queues: []ladderflow.Queue{{
				Name: "q", Service: "s", Advice: &ladderflow.AdviceConfig{BaseTime: time.Millisecond, TicketLifetime: 2 * time.Second},
			}}})
			worker := ladderflow.Worker{ID: "w", Service: "s", Capacity: ladderflow.Size{Processor: 8000, Memory: 8000}}
			p.SetWorkers(clock.Now(), []ladderflow.Worker{worker})
			p.SetRoster(map[string]bool{"w": true})
			poll := func(workerClock time.Duration) {
				p.RecordReport(clock.Now(), "w", clock.Now(), ladderflow.StatusReport{Incarnation: 1, Clock: workerClock})
			}
			poll(time.Second)
			p.SetJobsReadAt(clock.Now().Add(time.Hour))
			p.AddJob(clock.Now(), &ladderflow.Job{
				ID: job, Queue: "q", Service: "s", Accepted: clock.Now(), Rules: &ladderflow.Queue{Name: "q"},
				Steps: []ladderflow.Step{{Tasks: 1, Need: ladderflow.Size{Processor: 1000, Memory: 100}}},
			}, false)
			p.SetVMs([]string{"e1"})
			queries := p.Plan(clock.Now(), clock.Now(), ladderplan.LeadershipConfirmed).AdviceQueries
			require.Len(t, queries, 1)

			term.sendAdviceQuery(queries[0])
			clock.Advance(c.wait)
			poll(time.Second + c.wait)
			(<-term.inbox)()
			e, ok := p.Explain(clock.Now(), job)
			require.True(t, ok)
			require.Equal(t, !c.usable, strings.Contains(e.Steps[0].Why, "none of 1 workers holds a ticket"), e.Steps[0].Why)
		})
	}
}
