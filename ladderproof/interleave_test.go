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

// The checks and the seed when the command line names none.
const (
	standardChecks = "150"
	standardSeed   = "20261203"
	standardSteps  = "300"
)

// recent is how many of the last requests callers may repeat.
const recent = 8

func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.checks": standardChecks, "rapid.seed": standardSeed, "rapid.steps": standardSteps,
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

// bubble is a test without a deadline, since time stands still for it.
type bubble struct {
	rapid.TB
}

func TestInvariantsUnderInterleaving(t *testing.T) {
	steps, ran, starts := 0, 0, 0
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(rt *rapid.T) {
			w := newWorld(rt)
			defer w.close()
			// Time in the bubble moves only here; shrinking is bounded by it.
			time.Sleep(time.Second)
			rt.Repeat(w.actions())
			steps += w.steps
			for _, a := range w.asked {
				if a.done && a.answer.Outcome == laddermodel.Ran {
					ran++
				}
			}
			for _, r := range w.records() {
				if r.Event == ladderstand.EventStart {
					starts++
				}
			}
		})
	})
	t.Logf("%d steps, %d starts, %d requests ran", steps, starts, ran)
}

// actions are what the interleaver can do. The weights are by repetition.
func (w *world) actions() map[string]func(*rapid.T) {
	all := map[string]func(*rapid.T){
		"": func(*rapid.T) {
			synctest.Wait()
			w.check()
		},
		"time": func(t *rapid.T) {
			limit := shortStep
			if rapid.IntRange(0, 24).Draw(t, "long") == 0 {
				limit = longStep
			}
			w.clock.Advance(time.Duration(rapid.Int64Range(1, int64(limit)).Draw(t, "passed")))
		},
		"want": func(t *rapid.T) {
			v := rapid.SampledFrom(w.vms).Draw(t, "vm")
			rack := fmt.Sprintf("r%d", rapid.IntRange(1, racks).Draw(t, "rack"))
			v.wants[rack] = rapid.IntRange(0, 3).Draw(t, "want") > 0
		},
		"pause": func(t *rapid.T) {
			v := rapid.SampledFrom(w.vms).Draw(t, "vm")
			v.paused = !v.paused && rapid.IntRange(0, 4).Draw(t, "pause") == 0
		},
		"crash": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "crash") == 0 {
				v := rapid.SampledFrom(w.vms).Draw(t, "vm")
				v.paused = false
				w.bootVM(v)
			}
		},
		"takeover": func(t *rapid.T) {
			i := rapid.IntRange(0, vms-1).Draw(t, "from")
			j := rapid.IntRange(1, vms-1).Draw(t, "to")
			from, to := w.vms[i], w.vms[(i+j)%vms]
			if from.paused || to.paused || rapid.IntRange(0, 2).Draw(t, "takeover") > 0 {
				return
			}
			w.takeover(from, to, rapid.Bool().Draw(t, "pause"))
			for _, a := range w.asked[max(0, len(w.asked)-recent):] {
				w.repeat(to, a)
			}
		},
		"heal": func(t *rapid.T) {
			v := rapid.SampledFrom(w.vms).Draw(t, "vm")
			v.cut, v.paused = false, false
		},
		"restart worker": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				w.boot(rapid.SampledFrom(w.workers).Draw(t, "worker"))
			}
		},
		"retry": func(t *rapid.T) {
			up := w.usable()
			if len(up) == 0 || len(w.asked) == 0 {
				return
			}
			a := rapid.SampledFrom(w.asked[max(0, len(w.asked)-recent):]).Draw(t, "again")
			w.repeat(rapid.SampledFrom(up).Draw(t, "vm"), a)
		},
	}
	ask := func(t *rapid.T) {
		up := w.usable()
		if len(up) == 0 {
			return
		}
		key := ulid.MustNew(ulid.Timestamp(w.clock.Now()), strings.NewReader(fmt.Sprintf("%010d", w.seq))).String()
		w.request(rapid.SampledFrom(up).Draw(t, "vm"), key, rapid.SampledFrom([]string{"check", "book"}).Draw(t, "class"))
	}
	tick := func(*rapid.T) {
		for _, v := range w.usable() {
			w.tick(v)
		}
	}
	step := func(t *rapid.T) {
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			at := w.runnable()
			if len(at) == 0 {
				return
			}
			w.step(rapid.SampledFrom(at).Draw(t, "routine"))
		}
	}
	for i := range 3 {
		all[fmt.Sprint("ask ", i)] = ask
		all[fmt.Sprint("tick ", i)] = tick
	}
	for i := range 14 {
		all[fmt.Sprint("step ", i)] = step
	}
	return all
}

// repeat lets a caller repeat a request, unless its key is too old for that.
func (w *world) repeat(v *vm, a asked) {
	minted, _ := ladderkey.Minted(a.key)
	if w.clock.Now().Sub(minted) <= w.config.Limits.Horizon {
		w.request(v, a.key, a.class)
	}
}

// records returns the records of all workers, of all runs of their processes.
func (w *world) records() []ladderstand.Record {
	var all []ladderstand.Record
	for _, x := range w.workers {
		all = append(all, x.past...)
		all = append(all, x.stand.Records()...)
	}
	return all
}

// keyOf takes the key out of a task's id.
func keyOf(task string) string { return strings.Split(task, "/")[1] }

// requestOf takes the request out of a task's id.
func requestOf(task string) string {
	last := strings.Split(task, "/")[2]
	return last[:strings.LastIndexByte(last, '.')]
}

// check holds the workers' records against what must always hold.
func (w *world) check() {
	w.steps++
	for _, x := range w.workers {
		if x.over+x.stand.Over() > 0 {
			w.t.Fatalf("worker %s was given more than it holds", x.model.Name)
		}
	}
	started := map[string][]string{}
	byRequest := map[string]bool{}
	running := map[string]int{}
	for _, x := range w.workers {
		for _, r := range append(append([]ladderstand.Record(nil), x.past...), x.stand.Records()...) {
			if r.Event == ladderstand.EventStart {
				started[keyOf(r.Task)] = append(started[keyOf(r.Task)], r.Task)
				byRequest[requestOf(r.Task)] = true
			}
		}
		for _, r := range x.stand.Records() {
			switch r.Event {
			case ladderstand.EventStart:
				running[keyOf(r.Task)]++
			case ladderstand.EventEnd, ladderstand.EventStop:
				running[keyOf(r.Task)]--
			case ladderstand.EventClaim, ladderstand.EventLeave, ladderstand.EventRefuse, ladderstand.EventRevoke,
				ladderstand.EventCheckpoint, ladderstand.EventThrottle:
			}
		}
	}
	for key, n := range running {
		if n > 1 {
			w.t.Fatalf("key %s runs in %d places at once: %v", key, n, started[key])
		}
	}
	for i := range w.asked {
		a := &w.asked[i]
		if a.class == "book" && len(started[a.key]) > 1 {
			w.t.Fatalf("key %s ran %d times: %v", a.key, len(started[a.key]), started[a.key])
		}
		if a.done && a.answer.Outcome == laddermodel.NotRun && byRequest[a.request] {
			w.t.Fatalf("request %s of key %s was said not to have run (%s)", a.request, a.key, a.answer.Reason)
		}
		if a.done && a.answer.Outcome == laddermodel.Ran && len(started[a.key]) == 0 {
			w.t.Fatalf("request %s of key %s was said to have run", a.request, a.key)
		}
	}
}
