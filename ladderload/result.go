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

// lateShare is the part of its worth that a late job earns, and lateFactor times its
// aim when it earns nothing.
const (
	lateShare  = 0.2
	lateFactor = 3
)

// Result is what one play has shown.
type Result struct {
	Seed   uint64
	Order  ladderplan.Order
	Queues []QueueResult
	// Packed is the share of the workers' processors that work of use has taken.
	Packed float64
	// Earned is the share of the worth that was earned.
	Earned float64
}

// QueueResult is what callers of one queue got.
type QueueResult struct {
	Name   string
	Jobs   int
	InAim  int
	Late   int
	Lost   int
	Earned float64
	Owed   float64
	// Wait is from arrival to the first start, in microseconds.
	Wait *hdrhistogram.Histogram
}

// maxWait bounds the waits that are told apart, in microseconds.
const maxWait = 600_000_000

func newResult(l *Load, seed uint64, order ladderplan.Order) *Result {
	r := &Result{Seed: seed, Order: order}
	for _, q := range l.Queues {
		r.Queues = append(r.Queues, QueueResult{Name: q.Name, Wait: hdrhistogram.New(1, maxWait, 2)})
	}
	return r
}

// finish counts what each job has earned.
func (p *play) finish() {
	earned, owed := 0.0, 0.0
	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		j := p.jobs[id]
		i := slices.IndexFunc(p.result.Queues, func(q QueueResult) bool { return q.Name == j.queue.Name })
		q := &p.result.Queues[i]
		q.Jobs++
		wait := p.now - j.came
		if j.begun >= 0 {
			wait = j.begun - j.came
		}
		// The bound of the histogram is above the length of any play.
		_ = q.Wait.RecordValue(max(1, wait.Microseconds()))
		worth := j.worth()
		q.Owed += worth
		took, aim := j.ended-j.came, j.aim()
		switch {
		case j.ended == 0 || j.failed || took > lateFactor*aim:
			q.Lost++
		case took > aim:
			q.Late++
			q.Earned += lateShare * worth
		default:
			q.InAim++
			q.Earned += worth
		}
	}
	for _, q := range p.result.Queues {
		earned, owed = earned+q.Earned, owed+q.Owed
	}
	if owed > 0 {
		p.result.Earned = earned / owed
	}
	all := float64(p.load.Workers.Count*p.load.Workers.Size.Processor) * p.load.Length.Seconds()
	if all > 0 {
		p.result.Packed = p.used / all
	}
}

// worth returns what a job is worth, by its work against the mean of its queue.
func (j *job) worth() float64 {
	work := 0.0
	for i, s := range j.spec.Steps {
		work += float64(s.Tasks) * float64(s.Need.Processor) / 1000 * j.works[i].Seconds()
	}
	q := j.queue
	mean := q.Steps * q.Width.Mean * q.Cores.Mean * q.Work.Mean
	const least, most = 0.3, 4
	return q.Worth * min(most, least+(1-least)*work/max(mean, 1e-9))
}

// names are those of the orders.
var names = map[ladderplan.Order]string{
	ladderplan.ByAim: "aim", ladderplan.ByArrival: "arrival", ladderplan.ByPriority: "priority",
	ladderplan.ByDeadline: "deadline", ladderplan.ByLength: "length",
}

// Orders returns all orders by their names.
func Orders() map[string]ladderplan.Order {
	m := map[string]ladderplan.Order{}
	for o, n := range names {
		m[n] = o
	}
	return m
}

// Table returns results as a table, one row for each queue and order over all seeds.
func Table(results []*Result) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-10s %-16s %7s %7s %7s %7s %7s %9s %9s %9s\n",
		"order", "queue", "jobs", "in aim", "late", "lost", "worth", "wait p50", "p95", "p99")
	for _, o := range []ladderplan.Order{ladderplan.ByAim, ladderplan.ByDeadline, ladderplan.ByPriority, ladderplan.ByArrival, ladderplan.ByLength} {
		table(&b, o, slices.DeleteFunc(slices.Clone(results), func(r *Result) bool { return r.Order != o }))
	}
	return b.String()
}

func table(b *strings.Builder, o ladderplan.Order, results []*Result) {
	if len(results) == 0 {
		return
	}
	earned, packed := 0.0, 0.0
	for _, r := range results {
		earned, packed = earned+r.Earned, packed+r.Packed
	}
	n := float64(len(results))
	for i := range results[0].Queues {
		sum := QueueResult{Name: results[0].Queues[i].Name, Wait: hdrhistogram.New(1, maxWait, 2)}
		for _, r := range results {
			q := r.Queues[i]
			sum.Jobs, sum.InAim, sum.Late, sum.Lost = sum.Jobs+q.Jobs, sum.InAim+q.InAim, sum.Late+q.Late, sum.Lost+q.Lost
			sum.Earned, sum.Owed = sum.Earned+q.Earned, sum.Owed+q.Owed
			sum.Wait.Merge(q.Wait)
		}
		at := func(p float64) time.Duration {
			return (time.Duration(sum.Wait.ValueAtQuantile(p)) * time.Microsecond).Round(time.Millisecond)
		}
		fmt.Fprintf(b, "%-10s %-16s %7d %7d %7d %7d %7.3f %9v %9v %9v\n", names[o], sum.Name, sum.Jobs, sum.InAim,
			sum.Late, sum.Lost, sum.Earned/max(sum.Owed, 1e-9), at(50), at(95), at(99))
	}
	fmt.Fprintf(b, "%-10s %-16s worth %.3f, packed %.3f, %d seeds\n", names[o], "all", earned/n, packed/n, len(results))
}
