package ladderfanout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFailedFetchIsFollowedByPoll guards against a VM that tries offer after offer of peers that do
// not answer, and has an old configuration meanwhile. After a fetch that has failed, the VM must
// poll the store within a quarter of its interval, whatever else it is offered.
func TestFailedFetchIsFollowedByPoll(t *testing.T) {
	start := time.UnixMilli(0)
	for name, p := range map[string]Placement{
		"small": {Rank: 1, Members: 2},
		"large": {Rank: 40, Members: 74, Home: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := NewFeed(start, func() float64 { return 0.999 })
			f.Synced(start, 7, p)
			now := start.Add(10 * time.Millisecond)
			f.Failed(now, p)
			action, until := f.Next(now, p)
			require.Equal(t, Wait, action)
			require.LessOrEqual(t, until.Sub(now), maxPollInterval/4)
			require.False(t, f.Fetches(), "another offer must wait for the poll")
			action, _ = f.Next(until, p)
			require.Equal(t, Poll, action)
			f.Synced(until, 8, p)
			require.True(t, f.Fetches())
		})
	}
}

// TestFailedFetchDelaysNoPoll guards against a failed fetch that puts off a poll that was due
// earlier.
func TestFailedFetchDelaysNoPoll(t *testing.T) {
	start, p := time.UnixMilli(0), Placement{Rank: 40, Members: 74}
	f := NewFeed(start, func() float64 { return 0.999 })
	f.Synced(start, 7, p)
	_, due := f.Next(start, p)
	f.Failed(due.Add(-10*time.Millisecond), p)
	action, _ := f.Next(due, p)
	require.Equal(t, Poll, action)
}

// TestOffersAreTakenWithoutStore guards against a VM that is cut off from the store and takes no
// offers either, since one of them once failed.
func TestOffersAreTakenWithoutStore(t *testing.T) {
	start, p := time.UnixMilli(0), Placement{Rank: 1, Members: 2}
	f := NewFeed(start, func() float64 { return 0 })
	f.Synced(start, 7, p)
	f.Failed(start, p)
	require.False(t, f.Fetches())
	f.Unanswered()
	require.True(t, f.Fetches())
	action, _ := f.Next(start, p)
	require.Equal(t, Poll, action, "the store must be asked again")
}
