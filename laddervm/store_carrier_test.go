package laddervm

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderlog"
	"lacewingladder/platform"
)

// slowStore starts a store whose responses come in the given number of parts of 1 KB, with a
// pause before each, and returns a carrier of calls to it.
func slowStore(t *testing.T, parts int, pause time.Duration) (*storeCarrier, netip.AddrPort) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		for range parts {
			select {
			case <-time.After(pause):
			case <-r.Context().Done():
				return
			}
			_, _ = w.Write(make([]byte, 1<<10))
			w.(http.Flusher).Flush()
		}
	}))
	t.Cleanup(s.Close)
	return carrierTo(t, s.URL)
}

// carrierTo returns a carrier of calls to the store at a URL, and the store's address.
func carrierTo(t *testing.T, url string) (*storeCarrier, netip.AddrPort) {
	t.Helper()
	v := &VM{
		settings: &platform.Settings{Name: "e1"}, clock: ladderclock.System{}, boot: ladderclock.System{},
		logs: ladderlog.Discard(), stats: newStats(), direct: platform.NewDirect(dialTimeout, 0),
	}
	v.log = v.logs.RateLimited("vm", v.clock)
	v.registry = newRegistry(v)
	return newStoreCarrier(v), netip.MustParseAddrPort(strings.TrimPrefix(url, "http://"))
}

// TestLargeResponseIsNotGivenUp guards against a large response that is given up while it still
// arrives, and requested again as a whole.
func TestLargeResponseIsNotGivenUp(t *testing.T) {
	for name, call := range map[string]platform.Call{
		"watch": {Operation: "watch", Method: http.MethodGet, Path: "/", Wait: 100 * time.Millisecond},
		"range": {Operation: "range", Method: http.MethodGet, Path: "/"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, to := slowStore(t, 30, 50*time.Millisecond)
			reply, err := c.Carry(context.Background(), to, call)
			require.NoError(t, err)
			require.Len(t, reply.Body, 30<<10)
		})
	}
}

// TestStalledResponseIsGivenUp guards against a call that waits forever for the rest of a
// response.
func TestStalledResponseIsGivenUp(t *testing.T) {
	c, to := slowStore(t, 2, time.Minute)
	began := time.Now()
	_, err := c.Carry(context.Background(), to, platform.Call{Operation: "range", Method: http.MethodGet, Path: "/"})
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.NotErrorIs(t, err, context.Canceled)
	var partial *platform.PartialReplyError
	require.ErrorAs(t, err, &partial)
	require.Less(t, time.Since(began), 3*time.Second)
}

// TestCallIsRepeatedWhenStoreIsBack sends a call while the store answers nothing. Once the store has
// served another call, the first one is sent again without waiting for its timeout: it may hold the
// ends of runs, which no caller sees before they are stored.
func TestCallIsRepeatedWhenStoreIsBack(t *testing.T) {
	var silent atomic.Bool
	var calls atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		if silent.Load() {
			<-r.Context().Done()
			return
		}
		w.WriteHeader(http.StatusOK)
	}))
	t.Cleanup(s.Close)
	c, to := carrierTo(t, s.URL)
	call := platform.Call{Operation: "txn", Method: http.MethodPost, Path: "/"}
	silent.Store(true)
	_, err := c.Carry(context.Background(), to, call)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.True(t, c.unavailable())
	for range 20 {
		c.latency.observe(time.Second) // The calls of an outage raise the timeout.
	}

	began, before := time.Now(), calls.Load()
	first := make(chan error, 1)
	go func() {
		_, err := c.Carry(context.Background(), to, call)
		first <- err
	}()
	require.Eventually(t, func() bool { return calls.Load() > before }, time.Second, time.Millisecond)
	silent.Store(false)
	_, err = c.Carry(context.Background(), to, call)
	require.NoError(t, err)
	require.False(t, c.unavailable())
	require.NoError(t, <-first)
	require.Less(t, time.Since(began), time.Second)
	require.EqualValues(t, before+3, calls.Load(), "the first call was sent twice")
}
