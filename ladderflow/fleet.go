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

// Queue accepts the jobs that callers submit to one host and path prefix, and holds
// the rules by which they run.
type Queue struct {
	Name string
	// Host and Prefix select the requests for the queue; see [Fleet.Route].
	Host   string
	Prefix string
	// Service names the pool of workers that run the tasks.
	Service string
	// Timeout is the time limit for answering one request.
	Timeout time.Duration
	// Priority orders the queues; 0 is the most urgent.
	Priority int
	// Attempts is the number of failed runs of one task after which the job fails.
	Attempts int
	// Stretch and Goal define a job's objective, the time within which it should
	// end: Stretch times the length of its critical path, plus Goal.
	Stretch float64
	Goal    time.Duration
	// Advice is set if a worker needs a ticket from the advice service to run the
	// tasks; otherwise it is nil.
	Advice *Advice
}

// Advice holds the response time of the advice service and the lifetime of its tickets.
type Advice struct {
	// Base is the fixed part of the time to answer one query, and PerWorker the part
	// that is added for each worker in the query.
	Base      time.Duration
	PerWorker time.Duration
	// Valid is the lifetime of a ticket.
	Valid time.Duration
}

// Cost returns the time that the advice service takes to answer a query about the
// given number of workers.
func (a *Advice) Cost(workers int) time.Duration {
	return a.Base + time.Duration(workers)*a.PerWorker
}

// Service is a named pool of workers.
type Service struct {
	Name string
	// Guards is true if the workers refuse a start that exceeds their free capacity.
	Guards bool
	// Standby is true if the pool's machines are switched off.
	Standby bool
}

// Limits holds the size and time limits of callers' requests.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Route returns the queue of the host that has the longest matching path prefix. It
// reports false if no queue matches.
func (f *Fleet) Route(host, path string) (*Queue, bool) {
	var match *Queue
	for i := range f.Queues {
		q := &f.Queues[i]
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.Prefix) &&
			(match == nil || len(q.Prefix) > len(match.Prefix)) {
			match = q
		}
	}
	return match, match != nil
}

// Queue returns the queue with the given name.
func (f *Fleet) Queue(name string) (*Queue, bool) {
	for i := range f.Queues {
		if f.Queues[i].Name == name {
			return &f.Queues[i], true
		}
	}
	return nil, false
}
