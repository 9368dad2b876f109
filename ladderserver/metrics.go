package ladderserver

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// newMetrics returns the VM's metrics. Their values are computed at each scrape.
func newMetrics(s *Server) *metrics.Set {
	set := metrics.NewSet()
	c := s.dispatch.Counts()
	inbound, outbound := s.peerServer.Traffic(), s.peers.client.Traffic()
	for name, value := range map[string]func() int64{
		"ladder_requests_total":                    c.Requests.Load,
		"ladder_attempts_total":                    c.Attempts.Load,
		"ladder_forwards_total":                    c.Forwards.Load,
		`ladder_outcomes_total{outcome="ran"}`:     c.Ran.Load,
		`ladder_outcomes_total{outcome="notrun"}`:  c.NotRun.Load,
		`ladder_outcomes_total{outcome="unknown"}`: c.Unknown.Load,
		"ladder_store_calls_total":                 s.store.Calls,
		"ladder_peer_sent_bytes_total":             func() int64 { return inbound.Sent.Load() + outbound.Sent.Load() },
		"ladder_peer_received_bytes_total":         func() int64 { return inbound.Received.Load() + outbound.Received.Load() },
		"ladder_requests_open":                     s.gate.OpenRequests,
		"ladder_keys":                              func() int64 { return int64(s.dispatch.KeyCount()) },
		"ladder_slots_used":                        func() int64 { used, _ := s.holder.Slots(s.clock.Now()); return int64(used) },
		"ladder_slots":                             func() int64 { _, all := s.holder.Slots(s.clock.Now()); return int64(all) },
		"ladder_config_version":                    func() int64 { return int64(s.config.number()) },
	} {
		set.NewGauge(name, func() float64 { return float64(value()) })
	}
	return set
}

// getMetrics writes the VM's metrics in the Prometheus text format.
func (s *Server) getMetrics(w http.ResponseWriter, _ *http.Request) {
	s.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
