package laddervm

import (
	"encoding/base64"
	"fmt"
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

// TestCancellationDuringTheTakeoverNeedsNoSecondRead stores a cancellation after a new leader has read the
// cancellations. It must be in force with the first watch call, which must not wait, and without another read
// of all jobs, unless the store no longer has the history.
func TestCancellationDuringTheTakeoverNeedsNoSecondRead(t *testing.T) {
	for name, gone := range map[string]bool{"the store has the history": false, "the history is gone": true} {
		t.Run(name, func(t *testing.T) {
			job, err := ladderjournal.EncodeJob(testJobs()[0])
			require.NoError(t, err)
			cancellation := platformItem("ladder/in/cancel/a", []byte{1}, 41)
			var reads atomic.Int32
			firstWatch := make(chan string, 100)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				q := r.URL.Query()
				reply := `{"rev":50}`
				switch {
				case r.URL.Path == "/-/kv-key":
					w.WriteHeader(http.StatusNotFound)
					return
				case r.URL.Path == "/-/kv-range" && q.Get("prefix") == "ladder/in/job/":
					reply = fmt.Sprintf(`{"items":[%s],"storeRevision":40}`, platformItem("ladder/in/job/a", job, 30))
				case r.URL.Path == "/-/kv-range" && q.Get("prefix") == ladderjournal.WatchPrefix:
					reads.Add(1)
					reply = fmt.Sprintf(`{"items":[%s],"storeRevision":42}`, cancellation)
				case r.URL.Path == "/-/kv-range":
					reply = `{"storeRevision":42}`
				case r.URL.Path == "/-/kv-watch" && q.Get("prefix") == ladderjournal.WatchPrefix:
					firstWatch <- q.Get("after") + "/" + q.Get("waitMs")
					if q.Get("after") != "40" {
						<-r.Context().Done()
						return
					}
					if gone {
						w.WriteHeader(http.StatusGone)
						return
					}
					reply = fmt.Sprintf(`{"events":[%s],"storeRevision":42}`, cancellation)
				case r.URL.Path == "/-/kv-watch":
					<-r.Context().Done()
					return
				}
				_, _ = fmt.Fprint(w, reply)
			}))
			defer s.CloseClientConnections()
			v := newTestVM(t, "e1")
			v.store = platform.NewStore(v.storeCarrier, netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")))
			v.journal = ladderjournal.New(v.store)
			term := newTestTerm(t, v)
			term.load()
			require.Eventually(t, func() bool { return term.stateOf("a") == ladderflow.Cancelled }, 10*time.Second, time.Millisecond)
			require.Equal(t, "40/0", <-firstWatch)
			if gone {
				require.EqualValues(t, 1, reads.Load())
			} else {
				require.Zero(t, reads.Load(), "all jobs were read once more")
			}
		})
	}
}

// platformItem returns an item as the store encodes it.
func platformItem(key string, value []byte, revision int) string {
	return fmt.Sprintf(`{"key":%q,"value":%q,"rev":%d}`, key, base64.StdEncoding.EncodeToString(value), revision)
}
