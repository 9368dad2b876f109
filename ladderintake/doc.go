// Package ladderintake decides which jobs of a team are refused while the fleet has no room for them, and
// when their callers may come back.
//
// The leader's [Limiter] learns from the planner how much work each team has on each service, and by when
// that work must be done for its jobs to meet their objectives. For each of a fixed set of horizons, the
// classes, it divides the capacity of the service among the teams by weight, up to what each needs and its
// quota allows. A team that gets less than it needs is limited for jobs of that class: one that is accepted
// now would end too late. The Limiter also learns from reports how many jobs each VM is offered, and
// divides the rate that a team is owed, its weight, among the VMs.
//
// Each VM's [Gate] decides on the limits that it last heard of and on their age, without asking anybody.
// Nothing is refused for a team that is not limited. For a team that is, a job is refused if the work that is
// due as early as the job's takes longer than until then, in the room that the team has, and
//
//   - the VM was offered more jobs than its part of the team's weight for longer than the jobs' horizon
//     (cause [Rate]), or
//   - the job would miss its objective even if it takes no longer than expected (cause [Backlog]).
//
// After [NewsLifetime] without news, only the rate counts, and the VM's part is an equal part of the weight
// if the team was limited, and the whole weight otherwise. Jobs beyond the weight are owed to
// nobody, so that a VM that is cut off refuses nothing that is owed unless it has heard that there is no
// room.
//
// A refused caller gets a turn, in order of arrival among the jobs of the team with the same or an earlier
// horizon, as far apart as the team's rate allows. The turn is a promise if the job can still meet its
// objective then; a caller that returns in its turn is admitted. All others are told a time in a line
// behind, which is halved each time that they are refused.
//
// # Usage
//
//	g := ladderintake.NewGate()
//	d := g.Decide(now, offer)
//	if d.Refused {
//		g.Refused(offer)
//		return g.Turn(now, offer, d).Seconds()
//	}
//	g.Admitted(now, offer)
//
//	l := ladderintake.NewLimiter()
//	l.Update(now, loads)
//	l.Report(now, vm, g.Report(now))
//	g.Heard(sent, l.Limits(now, vm, vms), vms)
//
// No type is safe for concurrent use. Times are only compared with each other, so that any clock that
// does not go back will do.
package ladderintake
