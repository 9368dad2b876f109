package ladderdemo_test

import (
	"bytes"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"lacewingladder/ladderdemo"
)

// BenchmarkPlacements measures placements end to end, with the platform, the
// workers, six entry VMs and the callers all in this process: requests a second
// by 64 callers without a pause, and the time to an answer at a steady 1,000
// requests a second.
func BenchmarkPlacements(b *testing.B) {
	fleet, err := ladderdemo.Start(b.Context(), ladderdemo.Options{Dir: b.TempDir()})
	require.NoError(b, err)
	b.Cleanup(fleet.Close)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128, DisableCompression: true}}
	b.Cleanup(client.CloseIdleConnections)
	targets := fleet.Callers()

	b.Run("throughput", func(b *testing.B) {
		var next atomic.Int64
		var wait sync.WaitGroup
		began := time.Now()
		for range 64 {
			wait.Go(func() {
				for {
					n := next.Add(1)
					if n > int64(b.N) {
						return
					}
					send(b, client, targets[int(n)%len(targets)])
				}
			})
		}
		wait.Wait()
		b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "placements/s")
	})
	b.Run("added time", func(b *testing.B) {
		const rate = 1000
		h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		var mu sync.Mutex
		var wait sync.WaitGroup
		tick := time.NewTicker(time.Second / rate)
		defer tick.Stop()
		for n := range b.N {
			<-tick.C
			wait.Go(func() {
				began := time.Now()
				send(b, client, targets[n%len(targets)])
				mu.Lock()
				defer mu.Unlock()
				_ = h.RecordValue(time.Since(began).Microseconds())
			})
		}
		wait.Wait()
		b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
		b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
	})
}

func send(b *testing.B, client *http.Client, to netip.AddrPort) {
	request, err := http.NewRequest(http.MethodPost, "http://"+to.String()+"/v1/requests", bytes.NewReader([]byte("run=0s\nx")))
	if err != nil {
		b.Error(err)
		return
	}
	request.Header.Set("Ladder-Member", "jadewing")
	request.Header.Set("Ladder-Class", "fitcheck")
	response, err := client.Do(request)
	if err != nil {
		b.Error(err)
		return
	}
	answer, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if response.Header.Get("Ladder-Outcome") != "ran" {
		b.Errorf("outcome %s: %s", response.Header.Get("Ladder-Outcome"), answer)
	}
}
