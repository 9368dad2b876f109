package laddertrace

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sampleInterval is the time between samples of the number of slots in use.
const sampleInterval = 250 * time.Millisecond

// Meter measures what scheduling costs during a replay. It reads the metrics at
// the operators' addresses of the entry VMs. Start a meter with [StartMeter] before
// the replay, and stop it after the replay with [Meter.Stop].
type Meter struct {
	operators []netip.AddrPort
	client    *http.Client
	// before holds the metrics at the start of the meter.
	before totals
	// stop ends the sampling, and sampler is done when it has ended.
	stop    context.CancelFunc
	sampler sync.WaitGroup
	// samples counts the samples of the share of slots in use, packingSum is their
	// sum and peak the largest of them.
	samples    int
	packingSum float64
	peak       float64
}

// totals holds the sums of metrics over all entry VMs, by the metric's name.
type totals map[string]float64

// StartMeter reads the metrics of the given operators' addresses and starts a meter.
func StartMeter(ctx context.Context, operators []netip.AddrPort) *Meter {
	sampling, stop := context.WithCancel(ctx)
	m := &Meter{operators: operators, client: &http.Client{Timeout: time.Second}, stop: stop}
	m.before = m.readMetrics(ctx)
	m.sampler.Go(func() {
		for sleep(sampling, sampleInterval) {
			current := m.readMetrics(sampling)
			if slots := current["ladder_slots"]; slots > 0 {
				m.samples++
				m.packingSum += current["ladder_slots_used"] / slots
				m.peak = max(m.peak, current["ladder_slots_used"]/slots)
			}
		}
	})
	return m
}

// Stop ends the meter and returns the cost since its start.
func (m *Meter) Stop(ctx context.Context) *Cost {
	m.stop()
	m.sampler.Wait()
	defer m.client.CloseIdleConnections()
	after := m.readMetrics(ctx)
	increase := func(name string) float64 { return after[name] - m.before[name] }
	return &Cost{
		VMs:        len(m.operators),
		Packing:    m.packingSum / float64(max(1, m.samples)),
		Peak:       m.peak,
		StoreCalls: increase("ladder_store_calls_total"),
		PeerBytes:  increase("ladder_peer_sent_bytes_total"),
		Attempts:   increase("ladder_attempts_total"),
		Requests:   increase("ladder_requests_total"),
		CPUTime:    time.Duration(increase("process_cpu_seconds_total") * float64(time.Second)),
	}
}

// readMetrics returns the sums of the metrics of all entry VMs. An entry VM that
// does not respond adds nothing to them.
func (m *Meter) readMetrics(ctx context.Context) totals {
	sum := totals{}
	for _, address := range m.operators {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%v/metrics", address), http.NoBody)
		if err != nil {
			continue
		}
		response, err := m.client.Do(request)
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(response.Body)
		for lines.Scan() {
			name, text, _ := strings.Cut(lines.Text(), " ")
			if v, err := strconv.ParseFloat(text, 64); err == nil {
				sum[name] += v
			}
		}
		_ = response.Body.Close()
	}
	return sum
}
