package laddervm

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderflow"
	"lacewingladder/ladderlog"
	"lacewingladder/ladderstand"
	"lacewingladder/platform"
)

// accessVM is a VM whose callers need keys. Its store counts the calls on jobs.
type accessVM struct {
	*VM
	t       *testing.T
	store   *ladderstand.Store
	calls   atomic.Int32
	handler http.Handler
	log     *lockedBuffer
	// serving serves the store, unless fault is set and answers a call or ends it.
	serving http.Handler
	fault   atomic.Pointer[func(http.ResponseWriter, *http.Request) bool]
}

// teamsFleet returns a version of the configuration with the given keys of the teams a and b. Without keys, there
// are no teams.
func teamsFleet(version int64, keysOfA []string, keysOfB []string) *ladderflow.FleetConfig {
	f := &ladderflow.FleetConfig{
		Version: version, KeysRequired: keysOfA != nil,
		Queues: []ladderflow.Queue{
			{Name: "q", Host: "fit.example", Prefix: "/q/", Service: "s", MaxFailures: 2, ObjectiveFactor: 2},
			{Name: "open", Host: "fit.example", Prefix: "/open/", Service: "s", MaxFailures: 2, ObjectiveFactor: 2, Public: true},
		},
		Services: map[string]ladderflow.Service{"s": {Name: "s"}},
	}
	if f.KeysRequired {
		f.Teams = []ladderflow.Team{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}}
		for i, keys := range [][]string{keysOfA, keysOfB} {
			for _, k := range keys {
				f.Teams[i].Keys = append(f.Teams[i].Keys, ladderflow.HashKey(k))
			}
		}
	}
	return f
}

func newAccessVM(t *testing.T) *accessVM {
	t.Helper()
	stand := ladderstand.NewPlatform(ladderclock.System{})
	a := &accessVM{t: t, store: stand.Store(), log: &lockedBuffer{}}
	a.serving = stand.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.calls.Add(1)
		if fault := a.fault.Load(); fault == nil || !(*fault)(w, r) {
			a.serving.ServeHTTP(w, r)
		}
	}))
	t.Cleanup(server.Close)
	address, err := ladderstand.FreePort("udp")
	require.NoError(t, err)
	a.VM, err = New(Options{Logs: ladderlog.New(a.log, "debug"), Settings: &platform.Settings{
		Name: "e1", Address: address.Addr(), FirstPort: address.Port(), LastPort: address.Port(),
		StoreAddress: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")),
		Bounds:       platform.Bounds{MaxWorkerLease: 10 * time.Second, JobRetention: time.Minute},
	}})
	require.NoError(t, err)
	t.Cleanup(a.close)
	go a.writer.run(t.Context())
	a.handler = a.callerHandler()
	a.fleet.Store(teamsFleet(1, []string{"key-a", "key-a2"}, []string{"key-b"}))
	return a
}

// lead makes the VM the leader, which knows what the store holds.
func (a *accessVM) lead() *term {
	term := newTestTerm(a.t, a.VM)
	contents, err := a.journal.Load(a.t.Context())
	require.NoError(a.t, err)
	term.call(a.t.Context(), func() { term.applyContents(contents, nil, nil) })
	a.registry.setLeader(leader{name: "e1", incarnation: a.registry.incarnation, revision: 5})
	return term
}

// failingBody is a body that must not be read.
type failingBody struct{ t *testing.T }

func (f failingBody) Read([]byte) (int, error) {
	f.t.Error("the body was read")
	return 0, io.ErrUnexpectedEOF
}

const testBody = `{"spec":"cut","steps":[{"count":1,"cpu":100,"memMb":10,"estimateMs":20}]}`

// call makes a call with a key, or without one if it is empty.
func (a *accessVM) call(method, path, key string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "http://fit.example"+path, strings.NewReader(testBody))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	w := httptest.NewRecorder()
	a.handler.ServeHTTP(w, r)
	return w
}

const (
	testJobID  = "00000000000000aa"
	otherJobID = "00000000000000bb"
)

