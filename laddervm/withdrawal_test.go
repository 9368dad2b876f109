package laddervm

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderfanout"
	"lacewingladder/ladderflow"
	"lacewingladder/laddermessage"
	"lacewingladder/platform"
)

// configApplyTime is how long a configuration may take until it is in force.
const configApplyTime = 4 * time.Second

// newPeers returns VMs that the store does not answer, that know each other and that answer each other.
func newPeers(t *testing.T, names ...string) []*VM {
	t.Helper()
	var vms []*VM
	for _, name := range names {
		vms = append(vms, newTestVM(t, name))
	}
	for _, v := range vms {
		for _, p := range vms {
			v.registry.mu.Lock()
			v.registry.apply(platform.Item{Key: entryPrefix + p.settings.Name, Value: p.registry.entry(), ModRevision: 1}, time.Now())
			v.registry.mu.Unlock()
		}
		go func() { _ = v.server.Serve(t.Context()) }()
	}
	return vms
}

// know makes a VM know a configuration that the store has at a revision, and all changes up to another.
func (v *VM) know(f *ladderflow.FleetConfig, revision, complete int64) {
	v.applyFleet(f, revision, storeSource, 0, 0)
	v.fleetFeed.state.setFleet(f, revision)
	v.fleetFeed.feed.Synced(time.Now(), complete, v.fleetFeed.place())
	v.fleetFeed.state.publish(complete)
}

// accepts reports whether a VM accepts a key.
func (v *VM) accepts(key string) bool {
	r := httptest.NewRequest(http.MethodGet, "http://fit.example/q/zz", nil)
	r.Header.Set("Authorization", "Bearer "+key)
	w := httptest.NewRecorder()
	v.callerHandler().ServeHTTP(w, r)
	return w.Code == http.StatusBadRequest // The ID is malformed, which is found after the key.
}

// TestWithdrawalReachesVMWithoutStore withdraws a key while a VM cannot reach the store and no offer reaches it. It must
// hear of it from a peer in time. In a deployment without teams it asks nobody.
func TestWithdrawalReachesVMWithoutStore(t *testing.T) {
	for name, keys := range map[string][]string{"keys are required": {"key-a", "key-a2"}, "there are no teams": nil} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			vms := newPeers(t, "e1", "e2", "e3")
			cut, current, alsoCut := vms[0], vms[1], vms[2]
			first := teamsFleet(1, keys, nil)
			for _, v := range vms {
				v.know(first, 10, 12)
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go cut.fleetFeed.run(ctx)
			go alsoCut.fleetFeed.run(ctx)
			time.Sleep(500 * time.Millisecond)
			if keys == nil {
				current.know(teamsFleet(2, nil, nil), 20, 20)
				time.Sleep(configApplyTime)
				require.Equal(t, int64(1), cut.fleet.Load().Version, "nobody is asked without need")
				return
			}
			require.True(t, cut.accepts("key-a"))
			current.know(teamsFleet(2, []string{"key-a2"}, nil), 20, 20)
			require.Eventually(t, func() bool { return !cut.accepts("key-a") && !alsoCut.accepts("key-a") }, configApplyTime, 10*time.Millisecond)
			require.True(t, cut.accepts("key-a2"))
		})
	}
}

// TestRestartedVMTakesTheNewestConfiguration lets a VM without state ask two peers, of which one has an earlier
// version, although it claims to know all changes up to a later revision. A withdrawn key must not work.
func TestRestartedVMTakesTheNewestConfiguration(t *testing.T) {
	for name, c := range map[string]struct {
		order []string
		keys  []string
		want  int64
	}{
		"the older first":             {[]string{"e2", "e3"}, []string{"key-a", "key-a2"}, 2},
		"the newer first":             {[]string{"e3", "e2"}, []string{"key-a", "key-a2"}, 2},
		"one has none":                {[]string{"e4", "e2", "e3"}, []string{"key-a", "key-a2"}, 2},
		"one does not answer":         {[]string{"e5", "e2", "e3"}, []string{"key-a", "key-a2"}, 2},
		"no teams, the first answers": {[]string{"e2", "e3"}, nil, 1},
	} {
		t.Run(name, func(t *testing.T) {
			vms := newPeers(t, "e1", "e2", "e3", "e4", "e5")
			restarted, older, newer := vms[0], vms[1], vms[2]
			vms[4].close()
			first, second := teamsFleet(1, c.keys, nil), teamsFleet(2, nil, nil)
			if c.keys != nil {
				second = teamsFleet(2, []string{"key-a2"}, nil)
			}
			older.know(first, 10, 99)
			newer.know(first, 10, 12)
			newer.know(second, 20, 21)
			restarted.fleetFeed.fetchAny(t.Context(), c.order)
			require.Equal(t, c.want, restarted.fleet.Load().Version)
			require.Empty(t, restarted.fleetFeed.state.bases, "no other version may have been in force")
			if c.keys != nil {
				require.False(t, restarted.accepts("key-a"))
				require.True(t, restarted.accepts("key-a2"))
			}
		})
	}
}

