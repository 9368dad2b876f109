package ladderproof

import (
	"time"

	"pgregory.net/rapid"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderplan"
)

// storeOut reports whether the store takes nothing.
func (sim *flowSimulation) storeOut() bool { return sim.now.Before(sim.storeOutUntil) }

// faultActions returns the actions of faults that the other actions lack.
func (sim *flowSimulation) faultActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"store out": func(t *rapid.T) {
			d := time.Duration(rapid.IntRange(100, 3000).Draw(t, "out")) * time.Millisecond
			sim.tracef("the store takes nothing for %v", d)
			sim.storeOutUntil = sim.now.Add(d)
		},
		"resize": func(t *rapid.T) {
			w := sim.worker(t)
			size := ladderflow.Size{
				Processor: 1000 * rapid.IntRange(0, 6).Draw(t, "cores"), Memory: rapid.SampledFrom([]int{4000, 4000, 100}).Draw(t, "memory"),
			}
			delay := time.Duration(rapid.IntRange(0, int(flowHeartbeat.Milliseconds())).Draw(t, "listed after")) * time.Millisecond
			sim.tracef("worker %s has capacity %v, listed after %v", w.id, size, delay)
			w.resize(sim.now, size, delay)
		},
		"steady": func(t *rapid.T) {
			// The newest leader works without faults for a while.
			l := sim.newest()
			for range rapid.IntRange(1, 20).Draw(t, "rounds") {
				sim.steady(l)
			}
		},
	}
}

// steady lets a leader poll all workers, plan, and store what has changed.
func (sim *flowSimulation) steady(l *flowLeader) {
	sim.advance(150 * time.Millisecond)
	sim.crashDue()
	sim.pollAll(l)
	if l.confidence(sim.now) == ladderplan.LeadershipNone {
		return
	}
	before := len(sim.orders)
	sim.plan(l)
	for _, o := range sim.orders[before:] {
		sim.deliver(o, true)
	}
	sim.commit(l, 0)
	sim.check()
}

// overtakenActions returns the actions with jobs that the newest leader does not know yet.
func (sim *flowSimulation) overtakenActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"late reads": func(t *rapid.T) {
			d := time.Duration(rapid.IntRange(1, 8).Draw(t, "late")) * time.Second
			sim.tracef("no leader reads jobs for %v", d)
			sim.readsLateUntil = sim.now.Add(d)
		},
		"overtaken": func(t *rapid.T) {
			// A job is accepted after the newest leader has read the store, and only its predecessor
			// is told of it. The newest leader meets a run, or its end, before it reads the job.
			former := sim.newest()
			sim.pollAll(former)
			sim.elect()
			sim.submit(t, former)
			before := len(sim.orders)
			sim.plan(former)
			for _, o := range sim.orders[before:] {
				sim.deliver(o, true)
			}
			sim.check()
			if rapid.Bool().Draw(t, "ends") {
				sim.end(t)
			}
			for range rapid.IntRange(0, 5).Draw(t, "rounds") {
				sim.steady(sim.newest())
			}
		},
		"overtaken, one not reached": func(t *rapid.T) {
			// As above, but the job may be accepted some time after the election, and the newest leader
			// does not reach one of the workers for a while.
			former := sim.newest()
			sim.pollAll(former)
			sim.elect()
			sim.advance(time.Duration(rapid.IntRange(0, 999).Draw(t, "accepted after")) * time.Millisecond)
			sim.submit(t, former)
			before := len(sim.orders)
			sim.plan(former)
			for _, o := range sim.orders[before:] {
				sim.deliver(o, true)
			}
			sim.check()
			w := sim.worker(t)
			for range rapid.IntRange(1, 5).Draw(t, "rounds") {
				sim.advance(700 * time.Millisecond)
				sim.crashDue()
				sim.pollOthers(sim.newest(), w)
				sim.check()
			}
		},
	}
}

// catchUp lets the newest leader learn from the store of the jobs that it does not know, once the store
// has served for flowCatchUpTime since they were accepted and reads are not late.
func (sim *flowSimulation) catchUp() {
	if sim.now.Before(sim.readsLateUntil) {
		return
	}
	l := sim.newest()
	for _, j := range sim.jobs {
		served := sim.now.Sub(j.Accepted)
		if sim.storeOutUntil.After(j.Accepted) {
			served = sim.now.Sub(sim.storeOutUntil)
		}
		if served >= flowCatchUpTime && !l.planner.View(sim.now, j.ID).Known {
			sim.tracef("leader %d reads job %s", l.fence, j.ID)
			l.planner.AddJob(sim.now, j, false)
		}
	}
	if !sim.now.Before(sim.storeOutUntil.Add(flowCatchUpTime)) {
		l.planner.SetJobsReadAt(sim.now.Add(-flowCatchUpTime))
	}
}
