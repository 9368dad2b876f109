package ladderload

import (
	"time"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderyaml"
)

// Load describes the workers and the arriving jobs of a simulation.
type Load struct {
	// ArrivalPeriod is the time during which jobs arrive. The simulation continues for
	// ExtraTime after it, so that jobs under way can end.
	ArrivalPeriod time.Duration
	ExtraTime     time.Duration
	Workers       Workers
	// EntryVMs is the number of entry VMs that query the advice service. Each sends one query
	// at a time.
	EntryVMs int
	// Delegates is the number of entry VMs that send orders for the leader.
	Delegates int
	// OrderRoundTrip is the time from the planner's decision to start a task until the leader has the
	// worker's response. The worker receives an order to start or stop a run after half of it.
	OrderRoundTrip time.Duration
	// LateShare is the share of starts that take LateRoundTrip instead.
	LateShare     float64
	LateRoundTrip time.Duration
	// StopTime is the time that a worker takes to stop a run that saves its work.
	StopTime time.Duration
	// PlanPause is the time in which the leader gathers events before it plans.
	PlanPause time.Duration
	Queues    []Queue
	Bursts    []Burst
	// Teams sends the jobs. If there are none, the jobs have no team.
	Teams []Team
	// Extras are streams of jobs beside those of the queues, which get the same jobs with and without them.
	Extras []Extra
}

// Team is a team of callers.
type Team struct {
	Name   string
	Weight float64
	// Part is the part of the jobs of each queue that the team sends, relative to the parts of the others.
	Part float64
}

// Extra is a stream of jobs that one team sends to a queue from the time Start on, for the time Duration.
type Extra struct {
	Team, Queue     string
	Start, Duration time.Duration
	// Rate is the mean number of jobs in a second.
	Rate float64
}

// Workers describes the machines that run tasks.
type Workers struct {
	Count int
	// Size is the capacity of each worker.
	Size           ladderflow.Size
	WorkersPerRack int
	// SlowdownFactors are assigned to the workers in turn: the duration of a task is
	// multiplied by the factor of its worker, so 1.3 means 30% longer. If there are none,
	// all workers have factor 1.
	SlowdownFactors []float64
}

// Queue describes the jobs of one queue. The distributions describe the tasks of one
// step; all tasks of a step are alike.
type Queue struct {
	Name string
	// Rate is the mean number of jobs that arrive in a second.
	Rate float64
	// Priority is the operators' priority of the queue; 0 comes first.
	Priority int
	// MaxFailures is the number of failed runs of one task after which its job fails.
	MaxFailures int
	// ObjectiveFactor times the critical path of a job, plus BaseObjective, is the job's
	// objective: the time within which it should end.
	ObjectiveFactor float64
	BaseObjective   time.Duration
	// Worth is the worth of a job that needs the mean processor time of the queue's jobs.
	// Smaller jobs are worth less and larger ones more.
	Worth float64
	// MeanSteps is the mean number of steps of a job. They run one after the other.
	MeanSteps    float64
	TasksPerStep Distribution
	// TaskSeconds is the duration of a task in seconds.
	TaskSeconds Distribution
	// Cores is the number of processor cores that a task needs.
	Cores Distribution
	// MemoryGiB is the memory that a task needs, in GiB.
	MemoryGiB Distribution
	// GangShare is the share of steps whose tasks must start together.
	GangShare float64
	// FailureShare is the share of runs that fail.
	FailureShare float64
	// SavesShare is the share of steps whose tasks save their work each saveInterval and resume elsewhere, if
	// the load has a StopTime.
	SavesShare float64
	// Unevenness is the standard deviation of the natural logarithm of a task's duration divided by
	// that of its step. The tasks of a gang are all alike.
	Unevenness float64
	// EstimateSigma is the standard deviation of the natural logarithm of a step's estimated
	// duration divided by the true one. With 0 all estimates are exact.
	EstimateSigma float64
	// Advice is set if only some workers may run a step, which the planner finds out from
	// the advice service.
	Advice *ladderflow.AdviceConfig
	// AllowedShare is the share of workers on which the advice service allows a step to run.
	AllowedShare float64
}

// Distribution is a log-normal distribution with an upper limit.
type Distribution struct {
	// Mean is the mean of the distribution without the limit.
	Mean float64
	// Sigma is the standard deviation of the natural logarithm. With 0 every value is Mean.
	Sigma float64
	// Max replaces larger values. With 0 there is no limit.
	Max float64
}