// TestOfferOfAnEarlierConfiguration lets a peer with an earlier version offer it to a VM that has none, while it waits and
// while it reads the store, which does not answer. The newer version of another peer must be the first in force.
func TestOfferOfAnEarlierConfiguration(t *testing.T) {
	for name, play := range map[string]func(f *fleetFeed, o laddermessage.FleetOffer){
		"it waits": func(f *fleetFeed, o laddermessage.FleetOffer) { f.accept(context.Background(), o) },
		"it reads the store": func(f *fleetFeed, o laddermessage.FleetOffer) {
			f.receive(o)
			f.useStore(context.Background(), ladderfanout.Read)
		},
	} {
		t.Run(name, func(t *testing.T) {
			// The store answers after the peer.
			store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(100 * time.Millisecond)
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			defer store.Close()
			vms := newPeers(t, "e1", "e2", "e3")
			restarted, older, newer := vms[0], vms[1], vms[2]
			restarted.store = platform.NewStore(restarted.storeCarrier, netip.MustParseAddrPort(strings.TrimPrefix(store.URL, "http://")))
			older.know(teamsFleet(1, []string{"key-a", "key-a2"}, nil), 10, 12)
			newer.know(teamsFleet(2, []string{"key-a2"}, nil), 20, 21)
			play(restarted.fleetFeed, laddermessage.FleetOffer{From: "e2", Revision: 12})
			require.Equal(t, int64(2), restarted.fleet.Load().Version)
			require.Empty(t, restarted.fleetFeed.state.bases, "no other version may have been in force")
			require.False(t, restarted.accepts("key-a"))
		})
	}
}

// TestPeersAreAskedDuringACall lets the store leave a watch unanswered. Peers must be asked meanwhile.
func TestPeersAreAskedDuringACall(t *testing.T) {
	store := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer store.Close()
	vms := newPeers(t, "e1", "e2")
	v, current := vms[0], vms[1]
	v.store = platform.NewStore(v.storeCarrier, netip.MustParseAddrPort(strings.TrimPrefix(store.URL, "http://")))
	v.know(teamsFleet(1, []string{"key-a"}, nil), 10, 12)
	current.know(teamsFleet(2, []string{}, nil), 20, 20)
	v.fleetFeed.feed.AskPeers(time.Now())
	began := time.Now()
	v.fleetFeed.useStore(t.Context(), ladderfanout.Watch)
	require.Less(t, time.Since(began), watchWait, "the watch is given up with the answer of the peer")
	require.False(t, v.accepts("key-a"))
}

// TestEarlierConfigurationOfPeer asks a peer that has an earlier version and claims to know all changes up to a later
// revision. The version and the revision from which to continue must remain.
func TestEarlierConfigurationOfPeer(t *testing.T) {
	vms := newPeers(t, "e1", "e2")
	v, older := vms[0], vms[1]
	v.know(teamsFleet(2, []string{"key-a2"}, nil), 20, 21)
	older.know(teamsFleet(1, []string{"key-a"}, nil), 10, 99)
	v.fleetFeed.take(t.Context(), v.fleetFeed.request(t.Context(), "e2", v.fleetFeed.state.fleetRevision(), fetchTimeout))
	require.Equal(t, int64(2), v.fleet.Load().Version)
	require.Equal(t, int64(21), v.fleetFeed.feed.Revision(), "changes after this revision may be unknown")
	require.False(t, v.accepts("key-a"))

	// The other way round, the newer version counts although the peer knows fewer other changes.
	older.fleetFeed.take(t.Context(), older.fleetFeed.request(t.Context(), "e1", 10, fetchTimeout))
	require.Equal(t, int64(2), older.fleet.Load().Version)
	require.Equal(t, int64(99), older.fleetFeed.feed.Revision())
	require.False(t, older.accepts("key-a"))
}

// TestMalformedStateOfPeer takes a state whose configuration or one of whose items can't be decoded. What can be
// decoded counts.
func TestMalformedStateOfPeer(t *testing.T) {
	wave := platform.Item{Key: platform.WavePrefix + "1", ModRevision: 30, Value: []byte(`{"wave":1,"machines":["m"],"completeByS":9,"cap":1}`)}
	malformed := platform.Item{Key: platform.WavePrefix + "2", ModRevision: 31, Value: []byte(`{"wave":`)}
	for name, c := range map[string]struct {
		r        fetchResult
		revision int64
	}{
		"configuration": {fetchResult{from: "e2", err: errors.New("malformed"), state: laddermessage.FleetState{
			Revision: 40, FleetRevision: 35, Items: []platform.Item{malformed, wave},
		}}, 12},
		"item": {fetchResult{from: "e2", state: laddermessage.FleetState{
			Revision: 40, FleetRevision: 10, Base: 10, Items: []platform.Item{malformed, wave},
		}}, 40},
		"no configuration": {fetchResult{from: "e2", state: laddermessage.FleetState{
			Revision: 40, FleetRevision: 35, Items: []platform.Item{wave},
		}}, 12},
	} {
		t.Run(name, func(t *testing.T) {
			v := newTestVM(t, "e1")
			v.know(teamsFleet(1, []string{"key-a"}, nil), 10, 12)
			v.fleetFeed.take(t.Context(), c.r)
			require.Contains(t, v.waves, int64(1))
			require.NotContains(t, v.waves, int64(2))
			require.Equal(t, c.revision, v.fleetFeed.feed.Revision())
			require.Equal(t, int64(1), v.fleet.Load().Version)
			require.True(t, v.accepts("key-a"))
		})
	}
}
