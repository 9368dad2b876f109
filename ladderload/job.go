package ladderload

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingladder/ladderflow"
)

// job is a job of a play, with what only the model knows of it.
type job struct {
	spec  *ladderflow.Job
	queue *Queue
	came  time.Duration
	// works holds the true time of each step's tasks.
	works  []time.Duration
	begun  time.Duration
	ended  time.Duration
	failed bool
}

// draw returns a new job of a queue.
func (p *play) draw(q *Queue, n int) *job {
	j := &job{queue: q, came: p.now, begun: -1}
	random := p.arrivals[q.Name]
	spec := &ladderflow.Job{
		ID: fmt.Sprintf("%08x%08x", xxhash.Sum64String(q.Name)&math.MaxUint32, n), Queue: q.Name, Service: service,
		Accepted: p.time(),
	}
	steps := 1
	for float64(steps) < q.Steps && random.Float64() < q.Steps-float64(steps) {
		steps++
	}
	for i := range steps {
		work := max(0.05, drawFrom(random, q.Work))
		j.works = append(j.works, time.Duration(work*float64(time.Second)))
		s := ladderflow.Step{
			Tasks: max(1, int(drawFrom(random, q.Width)+0.5)),
			Need: ladderflow.Size{
				Processor: min(p.load.Workers.Size.Processor, max(100, int(1000*drawFrom(random, q.Cores)))),
				Memory:    min(p.load.Workers.Size.Memory, max(16, int(1024*drawFrom(random, q.Memory)))),
			},
			Estimate: time.Duration(work * math.Exp(q.Off*random.NormFloat64()) * float64(time.Second)),
			Gang:     random.Float64() < q.Gangs,
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, s)
	}
	j.spec = spec
	return j
}

// work returns how long a task takes on a worker of some speed.
func (j *job) work(t ladderflow.Task, speed float64) time.Duration {
	return time.Duration(float64(j.works[t.Step]) * speed)
}

func (j *job) begin(now time.Duration) {
	if j.begun < 0 {
		j.begun = now
	}
}

// allows reports whether the advice service lets a step run on a worker.
func (j *job) allows(s ladderflow.StepRef, worker string) bool {
	sum := xxhash.Sum64String(fmt.Sprintf("%s.%d.%s", s.Job, s.Step, worker))
	return float64(sum%1000) < 1000*j.queue.Allowed
}

// aim returns the time within which the job should end.
func (j *job) aim() time.Duration {
	var chain time.Duration
	for _, w := range j.works {
		chain += w
		if j.queue.Advice != nil {
			chain += j.queue.Advice.Cost(advisedWorkers)
		}
	}
	return time.Duration(j.queue.Stretch*float64(chain)) + j.queue.Goal
}

// advisedWorkers is how many workers one question names where its cost is part of a
// job's aim.
const advisedWorkers = 30
