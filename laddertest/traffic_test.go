package laddertest

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderaudit"
)

// The number of callers in a failure test, the pause of each between two requests, and the
// seed of their choices.
const (
	callers      = 12
	trafficPause = 20 * time.Millisecond
	trafficSeed  = 11
)

// traffic is a set of callers that send urgent requests of two classes through random entry
// VMs: fit checks, which have no idempotency key, and bookings, which have one because they
// must not run twice. A booking whose outcome is unknown is repeated with its key, and sent
// at most three times.
type traffic struct {
	cluster *cluster
	stop    atomic.Bool
	wait    sync.WaitGroup

	mu        sync.Mutex
	exchanges []ladderaudit.Exchange
	// brokenExchanges counts the exchanges without a complete response.
	brokenExchanges int
	// sentTo holds the name of the entry VM of each exchange, in the order of exchanges.
	sentTo []string
	// versions are the configuration versions that the entry VMs have reported.
	versions []ladderaudit.VersionSample
}

// startTraffic starts the callers.
func (c *cluster) startTraffic() *traffic {
	tr := &traffic{cluster: c}
	for i := range callers {
		tr.wait.Go(func() { tr.runCaller(i) })
	}
	tr.wait.Go(tr.recordVersions)
	return tr
}

// end stops the callers and waits for them.
func (tr *traffic) end() {
	tr.stop.Store(true)
	tr.wait.Wait()
}

// runCaller sends requests until the traffic ends.
func (tr *traffic) runCaller(number int) {
	r := rand.New(rand.NewPCG(trafficSeed, uint64(number)))
	for n := 0; !tr.stop.Load(); n++ {
		e := tr.cluster.entryVMs[r.IntN(len(tr.cluster.entryVMs))]
		q := callerRequest{member: "jadewing", class: "fitcheck", body: fmt.Sprintf("run=%dms\nfit check %d of %d", 10+r.IntN(40), n, number)}
		if r.IntN(2) == 0 {
			key, ok := tr.mintKey(e)
			if !ok {
				continue
			}
			q = callerRequest{member: "bureau", class: "booking", key: key, body: fmt.Sprintf("run=%dms\nbooking %d of %d", 10+r.IntN(40), n, number)}
		}
		for range 3 {
			if got, ok := tr.exchange(e, q); q.key == "" || (ok && got.outcome != "unknown") {
				break
			}
			e = tr.cluster.entryVMs[r.IntN(len(tr.cluster.entryVMs))]
		}
		time.Sleep(trafficPause)
	}
}

// mintKey requests a key from an entry VM. It returns false if the VM does not return one.
func (tr *traffic) mintKey(e *entryVM) (string, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+"/v1/keys", http.NoBody)
	if err != nil {
		return "", false
	}
	request.Header.Set("Ladder-Member", "bureau")
	response, err := tr.cluster.client.Do(request)
	if err != nil {
		return "", false
	}
	defer func() { _ = response.Body.Close() }()
	var body bytes.Buffer
	_, err = body.ReadFrom(response.Body)
	return string(bytes.TrimSpace(body.Bytes())), err == nil && response.StatusCode == http.StatusOK
}

// exchange sends one request and records the response. It returns false if there is none.
func (tr *traffic) exchange(e *entryVM, q callerRequest) (callerResponse, bool) {
	got, err := tr.cluster.send(e, q)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if err != nil {
		tr.brokenExchanges++
		return got, false
	}
	tr.sentTo = append(tr.sentTo, e.name)
	tr.exchanges = append(tr.exchanges, ladderaudit.Exchange{
		Request: got.request, Member: q.member, Key: q.key, Class: q.class, Outcome: got.outcome,
		Want: "answer to " + q.body, Got: got.body, AnsweredAt: time.Now(),
	})
	return got, true
}

// recordVersions records the configuration version of each entry VM until the traffic ends.
func (tr *traffic) recordVersions() {
	for !tr.stop.Load() {
		for _, e := range tr.cluster.entryVMs {
			if st, ok := tr.cluster.status(e); ok && st.Version > 0 {
				tr.mu.Lock()
				tr.versions = append(tr.versions, ladderaudit.VersionSample{VM: e.name, Version: st.Version, At: time.Now()})
				tr.mu.Unlock()
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// outcomeCounts returns the number of exchanges by outcome.
func (tr *traffic) outcomeCounts() map[string]int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	n := map[string]int{"broken": tr.brokenExchanges}
	for _, exchange := range tr.exchanges {
		n[exchange.Outcome]++
	}
	return n
}

// unknownOutcomes describes the exchanges with an unknown outcome, with the reason that the
// entry VM gave.
func (tr *traffic) unknownOutcomes() []string {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var all []string
	for i, exchange := range tr.exchanges {
		if exchange.Outcome == "unknown" {
			all = append(all, fmt.Sprintf("%s request %s key %s via %s: %s",
				exchange.AnsweredAt.Format(time.StampMilli), exchange.Request, exchange.Key, tr.sentTo[i], exchange.Got))
		}
	}
	return all
}

// ranSince returns how many of the exchanges of a class that were answered after a given time
// have run.
func (tr *traffic) ranSince(at time.Time, class string) (ran, all int) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, exchange := range tr.exchanges {
		if exchange.Class == class && exchange.AnsweredAt.After(at) {
			all++
			if exchange.Outcome == "ran" {
				ran++
			}
		}
	}
	return ran, all
}

// ranBetween returns how many of the exchanges through an entry VM that were answered in a
// given period have run. It leaves out repetitions under the same key.
func (tr *traffic) ranBetween(from, to time.Time, name string) (ran, all int) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	seen := map[string]bool{}
	for i, exchange := range tr.exchanges {
		repeated := exchange.Key != "" && seen[exchange.Key]
		seen[exchange.Key] = true
		if tr.sentTo[i] != name || repeated || exchange.AnsweredAt.Before(from) || exchange.AnsweredAt.After(to) {
			continue
		}
		all++
		if exchange.Outcome == "ran" {
			ran++
		}
	}
	return ran, all
}

// audit ends the traffic, checks all records with package ladderaudit and returns the
// workers' events.
func (tr *traffic) audit(t *testing.T, jobs ...ladderaudit.Job) []ladderaudit.Event {
	t.Helper()
	tr.end()
	events := tr.cluster.events(t)
	t.Logf("%d worker records, exchanges by outcome: %v", len(events), tr.outcomeCounts())
	violations := ladderaudit.Check(ladderaudit.Evidence{
		Events: events, Exchanges: tr.exchanges, Versions: tr.versions, Jobs: jobs, Sizes: tr.cluster.sizes(),
		RunOnceClasses: map[string]bool{"booking": true, "billing": true}, LeaveGrace: 3 * time.Second,
	})
	require.Empty(t, violations)
	return events
}

// events reads the records of all workers.
func (c *cluster) events(t *testing.T) []ladderaudit.Event {
	t.Helper()
	var all []ladderaudit.Event
	for _, w := range c.workers {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+w.address+"/records", http.NoBody)
		require.NoError(t, err)
		response, err := c.client.Do(request)
		require.NoError(t, err)
		events, err := ladderaudit.ReadEvents(response.Body)
		_ = response.Body.Close()
		require.NoError(t, err)
		all = append(all, events...)
	}
	return all
}

// sizes returns the sizes of the workers by name.
func (c *cluster) sizes() map[string]ladderaudit.Size {
	sizes := map[string]ladderaudit.Size{}
	for _, w := range c.workers {
		sizes[w.name] = ladderaudit.Size{Slots: 8, Cores: 32_000, Memory: 64 << 30}
	}
	return sizes
}
