package ladderload

import (
	"time"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderyaml"
)

// Load describes the workers and the arriving jobs of a simulation.
type Load struct {
	// Length is the time during which jobs arrive. The simulation continues for Rest
	// after it, so that jobs under way can end.
	Length  time.Duration
	Rest    time.Duration
	Workers Workers
	// VMs is the number of entry VMs that query the advice service. Each sends one query
	// at a time.
	VMs    int
	Queues []Queue
	Bursts []Burst
}

// Workers describes the machines that run tasks.
type Workers struct {
	Count int
	// Size is the capacity of each worker.
	Size ladderflow.Size
	// Rack is the number of workers in each rack.
	Rack int
	// Speeds holds slowdown factors: the duration of a task is multiplied by the factor of
	// its worker, so 1.3 means 30% longer. The factors are assigned to the workers in turn.
	// If there are none, all workers have factor 1.
	Speeds []float64
}

// Queue describes the jobs of one queue. The distributions describe the tasks of one
// step; all tasks of a step are alike.
type Queue struct {
	Name string
	// Rate is the mean number of jobs that arrive in a second.
	Rate float64
	// Priority is the operators' priority of the queue; 0 comes first.
	Priority int
	// Attempts is the number of failed runs of one task after which its job fails.
	Attempts int
	// Stretch times the critical path of a job, plus Goal, is the job's objective: the time
	// within which it should end.
	Stretch float64
	Goal    time.Duration
	// Worth is the worth of a job that needs the mean processor time of the queue's jobs.
	// Smaller jobs are worth less and larger ones more.
	Worth float64
	// Steps is the mean number of steps of a job. They run one after the other.
	Steps float64
	// Width is the number of tasks of a step.
	Width Spread
	// Work is the duration of a task in seconds.
	Work Spread
	// Cores is the number of processor cores that a task needs.
	Cores Spread
	// Memory is the memory that a task needs, in GiB.
	Memory Spread
	// Gangs is the share of steps whose tasks must start together.
	Gangs float64
	// Fails is the share of runs that fail.
	Fails float64
	// Off is the standard deviation of the natural logarithm of a step's estimated
	// duration divided by the true one. With 0 all estimates are exact.
	Off float64
	// Advice is set if only some workers may run a step, which the planner finds out from
	// the advice service.
	Advice *ladderflow.Advice
	// Allowed is the share of workers on which the advice service allows a step to run.
	Allowed float64
}

// Spread is a log-normal distribution with an upper limit.
type Spread struct {
	// Mean is the mean of the distribution without the limit.
	Mean float64
	// Spread is the standard deviation of the natural logarithm. With 0 every value is Mean.
	Spread float64
	// Most replaces larger values. With 0 there is no limit.
	Most float64
}

// Burst multiplies the arrival rate of a queue by Times from the time At on, for the
// duration For.
type Burst struct {
	Queue string
	At    time.Duration
	For   time.Duration
	Times float64
}

// Parse reads a load from a YAML document. The error, if any, lists every fault that
// was found.
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

// parseQueue reads one entry of the list of queues.
func parseQueue(r *ladderyaml.Reader) Queue {
	q := Queue{
		Name: r.Need("name").Text(), Rate: r.Need("rate").Number(0), Priority: r.Key("priority").Count(1),
		Attempts: r.Key("attempts").Count(2), Stretch: r.Need("stretch").Number(1), Goal: r.Need("goal").Duration(0),
		Worth: r.Key("worth").Number(1), Steps: r.Key("steps").Number(1), Width: parseSpread(r.Need("width")),
		Work: parseSpread(r.Need("work")), Cores: parseSpread(r.Need("cores")), Memory: parseSpread(r.Need("memory")),
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

// parseSpread reads a distribution.
func parseSpread(r *ladderyaml.Reader) Spread {
	s := Spread{Mean: r.Need("mean").Number(0), Spread: r.Key("spread").Number(0), Most: r.Key("most").Number(0)}
	r.Done()
	return s
}
