package ladderpeer_test

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/laddermessage"
)

// TestManyConnectionsAtOnceAreAccepted guards against a server that refuses connections after their handshakes,
// since they end faster than one goroutine accepts them.
func TestManyConnectionsAtOnceAreAccepted(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	config := newTLS(t)
	server := startVM(t, loopback, config, config)
	const peers = 146
	errs := make(chan error, peers)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for range peers {
		peer := startVM(t, loopback, config, config)
		go func() {
			_, err := peer.client.Call(ctx, server.address, laddermessage.JobStatusQuery{Job: "j"})
			errs <- err
		}()
	}
	for range peers {
		if err := <-errs; err != nil {
			require.NotContains(t, err.Error(), "REFUSED")
		}
	}
}