// TestRefusalsWithoutKey checks in which order a call is refused, and that nothing is read, stored or asked for one
// without a valid key.
func TestRefusalsWithoutKey(t *testing.T) {
	a := newAccessVM(t)
	for name, c := range map[string]struct {
		path   string
		header []string
		status int
	}{
		"no queue, no key":            {"/none/" + testJobID, nil, http.StatusNotFound},
		"no queue, key":               {"/none/" + testJobID, []string{"Bearer key-a"}, http.StatusNotFound},
		"no key":                      {"/q/" + testJobID, nil, http.StatusUnauthorized},
		"unknown key":                 {"/q/" + testJobID, []string{"Bearer key-x"}, http.StatusUnauthorized},
		"malformed header":            {"/q/" + testJobID, []string{"key-a"}, http.StatusUnauthorized},
		"two headers":                 {"/q/" + testJobID, []string{"Bearer key-a", "Bearer key-b"}, http.StatusUnauthorized},
		"queue length without a key":  {"/q/", nil, http.StatusUnauthorized},
		"malformed ID without a key":  {"/q/zz", nil, http.StatusUnauthorized},
		"unknown key of another text": {"/q/" + testJobID, []string{"Bearer " + strings.Repeat("k", 4000)}, http.StatusUnauthorized},
	} {
		for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete, http.MethodPut} {
			t.Run(name+" "+method, func(t *testing.T) {
				r := httptest.NewRequest(method, "http://fit.example"+c.path, failingBody{t})
				r.Header["Authorization"] = c.header
				w := httptest.NewRecorder()
				a.handler.ServeHTTP(w, r)
				require.Equal(t, c.status, w.Code)
				require.Equal(t, c.status == http.StatusUnauthorized, strings.HasPrefix(w.Header().Get("WWW-Authenticate"), "Bearer"))
				require.Zero(t, a.calls.Load(), "the store was called")
			})
		}
	}
	require.Contains(t, a.log.String(), "call refused for its key")
	for _, key := range []string{"key-a", "key-b", "key-x", "kkkk"} {
		require.NotContains(t, a.log.String(), key)
	}
}

// TestJobOfAnotherTeam makes calls on a job with the keys of its team and of another, with and without a leader.
func TestJobOfAnotherTeam(t *testing.T) {
	for name, leads := range map[string]bool{"with a leader": true, "without a leader": false} {
		t.Run(name, func(t *testing.T) {
			a := newAccessVM(t)
			path := "/q/" + testJobID
			require.Equal(t, http.StatusOK, a.call(http.MethodPost, path, "key-a").Code)
			if leads {
				a.lead()
			}
			keys := a.store.Keys("ladder/")
			foreign := ""
			for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
				w := a.call(method, path, "key-b")
				require.Equal(t, http.StatusForbidden, w.Code, method)
				foreign = w.Body.String()
				require.NotContains(t, foreign, "queued")
				require.Equal(t, http.StatusUnauthorized, a.call(method, path, "").Code)
				require.Equal(t, http.StatusForbidden, a.call(method, "/open/"+testJobID, "").Code, "through a public queue, %s", method)
			}
			require.Equal(t, keys, a.store.Keys("ladder/"), "nothing may be stored")
			for _, key := range []string{"key-a", "key-a2"} {
				require.Equal(t, http.StatusOK, a.call(http.MethodGet, path, key).Code)
				require.Equal(t, http.StatusOK, a.call(http.MethodPost, path, key).Code)
			}
			require.Contains(t, a.call(http.MethodGet, path, "key-a").Body.String(), "queued")
			require.Equal(t, http.StatusGone, a.call(http.MethodGet, "/q/"+otherJobID, "key-b").Code)
			require.Equal(t, http.StatusOK, a.call(http.MethodDelete, path, "key-a2").Code)
			require.Contains(t, a.call(http.MethodGet, path, "key-a").Body.String(), "cancelled")
			require.Contains(t, a.log.String(), "call refused for its team")
		})
	}
}

// TestCancellationOfAnotherTeamBeforeTheJob cancels a job with the key of another team before it is submitted. It
// must not be cancelled, nor by a later leader that reads the store.
func TestCancellationOfAnotherTeamBeforeTheJob(t *testing.T) {
	for name, c := range map[string]struct {
		key   string
		state ladderflow.State
	}{
		"another team": {"key-b", ladderflow.Queued}, "its team": {"key-a2", ladderflow.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAccessVM(t)
			earlier := a.lead()
			_, began, _, _ := a.store.Changes("ladder/in/", 0)
			path := "/q/" + testJobID
			require.Equal(t, http.StatusGone, a.call(http.MethodDelete, path, c.key).Code)
			w := a.call(http.MethodPost, path, "key-a")
			require.Equal(t, http.StatusOK, w.Code)
			require.Contains(t, w.Body.String(), string(c.state))
			items, _, _, _ := a.store.Changes("ladder/in/", began)
			earlier.applyChanges(items)
			require.Equal(t, c.state, earlier.stateOf(testJobID))
			require.Equal(t, c.state, a.lead().stateOf(testJobID), "a later leader")
			require.Contains(t, a.call(http.MethodGet, path, "key-a").Body.String(), string(c.state))
		})
	}
}

