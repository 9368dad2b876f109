// Package ladderplan decides which task starts where, on the VM that leads.
//
// A [Planner] is deterministic: it is told of jobs, workers, looks at workers,
// answers to orders and tickets, each with the time, and says what to order. It
// opens no socket and starts no goroutine, and belongs to one goroutine.
//
// What it promises:
//
//   - A worker's room is charged from the moment a start is ordered until the
//     worker's own account, asked for after the order was settled, shows that the
//     run is gone, or until the worker's lease has certainly lapsed.
//   - A task has one run at a time. An order of unknown fate keeps its task until a
//     look shows the run, or a stop that outranks it was answered.
//   - After a takeover, a task that an earlier leader may have started waits until
//     each worker was seen under the new fence, or can hold nothing any more.
//   - An end is noted at its worker only after it was stored, and a job is shown as
//     done only then.
//
// # Usage
//
//	p := ladderplan.New(ladderplan.Options{Fence: fence, Hold: 5 * time.Second})
//	p.SetFleet(fleet)
//	p.AddJob(now, job)
//	p.Looked(now, worker, sent, look)
//	orders := p.Plan(now)
package ladderplan
