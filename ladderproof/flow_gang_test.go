package ladderproof

import (
	"fmt"
	"maps"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderplan"
)

const (
	// flowGangTimeout is how long a worker lets a member of a gang wait for the others.
	flowGangTimeout = 3 * time.Second
	// flowGangNotice is how long a leader must have polled all workers and planned, without a pause of
	// flowGangPause, before it is expected to have stopped a member that waits for too long.
	flowGangNotice = 1500 * time.Millisecond
	flowGangPause  = 300 * time.Millisecond
)

// gangTimeoutField is the option of the planner that bounds the wait of a member.
const gangTimeoutField = "GangTimeout"

// setGangTimeout sets the planner's bound on the wait of a member, and reports whether the planner has one.
func setGangTimeout(o *ladderplan.Options) bool {
	field := reflect.ValueOf(o).Elem().FieldByName(gangTimeoutField)
	if field.IsValid() {
		field.SetInt(int64(flowGangTimeout))
	}
	return field.IsValid()
}

// gangWatch checks that no member of a gang is left waiting. A nil gangWatch checks nothing.
type gangWatch struct {
	// whole holds the runs of gangs whose members were once present all together, by a run of the first member.
	whole map[ladderflow.Run]bool
	// steady holds since when a leader has polled each worker without a pause, and planned, which has no ID.
	steady map[steadyKey]steadySpan
	// waits counts the checked members that waited.
	waits int
}

// steadyKey names what a leader does again and again.
type steadyKey struct {
	leader *flowLeader
	worker string
}

// steadySpan is a time without a pause.
type steadySpan struct{ since, last time.Time }

func newGangWatch() *gangWatch {
	return &gangWatch{whole: map[ladderflow.Run]bool{}, steady: map[steadyKey]steadySpan{}}
}

// polled takes note of a poll that a worker has answered.
func (g *gangWatch) polled(l *flowLeader, w *flowWorker, now time.Time) {
	if g != nil {
		g.extend(steadyKey{l, fmt.Sprint(w.id, "/", w.incarnation)}, now)
	}
}

// planned takes note of a plan.
func (g *gangWatch) planned(l *flowLeader, now time.Time) {
	if g != nil {
		g.extend(steadyKey{l, ""}, now)
	}
}

func (g *gangWatch) extend(key steadyKey, now time.Time) {
	span := g.steady[key]
	if now.Sub(span.last) > flowGangPause {
		span.since = now
	}
	span.last = now
	g.steady[key] = span
}

// lasts reports whether a leader has done something without a pause for flowGangNotice.
func (g *gangWatch) lasts(key steadyKey, now time.Time) bool {
	span, ok := g.steady[key]
	return ok && now.Sub(span.last) <= flowGangPause && now.Sub(span.since) >= flowGangNotice
}

// checkGangs checks that no member of a gang waits for the others for longer than flowGangTimeout while its
// leader, whose leadership is confirmed, knows the job, plans, has no answer to wait for, and polls all workers.
func (sim *flowSimulation) checkGangs() {
	if sim.gangs == nil {
		return
	}
	l := sim.newest()
	for _, j := range sim.jobs {
		if !j.Steps[0].Gang {
			continue
		}
		members := map[int]int{}
		for _, w := range sim.workers {
			for r := range w.running {
				if r.Task.Job == j.ID {
					members[r.Number]++
				}
			}
		}
		for number, n := range members {
			first := ladderflow.Run{Task: ladderflow.Task{Job: j.ID}, Number: number}
			sim.gangs.whole[first] = sim.gangs.whole[first] || n == j.Steps[0].Tasks
			if !sim.gangs.whole[first] && sim.worksSteadily(l, j) {
				sim.checkWaits(l, j, number)
			}
		}
	}
}

// worksSteadily reports whether a leader that knows a job has polled all workers and planned for a while, with a store
// that serves and an answer to each order.
func (sim *flowSimulation) worksSteadily(l *flowLeader, j *ladderflow.Job) bool {
	for _, w := range sim.workers {
		if !sim.gangs.lasts(steadyKey{l, fmt.Sprint(w.id, "/", w.incarnation)}, sim.now) {
			return false
		}
	}
	for _, o := range sim.orders {
		if o.from == l && !o.settled {
			return false
		}
	}
	return sim.gangs.lasts(steadyKey{l, ""}, sim.now) && l.confidence(sim.now) == ladderplan.LeadershipConfirmed &&
		l.planner.View(sim.now, j.ID).Known && sim.now.Sub(sim.storeOutUntil) >= flowGangNotice
}

// checkWaits checks the members of one run of a gang.
func (sim *flowSimulation) checkWaits(l *flowLeader, j *ladderflow.Job, number int) {
	for _, w := range sim.workers {
		for r, began := range w.beganAt {
			_, stopping := w.stopping[r]
			if r.Task.Job != j.ID || r.Number != number || stopping {
				continue
			}
			sim.gangs.waits++
			if waited := sim.now.Sub(began); waited > flowGangTimeout {
				sim.fail(j.ID, "run %v on %s waits for its gang for %v, and leader %d has not stopped it", r, w.id, waited, l.fence)
			}
		}
	}
}

