// Package ladderload simulates a load on the planner in virtual time.
//
// A [Load] describes workers, queues and bursts. [Simulate] draws random jobs from it
// under a seed, lets the planner of package ladderplan place their tasks on simulated
// workers, and measures the service that callers get: how many jobs end within their
// objective, what share of the total worth is earned, how long jobs wait and how
// heavily the workers are used. A simulation reads no clock and opens no socket, so a
// rule for the order of steps can be compared with others over many seeds in seconds.
//
// The simulation models inaccurate estimates, workers of different speed, runs that
// fail, advice queries that wait in a queue on each entry VM, and the time that start
// orders and status reports take. It does not model failures of entry VMs or of the
// store: package ladderproof tests those.
//
// # Usage
//
//	load, err := ladderload.Parse(file, data)
//	result := ladderload.Simulate(load, seed, ladderplan.ByObjective)
//	fmt.Print(ladderload.Table([]*ladderload.Result{result}))
package ladderload
