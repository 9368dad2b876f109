package ladderload

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lacewingladder/ladderplan"
)

const (
	// lateShare is the share of its worth that a late job earns.
	lateShare = 0.2
	// lostFactor is the multiple of its objective after which a job counts as lost. A lost
	// job earns nothing.
	lostFactor = 3
)

// Result is the result of one simulation.
type Result struct {
	Seed   uint64
	Order  ladderplan.Order
	Queues []QueueResult
	// Utilization is the processor time of successful runs divided by the processor time that
	// all workers offer during [Load.ArrivalPeriod].
	Utilization float64
	// EarnedShare is the share of the worth of all jobs that was earned.
	EarnedShare float64
}

// QueueResult describes the service that the jobs of one queue got.
type QueueResult struct {
	Name string
	// Jobs is the number of jobs that arrived.
	Jobs int
	// WithinObjective is the number of jobs that succeeded within their objective.
	WithinObjective int
	// Late is the number of jobs that succeeded later, but are not lost.
	Late int
	// Lost is the number of jobs that failed, did not end, or took longer than lostFactor
	// times their objective.
	Lost int
	// Earned is the worth that the jobs earned, and PossibleWorth the worth that they would
	// have earned if all had succeeded within their objectives.
	Earned        float64
	PossibleWorth float64
	// Wait holds the times from the arrival of a job to its first start, or to the end of
	// the simulation if it did not start. They are in microseconds.
	Wait *hdrhistogram.Histogram
}

// maxWaitMicros is the longest wait that the histograms can record, in microseconds.
const maxWaitMicros = 600_000_000

// newResult returns a result without jobs.
func newResult(l *Load, seed uint64, order ladderplan.Order) *Result {
	r := &Result{Seed: seed, Order: order}
	for _, q := range l.Queues {
		r.Queues = append(r.Queues, QueueResult{Name: q.Name, Wait: hdrhistogram.New(1, maxWaitMicros, 2)})
	}
	return r
}

// computeResult fills in the result from the states of the jobs.
func (sim *simulation) computeResult() {
	earned, possible := 0.0, 0.0
	for _, id := range slices.Sorted(maps.Keys(sim.jobs)) {
		j := sim.jobs[id]
		i := slices.IndexFunc(sim.result.Queues, func(q QueueResult) bool { return q.Name == j.queue.Name })
		q := &sim.result.Queues[i]
		q.Jobs++
		wait := sim.now - j.arrivedAt
		if j.startedAt >= 0 {
			wait = j.startedAt - j.arrivedAt
		}
		// RecordValue fails only if a wait exceeds maxWaitMicros, which is longer than a
		// simulation lasts.
		_ = q.Wait.RecordValue(max(1, wait.Microseconds()))
		worth := j.worth()
		q.PossibleWorth += worth
		took, objective := j.endedAt-j.arrivedAt, j.objective()
		switch {
		case j.endedAt == 0 || j.failed || took > lostFactor*objective:
			q.Lost++
		case took > objective:
			q.Late++
			q.Earned += lateShare * worth
		default:
			q.WithinObjective++
			q.Earned += worth
		}
	}
	for _, q := range sim.result.Queues {
		earned, possible = earned+q.Earned, possible+q.PossibleWorth
	}
	if possible > 0 {
		sim.result.EarnedShare = earned / possible
	}
	offered := float64(sim.load.Workers.Count*sim.load.Workers.Size.Processor) * sim.load.ArrivalPeriod.Seconds()
	if offered > 0 {
		sim.result.Utilization = sim.usefulWork / offered
	}
}

// worth returns the worth of a job: the worth of its queue times a factor that grows with
// the processor time that the job needs, relative to the mean of its queue. The factor is
// 1 at the mean, at least 0.3 and at most 4.
func (j *job) worth() float64 {
	coreSeconds := 0.0
	for i, s := range j.spec.Steps {
		coreSeconds += float64(s.Tasks) * float64(s.Need.Processor) / 1000 * j.taskTimes[i].Seconds()
	}
	q := j.queue
	mean := q.MeanSteps * q.TasksPerStep.Mean * q.Cores.Mean * q.TaskSeconds.Mean
	const least, most = 0.3, 4
	return q.Worth * min(most, least+(1-least)*coreSeconds/max(mean, 1e-9))
}

// orderNames holds the names of the rules for the order of steps, as the command line
// uses them.
var orderNames = map[ladderplan.Order]string{
	ladderplan.ByObjective: "aim", ladderplan.ByArrival: "arrival", ladderplan.ByPriority: "priority",
	ladderplan.ByDeadline: "deadline", ladderplan.ByDuration: "length",
}

// OrdersByName returns all rules for the order of steps by their names.
func OrdersByName() map[string]ladderplan.Order {
	m := map[string]ladderplan.Order{}
	for o, n := range orderNames {
		m[n] = o
	}
	return m
}

// Table returns the results as a table. For each rule it has one row per queue, with sums
// over all seeds, and a last row with averages over all seeds.
func Table(results []*Result) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-10s %-16s %7s %7s %7s %7s %7s %9s %9s %9s\n",
		"order", "queue", "jobs", "in aim", "late", "lost", "worth", "wait p50", "p95", "p99")
	for _, o := range []ladderplan.Order{ladderplan.ByObjective, ladderplan.ByDeadline, ladderplan.ByPriority, ladderplan.ByArrival, ladderplan.ByDuration} {
		writeRows(&b, o, slices.DeleteFunc(slices.Clone(results), func(r *Result) bool { return r.Order != o }))
	}
	return b.String()
}

// writeRows writes the rows of one rule.
func writeRows(b *strings.Builder, o ladderplan.Order, results []*Result) {
	if len(results) == 0 {
		return
	}
	earned, utilization := 0.0, 0.0
	for _, r := range results {
		earned, utilization = earned+r.EarnedShare, utilization+r.Utilization
	}
	n := float64(len(results))
	for i := range results[0].Queues {
		sum := QueueResult{Name: results[0].Queues[i].Name, Wait: hdrhistogram.New(1, maxWaitMicros, 2)}
		for _, r := range results {
			q := r.Queues[i]
			sum.Jobs, sum.WithinObjective, sum.Late, sum.Lost = sum.Jobs+q.Jobs, sum.WithinObjective+q.WithinObjective, sum.Late+q.Late, sum.Lost+q.Lost
			sum.Earned, sum.PossibleWorth = sum.Earned+q.Earned, sum.PossibleWorth+q.PossibleWorth
			sum.Wait.Merge(q.Wait)
		}
		waitAt := func(percentile float64) time.Duration {
			return (time.Duration(sum.Wait.ValueAtQuantile(percentile)) * time.Microsecond).Round(time.Millisecond)
		}
		fmt.Fprintf(b, "%-10s %-16s %7d %7d %7d %7d %7.3f %9v %9v %9v\n", orderNames[o], sum.Name, sum.Jobs, sum.WithinObjective,
			sum.Late, sum.Lost, sum.Earned/max(sum.PossibleWorth, 1e-9), waitAt(50), waitAt(95), waitAt(99))
	}
	fmt.Fprintf(b, "%-10s %-16s worth %.3f, packed %.3f, %d seeds\n", orderNames[o], "all", earned/n, utilization/n, len(results))
}