// resign lets the newest leader plan and deliver some of its orders. Then it resigns, and the next one is elected.
// The others of its orders never arrive.
func (sim *flowSimulation) resign(delivered func(orders int) int) {
	l := sim.newest()
	if sim.storeOut() {
		return
	}
	before := len(sim.orders)
	sim.plan(l)
	fresh := append([]*order(nil), sim.orders[before:]...)
	n := delivered(len(fresh))
	for i, o := range fresh {
		if i < n {
			sim.deliver(o, true)
		} else {
			sim.settle(o, ladderplan.Result{Unsent: true})
		}
		sim.removeOrder(o)
	}
	sim.check()
	sim.tracef("leader %d resigns after %d of %d orders", l.fence, n, len(fresh))
	sim.elect()
	l.actsUntil, l.confirmedUntil = sim.now, sim.now
}

// TestFlowGangsOfLeadersThatResign guards against members of gangs that are left waiting for the others until
// their worker gives up. Leaders resign half way through their orders. It makes the checks of
// TestFlowUnderInterleaving, and that no member waits for longer than flowGangTimeout, if the planner knows of that bound.
func TestFlowGangsOfLeadersThatResign(t *testing.T) {
	if !setGangTimeout(&ladderplan.Options{}) {
		t.Log("the planner has no bound on the wait of a member, so the wait is not checked")
	}
	steps, starts, waits := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		sim := drawFlowSimulation(rt, &steps, &starts)
		actions := sim.actions()
		maps.Copy(actions, map[string]func(*rapid.T){
			"resign": func(t *rapid.T) {
				sim.resign(func(orders int) int { return rapid.IntRange(0, orders).Draw(t, "delivered") })
			},
			"resign, then steady": func(t *rapid.T) {
				sim.submit(t, sim.newest())
				sim.pollAll(sim.newest())
				sim.resign(func(orders int) int { return rapid.IntRange(0, orders).Draw(t, "delivered") })
				for range rapid.IntRange(10, 25).Draw(t, "rounds") {
					sim.steady(sim.newest())
				}
			},
		})
		sim.watchGangs()
		rt.Repeat(actions)
		if sim.gangs != nil {
			waits += sim.gangs.waits
		}
	})
	_, _ = fmt.Fprintf(os.Stderr, "flow, leaders that resign: %d steps, %d starts, %d checks of a member that waits\n", steps, starts, waits)
}

// watchGangs has the waits of members checked, and a new leader elected that knows the bound, if planners know one.
func (sim *flowSimulation) watchGangs() {
	if setGangTimeout(&ladderplan.Options{}) {
		sim.gangs = newGangWatch()
		sim.elect()
	}
}

// failure is a checker that ends a scripted simulation at its first failure.
type failure struct{ *testing.T }

// failed is what a failure panics with.
type failed string

func (failure) Fatal(args ...any)                 { panic(failed(fmt.Sprint(args...))) }
func (failure) Fatalf(format string, args ...any) { panic(failed(fmt.Sprintf(format, args...))) }

// TestWaitingMemberIsFoundByModel guards against a model that does not see a member of a gang that waits in vain. The
// leader polls all workers and plans, but none of its orders arrives.
func TestWaitingMemberIsFoundByModel(t *testing.T) {
	for name, c := range map[string]struct {
		tasks int
		found bool
	}{
		"one of two starts": {2, true},
		"the only one":      {1, false},
	} {
		t.Run(name, func(t *testing.T) {
			steps, starts := 0, 0
			sim := newFlowSimulation(failure{t}, 0, &steps, &starts)
			sim.gangs = newGangWatch()
			j := &ladderflow.Job{
				ID: fmt.Sprintf("%016x", 0), Queue: flowQueue, Service: "s", Accepted: sim.now,
				Steps: []ladderflow.Step{{Tasks: c.tasks, Gang: true, Need: ladderflow.Size{Processor: 3000, Memory: 100}, Estimate: time.Second}},
			}
			sim.accept(j)
			l := sim.newest()
			l.planner.AddJob(sim.now, j, false)
			sim.pollAll(l)
			sim.plan(l)
			require.Len(t, sim.orders, c.tasks)
			sim.deliver(sim.orders[0], true)
			for _, o := range sim.orders {
				sim.settle(o, ladderplan.Result{Unsent: true})
			}
			sim.orders = nil
			play := func() (found any) {
				defer func() { found = recover() }()
				for range 40 {
					sim.advance(150 * time.Millisecond)
					sim.pollAll(l)
					sim.plan(l)
					for _, o := range sim.orders {
						sim.settle(o, ladderplan.Result{Unsent: true})
					}
					sim.orders = nil
					sim.check()
				}
				return nil
			}
			found := play()
			require.Equal(t, c.found, found != nil, found)
			if c.found {
				require.Contains(t, found, "waits for its gang")
			}
		})
	}
}
