// Package ladderwave decides the order in which the machines of a maintenance wave are
// taken down.
//
// A [Wave] is given the list of machines from the machine service and returns the next
// machine to take down for maintenance, and the workers to drain in preparation. It takes
// down the machine with the least running work first, and never more machines at the same
// time than the wave allows. A machine that runs tasks is drained first; it is taken down
// while it still runs tasks only if the wave would otherwise miss its time limit.
//
// # Usage
//
//	w := ladderwave.New(now, spec, downtime)
//	w.Observe(now, machines)
//	machine, drain := w.Next(now, load)
//	w.RecordResult(now, machine, ladderwave.Confirmed) // the order was accepted
package ladderwave
