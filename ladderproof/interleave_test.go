package ladderproof

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oklog/ulid/v2"
	"pgregory.net/rapid"

	"lacewingladder/ladderkey"
	"lacewingladder/laddermodel"
	"lacewingladder/ladderstand"
)

// Values of rapid's flags that the command line does not set: the number of simulations, the
// seed and the number of actions in each simulation.
const (
	defaultChecks = "150"
	defaultSeed   = "20261203"
	defaultSteps  = "300"
)

// repeatableExchanges is how many of the most recent requests callers may repeat.
const repeatableExchanges = 8

// TestMain sets the defaults of rapid's flags.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.checks": defaultChecks, "rapid.seed": defaultSeed, "rapid.steps": defaultSteps,
		"rapid.nofailfile": "true",
	} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// noDeadline hides the *testing.T from rapid, which would call T.Deadline. That method must not
// be called in a synctest bubble, whose clock is a fake one.
type noDeadline struct {
	rapid.TB
}

// TestInvariantsUnderInterleaving guards against a keyed request that runs twice, and against
// wrong answers about whether it ran. The home of a key is the one entry VM that decides
// whether a repeated request runs again. Both faults can occur when two VMs act as the home
// of the same key, when a worker accepts a start under an expired grant, or when a start or
// its reply is lost.
//
// It checks:
//
//   - No worker receives more tasks than its size allows.
//   - A key never runs in two places at once.
//   - A key of a class that must not be repeated runs at most once.
//   - A request that was answered with notrun did not run.
//   - If a request was answered with ran, it ran or another request with its key did.
func TestInvariantsUnderInterleaving(t *testing.T) {
	steps, ran, starts := 0, 0, 0
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			sim := newSimulation(rt)
			defer sim.close()
			// The bubble's fake clock advances only here. rapid limits shrinking by time,
			// so without this call it would not end.
			time.Sleep(time.Second)
			rt.Repeat(sim.actions())
			steps += sim.steps
			for _, e := range sim.exchanges {
				if e.done && e.answer.Outcome == laddermodel.Ran {
					ran++
				}
			}
			for _, r := range sim.records() {
				if r.Event == ladderstand.EventStart {
					starts++
				}
			}
		})
	})
	t.Logf("%d steps, %d starts, %d requests ran", steps, starts, ran)
}

// actions returns the actions that rapid may draw. An action that is listed under several
// names is drawn more often. The action with the empty name runs after each of the others.
// A seed keeps its meaning only as long as the names of actions and draws stay the same.
func (sim *simulation) actions() map[string]func(*rapid.T) {
	all := map[string]func(*rapid.T){
		"": func(*rapid.T) {
			synctest.Wait()
			sim.check()
		},
		"time": func(t *rapid.T) {
			limit := shortAdvance
			if rapid.IntRange(0, 24).Draw(t, "long") == 0 {
				limit = longAdvance
			}
			sim.clock.Advance(time.Duration(rapid.Int64Range(1, int64(limit)).Draw(t, "passed")))
		},
		"want": func(t *rapid.T) {
			v := rapid.SampledFrom(sim.vms).Draw(t, "vm")
			rack := fmt.Sprintf("r%d", rapid.IntRange(1, rackCount).Draw(t, "rack"))
			v.wantedRacks[rack] = rapid.IntRange(0, 3).Draw(t, "want") > 0
		},
		"pause": func(t *rapid.T) {
			v := rapid.SampledFrom(sim.vms).Draw(t, "vm")
			v.paused = !v.paused && rapid.IntRange(0, 4).Draw(t, "pause") == 0
		},
		"crash": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "crash") == 0 {
				v := rapid.SampledFrom(sim.vms).Draw(t, "vm")
				v.paused = false
				sim.bootVM(v)
			}
		},
		"takeover": func(t *rapid.T) {
			i := rapid.IntRange(0, vmCount-1).Draw(t, "from")
			j := rapid.IntRange(1, vmCount-1).Draw(t, "to")
			from, to := sim.vms[i], sim.vms[(i+j)%vmCount]
			if from.paused || to.paused || rapid.IntRange(0, 2).Draw(t, "takeover") > 0 {
				return
			}
			sim.takeover(from, to, rapid.Bool().Draw(t, "pause"))
			for _, e := range sim.exchanges[max(0, len(sim.exchanges)-repeatableExchanges):] {
				sim.repeat(to, e)
			}
		},
		"heal": func(t *rapid.T) {
			v := rapid.SampledFrom(sim.vms).Draw(t, "vm")
			v.claimCallsLost, v.paused = false, false
		},
		"restart worker": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				sim.bootWorker(rapid.SampledFrom(sim.workers).Draw(t, "worker"))
			}
		},
		"retry": func(t *rapid.T) {
			active := sim.activeVMs()
			if len(active) == 0 || len(sim.exchanges) == 0 {
				return
			}
			e := rapid.SampledFrom(sim.exchanges[max(0, len(sim.exchanges)-repeatableExchanges):]).Draw(t, "again")
			sim.repeat(rapid.SampledFrom(active).Draw(t, "vm"), e)
		},
	}
	request := func(t *rapid.T) {
		active := sim.activeVMs()
		if len(active) == 0 {
			return
		}
		key := ulid.MustNew(ulid.Timestamp(sim.clock.Now()), strings.NewReader(fmt.Sprintf("%010d", sim.seq))).String()
		sim.request(rapid.SampledFrom(active).Draw(t, "vm"), key, rapid.SampledFrom([]string{"check", "book"}).Draw(t, "class"))
	}
	tick := func(*rapid.T) {
		for _, v := range sim.activeVMs() {
			sim.tick(v)
		}
	}
	step := func(t *rapid.T) {
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			indexes := sim.runnableRoutines()
			if len(indexes) == 0 {
				return
			}
			sim.step(rapid.SampledFrom(indexes).Draw(t, "routine"))
		}
	}
	for i := range 3 {
		all[fmt.Sprint("ask ", i)] = request
		all[fmt.Sprint("tick ", i)] = tick
	}
	for i := range 14 {
		all[fmt.Sprint("step ", i)] = step
	}
	return all
}

