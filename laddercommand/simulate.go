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

// simulate plays a load against the planner in virtual time.
type simulate struct {
	streams
	load   string
	seeds  int
	orders string
	jobs   int
}

func (*simulate) Name() string     { return "simulate" }
func (*simulate) Synopsis() string { return "play a load against the planner in virtual time" }

func (*simulate) Usage() string {
	return `simulate -load FILE [-seeds 5] [-orders aim,deadline,priority,arrival,length] [-jobs 4]
  Draw jobs from a load, let the planner place them on modelled workers, and print
  what callers get under each rule for the order of steps.
`
}

func (s *simulate) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.load, "load", "", "the load, a YAML file")
	f.IntVar(&s.seeds, "seeds", 5, "how many seeds to play")
	f.StringVar(&s.orders, "orders", "aim", "rules for the order of steps, separated by commas")
	f.IntVar(&s.jobs, "jobs", 4, "how many plays at once")
}

func (s *simulate) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if s.load == "" || f.NArg() > 0 || s.seeds < 1 || s.jobs < 1 {
		return s.misuse("simulate: give -load FILE, at least one seed and one job, and no arguments")
	}
	data, err := os.ReadFile(s.load)
	if err != nil {
		return s.fail(err)
	}
	load, err := ladderload.Parse(s.load, data)
	if err != nil {
		return s.fail(err)
	}
	known := ladderload.Orders()
	var results []*ladderload.Result
	var mu sync.Mutex
	var wait sync.WaitGroup
	slots := make(chan struct{}, s.jobs)
	for _, name := range strings.Split(s.orders, ",") {
		order, ok := known[name]
		if !ok {
			return s.misuse("simulate: order %q is not one of aim, deadline, priority, arrival and length", name)
		}
		for seed := range s.seeds {
			slots <- struct{}{}
			wait.Go(func() {
				defer func() { <-slots }()
				r := ladderload.Play(load, uint64(seed)+1, order)
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
