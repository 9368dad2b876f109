package ladderproof

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// TestQuotaCountsRunsOnWorkerThatShrank guards against a new leader that bounds what may run on a silent worker by the
// capacity that the worker is listed with, which has shrunk under its runs. The team's next job comes later.
func TestQuotaCountsRunsOnWorkerThatShrank(t *testing.T) {
	for name, cores := range map[string]int{"to nothing": 0, "to half": 1, "not at all": 4} {
		t.Run(name, func(t *testing.T) {
			steps, starts := 0, 0
			sim := newFlowSimulation(t, 0, &steps, &starts)
			sim.watchQuotas(map[string]ladderflow.Size{"a": {Processor: 4000}})
			for range 12 { // The leases that earlier leaders may have granted end.
				sim.advance(time.Second)
				sim.pollAll(sim.newest())
			}
			send := func(tasks, cores int) {
				j := &ladderflow.Job{
					ID: fmt.Sprintf("%016x", len(sim.jobs)), Queue: flowQueue, Service: "s", Team: "a", Accepted: sim.now,
					Steps: []ladderflow.Step{{Tasks: tasks, Need: ladderflow.Size{Processor: 1000 * cores, Memory: 100}, Estimate: time.Second}},
				}
				sim.accept(j)
				sim.newest().planner.AddJob(sim.now, j, false)
			}
			send(1, 4)
			sim.steady(sim.newest())
			var silent *flowWorker
			for _, w := range sim.workers {
				if len(w.running) > 0 {
					silent = w
				}
			}
			require.NotNil(t, silent)
			silent.resize(sim.now, ladderflow.Size{Processor: 1000 * cores, Memory: 4000}, 0)
			sim.advance(100 * time.Millisecond)
			sim.elect()
			for i := range 60 {
				sim.advance(100 * time.Millisecond)
				sim.pollOthers(sim.newest(), silent)
				sim.newest().planner.PollFailed(silent.id, false)
				if i == 25 {
					send(2, 1)
				}
				sim.check()
			}
		})
	}
}
