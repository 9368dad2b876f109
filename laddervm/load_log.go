package laddervm

import (
	"fmt"
	"maps"
	"math"
	"runtime/metrics"
	"slices"
	"strings"
	"sync"
	"time"

	"lacewingladder/laddermessage"
)

// controlLoad sums up the events that the control goroutine has handled since the last summary.
type controlLoad struct {
	events int
	// time is how long the events took to handle, waits the sum of the times for which they were
	// queued, and maxWait the longest of these.
	time    time.Duration
	waits   time.Duration
	maxWait time.Duration
}

// handled records an event that was queued for wait and took the given time to handle.
func (l *controlLoad) handled(wait, took time.Duration) {
	l.events++
	l.time += took
	l.waits += wait
	l.maxWait = max(l.maxWait, wait)
}

// exchangeCounts counts the exchanges with peers by message, since the last summary. It is safe for
// concurrent use.
type exchangeCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

// count counts an exchange. The direction is "in" for requests of peers and "out" for requests to them.
func (e *exchangeCounts) count(direction string, m laddermessage.Message) {
	_, name, _ := strings.Cut(fmt.Sprintf("%T", m), ".")
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.counts == nil {
		e.counts = map[string]int{}
	}
	e.counts[direction+name]++
}

// take returns the counts as keys and values for the log, and resets them.
func (e *exchangeCounts) take() []any {
	e.mu.Lock()
	counts := e.counts
	e.counts = nil
	e.mu.Unlock()
	var keyvals []any
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		keyvals = append(keyvals, name, counts[name])
	}
	return keyvals
}

// Names of the runtime's metrics.
const (
	schedulingLatencies = "/sched/latencies:seconds"
	runnableGoroutines  = "/sched/goroutines/runnable:goroutines"
	allGoroutines       = "/sched/goroutines:goroutines"
	gcProcessorTime     = "/cpu/classes/gc/total:cpu-seconds"
)

// runtimeLoad reads how late the process itself runs.
type runtimeLoad struct {
	samples []metrics.Sample
	// latencies and gcTime are the cumulative values at the last summary.
	latencies []uint64
	gcTime    float64
}

func newRuntimeLoad() *runtimeLoad {
	r := &runtimeLoad{}
	for _, name := range []string{schedulingLatencies, runnableGoroutines, allGoroutines, gcProcessorTime} {
		r.samples = append(r.samples, metrics.Sample{Name: name})
	}
	return r
}

// take returns the load since the last call as keys and values for the log: the number of goroutines, of
// them those that wait for the processor, the median and the 99th percentile of the time for which
// goroutines waited for it, and the processor time of the garbage collector.
func (r *runtimeLoad) take() []any {
	metrics.Read(r.samples)
	var keyvals []any
	for _, s := range r.samples {
		switch s.Name {
		case schedulingLatencies:
			if s.Value.Kind() != metrics.KindFloat64Histogram {
				continue
			}
			h := s.Value.Float64Histogram()
			since := slices.Clone(h.Counts)
			for i := range r.latencies {
				since[i] -= r.latencies[i]
			}
			r.latencies = slices.Clone(h.Counts)
			keyvals = append(keyvals, "schedP50", quantile(since, h.Buckets, 0.5), "schedP99", quantile(since, h.Buckets, 0.99))
		case gcProcessorTime:
			if s.Value.Kind() == metrics.KindFloat64 {
				total := s.Value.Float64()
				keyvals = append(keyvals, "gc", seconds(total-r.gcTime).Round(time.Millisecond))
				r.gcTime = total
			}
		case runnableGoroutines:
			if s.Value.Kind() == metrics.KindUint64 {
				keyvals = append(keyvals, "runnable", s.Value.Uint64())
			}
		case allGoroutines:
			if s.Value.Kind() == metrics.KindUint64 {
				keyvals = append(keyvals, "goroutines", s.Value.Uint64())
			}
		}
	}
	return keyvals
}

// quantile returns the upper bound of the bucket of a histogram in which the given share of the values is
// reached. The bounds are in seconds.
func quantile(counts []uint64, bounds []float64, share float64) time.Duration {
	total := uint64(0)
	for _, n := range counts {
		total += n
	}
	seen := uint64(0)
	for i, n := range counts {
		seen += n
		if total > 0 && float64(seen) >= share*float64(total) {
			if math.IsInf(bounds[i+1], 1) {
				return seconds(bounds[i])
			}
			return seconds(bounds[i+1])
		}
	}
	return 0
}

// seconds converts a number of seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// logLoad logs what the control goroutine, the exchanges with peers and the process as a whole did in the
// given time. It tells a leader that is late itself from peers that are.
func (t *term) logLoad(elapsed time.Duration) {
	l := t.control
	t.control = controlLoad{}
	keyvals := []any{
		"elapsed", elapsed.Round(time.Millisecond), "events", l.events, "eventTime", l.time.Round(time.Millisecond),
		"meanWait", (l.waits / time.Duration(max(1, l.events))).Round(time.Millisecond), "maxWait", l.maxWait.Round(time.Millisecond),
	}
	t.log.Info("leader's load", append(keyvals, t.runtimeLoad.take()...)...)
	dialed, accepted := t.vm.peers.Traffic().Connections.Load(), t.vm.server.Traffic().Connections.Load()
	keyvals = []any{"dialed", dialed - t.dialed, "accepted", accepted - t.accepted}
	t.dialed, t.accepted = dialed, accepted
	t.log.Info("exchanges with peers", append(keyvals, t.vm.exchanges.take()...)...)
}
