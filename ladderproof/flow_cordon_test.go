package ladderproof

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingladder/ladderjournal"
)

// TestFlowCordonedWorkers lets leaders cordon the workers that do not answer them. The next leader then starts jobs
// that were stored after a worker was cordoned, although the worker has not answered it. The outcome of writes of
// cordons may be unknown, and they may take effect late. It makes the checks of TestFlowUnderInterleaving.
func TestFlowCordonedWorkers(t *testing.T) {
	steps, starts, early := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		sim := drawFlowSimulation(rt, &steps, &starts)
		sim.cordons = &cordonWatch{}
		actions := sim.actions()
		maps.Copy(actions, sim.overtakenActions())
		maps.Copy(actions, sim.cordonActions())
		rt.Repeat(actions)
		early += sim.cordons.early
	})
	_, _ = fmt.Fprintf(os.Stderr, "flow, cordons: %d steps, %d starts, %d beside a cordoned worker\n", steps, starts, early)
}

// cordonWatch is set in a simulation whose leaders store cordons and their terms.
type cordonWatch struct {
	// early counts the orders of new leaders that no worker but a cordoned one left unanswered.
	early int
}

// cordonActions returns the actions that concern cordons.
func (sim *flowSimulation) cordonActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"cordon": func(t *rapid.T) { sim.saveCordons(sim.leader(t), rapid.IntRange(0, 3).Draw(t, "fate")) },
		"silent worker, takeover": func(t *rapid.T) {
			// A worker does not answer for a while, the leader cordons it and is replaced, and jobs arrive
			// before and after.
			l, w := sim.newest(), sim.worker(t)
			for range rapid.IntRange(1, 12).Draw(t, "rounds") {
				sim.advance(time.Duration(rapid.IntRange(50, 300).Draw(t, "ms")) * time.Millisecond)
				sim.crashDue()
				sim.pollOthers(l, w)
				l.planner.PollFailed(w.id, false)
				if rapid.Bool().Draw(t, "job") {
					sim.submit(t, l)
				}
				sim.saveCordons(l, rapid.SampledFrom([]int{0, 0, 0, 1, 2, 3}).Draw(t, "fate"))
				sim.planAndDeliver(l)
			}
			sim.elect()
			next := sim.newest()
			for range rapid.IntRange(1, 6).Draw(t, "rounds after") {
				sim.advance(time.Duration(rapid.IntRange(50, 600).Draw(t, "ms")) * time.Millisecond)
				sim.crashDue()
				sim.pollOthers(next, w)
				next.planner.PollFailed(w.id, false)
				if rapid.Bool().Draw(t, "job") {
					sim.submit(t, rapid.SampledFrom([]*flowLeader{l, next}).Draw(t, "told"))
				}
				if rapid.Bool().Draw(t, "former acts") {
					sim.planAndDeliver(l)
				}
				cordoned := len(next.planner.Cordons()) > 0
				if n := sim.planAndDeliver(next); cordoned {
					sim.cordons.early += n
				}
				sim.saveCordons(next, rapid.SampledFrom([]int{0, 0, 0, 1, 2, 3}).Draw(t, "fate"))
				sim.check()
			}
		},
		"silent worker, two takeovers": func(t *rapid.T) {
			// The second leader does not reach a worker that the first one still reaches. The first is told of a
			// job after the second may have cordoned the worker, and a third leader takes over.
			first, w := sim.newest(), sim.worker(t)
			sim.pollAll(first)
			sim.elect()
			second := sim.newest()
			for range rapid.IntRange(2, 6).Draw(t, "rounds") {
				sim.advance(time.Duration(rapid.IntRange(50, 250).Draw(t, "ms")) * time.Millisecond)
				sim.pollOthers(second, w)
				second.planner.PollFailed(w.id, false)
				sim.planAndDeliver(second)
				sim.saveCordons(second, 0)
			}
			sim.submit(t, first)
			sim.planAndDeliver(first)
			sim.elect()
			for range 3 {
				sim.advance(100 * time.Millisecond)
				sim.pollOthers(sim.newest(), w)
				sim.planAndDeliver(sim.newest())
				sim.check()
			}
		},
	}
}

// planAndDeliver lets a leader plan, delivers its orders at once, and returns how many there were.
func (sim *flowSimulation) planAndDeliver(l *flowLeader) int {
	before := len(sim.orders)
	sim.plan(l)
	for _, o := range sim.orders[before:] {
		sim.deliver(o, true)
	}
	return len(sim.orders) - before
}

// saveCordons lets a leader store its cordons if they have changed. The parameter outcome is a value of
// flowStore.nextCommit.
func (sim *flowSimulation) saveCordons(l *flowLeader, outcome int) {
	if l.superseded {
		return
	}
	l.planner.SetStoreServing(sim.now, !sim.storeOut())
	list, ok := l.planner.NextCordons(sim.now)
	if !ok {
		return
	}
	sim.store.nextCommit = outcome
	revision, err := l.progress.SaveCordons(context.Background(), list)
	sim.store.nextCommit = 0
	sim.tracef("cordons %v by leader %d: revision %d, %v", list, l.fence, revision, err)
	switch {
	case errors.Is(err, ladderjournal.ErrSuperseded):
		l.superseded = true
	case err != nil:
		l.planner.CordonsNotStored()
	default:
		l.planner.CordonsStored(list, revision)
	}
}

// restoreCordons passes what the store holds of cordons to a new leader, which then stores its term.
func (sim *flowSimulation) restoreCordons(l *flowLeader, c *ladderjournal.Contents) {
	if sim.cordons == nil {
		return
	}
	for _, x := range c.Cordons {
		l.planner.AddCordon(x)
	}
	sim.tracef("cordons of the last leader: %v", c.Cordons)
	if err := l.progress.SaveTerms(context.Background(), append([]ladderjournal.Term{{Fence: l.fence}}, c.Terms...)); err != nil {
		sim.t.Fatal(err)
	}
}
