package ladderdispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclaim"
	"lacewingladder/ladderdispatch"
	"lacewingladder/ladderholder"
	"lacewingladder/laddermodel"
	"lacewingladder/ladderplacement"
)

// movingHome is a holder that is the home of every rack for the first calls of Home only.
type movingHome struct {
	alwaysFree
	calls int
}

func (h *movingHome) Home(now time.Time, rack string) (ladderclaim.Home, bool) {
	h.calls--
	if h.calls < 0 {
		return ladderclaim.Home{}, false
	}
	return h.alwaysFree.Home(now, rack)
}

// successor is a peer that answers each request that is forwarded to it.
type successor struct {
	forwarded []laddermodel.Request
}

func (s *successor) Reserve(context.Context, string, ladderholder.CapacityRequest) (laddermodel.Reservation, error) {
	return laddermodel.Reservation{}, &ladderholder.NoCapacityError{}
}

func (s *successor) Release(string, ladderholder.TaskEnd) {}

func (s *successor) Forward(_ context.Context, _ string, r laddermodel.Request) (laddermodel.Answer, error) {
	s.forwarded = append(s.forwarded, r)
	return laddermodel.Answer{Outcome: laddermodel.Ran}, nil
}

// TestHomeHandedOverAfterItsCheck guards against a request that is answered with unknown because
// the home of its key was handed over after this VM had found itself to be the home. The
// successor, which announces itself 200 ms later, must get the request.
func TestHomeHandedOverAfterItsCheck(t *testing.T) {
	tests := map[string]struct {
		// homeCalls is the number of checks that find this VM to be the home.
		homeCalls int
		// running is true if an earlier request with the key runs for one more second.
		running bool
		// deadline is what must be left of the request's deadline.
		deadline time.Duration
	}{
		"before the key is recorded":  {homeCalls: 1, deadline: 3800 * time.Millisecond},
		"while the key is waited for": {homeCalls: 5, running: true, deadline: 2800 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDispatcher(t, &fakeWorkers{replies: []ladderdispatch.Reply{{Kind: ladderdispatch.Answered}}})
				peers := &successor{}
				d.Holder, d.Peers = &movingHome{calls: test.homeCalls}, peers
				if test.running {
					go d.Do(t.Context(), request)
					synctest.Wait()
				}
				time.AfterFunc(request.Deadline-test.deadline, func() {
					d.UpdateDigests(time.Now(), []ladderplacement.Digest{{Holder: "successor", Zone: "z", Rack: "k", Home: true}})
				})
				a := d.Do(t.Context(), request)
				require.Equal(t, laddermodel.Ran, a.Outcome, a.Reason)
				require.Len(t, peers.forwarded, 1)
				require.InDelta(t, test.deadline, peers.forwarded[0].Deadline, float64(50*time.Millisecond))
			})
		})
	}
}
