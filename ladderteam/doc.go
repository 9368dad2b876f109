// Package ladderteam counts what each team has running, and decides what its quota still allows.
//
// A [Ledger] holds one sum of sizes for each team, over all workers. Whoever adds a run to a worker adds
// its size to the ledger, and whoever removes the run subtracts it, so that quotas and shares are decided
// on the same figures as the capacity of workers. The ledger makes no decision itself.
//
// A [Standing] decides how many more runs a quota allows. After a change of leaders, [Unheard] bounds what may
// run without the new leader's knowledge, which counts as well. [NeverFits] decides whether a job can't run
// under a quota at all.
//
// # Usage
//
//	l := ladderteam.NewLedger()
//	l.Add("tailors", size)
//	used := l.Used("tailors")
//	s := ladderteam.Standing{Quota: team.Quota, Used: l.Needed("tailors"), Assumed: unheard.Most()}
//	n := s.MoreRuns(step.Need, step.Tasks)
//
// A Ledger is not safe for concurrent use.
package ladderteam