// Burst multiplies the arrival rate of a queue by Factor from the time Start on, for the
// time Duration.
type Burst struct {
	Queue    string
	Start    time.Duration
	Duration time.Duration
	Factor   float64
}

// Parse reads a load from a YAML document. The error, if any, lists every fault that
// was found.
func Parse(file string, data []byte) (*Load, error) {
	r := ladderyaml.Parse(file, data)
	l := &Load{
		ArrivalPeriod: r.RequiredKey("length").Duration(0), ExtraTime: r.Key("rest").Duration(15 * time.Second),
		EntryVMs:       r.Key("vms").WholeNumber(6),
		Delegates:      r.Key("delegates").WholeNumber(0),
		OrderRoundTrip: r.Key("answer").Duration(4 * time.Millisecond),
		PlanPause:      r.Key("pause").Duration(2 * time.Millisecond),
	}
	if late := r.Key("late"); late.Present() {
		l.LateShare, l.LateRoundTrip = late.RequiredKey("share").Ratio(0), late.RequiredKey("answer").Duration(0)
		late.CheckUnknownKeys()
	}
	w := r.RequiredKey("workers")
	l.Workers = Workers{
		Count: w.RequiredKey("count").WholeNumber(0), WorkersPerRack: w.Key("rack").WholeNumber(8),
		Size: ladderflow.Size{Processor: w.RequiredKey("cores").Millicores(0), Memory: int(w.RequiredKey("memory").Bytes(0) >> 20)},
	}
	for _, s := range w.Key("speeds").Items() {
		l.Workers.SlowdownFactors = append(l.Workers.SlowdownFactors, s.Number(1))
	}
	w.CheckUnknownKeys()
	for _, q := range r.RequiredKey("queues").Items() {
		l.Queues = append(l.Queues, parseQueue(q))
	}
	for _, b := range r.Key("bursts").Items() {
		l.Bursts = append(l.Bursts, Burst{
			Queue: b.RequiredKey("queue").Text(), Start: b.RequiredKey("at").Duration(0),
			Duration: b.RequiredKey("for").Duration(0), Factor: b.RequiredKey("times").Number(1),
		})
		b.CheckUnknownKeys()
	}
	if l.Workers.Count < 1 {
		w.AddFinding("a load needs at least one worker")
	}
	r.CheckUnknownKeys()
	return l, r.Findings().Err()
}

// parseQueue reads one entry of the list of queues.
func parseQueue(r *ladderyaml.Reader) Queue {
	q := Queue{
		Name: r.RequiredKey("name").Text(), Rate: r.RequiredKey("rate").Number(0), Priority: r.Key("priority").WholeNumber(1),
		MaxFailures: r.Key("attempts").WholeNumber(2), ObjectiveFactor: r.RequiredKey("stretch").Number(1),
		BaseObjective: r.RequiredKey("goal").Duration(0), Worth: r.Key("worth").Number(1),
		MeanSteps: r.Key("steps").Number(1), TasksPerStep: parseDistribution(r.RequiredKey("width")),
		TaskSeconds: parseDistribution(r.RequiredKey("work")), Cores: parseDistribution(r.RequiredKey("cores")),
		MemoryGiB: parseDistribution(r.RequiredKey("memory")),
		GangShare: r.Key("gangs").Ratio(0), FailureShare: r.Key("fails").Ratio(0), EstimateSigma: r.Key("off").Number(0),
		Unevenness: r.Key("uneven").Number(0),
	}
	if a := r.Key("advice"); a.Present() {
		q.Advice = &ladderflow.AdviceConfig{
			BaseTime: a.RequiredKey("base").Duration(0), TimePerWorker: a.RequiredKey("each").Duration(0),
			TicketLifetime: a.RequiredKey("valid").Duration(0),
		}
		q.AllowedShare = a.RequiredKey("allowed").Ratio(1)
		a.CheckUnknownKeys()
	}
	r.CheckUnknownKeys()
	return q
}

func parseDistribution(r *ladderyaml.Reader) Distribution {
	d := Distribution{Mean: r.RequiredKey("mean").Number(0), Sigma: r.Key("spread").Number(0), Max: r.Key("most").Number(0)}
	r.CheckUnknownKeys()
	return d
}
