package ladderload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingladder/ladderflow"
)

// job is a simulated job: its specification, which the planner knows, and what only
// the simulation knows about it. Times count from the start of the simulation.
type job struct {
	spec      *ladderflow.Job
	queue     *Queue
	arrivedAt time.Duration
	// taskTimes holds, for each step, how long one of its tasks really takes on a worker
	// with slowdown factor 1. The planner sees only the estimate.
	taskTimes []time.Duration
	// startedAt is the time of the first start of a task, or -1 if there was none.
	startedAt time.Duration
	// endedAt is the time at which the job ended, or 0 if it has not.
	endedAt time.Duration
	failed  bool
}

// drawJob returns a random job of a queue. Number n makes its ID unique in the queue. A
// task takes at least 50 ms and needs at least 100 millicores and 16 MiB of memory, but
// not more than a worker has.
func (sim *simulation) drawJob(q *Queue, n int) *job {
	return sim.drawJobOf(q, q.Name, sim.drawTeam(q), n)
}

// drawTeam returns the team that sends the next job of a queue. It has random numbers of its own, so that a load
// has the same jobs with and without teams.
func (sim *simulation) drawTeam(q *Queue) string {
	total := 0.0
	for _, t := range sim.load.Teams {
		total += t.Part
	}
	if total == 0 {
		return ""
	}
	at := sim.teamRandom[q.Name].Float64() * total
	for _, t := range sim.load.Teams {
		if at -= t.Part; at < 0 {
			return t.Name
		}
	}
	return sim.load.Teams[len(sim.load.Teams)-1].Name
}

// drawJobOf returns job n of a stream of jobs that a team sends to a queue.
func (sim *simulation) drawJobOf(q *Queue, stream, team string, n int) *job {
	j := &job{queue: q, arrivedAt: sim.now, startedAt: -1}
	random := sim.jobRandom[stream]
	spec := &ladderflow.Job{
		ID: fmt.Sprintf("%08x%08x", xxhash.Sum64String(stream)&math.MaxUint32, n), Queue: q.Name, Service: serviceName,
		Team: team, Accepted: sim.time(),
	}
	steps := 1
	for float64(steps) < q.MeanSteps && random.Float64() < q.MeanSteps-float64(steps) {
		steps++
	}
	for i := range steps {
		seconds := max(0.05, drawFrom(random, q.TaskSeconds))
		j.taskTimes = append(j.taskTimes, time.Duration(seconds*float64(time.Second)))
		s := ladderflow.Step{
			Tasks: max(1, int(drawFrom(random, q.TasksPerStep)+0.5)),
			Need: ladderflow.Size{
				Processor: min(sim.load.Workers.Size.Processor, max(100, int(1000*drawFrom(random, q.Cores)))),
				Memory:    min(sim.load.Workers.Size.Memory, max(16, int(1024*drawFrom(random, q.MemoryGiB)))),
			},
			Estimate: time.Duration(seconds * math.Exp(q.EstimateSigma*random.NormFloat64()) * float64(time.Second)),
			Gang:     random.Float64() < q.GangShare,
		}
		if q.SavesShare > 0 {
			s.Checkpointable = random.Float64() < q.SavesShare
		}
		if i > 0 {
			s.DependsOn = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, s)
	}
	j.spec = spec
	return j
}

// runTime returns how long a run of a task takes on a worker with a slowdown factor.
func (j *job) runTime(t ladderflow.Task, slowdown float64) time.Duration {
	d := float64(j.taskTimes[t.Step]) * slowdown
	if u := j.queue.Unevenness; u > 0 && !j.spec.Steps[t.Step].Gang {
		random := rand.New(rand.NewPCG(xxhash.Sum64String(t.Job), uint64(t.Step)<<32|uint64(t.Index)))
		d *= math.Exp(u*random.NormFloat64() - u*u/2)
	}
	return time.Duration(d)
}

// recordStart records the first start of a task of the job.
func (j *job) recordStart(now time.Duration) {
	if j.startedAt < 0 {
		j.startedAt = now
	}
}

// allows reports whether the advice service allows a step to run on a worker. The
// answer depends only on the step and the worker, so it is the same in every query.
func (j *job) allows(s ladderflow.StepRef, worker string) bool {
	sum := xxhash.Sum64String(fmt.Sprintf("%s.%d.%s", s.Job, s.Step, worker))
	return float64(sum%1000) < 1000*j.queue.AllowedShare
}

// objective returns the time within which the job should end. It is computed from the
// true task times, whereas the planner computes it from the estimates.
func (j *job) objective() time.Duration {
	var criticalPath time.Duration
	for i, s := range j.spec.Steps {
		longest := time.Duration(0)
		for k := range s.Tasks {
			longest = max(longest, j.runTime(ladderflow.Task{Job: j.spec.ID, Step: i, Index: k}, 1))
		}
		criticalPath += longest
		criticalPath += (&ladderflow.Queue{Advice: j.queue.Advice}).AdviceTime()
	}
	return time.Duration(j.queue.ObjectiveFactor*float64(criticalPath)) + j.queue.BaseObjective
}
