package ladderflow

import (
	"strings"
	"time"
)

// Fleet is one version of the operators' configuration.
type Fleet struct {
	Version  int64
	Queues   []Queue
	Services map[string]Service
	Limits   Limits
}

// Queue takes jobs of one kind and says how they are run.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Service names the workers that run the tasks.
	Service string
	// Timeout bounds the time to answer one request.
	Timeout time.Duration
	// Priority 0 comes first.
	Priority int
	// Attempts is after how many failed runs of a task its job fails.
	Attempts int
	// Stretch times a job's longest chain of work, and Goal more, is the time
	// within which it should end.
	Stretch float64
	Goal    time.Duration
	// Advice is set when only some workers may run a step.
	Advice *Advice
}

// Advice is what a question to the advice service costs.
type Advice struct {
	// Base and PerWorker make up the time of one answer.
	Base      time.Duration
	PerWorker time.Duration
	// Valid is how long a ticket holds.
	Valid time.Duration
}

// Cost returns the time of one answer about a number of workers.
func (a *Advice) Cost(workers int) time.Duration {
	return a.Base + time.Duration(workers)*a.PerWorker
}

// Service is a pool of workers.
type Service struct {
	Name string
	// Guards is true when the workers refuse what does not fit.
	Guards bool
	// Standby is true when the pool's machines are off.
	Standby bool
}

// Limits bound callers' requests.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Route returns the queue with the longest prefix of a path.
func (f *Fleet) Route(host, path string) (*Queue, bool) {
	var best *Queue
	for i := range f.Queues {
		q := &f.Queues[i]
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.Prefix) &&
			(best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best, best != nil
}

// Queue returns a queue by its name.
func (f *Fleet) Queue(name string) (*Queue, bool) {
	for i := range f.Queues {
		if f.Queues[i].Name == name {
			return &f.Queues[i], true
		}
	}
	return nil, false
}
