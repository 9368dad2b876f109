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

// The shape of the traffic that failure tests run under.
const (
	callers      = 12
	trafficPause = 20 * time.Millisecond
	trafficSeed  = 11
)

// traffic is a set of callers that send fit checks and bookings through all
// entry VMs, and repeat a booking under its key while its outcome is unknown.
type traffic struct {
	cell *cell
	stop atomic.Bool
	wait sync.WaitGroup

	mu        sync.Mutex
	exchanges []ladderaudit.Exchange
	broken    int
	// through names the entry VM of each exchange.
	through  []string
	versions []ladderaudit.Seen
}

// startTraffic starts the callers.
func (c *cell) startTraffic() *traffic {
	f := &traffic{cell: c}
	for i := range callers {
		f.wait.Go(func() { f.caller(i) })
	}
	f.wait.Go(f.watchVersions)
	return f
}

// end stops the callers and waits for them.
func (f *traffic) end() {
	f.stop.Store(true)
	f.wait.Wait()
}

func (f *traffic) caller(number int) {
	r := rand.New(rand.NewPCG(trafficSeed, uint64(number)))
	for n := 0; !f.stop.Load(); n++ {
		e := f.cell.entries[r.IntN(len(f.cell.entries))]
		a := ask{member: "jadewing", class: "fitcheck", body: fmt.Sprintf("run=%dms\nfit check %d of %d", 10+r.IntN(40), n, number)}
		if r.IntN(2) == 0 {
			key, ok := f.key(e)
			if !ok {
				continue
			}
			a = ask{member: "bureau", class: "booking", key: key, body: fmt.Sprintf("run=%dms\nbooking %d of %d", 10+r.IntN(40), n, number)}
		}
		for range 3 {
			if got, ok := f.once(e, a); a.key == "" || (ok && got.outcome != "unknown") {
				break
			}
			e = f.cell.entries[r.IntN(len(f.cell.entries))]
		}
		time.Sleep(trafficPause)
	}
}

// key asks an entry VM for a key; ok is false when the VM does not answer.
func (f *traffic) key(e *entry) (string, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+"/v1/keys", http.NoBody)
	if err != nil {
		return "", false
	}
	request.Header.Set("Ladder-Member", "bureau")
	response, err := f.cell.client.Do(request)
	if err != nil {
		return "", false
	}
	defer func() { _ = response.Body.Close() }()
	var body bytes.Buffer
	_, err = body.ReadFrom(response.Body)
	return string(bytes.TrimSpace(body.Bytes())), err == nil && response.StatusCode == http.StatusOK
}

// once sends one exchange and records it.
func (f *traffic) once(e *entry, a ask) (answer, bool) {
	got, err := f.cell.send(e, a)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.broken++
		return got, false
	}
	f.through = append(f.through, e.name)
	f.exchanges = append(f.exchanges, ladderaudit.Exchange{
		Request: got.request, Member: a.member, Key: a.key, Class: a.class, Outcome: got.outcome,
		Want: "answer to " + a.body, Got: got.body, Answered: time.Now(),
	})
	return got, true
}

// watchVersions records which configuration each entry VM has.
func (f *traffic) watchVersions() {
	for !f.stop.Load() {
		for _, e := range f.cell.entries {
			if st, ok := f.cell.status(e); ok && st.Version > 0 {
				f.mu.Lock()
				f.versions = append(f.versions, ladderaudit.Seen{VM: e.name, Version: st.Version, At: time.Now()})
				f.mu.Unlock()
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// counts returns how many exchanges had each outcome.
func (f *traffic) counts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := map[string]int{"broken": f.broken}
	for _, x := range f.exchanges {
		n[x.Outcome]++
	}
	return n
}

// since returns how many exchanges of a class, answered after a moment, ran.
func (f *traffic) since(at time.Time, class string) (ran, all int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range f.exchanges {
		if x.Class == class && x.Answered.After(at) {
			all++
			if x.Outcome == "ran" {
				ran++
			}
		}
	}
	return ran, all
}

// within returns how many first exchanges through an entry VM, answered between
// two moments, ran.
func (f *traffic) within(from, to time.Time, name string) (ran, all int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := map[string]bool{}
	for i, x := range f.exchanges {
		repeated := x.Key != "" && seen[x.Key]
		seen[x.Key] = true
		if f.through[i] != name || repeated || x.Answered.Before(from) || x.Answered.After(to) {
			continue
		}
		all++
		if x.Outcome == "ran" {
			ran++
		}
	}
	return ran, all
}

// audit ends the traffic and holds all records against what is promised.
func (f *traffic) audit(t *testing.T, jobs ...ladderaudit.Job) []ladderaudit.Event {
	t.Helper()
	f.end()
	events := f.cell.events(t)
	t.Logf("%d worker records, exchanges by outcome: %v", len(events), f.counts())
	violations := ladderaudit.Check(ladderaudit.Evidence{
		Events: events, Exchanges: f.exchanges, Versions: f.versions, Jobs: jobs, Sizes: f.cell.sizes(),
		Once: map[string]bool{"booking": true, "billing": true}, Grace: 3 * time.Second,
	})
	require.Empty(t, violations)
	return events
}

// events reads the records of all workers that answer.
func (c *cell) events(t *testing.T) []ladderaudit.Event {
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

func (c *cell) sizes() map[string]ladderaudit.Size {
	sizes := map[string]ladderaudit.Size{}
	for _, w := range c.workers {
		sizes[w.name] = ladderaudit.Size{Slots: 8, Cores: 32_000, Memory: 64 << 30}
	}
	return sizes
}
