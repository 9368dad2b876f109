package laddervm

import (
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lacewingladder/ladderplan"
	"lacewingladder/platform"
)

// stats are the metrics of the process.
type stats struct {
	set          *metrics.Set
	accepted     *metrics.Counter
	refused      *metrics.Counter
	starts       *metrics.Counter
	ends         *metrics.Counter
	polls        *metrics.Counter
	adviceCalls  *metrics.Counter
	relayedCalls *metrics.Counter
	takeovers    *metrics.Counter
	acceptTime   *metrics.Histogram
	commitTime   *metrics.Histogram
	adviceTime   *metrics.Histogram
	// startTime is for starts that the leader sends itself, delegatedStart for those that a delegate
	// sends, from the order until the leader has the answer.
	startTime      *metrics.Histogram
	delegatedStart *metrics.Histogram
	planTime       *metrics.Histogram
	// plansAtLimit counts the plans that left tasks waiting because too many starts were unanswered.
	plansAtLimit *metrics.Counter
	// waitTime is the time from when a step became ready until its start, measured at the first
	// start of each job. endAcknowledged is the time from the report of a run's end until the
	// end is stored, and cancelTime the time from the arrival of a cancellation to the response.
	waitTime        *metrics.Histogram
	endAcknowledged *metrics.Histogram
	cancelTime      *metrics.Histogram
}

func newStats() *stats {
	s := metrics.NewSet()
	return &stats{
		set:             s,
		accepted:        s.NewCounter("ladder_jobs_accepted_total"),
		refused:         s.NewCounter("ladder_requests_refused_total"),
		starts:          s.NewCounter("ladder_starts_total"),
		ends:            s.NewCounter("ladder_ends_total"),
		polls:           s.NewCounter("ladder_looks_total"),
		adviceCalls:     s.NewCounter("ladder_advice_calls_total"),
		relayedCalls:    s.NewCounter("ladder_store_calls_relayed_total"),
		takeovers:       s.NewCounter("ladder_takeovers_total"),
		acceptTime:      s.NewHistogram("ladder_accept_seconds"),
		commitTime:      s.NewHistogram("ladder_commit_seconds"),
		adviceTime:      s.NewHistogram("ladder_advice_seconds"),
		startTime:       s.NewHistogram("ladder_start_seconds"),
		delegatedStart:  s.NewHistogram("ladder_delegated_start_seconds"),
		planTime:        s.NewHistogram("ladder_plan_seconds"),
		plansAtLimit:    s.NewCounter("ladder_plans_at_limit_total"),
		waitTime:        s.NewHistogram("ladder_wait_seconds"),
		endAcknowledged: s.NewHistogram("ladder_end_noted_seconds"),
		cancelTime:      s.NewHistogram("ladder_cancel_seconds"),
	}
}

// countStoreCall counts a call to the store by its operation, which is the metric's label kind,
// and by its result: served, refused or failed.
func (s *stats) countStoreCall(operation string, r pathResult) {
	result := "served"
	switch {
	case r.err != nil:
		result = "failed"
	case !r.served():
		result = "refused"
	}
	s.set.GetOrCreateCounter(`ladder_store_calls_total{kind="` + operation + `",result="` + result + `"}`).Inc()
}

// countStoreBytes counts the bytes of a response from the store, complete or not, by the
// operation of the call and the path on which they arrived.
func (s *stats) countStoreBytes(operation, path string, r pathResult) {
	received := len(r.reply.Body)
	var partial *platform.PartialReplyError
	if errors.As(r.err, &partial) {
		received = partial.Received
	}
	complete := strconv.FormatBool(partial == nil)
	name := `ladder_store_received_bytes_total{kind="` + operation + `",path="` + path + `",complete="` + complete + `"}`
	s.set.GetOrCreateCounter(name).Add(received)
}

// countConfiguration counts a configuration that was applied, by its source, which is the store
// or a peer, and its bytes.
func (s *stats) countConfiguration(source string, size int) {
	if source != storeSource {
		source = "peer"
	}
	s.set.GetOrCreateCounter(`ladder_configurations_total{source="` + source + `"}`).Inc()
	s.set.GetOrCreateCounter(`ladder_configuration_bytes_total{source="` + source + `"}`).Add(size)
}

// writeMetrics writes the counters and histograms, and gauges of the current state.
func (v *VM) writeMetrics(w io.Writer) {
	v.stats.set.WritePrometheus(w)
	now := metrics.NewSet()
	gauge := func(name string, value float64) { now.NewGauge(name, func() float64 { return value }) }
	if f := v.fleet.Load(); f != nil {
		gauge("ladder_configuration_version", float64(f.Version))
		gauge("ladder_configuration_age_seconds", v.clock.Now().Sub(time.Unix(0, v.configuredAt.Load())).Seconds())
	}
	gauge("ladder_store_silent", float64(boolToInt(v.storeCarrier.unresponsive())))
	gauge("ladder_peers", float64(len(v.registry.registered())))
	t := v.leadership.current()
	gauge("ladder_leads", float64(boolToInt(t != nil)))
	if t != nil {
		t.writeGauges(gauge)
	}
	now.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// writeGauges writes the gauges that only the leader has.
func (t *term) writeGauges(gauge func(name string, value float64)) {
	gauge("ladder_fence", float64(t.fence))
	var o ladderplan.Overview
	var unanswered, limit int
	if !t.call(t.ctx, func() {
		o = t.overview(t.vm.clock.Now())
		unanswered, limit = t.planner.StartLimit()
	}) {
		return
	}
	gauge("ladder_starts_unanswered", float64(unanswered))
	gauge("ladder_starts_unanswered_limit", float64(limit))
	polled := map[string]int{}
	for _, w := range o.Workers {
		polled[w.Holder]++
	}
	for _, q := range o.Queues {
		gauge(`ladder_queue_jobs{queue="`+labelValue(q.Name)+`",state="waiting"}`, float64(q.Waiting))
		gauge(`ladder_queue_jobs{queue="`+labelValue(q.Name)+`",state="running"}`, float64(q.Running))
	}
	writeTeamGauges(gauge, o.Teams)
	for by, n := range polled {
		gauge(`ladder_workers_held{by="`+labelValue(by)+`"}`, float64(n))
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