// TestPublicQueueNeedsNoKey makes calls on a public queue with all kinds of keys.
func TestPublicQueueNeedsNoKey(t *testing.T) {
	a := newAccessVM(t)
	path := "/open/" + testJobID
	for _, key := range []string{"", "key-x", "key-a", "key-b"} {
		require.Equal(t, http.StatusOK, a.call(http.MethodPost, path, key).Code)
		require.Equal(t, http.StatusOK, a.call(http.MethodGet, path, key).Code)
	}
	team, _, ok, err := a.journal.Owner(t.Context(), testJobID)
	require.NoError(t, err)
	require.True(t, ok)
	require.Empty(t, team)
	require.Equal(t, http.StatusOK, a.call(http.MethodDelete, path, "").Code)
}

// TestJobsOutliveTheirKeys withdraws the key of a job and adds another. The job stays, and the new key may use it.
func TestJobsOutliveTheirKeys(t *testing.T) {
	a := newAccessVM(t)
	path := "/q/" + testJobID
	require.Equal(t, http.StatusOK, a.call(http.MethodPost, path, "key-a").Code)
	term := a.lead()
	require.True(t, a.applyFleet(teamsFleet(2, []string{"key-a3"}, []string{"key-b"}), 2, storeSource, 0, 0))
	for _, key := range []string{"key-a", "key-a2"} {
		for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
			require.Equal(t, http.StatusUnauthorized, a.call(method, path, key).Code)
		}
	}
	require.Equal(t, ladderflow.Queued, term.stateOf(testJobID))
	require.Equal(t, http.StatusOK, a.call(http.MethodGet, path, "key-a3").Code)
	require.False(t, a.applyFleet(teamsFleet(1, []string{"key-a"}, nil), 3, "e2", 0, 0), "an earlier version")
	require.Equal(t, http.StatusUnauthorized, a.call(http.MethodGet, path, "key-a").Code)
	require.Contains(t, a.log.String(), "keys withdrawn")
}

// TestJobsFromBeforeTeams checks that jobs that were submitted without a key may be used with any key.
func TestJobsFromBeforeTeams(t *testing.T) {
	a := newAccessVM(t)
	a.fleet.Store(teamsFleet(1, nil, nil))
	path := "/q/" + testJobID
	require.Equal(t, http.StatusOK, a.call(http.MethodPost, path, "").Code)
	require.Equal(t, http.StatusOK, a.call(http.MethodGet, path, "key-x").Code, "there are no keys yet")
	a.fleet.Store(teamsFleet(2, []string{"key-a"}, []string{"key-b"}))
	require.Equal(t, http.StatusOK, a.call(http.MethodGet, path, "key-a").Code)
	require.Equal(t, http.StatusOK, a.call(http.MethodPost, path, "key-b").Code)
	require.Equal(t, http.StatusUnauthorized, a.call(http.MethodGet, path, "").Code)
}

// TestCancellationThatMayHoldIsNotDenied loses the answer of the store to a cancellation that took effect. From then on
// the store refuses or leaves unanswered all calls. The caller must not be told that nothing was done.
func TestCancellationThatMayHoldIsNotDenied(t *testing.T) {
	for name, refused := range map[string]bool{"then nothing is answered": false, "then all is refused": true} {
		t.Run(name, func(t *testing.T) {
			a := newAccessVM(t)
			path := "/q/" + testJobID
			require.Equal(t, http.StatusOK, a.call(http.MethodPost, path, "key-a").Code)
			var lost atomic.Bool
			fault := func(w http.ResponseWriter, r *http.Request) bool {
				if lost.Load() {
					if refused {
						w.WriteHeader(http.StatusServiceUnavailable)
					} else {
						<-r.Context().Done()
					}
					return true
				}
				if r.URL.Path != "/-/kv-txn" {
					return false
				}
				lost.Store(true)
				a.serving.ServeHTTP(httptest.NewRecorder(), r)
				panic(http.ErrAbortHandler)
			}
			a.fault.Store(&fault)
			require.Equal(t, http.StatusGatewayTimeout, a.call(http.MethodDelete, path, "key-a").Code)
			_, ok, _ := a.store.Get("ladder/in/cancel/" + testJobID)
			require.True(t, ok, "it has taken effect")
		})
	}
}
