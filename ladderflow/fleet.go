package ladderflow

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// FleetConfig is one version of the operators' configuration. It must not be changed once
// Route, Queue, Team or TeamOfKey has been called, nor copied.
type FleetConfig struct {
	Version  int64
	Queues   []Queue
	Services map[string]Service
	Limits   Limits
	// KeysRequired is true if callers need the key of a team on each queue that is not public. Teams
	// holds the teams.
	KeysRequired bool
	Teams        []Team

	indexOnce sync.Once
	// byName holds the index in Queues of each queue.
	byName map[string]int
	// byPath holds the index in Queues of each queue, by lower-case host and prefix.
	byPath map[hostPath]int
	// prefixLengths holds the lengths of all prefixes, the longest first.
	prefixLengths []int
	// teamByName and teamByKey hold the index in Teams of each team.
	teamByName map[string]int
	teamByKey  map[KeyHash]int
}

// hostPath is a lower-case host and a prefix of paths.
type hostPath struct {
	host, prefix string
}

// Queue accepts the jobs that callers submit to one host and path prefix, and holds
// the rules by which they run.
type Queue struct {
	Name string
	// Host and Prefix select the requests for the queue; see [FleetConfig.Route].
	Host   string
	Prefix string
	// Service names the pool of workers that run the tasks.
	Service string
	// RequestTimeout is the time limit for answering one request.
	RequestTimeout time.Duration
	// Priority orders the queues; 0 is the most urgent.
	Priority int
	// MaxFailures is the number of failed runs of one task after which the job fails.
	MaxFailures int
	// ObjectiveFactor and BaseObjective define a job's objective, the time within which it
	// should end: ObjectiveFactor times the length of its critical path, plus BaseObjective.
	ObjectiveFactor float64
	BaseObjective   time.Duration
	// Advice is set if a worker needs a ticket from the advice service to run the
	// tasks; otherwise it is nil.
	Advice *AdviceConfig
	// Public is true if callers need no key.
	Public bool
}

// AdviceConfig holds the response time of the advice service and the lifetime of its tickets.
type AdviceConfig struct {
	// BaseTime is the fixed part of the time to answer one query, and TimePerWorker the part
	// that is added for each worker in the query.
	BaseTime      time.Duration
	TimePerWorker time.Duration
	// TicketLifetime is how long a ticket is valid after the service has answered.
	TicketLifetime time.Duration
}

// ResponseTime returns the time that the advice service takes to answer a query about the
// given number of workers.
func (a *AdviceConfig) ResponseTime(workers int) time.Duration {
	return a.BaseTime + time.Duration(workers)*a.TimePerWorker
}

// objectiveQueryWorkers is the number of workers in the query that a job's objective allows for.
const objectiveQueryWorkers = 30

// AdviceTime returns the time that a job's objective allows for advice about one step. It is zero for
// a queue without advice.
func (q *Queue) AdviceTime() time.Duration {
	if q.Advice == nil {
		return 0
	}
	return q.Advice.ResponseTime(objectiveQueryWorkers)
}

// Service is a named pool of workers.
type Service struct {
	Name string
	// EnforcesCapacity is true if the workers refuse a start that exceeds their free capacity.
	EnforcesCapacity bool
	// PoweredOff is true if the pool's machines are switched off.
	PoweredOff bool
}

// Limits holds the size and time limits of callers' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Route returns the queue of the host that has the longest matching path prefix. It
// reports false if no queue matches.
func (f *FleetConfig) Route(host, path string) (*Queue, bool) {
	f.indexOnce.Do(f.buildIndex)
	host = strings.ToLower(host)
	for _, n := range f.prefixLengths {
		if n > len(path) {
			continue
		}
		if i, ok := f.byPath[hostPath{host, path[:n]}]; ok {
			return &f.Queues[i], true
		}
	}
	return nil, false
}

// Queue returns the queue with the given name.
func (f *FleetConfig) Queue(name string) (*Queue, bool) {
	f.indexOnce.Do(f.buildIndex)
	i, ok := f.byName[name]
	if !ok {
		return nil, false
	}
	return &f.Queues[i], true
}

// buildIndex fills the maps that Route, Queue, Team and TeamOfKey read. Of queues with the same name, or the
// same host and prefix, the first counts.
func (f *FleetConfig) buildIndex() {
	f.indexTeams()
	f.byName, f.byPath = make(map[string]int, len(f.Queues)), make(map[hostPath]int, len(f.Queues))
	lengths := map[int]bool{}
	for i := range f.Queues {
		q := &f.Queues[i]
		if _, ok := f.byName[q.Name]; !ok {
			f.byName[q.Name] = i
		}
		key := hostPath{strings.ToLower(q.Host), q.Prefix}
		if _, ok := f.byPath[key]; !ok {
			f.byPath[key] = i
		}
		if !lengths[len(q.Prefix)] {
			lengths[len(q.Prefix)] = true
			f.prefixLengths = append(f.prefixLengths, len(q.Prefix))
		}
	}
	slices.SortFunc(f.prefixLengths, func(a, b int) int { return b - a })
}
