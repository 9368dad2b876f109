// Package laddershare decides whether a team is within its share of a fleet when all is full.
//
// There are two bounds. The first is on what a team sends: a job counts as within the team's rate if a
// bucket of tokens, which fills at the rate, holds one at the time of the job's acceptance. The others are
// beyond the rate until the team has kept to it for a while: until half the bucket is full again.
//
// The second is on what a team's work occupies. A team's share is its weight over the weights of the teams
// that have work. Its use is the largest of its parts of the fleet's resources, as in dominant resource
// fairness. Use above the share adds to the team's debt, use below it reduces the debt. A team is within
// its share while its debt, and what the work that it has running adds to it over the duration of the
// next step, is at most its allowance.
//
// The allowance follows from the size of the work: it is what the team's largest step alone adds, or the
// team's share over [CreditTime], whichever is more. So the only large step of a small team, which occupies
// several times its share, neither waits for credit nor holds up the team's other steps, and a second one
// has to wait until the first is paid for. A team that was quiet has no credit beyond its allowance. The debt
// is bounded as well: a team that stops using more than its share is within it after [RepayTime] at the
// latest, however much of the idle fleet it has used.
//
// The package only classifies work. The caller places work that is within the share first, and the rest in the
// room that is left, so that no room is idle while work waits.
//
// # Usage
//
//	shares := laddershare.New()
//	shares.SetWeights([]laddershare.Weight{{Team: "tailors", Weight: 12}})
//	team := shares.Team("tailors")
//	within := team.Accept(now, job.Accepted)
//	team.Wants(now) // it has a step that waits
//	shares.Update(now, capacity, ledger.Used)
//	if team.Within(ledger.Used("tailors"), step.Duration) {
//		// start the step, then:
//		team.Started(size, step.Duration)
//	}
//
// All functions are deterministic. None of the types is safe for concurrent use.
package laddershare
