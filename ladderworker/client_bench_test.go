package ladderworker_test

import (
	"fmt"
	"net"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"lacewingladder/ladderclaim"
	"lacewingladder/ladderclock"
	"lacewingladder/laddermodel"
	"lacewingladder/ladderstand"
	"lacewingladder/ladderworker"
)

// countingListener counts the bytes that its connections receive and send.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (c countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return countingConn{conn, c.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkClaim measures one renewal of a claim over HTTP, client and worker
// together, with different numbers of tasks on the worker. It reports the bytes of
// both directions for each renewal.
func BenchmarkClaim(b *testing.B) {
	for _, tasks := range []int{0, 8, 64} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) { benchmarkClaim(b, tasks, 0) })
		b.Run(fmt.Sprintf("tasks=%d/unchanged", tasks), func(b *testing.B) { benchmarkClaim(b, tasks, uint64(tasks)+1) })
	}
}

// benchmarkClaim measures renewals with the given number of tasks on the worker.
// version is the version of the last report that the holder received. If the report
// has not changed since, the worker leaves the running tasks out.
func benchmarkClaim(b *testing.B, tasks int, version uint64) {
	size := laddermodel.Size{Slots: 1, Millicores: 500, Memory: 1 << 30}
	worker := ladderstand.NewWorker(ladderclock.System{}, ladderstand.Spec{Name: "w", Boot: 1, Size: size.Times(64)})
	worker.Claim("vm#1", time.Hour, 0, 0)
	for i := range tasks {
		worker.Start(ladderstand.Start{
			Task: fmt.Sprintf("jadewing.01M8Z3B4HSHZTDB0N4XG21MTED/%d/1", i), Kind: laddermodel.Batch, Size: size,
			Lease: time.Hour, Boot: 1, Epoch: 1, Until: time.Hour,
		})
	}
	var transferred atomic.Int64
	server := httptest.NewUnstartedServer(ladderstand.NewWorkerServer(worker).Handler())
	server.Listener = countingListener{server.Listener, &transferred}
	server.Start()
	defer server.Close()
	client := ladderworker.NewClient()
	defer client.Close()
	call := ladderclaim.Call{
		Worker: laddermodel.Worker{Name: "w", Address: netip.MustParseAddrPort(server.Listener.Addr().String())},
		Holder: "vm#1", Lease: time.Hour, Version: version,
	}
	exchanges := 0
	for b.Loop() {
		if _, err := client.Claim(b.Context(), call, false); err != nil {
			b.Fatal(err)
		}
		exchanges++
	}
	b.ReportMetric(float64(transferred.Load())/float64(exchanges), "bytes")
}
