package ladderserver

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderjob"
	"lacewingladder/ladderlog"
	"lacewingladder/laddermodel"
	"lacewingladder/ladderqueue"
	"lacewingladder/ladderstand"
	"lacewingladder/platform"
)

// TestTransactionsFit stores and deletes the records of many jobs at once. The store rejects a
// transaction with too many entries as a whole, however often it is sent.
func TestTransactionsFit(t *testing.T) {
	const many = 200
	http := httptest.NewServer(ladderstand.NewPlatform(ladderclock.System{}).Handler())
	t.Cleanup(http.Close)
	s := &Server{store: newStore(netip.MustParseAddrPort(strings.TrimPrefix(http.URL, "http://"))), logs: ladderlog.Discard()}
	ctx := context.Background()

	j := &jobs{server: s, pending: make(chan pendingWrite, many), ended: make(chan struct{})}
	var writes []pendingWrite
	for i := range many {
		w := pendingWrite{platform.Write{Key: fmt.Sprintf("k%03d", i), Value: []byte("x")}, make(chan error, 1)}
		writes = append(writes, w)
		j.pending <- w
	}
	loop, end := context.WithCancel(ctx)
	go j.commitLoop(loop)
	for _, w := range writes {
		require.NoError(t, <-w.done)
	}
	end()
	<-j.ended

	l := &leader{server: s, queue: ladderqueue.New()}
	_, revision, err := s.store.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: leaderKey, Value: []byte("e1")}}})
	require.NoError(t, err)
	held := &term{keyRevision: revision}
	for i := range many {
		l.queue.Add(ladderjob.Record{State: ladderjob.Queued, Job: ladderjob.Job{
			ID: fmt.Sprintf("jadewing.%03d", i), Member: "jadewing", Kind: laddermodel.Batch, Tasks: 1,
		}})
		l.queue.Cancel(fmt.Sprintf("jadewing.%03d", i))
		l.queue.Cancel(fmt.Sprintf("unknown.%03d", i))
	}
	for range many {
		l.saveRecords(ctx, held)
	}
	require.Empty(t, l.queue.Unsaved(many))
	stored, _, err := s.store.List(ctx, jobPrefix, 0)
	require.NoError(t, err)
	require.Len(t, stored, many)

	now := time.Now()
	l.deleteEndedJobs(ctx, now, held)
	for range many {
		l.deleteEndedJobs(ctx, now.Add(endedJobRetention+time.Second), held)
	}
	stored, _, err = s.store.List(ctx, jobPrefix, 0)
	require.NoError(t, err)
	require.Empty(t, stored)
}
