package ladderload

import (
	"time"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderyaml"
)

// Load is what is played.
type Load struct {
	// Length is for how long jobs arrive, and Rest how long the play goes on.
	Length  time.Duration
	Rest    time.Duration
	Workers Workers
	// VMs is how many VMs ask for advice, each one question at a time.
	VMs    int
	Queues []Queue
	Bursts []Burst
}

// Workers are the machines that run tasks.
type Workers struct {
	Count int
	Size  ladderflow.Size
	Rack  int
	// Speeds times the work on each worker in turn.
	Speeds []float64
}

// Queue is one kind of job.
type Queue struct {
	Name     string
	Rate     float64
	Priority int
	Attempts int
	Stretch  float64
	Goal     time.Duration
	Worth    float64
	Steps    float64
	Width    Spread
	Work     Spread
	Cores    Spread
	Memory   Spread
	// Gangs is the share of jobs whose tasks start together, Fails the share of runs
	// that fail, and Off how far estimates are off.
	Gangs  float64
	Fails  float64
	Off    float64
	Advice *ladderflow.Advice
	// Allowed is the share of workers that the advice service allows.
	Allowed float64
}

// Spread is a lognormal distribution with a bound.
type Spread struct {
	Mean   float64
	Spread float64
	Most   float64
}

// Burst multiplies a queue's rate for a while.
type Burst struct {
	Queue string
	At    time.Duration
	For   time.Duration
	Times float64
}

// Parse reads a load. The error, if any, holds all findings.
func Parse(file string, data []byte) (*Load, error) {
	r := ladderyaml.Parse(file, data)
	l := &Load{
		Length: r.Need("length").Duration(0), Rest: r.Key("rest").Duration(15 * time.Second), VMs: r.Key("vms").Count(6),
	}
	w := r.Need("workers")
	l.Workers = Workers{
		Count: w.Need("count").Count(0), Rack: w.Key("rack").Count(8),
		Size: ladderflow.Size{Processor: w.Need("cores").Millicores(0), Memory: int(w.Need("memory").Bytes(0) >> 20)},
	}
	for _, s := range w.Key("speeds").Items() {
		l.Workers.Speeds = append(l.Workers.Speeds, s.Number(1))
	}
	w.Done()
	for _, q := range r.Need("queues").Items() {
		l.Queues = append(l.Queues, parseQueue(q))
	}
	for _, b := range r.Key("bursts").Items() {
		l.Bursts = append(l.Bursts, Burst{
			Queue: b.Need("queue").Text(), At: b.Need("at").Duration(0), For: b.Need("for").Duration(0), Times: b.Need("times").Number(1),
		})
		b.Done()
	}
	if l.Workers.Count < 1 {
		w.Fault("a load needs at least one worker")
	}
	r.Done()
	return l, r.Findings().Err()
}

func parseQueue(r *ladderyaml.Reader) Queue {
	q := Queue{
		Name: r.Need("name").Text(), Rate: r.Need("rate").Number(0), Priority: r.Key("priority").Count(1),
		Attempts: r.Key("attempts").Count(2), Stretch: r.Need("stretch").Number(1), Goal: r.Need("goal").Duration(0),
		Worth: r.Key("worth").Number(1), Steps: r.Key("steps").Number(1), Width: spread(r.Need("width")),
		Work: spread(r.Need("work")), Cores: spread(r.Need("cores")), Memory: spread(r.Need("memory")),
		Gangs: r.Key("gangs").Ratio(0), Fails: r.Key("fails").Ratio(0), Off: r.Key("off").Number(0),
	}
	if a := r.Key("advice"); a.Present() {
		q.Advice = &ladderflow.Advice{
			Base: a.Need("base").Duration(0), PerWorker: a.Need("each").Duration(0), Valid: a.Need("valid").Duration(0),
		}
		q.Allowed = a.Need("allowed").Ratio(1)
		a.Done()
	}
	r.Done()
	return q
}

func spread(r *ladderyaml.Reader) Spread {
	s := Spread{Mean: r.Need("mean").Number(0), Spread: r.Key("spread").Number(0), Most: r.Key("most").Number(0)}
	r.Done()
	return s
}
