package ladderpeer_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/laddermessage"
	"lacewingladder/ladderpeer"
)

// TestConcurrentCallsShareDial guards against a client that opens a connection for each of many calls to a
// peer that begin at once, and so is busy with handshakes only.
func TestConcurrentCallsShareDial(t *testing.T) {
	config := newTLS(t)
	address := serve(t, config)
	client := ladderpeer.NewClient(config)
	defer client.Close()
	dials := client.CountDials()
	const calls = 50
	errs := make(chan error, calls)
	for range calls {
		go func() {
			_, err := client.Call(t.Context(), address, laddermessage.JobStatusQuery{Job: "j"})
			errs <- err
		}()
	}
	for range calls {
		require.NoError(t, <-errs)
	}
	require.EqualValues(t, 1, dials.Load())
}

// TestDialOutlivesCall guards against a handshake that is given up with the call that began it and begun
// again by the next one.
func TestDialOutlivesCall(t *testing.T) {
	config := newTLS(t)
	address := serve(t, config)
	client := ladderpeer.NewClient(config)
	defer client.Close()
	dials := client.CountDials()
	short, cancel := context.WithTimeout(t.Context(), time.Microsecond)
	defer cancel()
	_, err := client.Call(short, address, laddermessage.JobStatusQuery{Job: "j"})
	require.ErrorIs(t, err, ladderpeer.ErrUnsent)
	_, err = client.Call(t.Context(), address, laddermessage.JobStatusQuery{Job: "j"})
	require.NoError(t, err)
	require.EqualValues(t, 1, dials.Load())
}

// TestLateReplyKeepsConnection guards against a handshake after each call that the peer answers too late.
func TestLateReplyKeepsConnection(t *testing.T) {
	config := newTLS(t)
	address := serve(t, config)
	client := ladderpeer.NewClient(config)
	defer client.Close()
	dials := client.CountDials()
	for range 3 {
		short, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		_, err := client.Call(short, address, laddermessage.JobStatusQuery{Job: "slow"})
		cancel()
		require.Error(t, err)
		_, err = client.Call(t.Context(), address, laddermessage.JobStatusQuery{Job: "j"})
		require.NoError(t, err)
	}
	require.EqualValues(t, 1, dials.Load())
}

// TestSilentConnectionIsReplaced cuts a connection off for good, as a firewall does that has forgotten it. The
// call that is made on it then must be the last one.
func TestSilentConnectionIsReplaced(t *testing.T) {
	config := newTLS(t)
	r := newRelay(t, serve(t, config))
	client := ladderpeer.NewClient(config)
	defer client.Close()
	dials := client.CountDials()
	_, err := client.Call(t.Context(), r.address, laddermessage.JobStatusQuery{Job: "j"})
	require.NoError(t, err)
	r.silence()
	short, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err = client.Call(short, r.address, laddermessage.JobStatusQuery{Job: "j"})
	require.Error(t, err)
	_, err = client.Call(t.Context(), r.address, laddermessage.JobStatusQuery{Job: "j"})
	require.NoError(t, err)
	require.EqualValues(t, 2, dials.Load())
}

// TestOlderCallDoesNotHideSilence ends two calls late on a connection that went silent between their beginnings,
// the older one last. What arrived before the silence must not keep the connection.
func TestOlderCallDoesNotHideSilence(t *testing.T) {
	config := newTLS(t)
	r := newRelay(t, serve(t, config))
	client := ladderpeer.NewClient(config)
	defer client.Close()
	dials := client.CountDials()
	older := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
		defer cancel()
		_, err := client.Call(ctx, r.address, laddermessage.JobStatusQuery{Job: "slow"})
		older <- err
	}()
	time.Sleep(150 * time.Millisecond) // The peer has acknowledged the older call.
	r.silence()
	short, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err := client.Call(short, r.address, laddermessage.JobStatusQuery{Job: "j"})
	require.Error(t, err)
	require.Error(t, <-older)
	next, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err = client.Call(next, r.address, laddermessage.JobStatusQuery{Job: "j"})
	require.NoError(t, err)
	require.EqualValues(t, 2, dials.Load())
}

// TestCloseEndsAbandonedConnection guards against connections that outlive their client.
func TestCloseEndsAbandonedConnection(t *testing.T) {
	config := newTLS(t)
	r := newRelay(t, serve(t, config))
	client := ladderpeer.NewClient(config)
	opened := client.Opened()
	_, err := client.Call(t.Context(), r.address, laddermessage.JobStatusQuery{Job: "j"})
	require.NoError(t, err)
	r.silence()
	short, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = client.Call(short, r.address, laddermessage.JobStatusQuery{Job: "j"})
	require.Error(t, err)
	_, err = client.Call(t.Context(), r.address, laddermessage.JobStatusQuery{Job: "j"})
	require.NoError(t, err)
	client.Close()
	for range 2 {
		ended := (<-opened).Context()
		require.Eventually(t, func() bool { return ended.Err() != nil }, time.Second, 5*time.Millisecond)
	}
}

// TestOpenConnectionIsNotReplaced guards against a second connection to a peer, which replaces the first one.
// That is kept alive for good, as nothing closes it.
func TestOpenConnectionIsNotReplaced(t *testing.T) {
	config := newTLS(t)
	client := ladderpeer.NewClient(config)
	defer client.Close()
	dials := client.CountDials()
	address := serve(t, config)
	client.DialAfterDial(address)
	_, err := client.Call(t.Context(), address, laddermessage.JobStatusQuery{Job: "j"})
	require.NoError(t, err)
	require.EqualValues(t, 1, dials.Load())
}

// TestStoppedPeerKeepsConnection stops a peer for less than a second. Its callers must not all make handshakes with
// it when it goes on.
func TestStoppedPeerKeepsConnection(t *testing.T) {
	config := newTLS(t)
	r := newRelay(t, serve(t, config))
	client := ladderpeer.NewClient(config)
	defer client.Close()
	dials := client.CountDials()
	_, err := client.Call(t.Context(), r.address, laddermessage.JobStatusQuery{Job: "j"})
	require.NoError(t, err)
	time.Sleep(200 * time.Millisecond) // The last acknowledgements have arrived.
	r.stopped.Lock()
	time.AfterFunc(700*time.Millisecond, r.stopped.Unlock)
	for range 2 {
		short, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		_, err := client.Call(short, r.address, laddermessage.JobStatusQuery{Job: "j"})
		cancel()
		require.Error(t, err)
	}
	_, err = client.Call(t.Context(), r.address, laddermessage.JobStatusQuery{Job: "j"})
	require.EqualValues(t, 1, dials.Load())
	require.NoError(t, err)
}
