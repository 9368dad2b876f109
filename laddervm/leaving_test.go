package laddervm

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"lacewingladder/ladderdelegate"
	"lacewingladder/ladderflow"
	"lacewingladder/ladderlog"
	"lacewingladder/ladderplan"
	"lacewingladder/ladderstand"
	"lacewingladder/platform"
)

// newTermWithPeer returns the term of a leader with enough workers for delegates, and its only peer.
func newTermWithPeer(t *testing.T) (*term, *VM) {
	t.Helper()
	leader, other := newTestVM(t, "e1"), newTestVM(t, "e2")
	leader.settings.Processor, other.settings.Processor = 1000, 8000
	term := newTerm(t.Context(), leader, &lease{vm: leader, until: leader.boot.SinceBoot() + time.Hour}, 5, time.Now())
	for i := range ladderdelegate.DelegationThreshold + 1 {
		id := fmt.Sprintf("w%03d", i)
		term.pollers[id] = &poller{worker: ladderflow.Worker{ID: id}, cancel: func() {}}
	}
	return term, other
}

// register makes the entry of a VM known to a leader.
func register(t *testing.T, leader, other *VM) {
	t.Helper()
	require.NoError(t, addPeer(leader, base64.StdEncoding.EncodeToString(other.registry.entry())))
}

// TestLeavingVMGetsNoDuties lets a VM be known to a leader before and after it has begun to leave. It soon ends its
// delegate session, and all its workers move.
func TestLeavingVMGetsNoDuties(t *testing.T) {
	term, other := newTermWithPeer(t)
	leader := term.vm
	largest := func() int { return largestProcessor(leader.settings.Processor, leader.registry.registered()) }
	register(t, leader, other)
	require.Len(t, term.delegateCandidates(), 1)
	require.Equal(t, []string{"e1", "e2"}, term.vmNames())
	require.Equal(t, other.settings.Processor, largest())
	other.leaving.Store(true)
	register(t, leader, other)
	require.Empty(t, term.delegateCandidates())
	require.Equal(t, []string{"e1"}, term.vmNames())
	require.Equal(t, leader.settings.Processor, largest())
	term.assignDelegates()
	require.Empty(t, term.delegates)
	require.Len(t, leader.registry.registered(), 1, "it is still a peer")
}

// TestLeavingDelegateReportsItsOrders has a delegate begin to leave that carries out an order. Its workers move, and it
// still reports the result.
func TestLeavingDelegateReportsItsOrders(t *testing.T) {
	term, other := newTermWithPeer(t)
	register(t, term.vm, other)
	term.assignDelegates()
	c := term.delegates[other.registry.incarnation]
	require.NotNil(t, c)
	run := ladderflow.Run{Task: ladderflow.Task{Job: "a"}, Number: 1}
	c.start(ladderplan.StartOrder{Worker: ladderflow.Worker{ID: "w000"}, Run: run})
	other.leaving.Store(true)
	register(t, term.vm, other)
	term.assignDelegates()
	for id, p := range term.pollers {
		require.Nil(t, p.delegate, id)
	}
	require.Len(t, c.pending, 1, "the order was given up")
	require.NoError(t, c.ctx.Err())
	c.complete(delegatedOrder{worker: "w000", run: run}, ladderplan.Result{})
	term.assignDelegates()
	require.Error(t, c.ctx.Err())
	require.Empty(t, term.delegates)
}

// TestLeftDelegateIsNoCandidate removes the entry of a delegate that has left, as the entries of all VMs are in an
// outage of the store.
func TestLeftDelegateIsNoCandidate(t *testing.T) {
	term, other := newTermWithPeer(t)
	register(t, term.vm, other)
	term.assignDelegates()
	other.leaving.Store(true)
	register(t, term.vm, other)
	term.vm.registry.mu.Lock()
	term.vm.registry.apply(platform.Item{Key: entryPrefix + "e2", Deleted: true, ModRevision: 2}, time.Now())
	term.vm.registry.mu.Unlock()
	require.Empty(t, term.delegateCandidates())
}

// earlierEntry is the entry as earlier builds read and write it.
type earlierEntry struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation string
	Address     string
	Hash        string
	Processor   int
	Zone        string
}

// TestEntriesOfEarlierBuilds exchanges entries with an earlier build, which neither hands over to a VM that is leaving
// nor finds a worker in its zone.
func TestEntriesOfEarlierBuilds(t *testing.T) {
	for name, leaving := range map[string]bool{"serving": false, "leaving": true} {
		t.Run(name, func(t *testing.T) {
			v := newTestVM(t, "e1")
			v.settings.Processor, v.settings.Zone = 4000, "a"
			v.leaving.Store(leaving)
			var e earlierEntry
			require.NoError(t, cbor.Unmarshal(v.registry.entry(), &e))
			require.Equal(t, v.registry.incarnation, e.Incarnation)
			require.Equal(t, !leaving, e.Zone == "a")
			require.Equal(t, !leaving, e.Processor > 0)
			data, err := cbor.Marshal(earlierEntry{Name: "e2", Incarnation: "e2/1", Address: "127.0.0.1:1", Processor: 4000, Zone: "a"})
			require.NoError(t, err)
			p, err := parseEntry(data)
			require.NoError(t, err)
			require.Equal(t, peer{name: "e2", incarnation: "e2/1", address: netip.MustParseAddrPort("127.0.0.1:1"), processor: 4000, zone: "a"}, p)
		})
	}
}

// TestLeavingVMSaysSoInItsEntry lets a VM register and leave. The store must have an entry that says so before the
// VM's lease ends.
func TestLeavingVMSaysSoInItsEntry(t *testing.T) {
	calls := make(chan string, 1000)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		switch {
		case r.URL.Path == "/-/kv-txn" && strings.Contains(string(body), entryPrefix):
			calls <- string(body)
		case strings.HasPrefix(r.URL.Path, "/-/kv-lease-end"):
			calls <- "end"
		case r.URL.Path == "/-/kv-watch":
			time.Sleep(50 * time.Millisecond)
		}
		_, _ = fmt.Fprint(w, `{"rev":9,"lease":3,"ttlMs":3000}`)
	}))
	defer s.Close()
	var ports [3]netip.AddrPort
	for i := range ports {
		var err error
		ports[i], err = ladderstand.FreePort("tcp")
		require.NoError(t, err)
	}
	peers, err := ladderstand.FreePort("udp")
	require.NoError(t, err)
	v, err := New(Options{Logs: ladderlog.Discard(), MetricsPort: ports[2].Port(), Settings: &platform.Settings{
		Name: "e1", Address: peers.Addr(), CallerAddress: ports[0], ReadyAddress: ports[1], FirstPort: peers.Port(), LastPort: peers.Port(),
		StoreAddress: netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")), MinLease: time.Second,
		Bounds: platform.Bounds{StopGrace: 500 * time.Millisecond, MaxWorkerLease: 10 * time.Second},
	}})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- v.Run(ctx) }()
	serving := <-calls
	cancel()
	leaving := <-calls
	require.NotEqual(t, "end", leaving, "the VM does not say that it is leaving")
	require.NotEqual(t, serving, leaving)
	require.Equal(t, "end", <-calls)
	require.NoError(t, <-ended)
}