// repeat repeats a request with its key, unless the key is older than the horizon within
// which requests may be repeated.
func (sim *simulation) repeat(v *vm, e exchange) {
	minted, _ := ladderkey.MintTime(e.key)
	if sim.clock.Now().Sub(minted) <= sim.config.Limits.KeyHorizon {
		sim.request(v, e.key, e.class)
	}
}

// records returns the records of all incarnations of all workers.
func (sim *simulation) records() []ladderstand.Record {
	var all []ladderstand.Record
	for _, w := range sim.workers {
		all = append(all, w.earlierRecords...)
		all = append(all, w.standIn.Records()...)
	}
	return all
}

// taskKey extracts the idempotency key from a task's ID.
func taskKey(task string) string { return strings.Split(task, "/")[1] }

// taskRequest extracts the request's ID from a task's ID.
func taskRequest(task string) string {
	last := strings.Split(task, "/")[2]
	return last[:strings.LastIndexByte(last, '.')]
}

// check checks the invariants against the workers' records.
func (sim *simulation) check() {
	sim.steps++
	for _, w := range sim.workers {
		if w.earlierOvercommits+w.standIn.OverCapacity() > 0 {
			sim.t.Fatalf("worker %s received more tasks than its size allows", w.spec.Name)
		}
	}
	started := map[string][]string{}
	byRequest := map[string]bool{}
	running := map[string]int{}
	for _, w := range sim.workers {
		for _, r := range append(append([]ladderstand.Record(nil), w.earlierRecords...), w.standIn.Records()...) {
			if r.Event == ladderstand.EventStart {
				started[taskKey(r.Task)] = append(started[taskKey(r.Task)], r.Task)
				byRequest[taskRequest(r.Task)] = true
			}
		}
		for _, r := range w.standIn.Records() {
			switch r.Event {
			case ladderstand.EventStart:
				running[taskKey(r.Task)]++
			case ladderstand.EventEnd, ladderstand.EventStop:
				running[taskKey(r.Task)]--
			case ladderstand.EventClaim, ladderstand.EventLeave, ladderstand.EventRefuse, ladderstand.EventRevoke,
				ladderstand.EventCheckpoint, ladderstand.EventThrottle:
			}
		}
	}
	for key, n := range running {
		if n > 1 {
			sim.t.Fatalf("key %s runs in %d places at once: %v", key, n, started[key])
		}
	}
	for i := range sim.exchanges {
		e := &sim.exchanges[i]
		if e.class == "book" && len(started[e.key]) > 1 {
			sim.t.Fatalf("key %s ran %d times: %v", e.key, len(started[e.key]), started[e.key])
		}
		if e.done && e.answer.Outcome == laddermodel.NotRun && byRequest[e.request] {
			sim.t.Fatalf("request %s of key %s ran, but its answer was notrun (%s)", e.request, e.key, e.answer.Reason)
		}
		if e.done && e.answer.Outcome == laddermodel.Ran && len(started[e.key]) == 0 {
			sim.t.Fatalf("request %s of key %s did not run, but its answer was ran", e.request, e.key)
		}
	}
}
