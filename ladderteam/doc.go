// Package ladderteam counts what each team has running.
//
// A [Ledger] holds one sum of sizes for each team, over all workers. Whoever adds a run to a worker adds
// its size to the ledger, and whoever removes the run subtracts it, so that quotas and shares are decided
// on the same figures as the capacity of workers. The ledger makes no decision itself.
//
// # Usage
//
//	l := ladderteam.NewLedger()
//	l.Add("tailors", size)
//	used := l.Used("tailors")
//
// A Ledger is not safe for concurrent use.
package ladderteam
