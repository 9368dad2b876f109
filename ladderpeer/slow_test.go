package ladderpeer_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/laddermessage"
	"lacewingladder/ladderpeer"
)

// TestRestartedPeerIsReachedAgain checks that the second call succeeds after a peer has restarted without a
// word at the same address.
func TestRestartedPeerIsReachedAgain(t *testing.T) {
	config := newTLS(t)
	r := newRelay(t, serve(t, config))
	client := ladderpeer.NewClient(config)
	defer client.Close()
	_, err := client.Call(t.Context(), r.address, laddermessage.JobStatusQuery{Job: "j"})
	require.NoError(t, err)
	r.connect(t, serve(t, config))
	short, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	_, err = client.Call(short, r.address, laddermessage.JobStatusQuery{Job: "j"})
	require.Error(t, err)
	next, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err = client.Call(next, r.address, laddermessage.JobStatusQuery{Job: "j"})
	require.NoError(t, err)
}
