package ladderplan

import (
	"math"
	"time"
)

const (
	// slowdownPrior is the standard deviation that is assumed for the slowdowns of workers before any
	// step has finished. Like all figures here, it is of natural logarithms.
	// spreadPrior is the standard deviation that is assumed for the durations of a step's tasks on
	// equally fast workers. It has the weight of spreadPriorRuns observed runs.
	slowdownPrior   = 0.15
	spreadPrior     = 0.3
	spreadPriorRuns = 20
	// maxSlowdownPrecision bounds the weight of earlier observations, so that a worker whose speed
	// changes is noticed.
	maxSlowdownPrecision = 400
	// slowLimit is the logarithm of the slowdown from which a worker counts as slow.
	slowLimit = 0.1
)

// slowdown estimates by how much longer runs take on a worker than on others, as a natural logarithm:
// zero means equally long, and 0.26 means 30% longer.
type slowdown struct {
	// weighted is the sum of the observations, each multiplied by its precision, the inverse of its
	// variance. Precision is the sum of these.
	weighted  float64
	precision float64
}

// estimate returns the estimated slowdown.
func (s *slowdown) estimate() float64 {
	return s.weighted / (s.precision + 1/(slowdownPrior*slowdownPrior))
}

// observe adds an observation with the given variance.
func (s *slowdown) observe(value, variance float64) {
	s.weighted += value / variance
	s.precision += 1 / variance
	if s.precision > maxSlowdownPrecision {
		s.weighted *= maxSlowdownPrecision / s.precision
		s.precision = maxSlowdownPrecision
	}
}

// isSlow reports whether runs take much longer on the worker than on others. A gang with one member
// on a slow worker is as slow as that member.
func (w *worker) isSlow() bool { return w.slowdown.estimate() > slowLimit }

// taskDuration is the duration of a task on a worker. Its value is the natural logarithm of the
// duration in nanoseconds.
type taskDuration struct {
	worker *worker
	value  float64
}

// spreads holds, by queue, the variance of the logarithms of the durations of a step's tasks.
type spreads map[string]*queueSpread

// queueSpread is the entry of one queue.
//
// Count is the number of observed runs, and squares the sum of their squared deviations.
type queueSpread struct {
	count   float64
	squares float64
}

func (s *queueSpread) variance() float64 {
	return (spreadPrior*spreadPrior*spreadPriorRuns + s.squares) / (spreadPriorRuns + s.count)
}

// observeSpeed learns about the speeds of workers from the durations of a step's tasks. It waits until
// the step is finished: the tasks that end first are the shortest ones. The members of a gang end
// together, so they tell nothing.
func (p *Planner) observeSpeed(w *worker, s *step, took time.Duration) {
	if s.spec.Gang || s.spec.LongRunning {
		return
	}
	s.durations = append(s.durations, taskDuration{w, logOf(took)})
	if s.done+1 < len(s.tasks) || len(s.durations) < 2 {
		return
	}
	queue := s.round.job.spec.Queue
	spread, ok := p.spreads[queue]
	if !ok {
		spread = &queueSpread{}
		p.spreads[queue] = spread
	}
	sum := 0.0
	for _, d := range s.durations {
		sum += d.value - d.worker.slowdown.estimate()
	}
	others := float64(len(s.durations) - 1)
	for _, d := range s.durations {
		own := d.value - d.worker.slowdown.estimate()
		mean, uncertainty := (sum-own)/others, 1+1/others
		rest := own - mean
		spread.count++
		spread.squares += rest * rest / uncertainty
		d.worker.slowdown.observe(d.value-mean, spread.variance()*uncertainty)
		sum += d.value - d.worker.slowdown.estimate() - own
	}
	s.durations = nil
}

// slowFactor returns by which factor a gang takes longer if it uses the slowest of the slots' workers.
func slowFactor(slots []futureSlot) float64 {
	worst := 0.0
	for _, o := range slots {
		if o.worker.isSlow() {
			worst = max(worst, o.worker.slowdown.estimate())
		}
	}
	return math.Exp(worst)
}
