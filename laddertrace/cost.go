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

// sampleTime is the time between looks at how many slots are in use.
const sampleTime = 250 * time.Millisecond

// Meter reads the control cost of a replay from the operators' addresses of entry
// VMs. Start it before the replay and stop it after.
type Meter struct {
	operators []netip.AddrPort
	client    *http.Client
	before    totals
	stop      context.CancelFunc
	done      sync.WaitGroup
	samples   int
	packing   float64
	peak      float64
}

// totals are the sums of some metrics over all entry VMs.
type totals map[string]float64

// Measure starts a meter.
func Measure(ctx context.Context, operators []netip.AddrPort) *Meter {
	sampling, stop := context.WithCancel(ctx)
	m := &Meter{operators: operators, client: &http.Client{Timeout: time.Second}, stop: stop}
	m.before = m.read(ctx)
	m.done.Go(func() {
		for sleep(sampling, sampleTime) {
			t := m.read(sampling)
			if all := t["ladder_slots"]; all > 0 {
				m.samples++
				m.packing += t["ladder_slots_used"] / all
				m.peak = max(m.peak, t["ladder_slots_used"]/all)
			}
		}
	})
	return m
}

// Stop ends the meter and returns what it found.
func (m *Meter) Stop(ctx context.Context) *Cost {
	m.stop()
	m.done.Wait()
	defer m.client.CloseIdleConnections()
	after := m.read(ctx)
	grew := func(name string) float64 { return after[name] - m.before[name] }
	return &Cost{
		VMs:       len(m.operators),
		Packing:   m.packing / float64(max(1, m.samples)),
		Peak:      m.peak,
		Calls:     grew("ladder_store_calls_total"),
		PeerBytes: grew("ladder_peer_sent_bytes_total"),
		Attempts:  grew("ladder_attempts_total"),
		Requests:  grew("ladder_requests_total"),
		Processor: time.Duration(grew("process_cpu_seconds_total") * float64(time.Second)),
	}
}

// read sums the metrics of all entry VMs. Those that do not answer count nothing.
func (m *Meter) read(ctx context.Context) totals {
	sum := totals{}
	for _, a := range m.operators {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%v/metrics", a), http.NoBody)
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
