package laddercommand

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"

	"github.com/google/subcommands"

	"lacewingladder/ladderload"
)

// simulate is the subcommand that simulates a load on the planner in virtual time.
type simulate struct {
	streams
	loadFile string
	// seeds is the number of seeds to simulate for each order.
	seeds int
	// orders names rules for the order of steps, separated by commas.
	orders string
	// parallel is the number of simulations to run at the same time.
	parallel int
}

func (*simulate) Name() string     { return "simulate" }
func (*simulate) Synopsis() string { return "simulate a load on the planner in virtual time" }

func (*simulate) Usage() string {
	return `simulate -load FILE [-seeds 5] [-orders aim,deadline,priority,arrival,length] [-jobs 4]
  Draw random jobs from a load, let the planner place them on simulated workers, and
  print the service that callers get under each rule for the order of steps.
`
}

func (s *simulate) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.loadFile, "load", "", "YAML `file` that describes the load")
	f.IntVar(&s.seeds, "seeds", 5, "`number` of seeds to simulate for each rule")
	f.StringVar(&s.orders, "orders", "aim", "`rules` for the order of steps, separated by commas")
	f.IntVar(&s.parallel, "jobs", 4, "`number` of simulations to run at the same time")
}

func (s *simulate) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if s.loadFile == "" || f.NArg() > 0 || s.seeds < 1 || s.parallel < 1 {
		return s.usageError("simulate: give -load FILE, at least one seed and one job, and no arguments")
	}
	data, err := os.ReadFile(s.loadFile)
	if err != nil {
		return s.fail(err)
	}
	load, err := ladderload.Parse(s.loadFile, data)
	if err != nil {
		return s.fail(err)
	}
	ordersByName := ladderload.OrdersByName()
	var results []*ladderload.Result
	var mu sync.Mutex
	var wait sync.WaitGroup
	semaphore := make(chan struct{}, s.parallel)
	for _, name := range strings.Split(s.orders, ",") {
		order, ok := ordersByName[name]
		if !ok {
			return s.usageError("simulate: order %q is not one of aim, deadline, priority, arrival and length", name)
		}
		for seed := range s.seeds {
			semaphore <- struct{}{}
			wait.Go(func() {
				defer func() { <-semaphore }()
				r := ladderload.Simulate(load, uint64(seed)+1, order)
				mu.Lock()
				defer mu.Unlock()
				results = append(results, r)
			})
		}
	}
	wait.Wait()
	slices.SortFunc(results, func(a, b *ladderload.Result) int { return int(a.Seed) - int(b.Seed) })
	_, _ = fmt.Fprint(s.out, ladderload.Table(results))
	return subcommands.ExitSuccess
}
