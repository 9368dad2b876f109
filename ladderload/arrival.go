package ladderload

import (
	"math"
	"math/rand/v2"
	"time"
)

// scheduleArrival schedules the arrival of job n of a queue, unless it would arrive after
// the load's arrival period. The time between two arrivals is exponentially distributed,
// with the rate that applies at the first of them.
func (sim *simulation) scheduleArrival(q *Queue, n int) {
	rate := q.Rate
	for _, b := range sim.load.Bursts {
		if b.Queue == q.Name && sim.now >= b.Start && sim.now < b.Start+b.Duration {
			rate *= b.Factor
		}
	}
	gap := time.Duration(sim.jobRandom[q.Name].ExpFloat64() / max(rate, 1e-9) * float64(time.Second))
	if sim.now+gap > sim.load.ArrivalPeriod {
		return
	}
	sim.schedule(gap, func() {
		sim.submit(sim.drawJob(q, n))
		sim.scheduleArrival(q, n+1)
	})
}

// scheduleExtra schedules the arrival of job n of an extra stream.
func (sim *simulation) scheduleExtra(x *Extra, q *Queue, stream string, n int) {
	gap := time.Duration(sim.jobRandom[stream].ExpFloat64() / max(x.Rate, 1e-9) * float64(time.Second))
	if sim.now+gap > min(x.Start+x.Duration, sim.load.ArrivalPeriod) {
		return
	}
	sim.schedule(gap, func() {
		sim.submit(sim.drawJobOf(q, stream, x.Team, n))
		sim.scheduleExtra(x, q, stream, n+1)
	})
}

// submit submits a job to the leader.
func (sim *simulation) submit(j *job) {
	sim.jobs[j.spec.ID] = j
	sim.planner.AddJob(sim.time(), j.spec, false)
	sim.schedulePlan()
}

// drawFrom returns a random value of a distribution.
func drawFrom(random *rand.Rand, d Distribution) float64 {
	v := d.Mean
	if d.Sigma > 0 {
		v *= math.Exp(d.Sigma*random.NormFloat64() - d.Sigma*d.Sigma/2)
	}
	if d.Max > 0 {
		v = min(v, d.Max)
	}
	return v
}
