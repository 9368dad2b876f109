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

// BenchmarkUrgentBesideBatch measures the wait of fit checks alone, and then with
// batch work filling 95% of the slots, in one run, and reports both and their
// ratio at the 99th percentile.
func BenchmarkUrgentBesideBatch(b *testing.B) {
	fleet, err := ladderdemo.Start(b.Context(), ladderdemo.Options{Dir: b.TempDir()})
	require.NoError(b, err)
	b.Cleanup(fleet.Close)
	run := func(trace []laddertrace.Entry) laddertrace.Report {
		meter := laddertrace.Measure(b.Context(), fleet.Operators())
		report := laddertrace.Replay{Trace: trace, Targets: fleet.Callers(), Clock: ladderclock.System{}}.Run(b.Context())
		report.Cost = meter.Stop(b.Context())
		return report
	}
	urgent := ladderdemo.Urgent(12*time.Second, 4*time.Second)
	for b.Loop() {
		alone := run(urgent)
		filled := run(append(ladderdemo.Fill(365, 20*time.Second), urgent...))
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

// BenchmarkRest measures what an idle fleet costs.
func BenchmarkRest(b *testing.B) {
	fleet, err := ladderdemo.Start(b.Context(), ladderdemo.Options{Dir: b.TempDir()})
	require.NoError(b, err)
	b.Cleanup(fleet.Close)
	const rest = 12 * time.Second
	for b.Loop() {
		meter := laddertrace.Measure(b.Context(), fleet.Operators())
		time.Sleep(rest)
		c := meter.Stop(b.Context())
		seconds := rest.Seconds() * float64(c.VMs)
		b.ReportMetric(c.Calls/seconds, "calls/s/VM")
		b.ReportMetric(c.PeerBytes/seconds, "peer-B/s/VM")
	}
}
