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

	"lacewingladder/ladderclock"
	"lacewingladder/ladderdemo"
	"lacewingladder/laddermodel"
	"lacewingladder/laddertrace"
)

// BenchmarkPlacements measures requests end to end, with the platform, the workers,
// six entry VMs and the callers in one process. It reports the number of requests per
// second that 64 callers send without a pause, and percentiles of the response time
// at a constant 1,000 requests per second. The tasks take no time of their own.
func BenchmarkPlacements(b *testing.B) {
	fleet, err := ladderdemo.Start(b.Context(), ladderdemo.Options{Dir: b.TempDir()})
	require.NoError(b, err)
	b.Cleanup(fleet.Close)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128, DisableCompression: true}}
	b.Cleanup(client.CloseIdleConnections)
	targets := fleet.Callers()

	b.Run("throughput", func(b *testing.B) {
		var sent atomic.Int64
		var callers sync.WaitGroup
		started := time.Now()
		for range 64 {
			callers.Go(func() {
				for {
					n := sent.Add(1)
					if n > int64(b.N) {
						return
					}
					send(b, client, targets[int(n)%len(targets)])
				}
			})
		}
		callers.Wait()
		b.ReportMetric(float64(b.N)/time.Since(started).Seconds(), "placements/s")
	})
	b.Run("added time", func(b *testing.B) {
		const requestsPerSecond = 1000
		latencies := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		var mu sync.Mutex
		var callers sync.WaitGroup
		tick := time.NewTicker(time.Second / requestsPerSecond)
		defer tick.Stop()
		for n := range b.N {
			<-tick.C
			callers.Go(func() {
				started := time.Now()
				send(b, client, targets[n%len(targets)])
				mu.Lock()
				defer mu.Unlock()
				_ = latencies.RecordValue(time.Since(started).Microseconds())
			})
		}
		callers.Wait()
		b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1000, "p50-ms")
		b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1000, "p99-ms")
	})
}

// send sends a request of the class fitcheck and reports an error unless it ran.
func send(b *testing.B, client *http.Client, target netip.AddrPort) {
	request, err := http.NewRequest(http.MethodPost, "http://"+target.String()+"/v1/requests", bytes.NewReader([]byte("run=0s\nx")))
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
	body, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if response.Header.Get("Ladder-Outcome") != "ran" {
		b.Errorf("outcome %s: %s", response.Header.Get("Ladder-Outcome"), body)
	}
}

// BenchmarkUrgentBesideBatch measures the waiting times of requests of the class
// fitcheck, first on an otherwise idle fleet and then while batch work uses 95% of the
// slots. It reports the 99th percentile of both and their ratio.
func BenchmarkUrgentBesideBatch(b *testing.B) {
	fleet, err := ladderdemo.Start(b.Context(), ladderdemo.Options{Dir: b.TempDir()})
	require.NoError(b, err)
	b.Cleanup(fleet.Close)
	run := func(trace []laddertrace.Entry) laddertrace.Report {
		meter := laddertrace.StartMeter(b.Context(), fleet.Operators())
		report := laddertrace.Replay{Trace: trace, Targets: fleet.Callers(), Clock: ladderclock.System{}}.Run(b.Context())
		report.Cost = meter.Stop(b.Context())
		return report
	}
	urgent := ladderdemo.UrgentTrace(12*time.Second, 4*time.Second)
	for b.Loop() {
		alone := run(urgent)
		filled := run(append(ladderdemo.BatchTrace(365, 20*time.Second), urgent...))
		p99 := func(r laddertrace.Report) float64 {
			return float64(r.Waits[0].P99) / float64(time.Millisecond)
		}
		require.Equal(b, laddermodel.Urgent, alone.Waits[0].Kind)
		b.ReportMetric(p99(alone), "alone-p99-ms")
		b.ReportMetric(p99(filled), "beside-p99-ms")
		b.ReportMetric(p99(filled)/p99(alone), "ratio")
		b.ReportMetric(100*filled.Cost.Peak, "peak-%")
		b.ReportMetric(float64(len(alone.Differences)+len(filled.Differences)), "differences")
	}
}

// BenchmarkIdle measures the calls to the store and the traffic between peers of an
// idle fleet.
func BenchmarkIdle(b *testing.B) {
	fleet, err := ladderdemo.Start(b.Context(), ladderdemo.Options{Dir: b.TempDir()})
	require.NoError(b, err)
	b.Cleanup(fleet.Close)
	const idleTime = 12 * time.Second
	for b.Loop() {
		meter := laddertrace.StartMeter(b.Context(), fleet.Operators())
		time.Sleep(idleTime)
		cost := meter.Stop(b.Context())
		vmSeconds := idleTime.Seconds() * float64(cost.VMs)
		b.ReportMetric(cost.StoreCalls/vmSeconds, "calls/s/VM")
		b.ReportMetric(cost.PeerBytes/vmSeconds, "peer-B/s/VM")
	}
}
