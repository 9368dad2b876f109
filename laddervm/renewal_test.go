package laddervm

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderlog"
	"lacewingladder/ladderstand"
	"lacewingladder/platform"
)

// newTestVM returns a VM that listens for peers and whose store answers nothing.
func newTestVM(t *testing.T, name string) *VM {
	t.Helper()
	address, err := ladderstand.FreePort("udp")
	require.NoError(t, err)
	v, err := New(Options{Logs: ladderlog.Discard(), Settings: &platform.Settings{
		Name: name, Address: address.Addr(), FirstPort: address.Port(), LastPort: address.Port(),
		Bounds: platform.Bounds{MaxWorkerLease: 10 * time.Second},
	}})
	require.NoError(t, err)
	t.Cleanup(v.close)
	v.storeCarrier.unserved.start(time.Now().Add(-time.Minute), minOutage)
	return v
}

// TestPollsRenewNoLeaseBeyondTheNextLeadersWait polls a worker under a leadership of which nothing has
// been heard for a while. The next leader waits for leaderLease, outageGrace and the worker's lease.
func TestPollsRenewNoLeaseBeyondTheNextLeadersWait(t *testing.T) {
	for name, c := range map[string]struct {
		remaining time.Duration
		outage    bool
		renewed   bool
	}{
		"the leader's lease is valid":                     {remaining: time.Second, renewed: true},
		"it has expired a moment ago":                     {remaining: time.Second - outageGrace, renewed: true},
		"it has expired for longer":                       {remaining: -outageGrace - time.Millisecond},
		"it has expired for longer, but nobody is served": {remaining: -time.Minute, outage: true, renewed: true},
	} {
		t.Run(name, func(t *testing.T) {
			polls := make(chan int64, 2)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				var poll struct{ UntilMs int64 }
				_ = json.NewDecoder(r.Body).Decode(&poll)
				polls <- poll.UntilMs
				_, _ = w.Write([]byte(`{"clockMs":1000,"born":7,"running":[],"finished":[]}`))
			}))
			defer s.Close()
			v := newTestVM(t, "e1")
			term := newTerm(t.Context(), v, &lease{vm: v, until: v.boot.SinceBoot() + c.remaining}, 5, time.Now())
			if c.outage {
				term.outageSeenAt.Store(int64(v.boot.SinceBoot()))
			}
			w := ladderflow.Worker{ID: "w", Address: netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))}
			term.planner.SetWorkers(time.Now(), []ladderflow.Worker{w})
			term.planner.RecordReport(time.Now(), "w", time.Now(), ladderflow.StatusReport{Incarnation: 7, Clock: time.Second})
			term.poll(term.ctx, &poller{worker: w, cancel: func() {}})
			require.Zero(t, <-polls, "the greeting on the new connection")
			require.Equal(t, c.renewed, <-polls > 0)
		})
	}
}

// TestOutageNeedsAllPeers checks when the leader may conclude that no other VM can be elected.
func TestOutageNeedsAllPeers(t *testing.T) {
	for name, c := range map[string]struct {
		change func(peer *VM)
		nobody bool
	}{
		"no peer is served":              {func(*VM) {}, true},
		"a peer is served":               {func(peer *VM) { peer.storeCarrier.unserved.reset() }, false},
		"a peer cannot be reached":       {func(peer *VM) { peer.close() }, false},
		"a peer knows a newer leader":    {func(peer *VM) { peer.registry.setLeader(leader{revision: 6}) }, false},
		"a peer knows an earlier leader": {func(peer *VM) { peer.registry.setLeader(leader{revision: 4}) }, true},
		"a peer is a newer leader itself": {func(peer *VM) {
			peer.leadership.term.Store(newTerm(context.Background(), peer, &lease{}, 6, time.Now()))
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			vms := []*VM{newTestVM(t, "e1"), newTestVM(t, "e2"), newTestVM(t, "e3")}
			for _, v := range vms {
				for _, p := range vms {
					v.registry.mu.Lock()
					v.registry.apply(platform.Item{Key: entryPrefix + p.settings.Name, Value: p.registry.entry(), ModRevision: 1}, time.Now())
					v.registry.mu.Unlock()
				}
				go func() { _ = v.server.Serve(t.Context()) }()
			}
			c.change(vms[2])
			require.Equal(t, c.nobody, vms[0].registry.storeServesNobody(t.Context(), 5))
		})
	}
}
