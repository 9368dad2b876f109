package ladderpeer_test

import (
	"context"
	"crypto/tls"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"lacewingladder/laddercert"
	"lacewingladder/laddermessage"
	"lacewingladder/ladderpeer"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// newTLS creates a new certificate authority and returns the TLS configuration of one VM of
// that authority.
func newTLS(t testing.TB) *tls.Config {
	t.Helper()
	dir := t.TempDir() + "/keys"
	require.NoError(t, laddercert.Generate(dir, []string{"e"}, []netip.Addr{loopback.Addr()}, time.Now()))
	config, err := laddercert.Load(laddercert.Paths(dir, "e"))
	require.NoError(t, err)
	return config
}

// handler handles only [laddermessage.JobStatusQuery]. It replies after a second if the query
// is about job "slow", returns an error for job "bad", and replies immediately for any other
// job.
type handler struct{}

func (handler) Handle(ctx context.Context, m laddermessage.Message) (laddermessage.Message, error) {
	query, ok := m.(laddermessage.JobStatusQuery)
	switch {
	case !ok:
		return nil, errors.New("unexpected message type")
	case query.Job == "slow":
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	case query.Job == "bad":
		return nil, errors.New("no such job")
	}
	return laddermessage.JobStatus{Found: true, Reason: query.Job}, nil
}

// serve starts a server with handler and returns its address.
func serve(t *testing.T, config *tls.Config) netip.AddrPort {
	t.Helper()
	s, err := ladderpeer.Listen(loopback, config, handler{})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
		s.Close()
	})
	address, err := s.Address()
	require.NoError(t, err)
	return address
}

func TestCall(t *testing.T) {
	config := newTLS(t)
	address := serve(t, config)
	client := ladderpeer.NewClient(config)
	defer client.Close()

	reply, err := client.Call(t.Context(), address, laddermessage.JobStatusQuery{Job: "j"})
	require.NoError(t, err)
	require.Equal(t, laddermessage.JobStatus{Found: true, Reason: "j"}, reply)

	_, err = client.Call(t.Context(), address, laddermessage.JobStatusQuery{Job: "bad"})
	require.ErrorContains(t, err, "no such job")

	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = client.Call(short, address, laddermessage.JobStatusQuery{Job: "slow"})
	require.Error(t, err)
	require.NotErrorIs(t, err, ladderpeer.ErrUnsent, "the peer may have received the message")

	_, err = client.Call(t.Context(), address, laddermessage.JobStatusQuery{Job: "next"})
	require.NoError(t, err, "an exchange without a reply must not affect the next one")
	require.Positive(t, client.Traffic().Connections.Load())
}

func TestPeerWithAnotherAuthorityIsRefused(t *testing.T) {
	address := serve(t, newTLS(t))
	client := ladderpeer.NewClient(newTLS(t))
	defer client.Close()
	_, err := client.Call(t.Context(), address, laddermessage.FetchConfig{})
	require.ErrorIs(t, err, ladderpeer.ErrUnsent)
}

func TestUnreachablePeer(t *testing.T) {
	client := ladderpeer.NewClient(newTLS(t))
	defer client.Close()
	short, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err := client.Call(short, netip.MustParseAddrPort("127.0.0.1:9"), laddermessage.FetchConfig{})
	require.ErrorIs(t, err, ladderpeer.ErrUnsent)
}

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
