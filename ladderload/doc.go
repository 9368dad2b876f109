// Package ladderload plays a load against the planner in virtual time.
//
// A [Load] describes workers, queues and bursts. [Play] draws jobs from it under a
// seed, lets the planner of package ladderplan place them on modelled workers, and
// measures what callers get: how many jobs end within their aim, what share of the
// worth is earned, how long jobs wait and how full the workers are. No clock is read
// and no socket opened, so a rule is compared over many seeds in seconds.
//
// The model knows wrong estimates, uneven workers, failing runs, advice with a line
// for each VM, and the time of orders and looks. It does not know failures of VMs or
// of the store; those belong to package ladderproof and to the members' bench.
//
// # Usage
//
//	load, err := ladderload.Parse(file, data)
//	result := ladderload.Play(load, seed, ladderplan.ByAim)
//	fmt.Print(ladderload.Table(results))
package ladderload
